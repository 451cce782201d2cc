"""Stand-in for a backend server.

Example:
    ``python -m banyanshelf_standins.backend --id desk-1 --service desk --slots 3
    --listen 127.0.0.1:9000 --control-listen 127.0.0.1:9001``

"""

from __future__ import annotations

import os
import signal
from hashlib import sha256
from typing import Any

import fire
import msgspec
from twisted.internet import reactor

from banyanshelf_standins.backend_work import Job, ServiceTimes, SlotQueue, Usage
from banyanshelf_standins.http_server import (
    Exchange,
    HttpServer,
    LinkDelay,
    resident_kilobytes,
)

FAST_FAILURE_DELAY_S = 0.001
CRASH_EXIT_CODE = 70
DEFAULT_DEADLINE_S = 3600.0
IDLE_CHECK_INTERVAL_S = 0.05
EXIT_DELAY_S = 0.3


class Behavior(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings that ``POST /behavior`` can change while the server runs.

    ``report`` is ``true``, ``zero``, ``full`` or ``frozen`` and selects the load that
    answers report. ``straggle_factor`` multiplies service times. A ``queue_limit`` of
    -1 disables load shedding. Answers state a ``request_limit``, in requests per second
    from all gateways, unless it is negative; the server does not enforce it.
    """

    draining: bool = False
    fail_fast: bool = False
    straggle_factor: float = 1.0
    report: str = "true"
    queue_limit: int = -1
    answer_bytes: int = 512
    probe_ms: float = 6.0
    request_limit: float = -1.0


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Fixed properties of one backend server; times are in milliseconds or seconds."""

    id: str
    service: str
    slots: int
    listen: str
    control_listen: str
    distribution: str = "exponential"
    mean_ms: float = 20.0
    seed: int = 1
    delay_ms: float = 0.0
    connect_ms: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 4.0
    drain_s: float = 3.0


class Backend:
    """Simulates a backend server and counts its runs by key and token."""

    def __init__(self, options: Options, behavior: Behavior) -> None:
        self.options = options
        self.behavior = behavior
        self.usage = Usage()
        self.slots = SlotQueue(options.slots, self.usage)
        self.service_times = ServiceTimes(
            options.distribution, options.mean_ms / 1e3, options.seed
        )
        self.is_stopping = False
        self.is_refusing = False
        self._frozen_in_flight = 0
        self._started_at = reactor.seconds()
        delay = LinkDelay(options.delay_ms / 1e3, options.connect_ms / 1e3)
        self.server = HttpServer(options.listen, self.handle, delay)
        self.control = HttpServer(options.control_listen, self.handle_control)

    def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        self.server.open()
        self.control.open()
        reactor.callWhenRunning(
            signal.signal,
            signal.SIGTERM,
            lambda *_: reactor.callFromThread(self.stop),
        )
        reactor.run()

    def common_headers(self, exchange: Exchange) -> list[tuple[str, str]]:
        """Return the echoed token, load report and, if draining, state header."""
        in_flight = {
            "zero": 0,
            "full": self.options.slots,
            "frozen": self._frozen_in_flight,
        }.get(self.behavior.report, self.slots.in_flight)
        report = f"in_flight={in_flight}, slots={self.options.slots}"
        token = exchange.headers.get("echo-token", "")
        headers = [("Echo-Token", token), ("Upstream-Load", report)]
        if self.behavior.request_limit >= 0:
            limit = f"{self.behavior.request_limit:g}"
            headers.append(("Upstream-Request-Limit", limit))
        if self.behavior.draining or self.is_stopping:
            headers.append(("Upstream-State", "draining"))
        return headers

    def handle(self, exchange: Exchange) -> None:
        """Queue, shed or fail one request."""
        if self.behavior.request_limit >= 0:
            self.usage.limited_at.append(reactor.seconds())
        if self._must_shed():
            self._shed(exchange)
        elif exchange.path == "/healthz":
            self._submit(exchange, self.behavior.probe_ms / 1e3, is_probe=True)
        elif self.behavior.fail_fast:
            reactor.callLater(FAST_FAILURE_DELAY_S, self._fail, exchange)
        else:
            self._submit(exchange, self._service_time(exchange), is_probe=False)

    def _must_shed(self) -> bool:
        if self.is_refusing:
            return True
        limit = self.behavior.queue_limit
        return limit >= 0 and self.slots.in_flight >= self.options.slots + limit

    def _shed(self, exchange: Exchange) -> None:
        self.usage.shed += 1
        headers = [
            ("Retry-After", "1"),
            ("Upstream-Outcome", "not_run"),
            *self.common_headers(exchange),
        ]
        exchange.answer(503, b"", headers, close=self.is_refusing)

    def _fail(self, exchange: Exchange) -> None:
        exchange.answer(500, b"failed\n", self.common_headers(exchange))

    def _service_time(self, exchange: Exchange) -> float:
        requested_ms = exchange.headers.get("work-ms")
        seconds = (
            self.service_times.draw()
            if requested_ms is None
            else float(requested_ms) / 1e3
        )
        seconds *= self.behavior.straggle_factor
        if reactor.seconds() - self._started_at < self.options.cold_s:
            seconds *= self.options.cold_factor
        return seconds

    def _submit(self, exchange: Exchange, service_s: float, is_probe: bool) -> None:
        remaining_ms = exchange.headers.get("banyanshelf-deadline-ms")
        limit_s = (
            DEFAULT_DEADLINE_S if remaining_ms is None else float(remaining_ms) / 1e3
        )
        job = Job(
            service_s,
            reactor.seconds() + limit_s,
            lambda: self._record_start(exchange, is_probe),
            lambda served_s: self._answer_finished(exchange, served_s, is_probe),
            lambda: self._answer_expired(exchange),
        )
        exchange.on_closed.append(lambda: self.slots.cancel(job))
        self.slots.submit(job)

    def _record_start(self, exchange: Exchange, is_probe: bool) -> None:
        if is_probe:
            self.usage.probes += 1
            return
        self.usage.started += 1
        for header, runs in (
            ("idempotency-key", self.usage.runs_by_key),
            ("echo-token", self.usage.runs_by_token),
        ):
            value = exchange.headers.get(header)
            if value is not None:
                runs[value] = runs.get(value, 0) + 1
        if exchange.headers.get("crash-backend") == "yes":
            os._exit(CRASH_EXIT_CODE)

    def _answer_expired(self, exchange: Exchange) -> None:
        exchange.answer(504, b"deadline passed\n", self.common_headers(exchange))

    def _answer_finished(
        self, exchange: Exchange, served_s: float, is_probe: bool
    ) -> None:
        if is_probe:
            self.usage.probe_s += served_s
            exchange.answer(200, b"ok\n", self.common_headers(exchange))
            return
        self.usage.finished += 1
        token = exchange.headers.get("echo-token", "")
        body = self._answer_body(exchange, token)
        headers = [
            ("Content-Type", "application/json"),
            ("Answer-Digest", sha256(body).hexdigest()),
            ("Service-Time-Us", str(int(served_s * 1e6))),
            ("Backend-Id", self.options.id),
            *self.common_headers(exchange),
        ]
        exchange.answer(200, body, headers)

    def _answer_body(self, exchange: Exchange, token: str) -> bytes:
        size = int(
            exchange.headers.get("answer-bytes", str(self.behavior.answer_bytes))
        )
        content = {
            "id": self.options.id,
            "method": exchange.method,
            "target": exchange.target,
            "echo_token": token,
            "body_digest": sha256(exchange.body).hexdigest(),
            "run": self.usage.started,
            "padding": "",
        }
        body = msgspec.json.encode(content)
        if len(body) >= size:
            return body
        # Padding derived from the token reveals a body mixed from two answers.
        unit = sha256(token.encode()).hexdigest()
        missing = size - len(body)
        content["padding"] = (unit * (missing // len(unit) + 1))[:missing]
        return msgspec.json.encode(content)

    def handle_control(self, exchange: Exchange) -> None:
        """Handle one request on the control listener."""
        match exchange.method, exchange.path:
            case "GET", "/stats":
                exchange.answer_json(self.statistics())
            case "POST", "/behavior":
                self._change_behavior(exchange.json())
                exchange.answer_json(self.behavior)
            case "POST", "/reset":
                self._reset()
                exchange.answer_json({})
            case _:
                exchange.answer_json({"error": "no such control call"}, 404)

    def _change_behavior(self, changes: dict[str, Any]) -> None:
        current = msgspec.to_builtins(self.behavior)
        self.behavior = msgspec.convert(current | changes, Behavior)
        self._frozen_in_flight = self.slots.in_flight

    def _reset(self) -> None:
        self.usage = Usage()
        self.slots.usage = self.usage

    def statistics(self) -> dict[str, Any]:
        """Return usage counters, open connections and resident memory."""
        return {
            "id": self.options.id,
            "service": self.options.service,
            "slots": self.options.slots,
            "in_flight": self.slots.in_flight,
            "connections": len(self.server.connections),
            "memory_kb": resident_kilobytes(),
            **msgspec.to_builtins(self.usage),
        }

    def stop(self) -> None:
        """Announce draining, refuse new work after ``drain_s``, and exit when idle."""
        if not self.is_stopping:
            self.is_stopping = True
            reactor.callLater(self.options.drain_s, self._refuse_new_work)

    def _refuse_new_work(self) -> None:
        self.is_refusing = True
        self.server.close()
        self._exit_when_idle()

    def _exit_when_idle(self) -> None:
        if self.slots.in_flight == 0:
            reactor.callLater(EXIT_DELAY_S, reactor.stop)
        else:
            reactor.callLater(IDLE_CHECK_INTERVAL_S, self._exit_when_idle)


def run(
    id: str,  # noqa: A002
    service: str,
    slots: int,
    listen: str,
    control_listen: str,
    **others: Any,
) -> None:
    """Run one backend server.

    Further flags are the fields of :class:`Options` and :class:`Behavior`.
    """
    values = {
        "id": str(id),
        "service": service,
        "slots": slots,
        "listen": listen,
        "control_listen": control_listen,
    }
    option_values = {
        key: others.pop(key) for key in Options.__struct_fields__ if key in others
    }
    options = msgspec.convert(values | option_values, Options, strict=False)
    Backend(options, msgspec.convert(others, Behavior, strict=False)).run()


if __name__ == "__main__":
    fire.Fire(run)
