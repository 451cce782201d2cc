"""Case: after a change of the configuration, long answers are cut off half way.

The version lowers the latency objective of a route. Deadline and timeout stay, and all
answers end long before them.
"""

from __future__ import annotations

import asyncio
import time

from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import CONFIGURATION_S, Deployment
from review_standins.upstream import Upstream, signature

UPSTREAMS = 14
PIECES = 20
PIECE_BYTES = 32_768
# Times in which the upstreams make and send their answers, in turn.
SHORT_S = 0.4
LONG_S = 0.9
REQUEST_PERIOD_S = 0.1
BEFORE_S = 10.0
DEADLINE_MS = 4000
# Requests that have used seven tenths of their time do not count.
COUNTED_SHARE = 0.7
# The rule counts until one second after ``configurationMs``.
WINDOW_S = CONFIGURATION_S + 1.0
# Beside a configuration it counts cuts that are over three times as frequent.
FREQUENCY_FACTOR = 3


def route(target_ms: int) -> list:
    """Return the only route, with its latency objective."""
    return [HOST, "/catalogue/", "scriptorium", "safe", 2, DEADLINE_MS, target_ms, 2]


def send_long_answer(upstream: Upstream, exchange: Exchange) -> None:
    """Answer a run with a long body, a piece at a time."""
    fields = [
        *upstream.answer_fields(exchange),
        signature(exchange),
        ("Content-Length", str(PIECES * PIECE_BYTES)),
    ]
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
    exchange.connection.send("\r\n".join([*lines, "", ""]).encode())
    upstream.running += 1
    is_long = exchange.target.endswith("-long")
    period_s = (LONG_S if is_long else SHORT_S) / PIECES
    send_piece(upstream, exchange, PIECES, period_s)


def send_piece(
    upstream: Upstream, exchange: Exchange, left: int, period_s: float
) -> None:
    """Send the next piece of the body, or end the answer."""
    if exchange.ended or not left:
        upstream.running -= 1
        if not exchange.ended:
            exchange.ended = True
            exchange.connection.exchange_ended(False)
        return
    exchange.connection.send(b"x" * PIECE_BYTES)
    reactor.callLater(period_s, send_piece, upstream, exchange, left - 1, period_s)


async def read_page(deployment: Deployment, number: int) -> bool:
    """Ask for a page; return whether its answer was cut well before the deadline."""
    gateway = deployment.gateways[number % len(deployment.gateways)]
    attempt = new_attempt()
    length = "long" if number // 2 % 2 else "short"
    client = await Client.connect(gateway)
    sent_at = time.monotonic()
    client.send("GET", f"/catalogue/{number}-{length}", attempt, DEADLINE_MS)
    answer = await client.receive(DEADLINE_MS / 1000)
    client.close()
    took_s = time.monotonic() - sent_at
    deployment.record.write(
        f"{attempt} ({length}) at {gateway.name}: {answer.status}, "
        f"{len(answer.body)} bytes, complete: {answer.is_complete}, {took_s:.2f} s"
    )
    is_cut = not answer.is_complete and answer.status == 200
    return is_cut and took_s < COUNTED_SHARE * DEADLINE_MS / 1000


async def play_for(deployment: Deployment, seconds: float) -> tuple[int, int]:
    """Send requests for some time; return how many were sent and how many cut."""
    pages = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pages.append(asyncio.ensure_future(read_page(deployment, len(pages))))
        await asyncio.sleep(REQUEST_PERIOD_S)
    results = await asyncio.gather(*pages)
    return len(results), results.count(True)


async def play(deployment: Deployment) -> bool:
    """Compare the cuts before the change with those beside it."""
    for upstream in deployment.add_upstreams("scriptorium", UPSTREAMS):
        upstream.answer_run = send_long_answer
    deployment.configure([route(3000)])
    await deployment.start(2)
    sent_before, cut_before = await play_for(deployment, BEFORE_S)
    if has_trouble():
        deployment.configure([route(800)])
    sent, cut = await play_for(deployment, WINDOW_S)
    deployment.record.write(
        f"before: {cut_before} of {sent_before} answers cut; beside the change: {cut} "
        f"of {sent}"
    )
    is_more_frequent = cut / sent > FREQUENCY_FACTOR * cut_before / sent_before
    return not (cut and is_more_frequent)


if __name__ == "__main__":
    run_case(play)
