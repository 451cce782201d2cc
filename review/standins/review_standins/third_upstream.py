"""Case: requests run on more upstreams than their route allows.

The gateway that places the calls of a large zone is slow. While a call waits for the
upstream of its hedged attempt, its first attempt fails and is retried.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time

from banyanshelf_standins.http_server import Exchange
from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import CaseError, Deployment
from review_standins.gateway import Gateway
from review_standins.upstream import Upstream, answer_ok, total_runs

# In a zone of this size, one gateway places the calls of all.
GATEWAYS = 10
UPSTREAMS = 26
# 15 of 26 upstreams lose two of five late answers and reset the connection.
FAILING_UPSTREAMS = 15
FAILING_SHARE = 0.4
# The slow gateway runs for one part in five of the time.
RUN_S = 0.010
STOP_S = 0.040
PLAY_S = 45.0
REQUESTS_PER_S = 60
# One request in five takes long.
WORK_S = (0.04, 0.12)
LONG_WORK_S = (0.205, 0.245)
LONG_SHARE = 0.12
DEADLINE_MS = 1000
ATTEMPTS = 2
ALLOWED_REQUESTS = 3
ROUTES = [[HOST, "/status/", "commissions", "safe", ATTEMPTS, 1000, 350, 2]]


def watch(upstream: Upstream, *, is_failing: bool) -> None:
    """Vary the work, and lose part of the answers that come late if ``is_failing``."""
    failing_attempts: set[str] = set()

    def handle(exchange: Exchange) -> None:
        is_long = random.random() < LONG_SHARE
        upstream.latency_s = random.uniform(*(LONG_WORK_S if is_long else WORK_S))
        if is_long and is_failing and random.random() < FAILING_SHARE:
            failing_attempts.add(upstream.attempt_of(exchange))
        upstream.serve(exchange)

    def answer_or_drop(_upstream: Upstream, exchange: Exchange) -> None:
        if upstream.attempt_of(exchange) in failing_attempts:
            exchange.drop()
        else:
            answer_ok(upstream, exchange)

    upstream.on_request = handle
    upstream.answer_run = answer_or_drop


def find_placing_gateway(deployment: Deployment) -> Gateway:
    """Return the gateway that places the calls, as the logs of the others name it."""
    marker = "load updates are now aggregated by "
    names = []
    for gateway in deployment.gateways:
        log = gateway.settings.with_suffix(".log").read_text()
        names += [line.split(marker)[1] for line in log.splitlines() if marker in line]
    for gateway in deployment.gateways:
        if names and names[-1].startswith(f'{gateway.name}"'):
            return gateway
    raise CaseError("no gateway places the calls of the others")


async def slow_down(gateway: Gateway) -> None:
    """Let a gateway run for a part of the time only."""
    try:
        while True:
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(STOP_S)
            gateway.signal(signal.SIGCONT)
            await asyncio.sleep(RUN_S)
    finally:
        gateway.signal(signal.SIGCONT)


async def send_one(deployment: Deployment, gateway: Gateway) -> str:
    """Send one request; return its attempt id."""
    attempt = new_attempt()
    client = await Client.connect(gateway)
    client.send("GET", f"/status/{attempt}", attempt, DEADLINE_MS)
    answer = await client.receive(DEADLINE_MS / 1000)
    client.close()
    deployment.record.write(f"{attempt} at {gateway.name}: {answer.status}")
    return attempt


async def play(deployment: Deployment) -> bool:
    """Send requests to all gateways but the slow one."""
    upstreams = deployment.add_upstreams("commissions", UPSTREAMS)
    for number, upstream in enumerate(upstreams):
        watch(upstream, is_failing=has_trouble() and number < FAILING_UPSTREAMS)
    deployment.configure(ROUTES)
    await deployment.start(GATEWAYS)
    placing = find_placing_gateway(deployment)
    others = [each for each in deployment.gateways if each is not placing]
    deployment.record.write(f"{placing.name} places the calls")
    slowing = None
    if has_trouble():
        slowing = asyncio.ensure_future(slow_down(placing))
    until = time.monotonic() + PLAY_S
    tasks = []
    while time.monotonic() < until:
        gateway = others[len(tasks) % len(others)]
        tasks.append(asyncio.ensure_future(send_one(deployment, gateway)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    attempts = await asyncio.gather(*tasks)
    if slowing is not None:
        slowing.cancel()
    await asyncio.sleep(0.5)
    runs = total_runs(upstreams)
    beyond = [each for each in attempts if runs[each] > ATTEMPTS]
    twice = sum(runs[each] == ATTEMPTS for each in attempts)
    deployment.record.write(
        f"{len(attempts)} requests: {twice} ran on {ATTEMPTS} upstreams, {len(beyond)} "
        f"on more; {ALLOWED_REQUESTS} allowed"
    )
    return len(beyond) <= ALLOWED_REQUESTS


if __name__ == "__main__":
    run_case(play)
