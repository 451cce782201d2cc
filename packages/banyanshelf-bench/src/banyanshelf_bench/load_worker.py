"""One process of the load generator: reads a plan from stdin, writes its result.

Arrivals follow the plan whatever the answers do, and latency counts from the time a
call was due, so that a stall of the server is not hidden by calls that were sent late.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet import selectreactor

# epoll rounds timeouts up to 1 ms, which is more than the latency to be measured.
selectreactor.install()

from twisted.internet import reactor  # noqa: E402

from banyanshelf_bench.caller import (  # noqa: E402
    CallRequest,
    CallResult,
    ConnectionPool,
)
from banyanshelf_bench.load_plan import (  # noqa: E402
    LoadPlan,
    Stream,
    StreamResult,
    Window,
    WorkerResult,
)

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3
MAX_REDIRECTS = 8
HEALTH_POLL_S = 0.25
SETTLE_S = 0.3
TOKENS_KEPT = 50_000
FAILURES_KEPT = 20


def new_histogram() -> Any:
    """Return an empty histogram for microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def encode_histogram(histogram: Any) -> str:
    """Return a histogram as text."""
    encoded: bytes = histogram.encode()
    return encoded.decode()


class Balancer:
    """Chooses addresses like the platform's balancer: only healthy ones, at random."""

    def __init__(self, plan: LoadPlan, source: random.Random) -> None:
        self._random = source
        self._timeout_s = plan.timeout_s
        self._health_by_address = plan.health_by_address
        self._unhealthy: set[str] = set()
        self._pool_by_address: dict[str, ConnectionPool] = {}
        self.redirected = 0

    def pool(self, address: str) -> ConnectionPool:
        """Return the connections to an address."""
        if address not in self._pool_by_address:
            self._pool_by_address[address] = ConnectionPool(address, self._timeout_s)
        return self._pool_by_address[address]

    def choose(self, addresses: list[str]) -> str:
        """Return a healthy address, or any if none is."""
        address = self._random.choice(addresses)
        if address not in self._unhealthy:
            return address
        healthy = [item for item in addresses if item not in self._unhealthy]
        return self._random.choice(healthy or addresses)

    def poll_health(self) -> None:
        """Ask every daemon whether it serves; repeats itself."""
        for address, health_address in self._health_by_address.items():
            self._poll(address, health_address)
        reactor.callLater(HEALTH_POLL_S, self.poll_health)

    def _poll(self, address: str, health_address: str) -> None:
        call = CallRequest(
            "GET", "/healthz", health_address, "", {}, b"", reactor.seconds()
        )

        def done(result: CallResult) -> None:
            self._seen(address, result)

        def refused() -> None:
            self._unhealthy.add(address)

        self.pool(health_address).send(call, done, refused)

    def _seen(self, address: str, result: CallResult) -> None:
        # A healthy answer has status 200 but carries no token, so it is "wrong".
        if result.outcome == "wrong":
            self._unhealthy.discard(address)
        else:
            self._unhealthy.add(address)

    def send(
        self, stream: Stream, call: CallRequest, done: Callable[[CallResult], None]
    ) -> None:
        """Send to a healthy address; a refused connection is tried elsewhere."""
        self._try(stream.addresses, call, done, MAX_REDIRECTS)

    def send_to(
        self, address: str, call: CallRequest, done: Callable[[CallResult], None]
    ) -> None:
        """Send to one address only."""
        self._try([address], call, done, 0)

    def _try(
        self,
        addresses: list[str],
        call: CallRequest,
        done: Callable[[CallResult], None],
        redirects: int,
    ) -> None:
        address = self.choose(addresses)

        def refused() -> None:
            if redirects == 0:
                done(CallResult("refused", 0, f"{address} refused the connection"))
                return
            self.redirected += 1
            self._try(addresses, call, done, redirects - 1)

        self.pool(address).send(call, done, refused)


class StreamRunner:
    """Sends the calls of one stream and counts what became of them."""

    def __init__(self, worker: Worker, stream: Stream, source: random.Random) -> None:
        self._worker = worker
        self._stream = stream
        self._random = source
        self._number = 0
        self._next_at = 0.0
        self.outcomes: Counter[str] = Counter()
        self.in_progress = 0
        self._latency_by_second: dict[int, Any] = {}
        self._above_by_second: dict[int, Any] = {}
        self._not_run_tokens: list[str] = []
        self._failures: list[str] = []

    def start(self, start_at: float) -> None:
        """Schedule the first calls; ``start_at`` is on the reactor's clock."""
        self._start_at = start_at
        self._end_at = start_at + self._stream.end_s
        begin = start_at + self._stream.begin_s
        if self._stream.per_address:
            for address in self._stream.addresses:
                for _ in range(self._stream.per_address):
                    wait = begin - reactor.seconds() + self._random.random() * 0.05
                    reactor.callLater(max(0.0, wait), self._closed_loop, address)
        elif self._stream.rate > 0:
            self._next_at = begin
            self._schedule()

    def _schedule(self) -> None:
        self._next_at += self._random.expovariate(self._stream.rate)
        if self._next_at < self._end_at:
            wait = max(0.0, self._next_at - reactor.seconds())
            reactor.callLater(wait, self._send_due)

    def _send_due(self) -> None:
        due_at = self._next_at
        lateness_us = int((reactor.seconds() - due_at) * 1e6)
        self._worker.lateness.record_value(max(LOWEST_US, lateness_us))
        call = self._new_call(due_at)
        self.in_progress += 1
        self._worker.balancer.send(
            self._stream, call, lambda result: self._ended(call, result)
        )
        self._schedule()

    def _closed_loop(self, address: str) -> None:
        if reactor.seconds() >= self._end_at:
            return
        call = self._new_call(reactor.seconds())
        self.in_progress += 1

        def ended(result: CallResult) -> None:
            self._ended(call, result)
            wait = self._random.uniform(0.5, 1.5) * self._stream.think_ms / 1e3
            reactor.callLater(wait, self._closed_loop, address)

        self._worker.balancer.send_to(address, call, ended)

    def _new_call(self, due_at: float) -> CallRequest:
        self._number += 1
        stream = self._stream
        token = f"{stream.name}-{self._worker.plan.worker}-{self._number}"
        headers = dict(stream.headers)
        if stream.keyed:
            headers["Idempotency-Key"] = f"key-{token}"
        body = (
            token.encode().ljust(stream.body_bytes, b".") if stream.body_bytes else b""
        )
        return CallRequest(
            stream.method, stream.path, stream.host, token, headers, body, due_at
        )

    def _ended(self, call: CallRequest, result: CallResult) -> None:
        now = reactor.seconds()
        self.in_progress -= 1
        self.outcomes[result.outcome] += 1
        if result.outcome != "ok":
            if result.outcome == "not_run" and len(self._not_run_tokens) < TOKENS_KEPT:
                self._not_run_tokens.append(call.token)
            if len(self._failures) < FAILURES_KEPT:
                at = call.due_at - self._start_at
                self._failures.append(f"{call.token} at {at:.3f} s: {result.detail}")
            return
        latency_us = max(LOWEST_US, int((now - call.due_at) * 1e6))
        second = int(call.due_at - self._start_at)
        if second not in self._latency_by_second:
            self._latency_by_second[second] = new_histogram()
            self._above_by_second[second] = new_histogram()
        self._latency_by_second[second].record_value(latency_us)
        above = max(LOWEST_US, latency_us - result.service_us)
        self._above_by_second[second].record_value(above)

    def result(self) -> StreamResult:
        """Return what became of the calls."""
        if self.in_progress:
            self.outcomes["unfinished"] += self.in_progress
        windows = [
            Window(
                second,
                encode_histogram(self._latency_by_second[second]),
                encode_histogram(self._above_by_second[second]),
            )
            for second in sorted(self._latency_by_second)
        ]
        return StreamResult(
            self._stream.name,
            dict(self.outcomes),
            windows,
            self._not_run_tokens,
            self._failures,
        )


class Worker:
    """All streams of one process."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.lateness = new_histogram()
        self.balancer = Balancer(plan, random.Random(f"{plan.seed}/{plan.worker}"))
        self._runners = [
            StreamRunner(
                self,
                stream,
                random.Random(f"{plan.seed}/{plan.worker}/{stream.name}"),
            )
            for stream in plan.streams
        ]

    def run(self) -> WorkerResult:
        """Send everything, wait for the last answers, and return the result."""
        wait = self.plan.start_at - time.monotonic()
        start_at = reactor.seconds() + wait
        for runner in self._runners:
            runner.start(start_at)
        if self.plan.health_by_address:
            reactor.callWhenRunning(self.balancer.poll_health)
        last = max(stream.end_s for stream in self.plan.streams)
        reactor.callLater(max(0.0, wait) + last, self._wait_for_answers)
        reactor.run()
        return WorkerResult(
            [runner.result() for runner in self._runners],
            encode_histogram(self.lateness),
            time.process_time(),
            self.balancer.redirected,
        )

    def _wait_for_answers(self, waited_s: float = 0.0) -> None:
        busy = any(runner.in_progress for runner in self._runners)
        if busy and waited_s < self.plan.timeout_s + 1.0:
            reactor.callLater(SETTLE_S, self._wait_for_answers, waited_s + SETTLE_S)
        else:
            reactor.stop()


def main() -> None:
    """Run the plan on standard input."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadPlan)
    result = Worker(plan).run()
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
