"""Stand-in for the operators' platform: its metadata store and some upstreams.

One process serves the read API of the store, the upstreams and a control listener for
tests. It implements only what a gateway uses.

Example:
    ``python -m banyanshelf_standins.platform_site --store 127.0.0.1:2400
    --control 127.0.0.1:2401 --upstreams i-1=127.0.0.2:80``

"""

from __future__ import annotations

import base64
from typing import Any, NamedTuple

import fire
import msgspec
from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange, HttpServer
from banyanshelf_standins.platform_upstream import PlatformUpstream


class Watch(NamedTuple):
    """A long poll that waits for a change after a revision."""

    exchange: Exchange
    after: int
    timer: Any


class StoreCopy(NamedTuple):
    """A former state of the store."""

    revision: int
    items_by_key: dict[str, dict[str, Any]]


class MetadataStore:
    """Items with one revision counter, and the pending watches.

    ``era`` counts the restores from a copy, beginning at 1; all answers name it.
    """

    def __init__(self, listen: str) -> None:
        self.era = 1
        self.copy = StoreCopy(0, {})
        self.revision = 0
        self.is_down = False
        # Delay added to each answer.
        self.delay_s = 0.0
        self.items_by_key: dict[str, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self._watches: list[Watch] = []
        self.server = HttpServer(listen, self.handle)

    def write(self, key: str, value: Any) -> None:
        """Write an item, or delete it if ``value`` is None."""
        self.revision += 1
        item: dict[str, Any] = {"key": key, "revision": self.revision}
        if value is None:
            self.items_by_key.pop(key, None)
            item["deleted"] = True
        else:
            content = msgspec.json.encode(value)
            item["value"] = base64.b64encode(content).decode()
            self.items_by_key[key] = item
        self.changes.append(item)
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            self._answer_changes(watch.exchange, watch.after)

    def save_copy(self) -> None:
        """Keep a copy of the current state for :meth:`restore`."""
        self.copy = StoreCopy(self.revision, dict(self.items_by_key))

    def restore(self) -> None:
        """Return to the copy; revisions are given out again from there on."""
        self.era += 1
        self.revision = self.copy.revision
        self.items_by_key = dict(self.copy.items_by_key)
        self.drop_history()
        self._abort_watches()

    def handle(self, exchange: Exchange) -> None:
        """Answer a request, or abort its connection while the store is down."""
        if self.is_down:
            exchange.drop()
        elif self.delay_s:
            reactor.callLater(self.delay_s, self._answer, exchange)
        else:
            self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        if exchange.path == "/-/kv-range":
            prefix = exchange.query("prefix", "")
            items = [
                item
                for key, item in self.items_by_key.items()
                if key.startswith(prefix)
            ]
            self._answer_json(
                exchange, {"items": items, "hasMore": False, "asOf": self.revision}
            )
        elif exchange.path == "/-/kv-watch":
            self._watch(exchange)
        else:
            exchange.answer(404)

    def set_down(self, is_down: bool) -> None:
        """Abort all pending watches; requests are aborted while the store is down."""
        self.is_down = is_down
        self._abort_watches()

    def _abort_watches(self) -> None:
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            watch.exchange.drop()

    def drop_history(self) -> None:
        """Discard all changes so far; watches from an earlier revision get 410."""
        self.compacted_revision = self.revision
        self.changes.clear()

    def _watch(self, exchange: Exchange) -> None:
        after = int(exchange.query("after", "0"))
        if not self.compacted_revision <= after <= self.revision:
            exchange.answer(410, headers=self._headers())
            return
        if self.revision > after:
            self._answer_changes(exchange, after)
            return
        wait_s = int(exchange.query("waitMs", "0")) / 1000
        timer = reactor.callLater(wait_s, self._answer_timed_out, exchange, after)
        self._watches.append(Watch(exchange, after, timer))

    def _answer_timed_out(self, exchange: Exchange, after: int) -> None:
        self._watches = [each for each in self._watches if each.exchange != exchange]
        self._answer_changes(exchange, after)

    def _answer_changes(self, exchange: Exchange, after: int) -> None:
        events = [each for each in self.changes if each["revision"] > after]
        self._answer_json(exchange, {"events": events, "asOf": self.revision})

    def _answer_json(self, exchange: Exchange, value: Any) -> None:
        exchange.answer_json(value, headers=self._headers())

    def _headers(self) -> list[tuple[str, str]]:
        return [("Store-Era", str(self.era))]


class PlatformSite:
    """The store, the upstreams and the tests' control listener."""

    def __init__(self, store: str, control: str, upstreams: dict[str, str]) -> None:
        self.store = MetadataStore(store)
        self.upstreams_by_id = {
            name: PlatformUpstream(name, listen) for name, listen in upstreams.items()
        }
        self.control = HttpServer(control, self.handle_control)

    def run(self) -> None:
        """Serve until the process is asked to terminate."""
        self.store.server.open()
        for upstream in self.upstreams_by_id.values():
            upstream.server.open()
        self.control.open()
        reactor.run()

    def handle_control(self, exchange: Exchange) -> None:
        """Write items, change behaviour or return the run counts."""
        match exchange.method, exchange.path:
            case "POST", "/items":
                for key, value in exchange.json().items():
                    self.store.write(key, value)
                exchange.answer_json({"revision": self.store.revision})
            case "POST", "/behaviour":
                wanted = exchange.json()
                self.store.set_down(wanted.get("store_down", self.store.is_down))
                self.store.delay_s = wanted.get("store_delay_s", self.store.delay_s)
                if wanted.get("drops_history", False):
                    self.store.drop_history()
                if wanted.get("saves_copy", False):
                    self.store.save_copy()
                if wanted.get("restores_copy", False):
                    self.store.restore()
                for upstream in self.upstreams_by_id.values():
                    upstream.latency_s = wanted.get("latency_s", upstream.latency_s)
                exchange.answer_json({})
            case "GET", "/runs":
                exchange.answer_json(
                    {
                        name: dict(upstream.runs_by_attempt)
                        for name, upstream in self.upstreams_by_id.items()
                    }
                )
            case _:
                exchange.answer(404)


def serve(store: str, control: str, upstreams: str = "") -> None:
    """Run the stand-in; ``upstreams`` is a list ``ID=IP:PORT,ID=IP:PORT``."""
    listen_by_id = dict(each.split("=", 1) for each in upstreams.split(",") if each)
    PlatformSite(store, control, listen_by_id).run()


if __name__ == "__main__":
    fire.Fire(serve)
