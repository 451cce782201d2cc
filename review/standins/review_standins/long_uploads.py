"""Case: some clients more than usual send long orders, and a gateway ends.

The platform's stand-in kills a process whose resident memory exceeds ``memoryMb``, as
the platform does. Short requests of other clients are lost with the process.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import Deployment
from review_standins.gateway import Gateway
from review_standins.upstream import total_runs

MEMORY_LIMIT_BYTES = 300_000_000
WATCH_PERIOD_S = 0.002
# The configuration's limit, and the length of the long orders.
BODY_LIMIT = 67_108_864
ORDER_BYTES = 22_000_000
# A burst of 1.7 times the usual traffic.
USUAL_UPLOADS = 3
BURST_UPLOADS = 5
SHORT_REQUEST_CLIENTS = 20
WORK_S = 0.15
DEADLINE_MS = 5000
# The rule: a connection is closed without an answer more than three times.
ALLOWED_LOSSES = 3
ROUTES = [
    [HOST, "/orders/", "commissions", "unsafe", 2, 5000, 4000, 1],
    [HOST, "/status/", "scriptorium", "safe", 2, 5000, 1000, 2],
]


class MemoryWatch:
    """Kills a gateway whose resident memory exceeds the limit of its machine."""

    def __init__(self, deployment: Deployment, gateway: Gateway) -> None:
        self._deployment = deployment
        self._gateway = gateway
        self.peak_bytes = 0
        self.is_killed = False

    async def run(self) -> None:
        """Watch until cancelled or the process is killed."""
        assert self._gateway.process is not None
        path = Path(f"/proc/{self._gateway.process.pid}/statm")
        page_bytes = os.sysconf("SC_PAGE_SIZE")
        while not self.is_killed:
            resident = int(path.read_text().split()[1]) * page_bytes
            self.peak_bytes = max(self.peak_bytes, resident)
            if resident > MEMORY_LIMIT_BYTES:
                self.is_killed = True
                self._gateway.signal(signal.SIGKILL)
                self._deployment.record.write(
                    f"{self._gateway.name} uses {resident / 1e6:.0f} MB and is killed"
                )
            await asyncio.sleep(WATCH_PERIOD_S)


async def upload(deployment: Deployment, gateway: Gateway, number: int) -> None:
    """Send one long order."""
    attempt = new_attempt()
    client = await Client.connect(gateway)
    client.send("POST", f"/orders/{number}", attempt, DEADLINE_MS, b"o" * ORDER_BYTES)
    answer = await client.receive(DEADLINE_MS / 1000)
    client.close()
    deployment.record.write(f"order {attempt} of {ORDER_BYTES} bytes: {answer.status}")


async def ask_status(
    deployment: Deployment, gateway: Gateway, until: float, lost: list[str]
) -> None:
    """Send short requests on a kept connection; ``lost`` gets those without answer."""
    client = await Client.connect(gateway)
    is_kept = False
    while time.monotonic() < until:
        attempt = new_attempt()
        client.send("GET", "/status/1", attempt, DEADLINE_MS)
        answer = await client.receive(DEADLINE_MS / 1000)
        if not answer.is_complete:
            await asyncio.sleep(0.5)
            if is_kept and total_runs(deployment.upstreams)[attempt]:
                lost.append(attempt)
                deployment.record.write(f"{attempt} was passed on and not answered")
            break
        is_kept = True
    client.close()


async def play(deployment: Deployment) -> bool:
    """Let clients send long orders beside short requests."""
    deployment.add_upstreams("commissions", 13)
    for upstream in deployment.add_upstreams("scriptorium", 14):
        upstream.latency_s = WORK_S
    deployment.configure(ROUTES, {"bodyBytes": BODY_LIMIT})
    await deployment.start(2)
    gateway = deployment.gateways[0]
    watch = MemoryWatch(deployment, gateway)
    watching = asyncio.ensure_future(watch.run())
    lost: list[str] = []
    until = time.monotonic() + 6.0
    others = [
        asyncio.ensure_future(ask_status(deployment, gateway, until, lost))
        for _ in range(SHORT_REQUEST_CLIENTS)
    ]
    await asyncio.sleep(1.5)
    uploads = BURST_UPLOADS if has_trouble() else USUAL_UPLOADS
    await asyncio.gather(
        *(upload(deployment, gateway, number) for number in range(uploads))
    )
    await asyncio.gather(*others)
    watching.cancel()
    deployment.record.write(
        f"{uploads} long orders at once: {gateway.name} used at most "
        f"{watch.peak_bytes / 1e6:.0f} MB; {len(lost)} other requests were lost"
    )
    return len(lost) <= ALLOWED_LOSSES


if __name__ == "__main__":
    run_case(play)
