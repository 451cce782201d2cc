"""Case: after a restore of the store, an upstream that leaves is in use again.

The upstream has started again under its id since the copy was made, and has said since
that it leaves. The copy has its entry of before, so that the gateways take what it has
said for that of another start.
"""

from __future__ import annotations

import asyncio
import time

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import Deployment
from review_standins.gateway import Gateway
from review_standins.upstream import Upstream, signature

UPSTREAMS = 4
DRAIN_S = 2.0
# The store comes back from a copy of this age, after being away for a moment.
COPY_AGE_S = 8.0
AWAY_S = 2.0
# Upstreams write their entries again within about this time.
REWRITE_S = 1.5
REQUESTS_PER_S = 80
WORK_S = 0.08
DEADLINE_MS = 1000
LEAVING = ("Server-Leaving", "1")
ROUTES = [[HOST, "/orders/", "commissions", "unsafe", 2, 1000, 800, 1]]


def leave(upstream: Upstream) -> None:
    """Let an upstream say in all its answers that it leaves."""

    def handle(exchange: Exchange) -> None:
        if exchange.path == "/health":
            fields = [*upstream.answer_fields(exchange), LEAVING]
            exchange.answer(503, headers=fields)
        else:
            upstream.serve(exchange)

    def answer(_upstream: Upstream, exchange: Exchange) -> None:
        fields = [*upstream.answer_fields(exchange), signature(exchange), LEAVING]
        exchange.answer(200, b"done\n", fields)

    upstream.on_request = handle
    upstream.answer_run = answer


class Clients:
    """Sends orders, and knows which gateways have passed on that an upstream leaves."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._told_at_by_gateway: dict[str, float] = {}
        self.late_attempts: list[str] = []

    async def send(self, gateway: Gateway) -> None:
        """Send one order."""
        attempt = new_attempt()
        told_at = self._told_at_by_gateway.get(gateway.name)
        if told_at is not None and time.monotonic() > told_at + DRAIN_S:
            self.late_attempts.append(attempt)
        client = await Client.connect(gateway)
        client.send("POST", f"/orders/{attempt}", attempt, DEADLINE_MS, b"order")
        answer = await client.receive(DEADLINE_MS / 1000)
        client.close()
        if "server-leaving" in answer.fields:
            if gateway.name not in self._told_at_by_gateway:
                self._deployment.record.write(
                    f"{gateway.name} has passed on that the upstream leaves"
                )
            self._told_at_by_gateway.setdefault(gateway.name, time.monotonic())

    async def run(self) -> None:
        """Send orders at an even rate until cancelled."""
        number = 0
        tasks = set()
        while True:
            number += 1
            gateway = self._deployment.gateways[number % 2]
            task = asyncio.ensure_future(self.send(gateway))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def play(deployment: Deployment) -> bool:
    """Start an upstream again, let it leave, and restore the store."""
    record = deployment.record
    upstreams = deployment.add_upstreams("commissions", UPSTREAMS)
    leaving = upstreams[0]
    for upstream in upstreams:
        upstream.latency_s = WORK_S
    key = f"servers/{leaving.instance_id}"
    deployment.configure(ROUTES)
    await deployment.start(2)
    clients = Clients(deployment)
    sending = asyncio.ensure_future(clients.run())
    await asyncio.sleep(1.0)
    deployment.store.save_copy()
    copied_at = time.monotonic()
    leaving.server.close()
    leaving.server.abort_connections()
    record.write(f"{leaving.instance_id} crashes")
    await asyncio.sleep(1.0)
    leaving.server.open()
    entry = leaving.entry()
    deployment.store.write(key, entry)
    record.write(f"{leaving.instance_id} has started again")
    await asyncio.sleep(2.0)
    leave(leaving)
    record.write(f"{leaving.instance_id} leaves")
    await asyncio.sleep(copied_at + COPY_AGE_S - AWAY_S - time.monotonic())
    if has_trouble():
        deployment.store.set_down(True)
        record.write("the store is away")
        await asyncio.sleep(AWAY_S)
        deployment.store.restore()
        deployment.store.set_down(False)
        record.write("the store is back from a copy")
    await asyncio.sleep(REWRITE_S)
    deployment.store.write(key, entry)
    record.write(f"{leaving.instance_id} has written its entry again")
    await asyncio.sleep(1.0)
    sending.cancel()
    late = sum(leaving.runs_by_attempt[each] for each in clients.late_attempts)
    record.write(
        f"{late} of {len(clients.late_attempts)} orders that were sent over "
        f"{DRAIN_S:g} s after their gateway had passed on that the upstream leaves "
        "were run by it"
    )
    return late == 0


if __name__ == "__main__":
    run_case(play)
