"""Case: after a kill, each group of a zone's gateways keeps an upstream's limit."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import time
from dataclasses import dataclass, field

from review_standins_2.case import Record, run_case
from review_standins_2.deployment import FRONT_PORT, HOST, running_deployment
from review_standins_2.limited_site import LIMIT_PER_S, LIMITED_INSTANCES, NEED_FILE
from review_standins_2.split_zone import (
    AGGREGATOR_TEXT,
    FURTHER_GATEWAYS,
    GATEWAYS,
    TwoZones,
    aggregators,
    kill_herd,
)

UPSTREAMS = 3
# What the upstreams run at most is 300 requests a second. A burst of the site file has
# 1.7 times the usual, for 3 s.
USUAL_PER_S, BURST_PER_S, BURST_S = 285, 330, 3.0
WORK_MS = 30
DEADLINE_MS, ANSWER_LIMIT_S = 1500, 2.0
# What a keeper knows of lost gateways, it forgets after 30 s.
NEED_AFTER_KILL_S = 35.0
# The burst begins some time after the need, and the need outlasts it.
BURST_AFTER_NEED_S, REST_S = 6.0, 4.0
# The rule, with ``stableWindowMs`` of the deployment
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5
STABLE_WINDOW_S, PASSED_ON_S = 3.0, 0.5


class LimitedZones(TwoZones):
    """A deployment with upstreams that name a limit while they are in need."""

    site_module = "review_standins_2.limited_site"


@dataclass
class Load:
    """Clients that send to all gateways in turn."""

    record: Record
    hosts: list[str]
    per_s: float = USUAL_PER_S
    gateway_by_attempt: dict[str, str] = field(default_factory=dict)
    # When a gateway has first passed on an answer in which an upstream named a limit
    passed_on_at: dict[tuple[str, str], float] = field(default_factory=dict)

    async def run(self) -> None:
        """Send requests until cancelled."""
        requests = set()
        next_at = time.monotonic()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                number = len(self.gateway_by_attempt)
                attempt, host = f"{number:08x}", self.hosts[number % len(self.hosts)]
                self.gateway_by_attempt[attempt] = host
                requests.add(asyncio.create_task(self._request(host, attempt)))
                next_at += 1 / self.per_s
                await asyncio.sleep(next_at - time.monotonic())
        await asyncio.gather(*requests)

    async def _request(self, host: str, attempt: str) -> None:
        status, limit = 0, ""
        with contextlib.suppress(OSError, ValueError, IndexError, EOFError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                reader, writer = await asyncio.open_connection(host, FRONT_PORT)
                writer.write(
                    f"GET /statements/w{WORK_MS}-b10/ HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Banyanshelf-Attempt-Id: {attempt}\r\n"
                    f"X-Banyanshelf-Deadline-Milliseconds: {DEADLINE_MS}\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                writer.close()
                lines = head.split("\r\n")
                status = int(lines[0].split()[1])
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                limit = fields.get("server-limit", "")
                if limit:
                    named = host, fields["x-banyanshelf-instance-id"]
                    self.passed_on_at.setdefault(named, time.monotonic())
        self.record.note(
            "answer", gateway=host, attempt=attempt, status=status, limit=limit
        )


async def use_upstreams(
    deployment: LimitedZones, record: Record, with_trouble: bool
) -> Load:
    """Kill gateways, and much later let upstreams name a limit under load."""
    load = Load(record, deployment.gateway_hosts)
    await asyncio.sleep(5.0)
    if with_trouble:
        await asyncio.to_thread(kill_herd, deployment, record)
    await asyncio.sleep(NEED_AFTER_KILL_S - 2.0)
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(2.0)
    (deployment.folder / NEED_FILE).touch()
    record.note("upstreams are in need")
    await asyncio.sleep(BURST_AFTER_NEED_S)
    load.per_s = BURST_PER_S
    record.note("burst")
    await asyncio.sleep(BURST_S)
    load.per_s = USUAL_PER_S
    await asyncio.sleep(REST_S)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    return load


def most_in_window(times: list[float]) -> int:
    """Return the most arrivals within one window."""
    times.sort()
    return max(
        (
            bisect.bisect_right(times, begins_at + WINDOW_S) - first
            for first, begins_at in enumerate(times)
        ),
        default=0,
    )


def play(record: Record, with_trouble: bool) -> bool:
    """Kill gateways at once and count what limited upstreams run long afterwards."""
    with running_deployment(
        GATEWAYS + FURTHER_GATEWAYS, UPSTREAMS, kind=LimitedZones
    ) as deployment:
        assert isinstance(deployment, LimitedZones)
        load = asyncio.run(use_upstreams(deployment, record, with_trouble))
        journal = deployment.journal()
        record.copy(journal)
        for host in deployment.gateway_hosts:
            for line in deployment.log_lines(host, AGGREGATOR_TEXT):
                record.note("log", gateway=host, line=line)
        record.note("gateways by aggregator", count=aggregators(deployment))
    allowed = FACTOR * LIMIT_PER_S * WINDOW_S + SLACK
    has_held = True
    for upstream in sorted(LIMITED_INSTANCES):
        most = most_in_window(_counted(load, journal, upstream))
        record.note("most in a window", upstream=upstream, ran=most, allowed=allowed)
        has_held = has_held and most <= allowed
    return has_held


def _counted(
    load: Load, journal: list[dict[str, object]], upstream: str
) -> list[float]:
    """Return when an upstream ran requests that the rule counts."""
    passed_on_at = {
        host: at for (host, named), at in load.passed_on_at.items() if named == upstream
    }
    binds_from = min(passed_on_at.values(), default=0.0) + STABLE_WINDOW_S
    counted = []
    for line in journal:
        if line["event"] != "runs" or line["upstream"] != upstream:
            continue
        at = float(str(line["at"]))
        host = load.gateway_by_attempt.get(str(line["attempt"]), "")
        if at >= binds_from and at >= passed_on_at.get(host, at) + PASSED_ON_S:
            counted.append(at)
    return counted


if __name__ == "__main__":
    run_case(play)
