"""Case: a planned stop cuts the answer to the first of some pipelined requests.

The gateway closes the connection behind the answer while later requests lie unread in
its socket, so that the kernel resets the connection and drops what is still unsent.
"""

from __future__ import annotations

import asyncio
import signal

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import Deployment
from review_standins.upstream import Upstream, signature, total_runs

CLIENTS = 12
WORK_S = 0.3
DEADLINE_MS = 3000
# The longest answer of the sites.
BODY_BYTES = 30_000
# Links have small windows.
RECEIVE_WINDOW_BYTES = 4096
PIPELINE_GAP_S = 0.05
STOP_DELAY_S = 0.1
ROUTES = [[HOST, "/catalogue/", "scriptorium", "safe", 2, 5000, 1000, 2]]


def answer_with_catalogue(upstream: Upstream, exchange: Exchange) -> None:
    """Answer a run with a page of the catalogue."""
    fields = [*upstream.answer_fields(exchange), signature(exchange)]
    exchange.answer(200, b"x" * BODY_BYTES, fields)


async def browse(deployment: Deployment, number: int) -> bool:
    """Send three requests behind each other; return whether the first is answered."""
    client = await Client.connect(
        deployment.gateways[0], window_bytes=RECEIVE_WINDOW_BYTES
    )
    attempts = [new_attempt() for _ in range(3)]
    for index, attempt in enumerate(attempts):
        client.send("GET", f"/catalogue/{number}-{index}", attempt, DEADLINE_MS)
        await asyncio.sleep(PIPELINE_GAP_S)
    answer = await client.receive(DEADLINE_MS / 1000)
    client.close()
    runs = total_runs(deployment.upstreams)[attempts[0]]
    deployment.record.write(
        f"client {number}: {attempts[0]} ran {runs} times, got {answer.status} with "
        f"{len(answer.body)} of {BODY_BYTES} bytes, complete: {answer.is_complete}"
    )
    return answer.is_complete or not runs


async def play(deployment: Deployment) -> bool:
    """Stop a gateway while clients wait for the first of their requests."""
    for upstream in deployment.add_upstreams("scriptorium", 6):
        upstream.answer_run = answer_with_catalogue
        upstream.latency_s = WORK_S
    deployment.configure(ROUTES)
    await deployment.start(2)
    clients = [
        asyncio.ensure_future(browse(deployment, number)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(2 * PIPELINE_GAP_S + STOP_DELAY_S)
    if has_trouble():
        deployment.record.write(f"SIGTERM to {deployment.gateways[0].name}")
        deployment.gateways[0].signal(signal.SIGTERM)
    results = await asyncio.gather(*clients)
    lost = results.count(False)
    deployment.record.write(f"{lost} of {CLIENTS} answers were cut by the stop")
    return lost == 0


if __name__ == "__main__":
    run_case(play)
