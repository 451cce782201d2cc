"""Case: after a kill, the gateways of a zone stay in groups, each with a quota bank."""

from __future__ import annotations

import asyncio
import random
import re
import signal
import time
from collections import Counter

from banyanshelf_core.hashing import rank_members
from review_standins_2.case import Record, run_case
from review_standins_2.deployment import (
    CONTROL_PORT,
    Deployment,
    running_deployment,
)
from review_standins_2.two_quota_banks import (
    HOT_PER_S,
    HOT_S,
    OVERSHOOT,
    SLACK,
    TENANT,
    WINDOW_S,
    Load,
    keep_rotation,
    most_in_window,
)

GATEWAYS, FURTHER_GATEWAYS, SEEDS = 24, 2, 3
# A herd_kill of the site file has 0.55 of the gateways. The platform starts them again
# after a short delay.
KILLED, RESTART_S = 12, 0.2
# What a bank knows of lost gateways, it forgets after 30 s.
HOT_AFTER_KILL_S = 35.0
# The gateways of a zone rank each other with this key.
RANKING_KEY = "digest/zone-a"
AGGREGATOR_TEXT = "load updates are now aggregated by"


class TwoZones(Deployment):
    """A deployment whose last gateways are in a zone of their own."""

    @property
    def zone_hosts(self) -> list[str]:
        """The gateways of the first zone."""
        return self.gateway_hosts[:GATEWAYS]

    @property
    def ranked_hosts(self) -> list[str]:
        """The gateways of the first zone as they rank each other."""
        nodes = [f"edge-{host}" for host in self.zone_hosts]
        ranked = rank_members(RANKING_KEY, nodes)
        return [node.removeprefix("edge-") for node in ranked]

    @property
    def seed_hosts(self) -> list[str]:
        """The gateways that each one greets first: no aggregator and no successor."""
        return self.ranked_hosts[-SEEDS:]

    def _settings(self, host: str) -> str:
        seeds = ", ".join(f'"{each}:{CONTROL_PORT}"' for each in self.seed_hosts)
        settings = re.sub(
            r"(?m)^seeds = .*$", f"seeds = [{seeds}]", super()._settings(host)
        ).replace("[network.zones]\n", '[network.zones]\nzone-b = "region-a"\n')
        if host in self.zone_hosts:
            return settings
        return settings.replace('zone = "zone-a"', 'zone = "zone-b"')


def aggregators(deployment: TwoZones) -> Counter[str]:
    """Return how many gateways name each aggregator last in their logs."""
    named: Counter[str] = Counter()
    for host in deployment.zone_hosts:
        lines = deployment.log_lines(host, AGGREGATOR_TEXT)
        if lines:
            named[lines[-1].partition("edge-")[2].strip('"}')] += 1
    return named


def kill_herd(deployment: TwoZones, record: Record) -> None:
    """Kill a share of the gateways at once, the bank among them; start them again."""
    bank = aggregators(deployment).most_common(1)[0][0]
    # The groups form if the gateway that takes its place is not killed as well. They
    # seldom meet if those that are greeted first are all in one of them.
    successor = next(host for host in deployment.ranked_hosts if host != bank)
    herd = [bank, *(host for host in deployment.seed_hosts if host != bank)]
    spared = {*herd, successor}
    others = [host for host in deployment.zone_hosts if host not in spared]
    herd += random.sample(others, KILLED - len(herd))
    for host in herd:
        deployment.gateways[host].send_signal(signal.SIGKILL)
    record.note("killed", gateways=herd, bank=bank, successor=successor)
    for host in herd:
        deployment.gateways[host].wait()
    time.sleep(RESTART_S)
    for host in herd:
        deployment.start_gateway(host)
    record.note("started again", gateways=herd)


async def use_quota(
    deployment: TwoZones, record: Record, with_trouble: bool
) -> dict[str, float]:
    """Return when each request was sent."""
    rotation = list(deployment.gateway_hosts)
    load = Load(record, rotation)
    watching = asyncio.create_task(keep_rotation(deployment.gateway_hosts, rotation))
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(5.0)
    if with_trouble:
        await asyncio.to_thread(kill_herd, deployment, record)
    await asyncio.sleep(HOT_AFTER_KILL_S)
    load.per_s = HOT_PER_S
    record.note("hot spell", rotation=len(rotation))
    await asyncio.sleep(HOT_S)
    for task in (sending, watching):
        task.cancel()
    await asyncio.gather(sending, watching, return_exceptions=True)
    return load.sent_at


def play(record: Record, with_trouble: bool) -> bool:
    """Kill gateways at once and count what runs for a tenant long afterwards."""
    gateways = GATEWAYS + FURTHER_GATEWAYS
    with running_deployment(gateways, 8, tenant=TENANT, kind=TwoZones) as deployment:
        assert isinstance(deployment, TwoZones)
        sent_at = asyncio.run(use_quota(deployment, record, with_trouble))
        journal = deployment.journal()
        record.copy(journal)
        for host in deployment.gateway_hosts:
            for text in (AGGREGATOR_TEXT, "keeps the quotas"):
                for line in deployment.log_lines(host, text):
                    record.note("log", gateway=host, line=line)
        record.note("gateways by aggregator", count=aggregators(deployment))
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
