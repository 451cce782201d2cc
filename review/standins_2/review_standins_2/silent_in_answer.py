"""Case: a request whose upstreams go silent in their answers is sent on each time."""

from __future__ import annotations

import time

from review_standins_2.case import Record, run_case
from review_standins_2.client import Client
from review_standins_2.deployment import running_deployment

GATEWAYS, UPSTREAMS = 3, 14
REQUESTS = 10
PERIOD_S = 5.0
DEADLINE_MS = 1500
FATAL_PATH = "/statements/fatal/w5-b30000/"
HARMLESS_PATH = "/statements/w5-b30000/"
# ``stableWindowMs``, and the late retries that the rule allows
STABLE_WINDOW_S, ALLOWED_RETRIES = 3.0, 3


def play(record: Record, with_trouble: bool) -> bool:
    """Send the same request again and again, and count whom it takes down."""
    path = FATAL_PATH if with_trouble else HARMLESS_PATH
    with running_deployment(GATEWAYS, UPSTREAMS) as deployment:
        for number in range(REQUESTS):
            begun = time.monotonic()
            host = deployment.gateway_hosts[number % GATEWAYS]
            client = Client(host)
            client.send(path, DEADLINE_MS)
            answer = client.read(DEADLINE_MS / 1000 + 0.5)
            client.close()
            record.note("answer", gateway=host, path=path, **answer._asdict())
            time.sleep(max(0.0, begun + PERIOD_S - time.monotonic()))
        journal = deployment.journal()
        record.copy(journal)
    crashed_at = [float(line["at"]) for line in journal if line["event"] == "crash"]
    late = 0
    if len(crashed_at) >= 3:
        binds_from = crashed_at[2] + STABLE_WINDOW_S
        late = sum(at > binds_from for at in crashed_at)
    record.note("late retries", count=late, allowed=ALLOWED_RETRIES)
    record.note("crashes", count=len(crashed_at))
    return late <= ALLOWED_RETRIES


if __name__ == "__main__":
    run_case(play)
