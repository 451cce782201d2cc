"""Case: a request whose upstreams go silent at once, beside slow ones, is sent on."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from review_standins_2.case import Record, run_case
from review_standins_2.client import Answer, Client
from review_standins_2.deployment import running_deployment
from review_standins_2.silent_in_answer import (
    ALLOWED_RETRIES,
    GATEWAYS,
    PERIOD_S,
    REQUESTS,
    STABLE_WINDOW_S,
    UPSTREAMS,
)

# The work of ``archive-read`` of the site file, its deadline, and that of
# ``measure-read``, which goes to the same service.
WORK_MS = 360
READ_DEADLINE_MS, DEADLINE_MS = 2500, 1500
READS_PER_GATEWAY, READS_AT_ONCE = 48, 24
# Reads of the usual time at each gateway while the request comes
READS_PER_PERIOD = 5
FATAL_PATH = "/statements/fatal-at-once/"
HARMLESS_PATH = "/statements/w220-b1500/"
_read_numbers = itertools.count(1)


def play(record: Record, with_trouble: bool) -> bool:
    """Let some requests take long, then send the same one again and again."""
    path = FATAL_PATH if with_trouble else HARMLESS_PATH
    with (
        running_deployment(GATEWAYS, UPSTREAMS) as deployment,
        ThreadPoolExecutor(READS_AT_ONCE) as pool,
    ):
        hosts = deployment.gateway_hosts
        spell = [(host, "spell/") for host in hosts] * READS_PER_GATEWAY
        usual = [(host, "") for host in hosts] * READS_PER_PERIOD
        _note_reads(record, list(pool.map(_read, spell)))
        for number in range(REQUESTS):
            begun = time.monotonic()
            host = hosts[number % GATEWAYS]
            reads = pool.map(_read, usual)
            answer = _ask(host, path, DEADLINE_MS)
            record.note("answer", gateway=host, path=path, **answer._asdict())
            _note_reads(record, list(reads))
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


def _read(read: tuple[str, str]) -> Answer:
    """Send a request to a gateway; in the spell it takes long at slow upstreams."""
    host, spell = read
    # Each path is read once: none is taken for one that crashes upstreams.
    path = f"/statements/{spell}{next(_read_numbers)}/w{WORK_MS}-b5000/"
    return _ask(host, path, READ_DEADLINE_MS)


def _note_reads(record: Record, answers: list[Answer]) -> None:
    statuses = Counter(answer.status for answer in answers)
    whole = sum(answer.is_whole for answer in answers)
    record.note("reads", of=len(answers), whole=whole, by_status=dict(statuses))


def _ask(host: str, path: str, deadline_ms: int) -> Answer:
    client = Client(host)
    client.send(path, deadline_ms)
    answer = client.read(deadline_ms / 1000 + 0.5)
    client.close()
    return answer


if __name__ == "__main__":
    run_case(play)
