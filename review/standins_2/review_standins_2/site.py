"""Stand-in for the platform: its store and the upstreams of one service.

The store is built on the project's own stand-in. The path of a request says what its
upstream does with it: ``/statements/w20-b250000/`` works for 20 ms and answers 250,000
bytes. One that runs a request for a path with ``/fatal/`` goes silent in the middle of
its answer, with ``/fatal-at-once/`` before it, and starts again some seconds later.
Of the requests for a path with ``/shed/``, ``SHED_SHARE`` are refused as not run; those
with ``/spell/`` take longer at ``SLOW_INSTANCES``. Each arrival and each answer is a
line of the journal.
"""

from __future__ import annotations

import random
import re
import sys
import time
from collections import deque
from typing import Any

import msgspec
from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange, HttpServer
from banyanshelf_standins.platform_site import MetadataStore
from review_standins_2.link import Link

ATTEMPT_ID = "x-banyanshelf-attempt-id"
SLOTS = 3
QUEUE = 6
HISTORY_S = 20.0
SILENT_S = 4.5
FATAL_ANSWER_BYTES = 30_000
FATAL_SENT_BYTES = 10_000
SHED_SHARE = 0.55
# Five of 14 upstreams, a share of 0.357
SLOW_INSTANCES = frozenset(f"i-{number}" for number in range(5))
SLOW_FACTOR = 5
_ORDER = re.compile(r"w(\d+)-b(\d+)")


class Upstream:
    """An upstream that answers with the asked number of bytes after the asked time.

    It runs ``SLOTS`` requests at once, queues a few more and refuses the others as not
    run.
    """

    def __init__(
        self, instance: str, listen: str, journal: Journal, store: PlatformStore
    ) -> None:
        self._store = store
        self._starts = 1
        self._is_silent = False
        self.instance = instance
        self.running = 0
        self.waiting: list[Exchange] = []
        self.journal = journal
        self.server = HttpServer(listen, self.handle)

    def handle(self, exchange: Exchange) -> None:
        """Answer a health check, or run, queue or refuse a request."""
        if self._is_silent:
            return
        if exchange.path == "/health":
            exchange.answer(200, headers=self._headers(exchange))
        elif exchange.headers.get("x-banyanshelf-expected-instance") != self.instance:
            exchange.answer(421, headers=[("X-Banyanshelf-Not-Executed", "1")])
        elif "/shed/" in exchange.path and random.random() < SHED_SHARE:
            self._refuse(exchange, "sheds")
        elif self.running < SLOTS:
            self._run(exchange)
        elif len(self.waiting) < QUEUE:
            self.waiting.append(exchange)
        else:
            self._refuse(exchange, "is full")

    def _refuse(self, exchange: Exchange, event: str) -> None:
        self.journal.write(event, self.instance, exchange)
        refused = [*self._headers(exchange), ("X-Banyanshelf-Not-Executed", "1")]
        exchange.answer(503, headers=refused)

    def _run(self, exchange: Exchange) -> None:
        self.running += 1
        order = _ORDER.search(exchange.path)
        work_ms, size = (int(part) for part in order.groups()) if order else (10, 10)
        self.journal.write("runs", self.instance, exchange)
        if "/fatal" in exchange.path:
            self._go_silent(exchange)
            return
        if "/spell/" in exchange.path and self.instance in SLOW_INSTANCES:
            work_ms *= SLOW_FACTOR
        reactor.callLater(work_ms / 1000, self._finish, exchange, size)

    def _go_silent(self, exchange: Exchange) -> None:
        self.journal.write("crash", self.instance, exchange)
        self._is_silent = True
        headers = [*self._headers(exchange), _signature(self.instance)]
        lines = [f"{name}: {value}\r\n" for name, value in headers]
        head = "HTTP/1.1 200 OK\r\n" + "".join(lines)
        head += f"Content-Length: {FATAL_ANSWER_BYTES}\r\n\r\n"
        if "/fatal/" in exchange.path:
            exchange.connection.send(head.encode() + body_of(FATAL_SENT_BYTES))
        reactor.callLater(SILENT_S, self._start_again)

    def _start_again(self) -> None:
        self._is_silent = False
        self.running = 0
        self.waiting.clear()
        self.server.abort_connections()
        self._starts += 1
        self._store.rewrite_start(f"servers/{self.instance}", self._starts)

    def _finish(self, exchange: Exchange, size: int) -> None:
        self.running -= 1
        self.journal.write("answers", self.instance, exchange)
        headers = [*self._headers(exchange), _signature(self.instance)]
        exchange.answer(200, body_of(size), headers)
        while self.waiting and self.running < SLOTS:
            waiting = self.waiting.pop(0)
            if not waiting.ended:
                self._run(waiting)

    def _headers(self, exchange: Exchange) -> list[tuple[str, str]]:
        load = f"{self.running},{len(self.waiting)},{SLOTS},100"
        headers = [
            ("X-Banyanshelf-Instance-Id", self.instance),
            ("X-Banyanshelf-Instance-Load", load),
        ]
        attempt = exchange.headers.get(ATTEMPT_ID)
        if attempt is not None:
            headers.append(("X-Banyanshelf-Attempt-Id", attempt))
        return headers


def _signature(instance: str) -> tuple[str, str]:
    return "X-Banyanshelf-Response-Signature", instance


class PlatformStore(MetadataStore):
    """The project's store, which forgets changes after ``HISTORY_S``."""

    def __init__(self, listen: str) -> None:
        super().__init__(listen)
        self._written_at: deque[float] = deque()
        self._values_by_key: dict[str, Any] = {}

    def write(self, key: str, value: Any) -> None:
        """Write an item and forget old changes."""
        now = reactor.seconds()
        while self._written_at and self._written_at[0] < now - HISTORY_S:
            self._written_at.popleft()
            self.compacted_revision = self.changes.pop(0)["revision"]
        self._written_at.append(now)
        self._values_by_key[key] = value
        super().write(key, value)

    def rewrite_start(self, key: str, number: int) -> None:
        """Write the entry of an upstream that has started for another time."""
        entry = self._values_by_key[key]
        self.write(key, entry | {"born": entry["born"] + 1000 * number})


class Operator:
    """Writes further versions of the configuration, one after the other.

    With ``outage_s``, the machines' links to the store are cut for that time before the
    first of them.
    """

    def __init__(
        self,
        store: PlatformStore,
        links: list[Link],
        journal: Journal,
        plan: dict[str, Any],
    ) -> None:
        self._journal = journal
        self._store = store
        self._links = links
        self._plan = plan
        self._version = plan["configuration"]["version"]

    def start(self) -> None:
        """Write the first version, and begin with the others after a pause."""
        self._store.write("op/config", self._plan["configuration"])
        pause_s = self._plan["pause_s"]
        if self._plan["outage_s"]:
            reactor.callLater(pause_s - self._plan["outage_s"], self._set_cut, True)
            reactor.callLater(pause_s, self._set_cut, False)
        if self._plan["changes"]:
            reactor.callLater(pause_s, self._write_next)

    def _set_cut(self, is_cut: bool) -> None:
        for link in self._links:
            link.set_cut(is_cut)

    def _write_next(self) -> None:
        self._version += 1
        changes = self._version - self._plan["configuration"]["version"]
        growth = self._plan["growth"] * changes
        configuration = self._plan["configuration"] | {"version": self._version}
        routes = configuration["routes"]
        rows = [*routes["rows"], *self._plan["further_routes"][: 1 + growth]]
        configuration["routes"] = routes | {"rows": rows}
        self._store.write("op/config", configuration)
        self._journal.write_version(self._version, len(rows))
        if changes < self._plan["changes"]:
            # A storm of changes ends after some of them, and the next one begins.
            is_end = self._plan["storm"] and changes % self._plan["storm"] == 0
            rest_s = self._plan["rest_s"] if is_end else 0.0
            reactor.callLater(self._plan["gap_s"] + rest_s, self._write_next)


class Journal:
    """Lines of what the upstreams did, written at once."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115

    def write(self, event: str, instance: str, exchange: Exchange) -> None:
        """Add one line."""
        attempt = exchange.headers.get(ATTEMPT_ID, "")
        self._write({"event": event, "upstream": instance, "attempt": attempt})

    def write_version(self, version: int, routes: int) -> None:
        """Add the line of a version that the store has acknowledged."""
        self._write({"event": "version", "version": version, "routes": routes})

    def _write(self, fields: dict[str, Any]) -> None:
        line = {"at": round(time.monotonic(), 3), **fields}
        self._file.write(msgspec.json.encode(line) + b"\n")


def body_of(size: int) -> bytes:
    """Return a body whose every byte tells a missing or repeated part."""
    line = b"".join(b"%07d\n" % number for number in range(size // 8 + 1))
    return line[:size]


def serve(
    settings_path: str,
    store_type: type[PlatformStore] = PlatformStore,
    upstream_type: type[Upstream] = Upstream,
) -> None:
    """Serve the store and the upstreams that a JSON file describes."""
    with open(settings_path, "rb") as file:
        settings = msgspec.json.decode(file.read())
    store = store_type(settings["store"])
    journal = Journal(settings["journal"])
    upstreams = [
        upstream_type(instance, address, journal, store)
        for instance, address in settings["upstreams"].items()
    ]
    for key, value in settings["items"].items():
        store.write(key, value)
    links = [
        Link(listen, settings["store"], settings["link_mbit_per_s"])
        for listen in settings["links"]
    ]
    operator = Operator(store, links, journal, settings["operator"])
    operator.start()
    for server in [store.server, *(upstream.server for upstream in upstreams), *links]:
        server.open()
    reactor.run()


if __name__ == "__main__":
    serve(sys.argv[1])
