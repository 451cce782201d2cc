"""Measures how long an accepted text takes to be in effect on all daemons."""

from __future__ import annotations

import time
from typing import Any

from banyanshelf_bench.bench_run import BenchRun
from banyanshelf_bench.commit_text import Committed

CHANGES = 8
LIMIT_S = 20.0
POLL_S = 0.01
CATCH_UP_S = 3.0


def measure_spread(run: BenchRun) -> None:
    """Commit several texts with the store up, and one just before an outage."""
    store_up = [_spread_once(run, index) for index in range(CHANGES)]
    committed = _commit(run, CHANGES)
    run.fleet.set_store_faults(outage="refuse")
    store_lost = _wait_for_all(run, committed)
    time.sleep(CATCH_UP_S)
    run.fleet.set_store_faults(outage="off")
    run.events = {
        "daemons": len(run.fleet.daemon_ids),
        "store_up_s": sorted(store_up),
        "store_lost_after_acceptance": store_lost,
    }


def _commit(run: BenchRun, index: int) -> Committed:
    deployment = run.options.deployment
    text = deployment.operators_text(run.options.policy, timeout_ms=1900 - index)
    return run.fleet.commit(text)


def _spread_once(run: BenchRun, index: int) -> float:
    seen = _wait_for_all(run, _commit(run, index))
    return float(seen["seconds"])


def _wait_for_all(run: BenchRun, committed: Committed) -> dict[str, Any]:
    missing = set(run.fleet.daemon_ids)
    elapsed = 0.0
    while missing and elapsed < LIMIT_S:
        for daemon_id in sorted(missing):
            status = run.fleet.try_status(daemon_id)
            if status.get("version") == committed.version:
                missing.discard(daemon_id)
        elapsed = time.monotonic() - committed.accepted_at
        if missing:
            time.sleep(POLL_S)
    return {"seconds": round(elapsed, 3), "missing": sorted(missing)}
