"""Stand-in for an upstream of the operators' platform.

It can run as a separate process that appends each run to a file, so that the runs of
a killed process are known. With a request limit, a file beside it gets the time of each
arrival, health checks included, one to a line.

Example:
    ``python -m banyanshelf_standins.platform_upstream --instance i-1
    --listen 127.0.0.2:80 --journal runs.jsonl``

"""

from __future__ import annotations

import random
import time
from collections import defaultdict
from contextlib import ExitStack
from typing import IO

import fire
import msgspec
from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange, HttpServer

ATTEMPT_ID_HEADER = "x-banyanshelf-attempt-id"
EXPECTED_INSTANCE_HEADER = "x-banyanshelf-expected-instance"
TENANT_HEADER = "x-banyanshelf-tenant"
CREDENTIAL_HEADER = "x-banyanshelf-credential"
SIGNATURE_HEADER = ("X-Banyanshelf-Response-Signature", "stand-in")
NOT_EXECUTED_HEADER = ("X-Banyanshelf-Not-Executed", "1")
SLOT_COUNT = 3
MAX_QUEUED_REQUESTS = 6


class Run(msgspec.Struct):
    """One started run; ``at`` is the host's monotonic time in seconds.

    ``tenant`` and ``credential`` are the values of these request headers.
    """

    attempt: str
    target: str
    at: float
    tenant: str = ""
    credential: str = ""


class PlatformUpstream:
    """One upstream; it counts the runs of each attempt id.

    A request waits for one of three slots; if the queue is full, it is refused as
    not run.
    ``failing_share`` of the runs end with 500.
    """

    def __init__(
        self, instance_id: str, listen: str, journal: IO[bytes] | None = None
    ) -> None:
        self.instance_id = instance_id
        self.latency_s = 0.01
        self.failing_share = 0.0
        # Requests per second that answers state, if any; it is not enforced.
        self.request_limit: float | None = None
        self.arrivals: IO[bytes] | None = None
        self.running = 0
        self.waiting: list[Exchange] = []
        self.runs_by_attempt: defaultdict[str, int] = defaultdict(int)
        self.server = HttpServer(listen, self.handle)
        self._journal = journal
        self._rng = random.Random(instance_id)

    def handle(self, exchange: Exchange) -> None:
        """Answer a health check, or run, queue or refuse a request."""
        if self.arrivals is not None:
            self.arrivals.write(b"%.6f\n" % time.monotonic())
        if exchange.path == "/health":
            exchange.answer(200, headers=self._headers(exchange))
        elif exchange.headers.get(EXPECTED_INSTANCE_HEADER) != self.instance_id:
            exchange.answer(421, headers=[NOT_EXECUTED_HEADER])
        elif self.running < SLOT_COUNT:
            self._run(exchange)
        elif len(self.waiting) < MAX_QUEUED_REQUESTS:
            self.waiting.append(exchange)
        else:
            exchange.answer(
                503, headers=[*self._headers(exchange), NOT_EXECUTED_HEADER]
            )

    def _run(self, exchange: Exchange) -> None:
        self.running += 1
        attempt = exchange.headers.get(ATTEMPT_ID_HEADER, "")
        self.runs_by_attempt[attempt] += 1
        if self._journal is not None:
            run = Run(
                attempt,
                exchange.target,
                time.monotonic(),
                exchange.headers.get(TENANT_HEADER, ""),
                exchange.headers.get(CREDENTIAL_HEADER, ""),
            )
            self._journal.write(msgspec.json.encode(run) + b"\n")
        reactor.callLater(self.latency_s, self._finish, exchange)

    def _finish(self, exchange: Exchange) -> None:
        headers = [*self._headers(exchange), SIGNATURE_HEADER]
        self.running -= 1
        failed = self._rng.random() < self.failing_share
        body = f"{self.instance_id} {exchange.headers.get(ATTEMPT_ID_HEADER, '')}\n"
        exchange.answer(500 if failed else 200, body.encode(), headers)
        while self.waiting and self.running < SLOT_COUNT:
            next_exchange = self.waiting.pop(0)
            if not next_exchange.ended:
                self._run(next_exchange)

    def _headers(self, exchange: Exchange) -> list[tuple[str, str]]:
        load = f"{self.running},{len(self.waiting)},{SLOT_COUNT},100"
        headers = [
            ("X-Banyanshelf-Attempt-Id", exchange.headers.get(ATTEMPT_ID_HEADER, "")),
            ("X-Banyanshelf-Instance-Id", self.instance_id),
            ("X-Banyanshelf-Instance-Load", load),
        ]
        if self.request_limit is not None:
            headers.append(("Server-Limit", f"{self.request_limit:g}"))
        return headers


def serve(
    instance: str,
    listen: str,
    journal: str,
    latency_s: float = 0.01,
    failing_share: float = 0.0,
    request_limit: float | None = None,
) -> None:
    """Run one upstream until the process is asked to terminate."""
    # Unbuffered, so that the files are complete when the process is killed.
    with ExitStack() as stack:
        file = stack.enter_context(open(journal, "ab", buffering=0))
        upstream = PlatformUpstream(instance, listen, file)
        if request_limit is not None:
            upstream.request_limit = request_limit
            upstream.arrivals = stack.enter_context(
                open(f"{journal}.arrivals", "ab", buffering=0)
            )
        upstream.latency_s = latency_s
        upstream.failing_share = failing_share
        upstream.server.open()
        reactor.run()


if __name__ == "__main__":
    fire.Fire(serve)
