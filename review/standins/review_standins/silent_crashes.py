"""Case: a request takes down each upstream that runs it, and comes again.

The upstreams go silent with the crash, and are back after some seconds. With
``CRASH=reset`` in the environment they reset their connections instead.
"""

from __future__ import annotations

import asyncio
import os
import time

from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import STABLE_WINDOW_S, Deployment
from review_standins.record import Record
from review_standins.upstream import Upstream, answer_ok

UPSTREAMS = 13
DOWN_S = 4.5
PLAY_S = 20.0
PERIOD_S = 0.8
DEADLINE_MS = 600
# The rule bears three retries later than the stable window after the third crash.
CRASHES_BEFORE = 3
ALLOWED_RETRIES = 3
FATAL_PATH = "/orders/4711"
ROUTES = [[HOST, "/orders/", "commissions", "safe", 2, 600, 250, 1]]


class FatalRequests:
    """Lets the fatal request crash the upstreams that begin to run it."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record: Record = deployment.record
        self._down: set[str] = set()
        self._resets = os.environ.get("CRASH") == "reset"
        self.crashed_at: list[float] = []
        self.run_at_by_attempt: dict[str, float] = {}

    def watch(self, upstream: Upstream) -> None:
        """Handle all requests of an upstream."""
        upstream.answer_run = answer_ok
        upstream.on_request = lambda exchange: self._handle(upstream, exchange)

    def _handle(self, upstream: Upstream, exchange: Exchange) -> None:
        if upstream.instance_id in self._down:
            if self._resets:
                exchange.drop()
            return
        is_fatal = exchange.path == FATAL_PATH and has_trouble()
        if not is_fatal:
            upstream.serve(exchange)
            return
        attempt = upstream.attempt_of(exchange)
        self._record.write(f"{attempt} crashes {upstream.instance_id}")
        self.crashed_at.append(time.monotonic())
        self.run_at_by_attempt.setdefault(attempt, time.monotonic())
        self._down.add(upstream.instance_id)
        if self._resets:
            upstream.server.close()
            upstream.server.abort_connections()
        reactor.callLater(DOWN_S, self._start_again, upstream)

    def _start_again(self, upstream: Upstream) -> None:
        upstream.server.abort_connections()
        upstream.server.open()
        upstream.running = 0
        upstream.waiting.clear()
        self._down.discard(upstream.instance_id)
        entry = upstream.entry()
        self._deployment.store.write(f"servers/{upstream.instance_id}", entry)
        self._record.write(f"{upstream.instance_id} is back")


async def send_one(deployment: Deployment, number: int, path: str) -> tuple[str, float]:
    """Send one request; return its attempt id and when it was sent."""
    gateway = deployment.gateways[number % len(deployment.gateways)]
    attempt = new_attempt()
    sent_at = time.monotonic()
    client = await Client.connect(gateway)
    client.send("GET", path, attempt, DEADLINE_MS)
    answer = await client.receive(DEADLINE_MS / 1000)
    client.close()
    if path == FATAL_PATH:
        deployment.record.write(f"{attempt} at {gateway.name}: {answer.status}")
    return attempt, sent_at


async def send_others(deployment: Deployment, until: float) -> None:
    """Send harmless requests."""
    number = 0
    tasks = []
    while time.monotonic() < until:
        number += 1
        path = f"/orders/{number}-status"
        tasks.append(asyncio.ensure_future(send_one(deployment, number, path)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def play(deployment: Deployment) -> bool:
    """Send the fatal request again and again, beside harmless ones."""
    fatal = FatalRequests(deployment)
    for upstream in deployment.add_upstreams("commissions", UPSTREAMS):
        fatal.watch(upstream)
    deployment.configure(ROUTES)
    await deployment.start(3)
    until = time.monotonic() + PLAY_S
    others = asyncio.ensure_future(send_others(deployment, until))
    sent_at_by_attempt: dict[str, float] = {}
    number = 0
    while time.monotonic() < until:
        number += 1
        attempt, sent_at = await send_one(deployment, number, FATAL_PATH)
        sent_at_by_attempt[attempt] = sent_at
        await asyncio.sleep(max(0.0, sent_at + PERIOD_S - time.monotonic()))
    await others
    late = 0
    if len(fatal.crashed_at) >= CRASHES_BEFORE:
        counts_from = fatal.crashed_at[CRASHES_BEFORE - 1] + STABLE_WINDOW_S
        late = sum(
            sent_at_by_attempt.get(attempt, 0.0) > counts_from
            for attempt in fatal.run_at_by_attempt
        )
    deployment.record.write(
        f"{len(fatal.crashed_at)} crashes; {late} retries reached upstreams later than "
        f"{STABLE_WINDOW_S:g} s after the third, {ALLOWED_RETRIES} allowed"
    )
    return late <= ALLOWED_RETRIES


if __name__ == "__main__":
    run_case(play)
