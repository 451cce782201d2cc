"""Stand-in for the platform whose store answers in pages, and its operator.

A page ends before the item with which its values would have more than ``PAGE_BYTES``.
While the operator is waiting, it changes ``CHANGES`` after the next read that begins.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange
from review_standins_2.site import PlatformStore, serve

PAGE_BYTES, PAGE_ITEMS = 1_000_000, 500


class PagedStore(PlatformStore):
    """A store that takes orders of the case at ``/case/``."""

    def __init__(self, listen: str) -> None:
        super().__init__(listen)
        self._planned: list[dict[str, Any]] = []
        self._done: list[dict[str, Any]] = []

    def _answer(self, exchange: Exchange) -> None:
        if exchange.path == "/case/plan":
            self._planned = exchange.json()
            exchange.answer_json({})
        elif exchange.path == "/case/write":
            self._write_all([exchange.json()])
            exchange.answer_json({})
        elif exchange.path == "/case/done":
            exchange.answer_json(self._done)
        elif exchange.path == "/-/kv-range":
            self._answer_page(exchange)
        else:
            super()._answer(exchange)

    def _write_all(self, changes: list[dict[str, Any]]) -> None:
        for change in changes:
            reactor.callLater(change["after_s"], self._write_one, change)

    def _write_one(self, change: dict[str, Any]) -> None:
        self.write(change["key"], change["value"])
        self._done.append({"at": time.monotonic(), "key": change["key"]})

    def _answer_page(self, exchange: Exchange) -> None:
        prefix, after = exchange.query("prefix"), exchange.query("after")
        keys = sorted(
            key for key in self.items_by_key if key.startswith(prefix) and key > after
        )
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            item = self.items_by_key[key]
            size += len(item["value"])
            if items and (size > PAGE_BYTES or len(items) == PAGE_ITEMS):
                break
            items.append(item)
        has_more = len(items) < len(keys)
        self._answer_json(
            exchange, {"items": items, "hasMore": has_more, "asOf": self.revision}
        )
        if has_more and not after:
            planned, self._planned = self._planned, []
            self._write_all(planned)


if __name__ == "__main__":
    serve(sys.argv[1], PagedStore)
