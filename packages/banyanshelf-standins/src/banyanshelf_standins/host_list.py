"""Stand-in for the platform's host list, with long polling and an optional lag.

Example:
    ``python -m banyanshelf_standins.host_list --listen 127.0.0.1:2390
    --control-listen 127.0.0.1:2391``

"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import fire
from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange, HttpServer, resident_kilobytes

HOST_FIELDS = {"id", "service", "address", "zone", "slots", "state"}
MAX_WAIT_S = 60.0


class HostList:
    """The published hosts, their version, and the pending long polls."""

    def __init__(self, listen: str, control_listen: str) -> None:
        self.version = 1
        self.hosts: list[dict[str, Any]] = []
        self.lag_s = 0.0
        self.calls: Counter[str] = Counter()
        self._waiting: set[Callable[[], None]] = set()
        self.server = HttpServer(listen, self.handle)
        self.control = HttpServer(control_listen, self.handle_control)

    def run(self) -> None:
        """Serve until the process is asked to terminate."""
        self.server.open()
        self.control.open()
        reactor.run()

    def handle(self, exchange: Exchange) -> None:
        """Answer at once if the version differs, else as a long poll."""
        if (exchange.method, exchange.path) != ("GET", "/hosts"):
            exchange.answer_json({"error": "not found"}, 404)
            return
        self.calls["hosts"] += 1
        known_version = exchange.headers.get("if-version-changed")
        wait_s = min(float(exchange.headers.get("wait-seconds", "0")), MAX_WAIT_S)
        if known_version is None or int(known_version) != self.version:
            self._answer(exchange)
        elif wait_s <= 0:
            self._answer_unchanged(exchange)
        else:
            self._wait(exchange, wait_s)

    def _wait(self, exchange: Exchange, wait_s: float) -> None:
        def on_change() -> None:
            timer.cancel()
            self._waiting.discard(on_change)
            self._answer(exchange)

        def on_timeout() -> None:
            self._waiting.discard(on_change)
            self._answer_unchanged(exchange)

        def on_disconnect() -> None:
            if on_change in self._waiting:
                self._waiting.discard(on_change)
                timer.cancel()

        timer = reactor.callLater(wait_s, on_timeout)
        self._waiting.add(on_change)
        exchange.on_closed.append(on_disconnect)

    def _version_header(self) -> list[tuple[str, str]]:
        return [("Host-List-Version", str(self.version))]

    def _answer(self, exchange: Exchange) -> None:
        exchange.answer_json({"hosts": self.hosts}, 200, self._version_header())

    def _answer_unchanged(self, exchange: Exchange) -> None:
        exchange.answer(304, b"", self._version_header())

    def publish(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the hosts and answer the pending long polls."""
        self.hosts = hosts
        self.version += 1
        for callback in list(self._waiting):
            callback()

    def handle_control(self, exchange: Exchange) -> None:
        """Handle one request on the control listener."""
        match exchange.method, exchange.path:
            case "GET", "/stats":
                exchange.answer_json(
                    {
                        "calls_by_kind": dict(self.calls),
                        "waiting": len(self._waiting),
                        "version": self.version,
                        "memory_kb": resident_kilobytes(),
                    },
                )
            case "PUT", "/hosts":
                hosts = exchange.json()["hosts"]
                for host in hosts:
                    if set(host) != HOST_FIELDS:
                        raise ValueError(f"a host needs {sorted(HOST_FIELDS)}")
                reactor.callLater(self.lag_s, self.publish, hosts)
                exchange.answer_json({})
            case "PUT", "/lag":
                self.lag_s = float(exchange.json()["seconds"])
                exchange.answer_json({})
            case _:
                exchange.answer_json({"error": "no such control call"}, 404)


def run(listen: str, control_listen: str) -> None:
    """Serve the host list; both addresses are ``host:port``."""
    HostList(listen, control_listen).run()


if __name__ == "__main__":
    fire.Fire(run)
