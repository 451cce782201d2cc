"""Case: a second answer is written into a long one that is being passed on.

While an upstream sends a long answer, its health check fails, though it is well. The
gateway sends the request to another upstream as well, and begins its answer in the body
of the first.
"""

from __future__ import annotations

import asyncio

from twisted.internet import reactor

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import Deployment
from review_standins.upstream import Upstream

UPSTREAMS = 14
# 15 in 100 upstreams say that they are ill and are well.
LYING_UPSTREAMS = 2
LIES = 3
LIE_S = 1.0
# By then, the upstreams are in use again.
TRUTH_S = 3.5
# A long answer is made and sent in this time.
PIECES = 40
PIECE_BYTES = 16_384
PIECE_PERIOD_S = 0.01
REQUESTS = 650
REQUEST_PERIOD_S = 0.02
DEADLINE_MS = 4000
ROUTES = [[HOST, "/catalogue/", "scriptorium", "safe", 2, 4000, 3000, 2]]


def byte_of(instance_id: str) -> bytes:
    """Return the byte of which the answers of an upstream consist."""
    return bytes([ord("a") + int(instance_id.removeprefix("i-"), 16)])


def send_long_answer(upstream: Upstream, exchange: Exchange) -> None:
    """Answer a run with a long body, a piece at a time."""
    fields = [
        *upstream.answer_fields(exchange),
        ("X-Banyanshelf-Response-Signature", upstream.instance_id),
        ("Content-Length", str(PIECES * PIECE_BYTES)),
    ]
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
    exchange.connection.send("\r\n".join([*lines, "", ""]).encode())
    # The slot is in use until the last piece is sent.
    upstream.running += 1
    send_piece(upstream, exchange, PIECES)


def send_piece(upstream: Upstream, exchange: Exchange, left: int) -> None:
    """Send the next piece of the body, or end the answer."""
    if exchange.ended or not left:
        upstream.running -= 1
        if not exchange.ended:
            exchange.ended = True
            exchange.connection.exchange_ended(False)
        return
    exchange.connection.send(byte_of(upstream.instance_id) * PIECE_BYTES)
    reactor.callLater(PIECE_PERIOD_S, send_piece, upstream, exchange, left - 1)


def watch_health(upstream: Upstream) -> None:
    """Let the health check fail while ``says_ill`` is set."""
    upstream.says_ill = False

    def handle(exchange: Exchange) -> None:
        if exchange.path == "/health" and upstream.says_ill:
            exchange.answer(503, headers=upstream.answer_fields(exchange))
        else:
            upstream.serve(exchange)

    upstream.on_request = handle
    upstream.answer_run = send_long_answer


async def read_page(deployment: Deployment, number: int) -> bool:
    """Ask for a page; return whether a complete 200 has the body of its upstream."""
    gateway = deployment.gateways[number % len(deployment.gateways)]
    attempt = new_attempt()
    client = await Client.connect(gateway)
    client.send("GET", f"/catalogue/{number}", attempt, DEADLINE_MS)
    answer = await client.receive(DEADLINE_MS / 1000)
    client.close()
    signer = answer.fields.get("x-banyanshelf-response-signature", "")
    is_success = answer.is_complete and answer.status == 200
    own_bytes = answer.body.count(byte_of(signer)) if signer else 0
    is_whole = own_bytes == PIECES * PIECE_BYTES
    deployment.record.write(
        f"{attempt} at {gateway.name}: {answer.status} signed by {signer}, complete: "
        f"{answer.is_complete}, {own_bytes} of {len(answer.body)} bytes are its own"
    )
    return is_whole or not is_success


async def lie(deployment: Deployment, upstreams: list[Upstream]) -> None:
    """Let some upstreams say at times that they are ill."""
    names = ", ".join(each.instance_id for each in upstreams)
    for says_ill in [False, True] * LIES + [False]:
        for upstream in upstreams:
            upstream.says_ill = says_ill
        deployment.record.write(f"{names}: health {503 if says_ill else 200}")
        await asyncio.sleep(LIE_S if says_ill else TRUTH_S)


async def play(deployment: Deployment) -> bool:
    """Ask for long pages while some upstreams say that they are ill."""
    upstreams = deployment.add_upstreams("scriptorium", UPSTREAMS)
    for upstream in upstreams:
        watch_health(upstream)
    deployment.configure(ROUTES)
    await deployment.start(2)
    lying = None
    if has_trouble():
        lying = asyncio.ensure_future(lie(deployment, upstreams[:LYING_UPSTREAMS]))
    pages = []
    for number in range(REQUESTS):
        pages.append(asyncio.ensure_future(read_page(deployment, number)))
        await asyncio.sleep(REQUEST_PERIOD_S)
    results = await asyncio.gather(*pages)
    if lying is not None:
        lying.cancel()
    mixed = results.count(False)
    deployment.record.write(
        f"{mixed} of {REQUESTS} complete 200 answers had a body of two upstreams"
    )
    return mixed == 0


if __name__ == "__main__":
    run_case(play)
