"""Case: an upstream has run an order and answers with a long 503.

The answer does not state that the order has not run, so that no gateway may pass on a
status that says so.
"""

from __future__ import annotations

import asyncio

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import Deployment
from review_standins.upstream import Upstream, answer_ok, signature, total_runs

ORDERS = 200
PAUSE_S = 0.04
UPSTREAMS = 20
# Three upstreams of twenty fail two of five requests; their health checks are good.
FAILING_UPSTREAMS = 3
FAILING_RUNS_OF_FIVE = 2
DEADLINE_MS = 2000
BODY_BYTES = 300_000
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
ROUTES = [[HOST, "/orders/", "commissions", "unsafe", 2, 3000, 1000, 1]]


def answer_with_long_503(upstream: Upstream, exchange: Exchange) -> None:
    """Answer a run with a 503 that states nothing about the run."""
    fields = [*upstream.answer_fields(exchange), signature(exchange)]
    exchange.answer(503, b"x" * BODY_BYTES, fields)


def answer_some_with_long_503(upstream: Upstream, exchange: Exchange) -> None:
    """Fail two of five runs."""
    if len(upstream.runs_by_attempt) % 5 < FAILING_RUNS_OF_FIVE:
        answer_with_long_503(upstream, exchange)
    else:
        answer_ok(upstream, exchange)


async def play(deployment: Deployment) -> bool:
    """Send orders and compare what clients were told with what has run."""
    upstreams = deployment.add_upstreams("commissions", UPSTREAMS)
    deployment.configure(ROUTES)
    await deployment.start(2)
    if has_trouble():
        for upstream in upstreams[:FAILING_UPSTREAMS]:
            upstream.answer_run = answer_some_with_long_503
    false_promises = 0
    for number in range(ORDERS):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        attempt = new_attempt()
        client = await Client.connect(gateway)
        client.send("POST", f"/orders/{number}", attempt, DEADLINE_MS, b"order")
        answer = await client.receive(DEADLINE_MS / 1000)
        client.close()
        runs = total_runs(upstreams)[attempt]
        is_false = answer.is_complete and answer.status in PROMISING_STATUSES and runs
        false_promises += bool(is_false)
        deployment.record.write(
            f"client sent {attempt} to {gateway.name}, got {answer.status} with "
            f"{len(answer.body)} bytes, complete: {answer.is_complete}; runs: {runs}"
        )
        await asyncio.sleep(PAUSE_S)
    deployment.record.write(
        f"{false_promises} of {ORDERS} orders were answered as not run and had run"
    )
    return false_promises == 0


if __name__ == "__main__":
    run_case(play)
