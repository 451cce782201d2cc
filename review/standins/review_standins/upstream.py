"""Stand-in of an upstream whose behaviour a case can replace."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from banyanshelf_standins.http_server import Exchange
from banyanshelf_standins.platform_upstream import (
    ATTEMPT_ID_HEADER,
    SLOT_COUNT,
    PlatformUpstream,
)
from review_standins.record import Record

ZONE = "huye"


class Upstream(PlatformUpstream):
    """The project's stand-in of an upstream, with a record of its runs.

    ``on_request`` handles each request, and ``answer_run`` answers a finished run.
    """

    def __init__(
        self, instance_id: str, listen: str, service: str, record: Record
    ) -> None:
        super().__init__(instance_id, listen)
        # Cases replace these.
        self.on_request: Callable[[Exchange], None] = self.serve
        self.answer_run: Callable[[Upstream, Exchange], None] = answer_ok
        self.service = service
        self.listen = listen
        self._record = record

    def attempt_of(self, exchange: Exchange) -> str:
        """Return the id of the client's attempt."""
        return exchange.headers.get(ATTEMPT_ID_HEADER, "")

    def answer_fields(self, exchange: Exchange) -> list[tuple[str, str]]:
        """Return the fields of all answers: attempt id, instance and load."""
        return self._headers(exchange)

    def entry(self) -> dict[str, Any]:
        """Return the upstream's entry in the store."""
        return {
            "address": self.listen,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": ZONE,
                "slots": SLOT_COUNT,
            },
            "status": {"state": "ready", "sequence": 1, "warmupLeftMs": 0},
            "born": int(time.time() * 1000),
        }

    def handle(self, exchange: Exchange) -> None:
        """Pass a request to ``on_request``."""
        self.on_request(exchange)

    def serve(self, exchange: Exchange) -> None:
        """Handle a request as a sound upstream does."""
        super().handle(exchange)

    def _run(self, exchange: Exchange) -> None:
        self._record.write(
            f"upstream {self.instance_id} of {self.service} runs "
            f"{self.attempt_of(exchange)}: {exchange.method} {exchange.target}, "
            f"body of {len(exchange.body)} bytes"
        )
        super()._run(exchange)

    def _finish(self, exchange: Exchange) -> None:
        self.running -= 1
        if not exchange.ended:
            self.answer_run(self, exchange)
        while self.waiting and self.running < SLOT_COUNT:
            following = self.waiting.pop(0)
            if not following.ended:
                self._run(following)


def answer_ok(upstream: Upstream, exchange: Exchange) -> None:
    """Answer a run with 200, the signature and a short body."""
    fields = [*upstream.answer_fields(exchange), signature(exchange)]
    body = f"{upstream.instance_id} {upstream.attempt_of(exchange)}\n".encode()
    exchange.answer(200, body, fields)


def signature(exchange: Exchange) -> tuple[str, str]:
    """Return the signature field of an answer."""
    attempt = exchange.headers.get(ATTEMPT_ID_HEADER, "")
    return "X-Banyanshelf-Response-Signature", f"signed.{attempt}"


def total_runs(upstreams: list[Upstream]) -> Counter[str]:
    """Return how often each attempt has run."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs_by_attempt)
    return runs
