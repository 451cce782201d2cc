"""Case: a grown configuration never takes effect on machines with slow links."""

from __future__ import annotations

import time

from review_standins_2.case import Record, run_case
from review_standins_2.client import Client
from review_standins_2.deployment import (
    FURTHER_PREFIX,
    Changes,
    Machine,
    running_deployment,
)

# The smallest machines of the users' deployments.
MACHINE = Machine(memory_mb=152, descriptors=1535, link_mbit_per_s=5.0, cpu_share=0.301)
ROUTES = 3_800
# Each version adds as many routes as one big_config of the users' site files.
GROWTH = 350
VERSIONS = 15
GAP_S = 1.5
# ``configurationMs`` of the deployment
CONFIGURATION_S = 2.5
WATCHED_S = 45.0
PERIOD_S = 0.5


def play(record: Record, with_trouble: bool) -> bool:
    """Add routes and ask for the first one of them at each gateway."""
    changes = Changes(1, GAP_S, 6.0, ROUTES)
    if with_trouble:
        changes = Changes(VERSIONS, GAP_S, 6.0, ROUTES, growth=GROWTH)
    sent: list[tuple[float, int]] = []
    with running_deployment(2, 3, MACHINE, changes) as deployment:
        newest_prefix = f"/section-{ROUTES + GROWTH * VERSIONS - 1}/"
        ends_at = time.monotonic() + WATCHED_S
        while time.monotonic() < ends_at:
            for host in deployment.gateway_hosts:
                client = Client(host)
                if with_trouble:
                    shop = f"shop-{(ROUTES + GROWTH * VERSIONS - 1) % 97}.example"
                    client.send(f"{newest_prefix}w5-b10/", 2000, host=shop)
                else:
                    client.send(f"{FURTHER_PREFIX}w5-b10/", 2000)
                answer = client.read(3.0)
                client.close()
                sent.append((client.sent_at, answer.status))
                record.note("answer", gateway=host, **answer._asdict())
            time.sleep(PERIOD_S)
        record.note("in effect at the end", version=deployment.newest_version())
        journal = deployment.journal()
        record.copy(journal)
    versions = [line for line in journal if line["event"] == "version"]
    if len(versions) != changes.count:
        raise RuntimeError("the operator did not write all versions")
    binds_from = float(versions[-1]["at"]) + CONFIGURATION_S
    late = [status for at, status in sent if at > binds_from]
    outdated = late.count(404)
    record.note("sent when the last version binds", count=len(late), outdated=outdated)
    return not outdated


if __name__ == "__main__":
    run_case(play)
