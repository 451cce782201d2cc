"""Case: after a rolling restart, two gateways grant the same quota at the same time."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import signal
import time
from dataclasses import dataclass, field

from review_standins_2.case import Record, run_case
from review_standins_2.deployment import (
    FRONT_PORT,
    HOST,
    Deployment,
    Tenant,
    is_ready,
    running_deployment,
)

TENANT = Tenant("shop-12", "key-12", requests_per_s=100, burst=20)
# The rule: quotaWindowS, quotaOvershoot and quotaSlack of the deployment
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
# The tenant's usual rate, and that of a hot spell as long as one of the site file.
USUAL_PER_S, HOT_PER_S, HOT_S = 60, 300, 6.5
HOT_AFTER_STOP_S = 1.5
TURN_S = 9.0
GATEWAYS = 2
DEADLINE_MS = 1500
ANSWER_LIMIT_S = 2.0
# The platform asks for readiness once a second and drops a machine after two misses.
READINESS_PERIOD_S, MISSES = 1.0, 2


@dataclass
class Load:
    """The tenant's clients, which the platform sends to gateways in rotation."""

    record: Record
    rotation: list[str]
    per_s: float = USUAL_PER_S
    sent_at: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Send requests until cancelled."""
        requests = set()
        next_at = time.monotonic()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                attempt = f"{len(self.sent_at):08x}"
                host = self.rotation[len(self.sent_at) % len(self.rotation)]
                self.sent_at[attempt] = time.monotonic()
                requests.add(asyncio.create_task(self._request(host, attempt)))
                # Without a schedule, the time of each step would lower the rate.
                next_at += 1 / self.per_s
                await asyncio.sleep(next_at - time.monotonic())
        await asyncio.gather(*requests)

    async def _request(self, host: str, attempt: str) -> None:
        status = 0
        with contextlib.suppress(OSError, ValueError, IndexError, TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                reader, writer = await asyncio.open_connection(host, FRONT_PORT)
                writer.write(
                    f"GET /statements/w1-b10/ HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Banyanshelf-Attempt-Id: {attempt}\r\n"
                    f"X-Banyanshelf-Deadline-Milliseconds: {DEADLINE_MS}\r\n"
                    f"X-Banyanshelf-Credential: {TENANT.key}\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                status = int((await reader.readline()).split()[1])
                writer.close()
        self.record.note("answer", gateway=host, attempt=attempt, status=status)


async def keep_rotation(hosts: list[str], rotation: list[str]) -> None:
    """Take gateways in and out of rotation as the platform does."""
    misses = dict.fromkeys(hosts, 0)
    while True:
        await asyncio.sleep(READINESS_PERIOD_S)
        for host in hosts:
            ready = await asyncio.to_thread(is_ready, host)
            misses[host] = 0 if ready else misses[host] + 1
        rotation[:] = [each for each in hosts if misses[each] < MISSES] or hosts


async def restart_in_turn(deployment: Deployment, record: Record, load: Load) -> None:
    """Stop and start each gateway, with a hot spell of the tenant meanwhile."""
    for host in deployment.gateway_hosts:
        begun = time.monotonic()
        gateway = deployment.gateways[host]
        gateway.send_signal(signal.SIGTERM)
        record.note("SIGTERM", gateway=host)
        await asyncio.sleep(HOT_AFTER_STOP_S)
        load.per_s = HOT_PER_S
        await asyncio.to_thread(gateway.wait)
        deployment.start_gateway(host)
        record.note("started again", gateway=host)
        await asyncio.sleep(begun + HOT_AFTER_STOP_S + HOT_S - time.monotonic())
        load.per_s = USUAL_PER_S
        await asyncio.sleep(begun + TURN_S - time.monotonic())


async def hot_spells_only(record: Record, load: Load) -> None:
    """Let the tenant have the same hot spells without restarts."""
    for _ in range(GATEWAYS):
        await asyncio.sleep(HOT_AFTER_STOP_S)
        load.per_s = HOT_PER_S
        record.note("hot spell")
        await asyncio.sleep(HOT_S)
        load.per_s = USUAL_PER_S
        await asyncio.sleep(TURN_S - HOT_AFTER_STOP_S - HOT_S)


async def use_quota(
    deployment: Deployment, record: Record, with_trouble: bool
) -> dict[str, float]:
    """Return when each request was sent."""
    rotation = list(deployment.gateway_hosts)
    load = Load(record, rotation)
    watching = asyncio.create_task(keep_rotation(deployment.gateway_hosts, rotation))
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(3.0)
    if with_trouble:
        await restart_in_turn(deployment, record, load)
    else:
        await hot_spells_only(record, load)
    for task in (sending, watching):
        task.cancel()
    await asyncio.gather(sending, watching, return_exceptions=True)
    return load.sent_at


def most_in_window(runs: list[tuple[float, float]]) -> int:
    """Return the most requests that were sent and ran within one window."""
    runs.sort()
    most = 0
    for first, (begins_at, _) in enumerate(runs):
        ends_at = begins_at + WINDOW_S
        last = bisect.bisect_right(runs, (ends_at, float("inf")))
        ran = sum(ran_at <= ends_at for _, ran_at in runs[first:last])
        most = max(most, ran)
    return most


def play(record: Record, with_trouble: bool) -> bool:
    """Restart the gateways in turn and count what runs for the tenant."""
    with running_deployment(GATEWAYS, 8, tenant=TENANT) as deployment:
        sent_at = asyncio.run(use_quota(deployment, record, with_trouble))
        journal = deployment.journal()
        record.copy(journal)
        for host in deployment.gateway_hosts:
            for line in deployment.log_lines(host, "keeps the quotas"):
                record.note("log", gateway=host, line=line)
    runs = [
        (sent_at[str(line["attempt"])], float(line["at"]))
        for line in journal
        if line["event"] == "runs" and line["attempt"] in sent_at
    ]
    most = most_in_window(runs)
    quota = TENANT.requests_per_s * WINDOW_S + TENANT.burst
    allowed = quota * (1 + OVERSHOOT) + SLACK
    record.note("most in a window", ran=most, allowed=allowed)
    return most <= allowed


if __name__ == "__main__":
    run_case(play)
