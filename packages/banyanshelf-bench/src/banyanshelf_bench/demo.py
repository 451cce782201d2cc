"""Demo: three daemons, stand-ins and the Umujyi text, with checked answers.

Run it with ``make demo``. The exit code is 0 only if every check holds.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import NamedTuple

from tabulate import tabulate

from banyanshelf_bench.control import Reply, send
from banyanshelf_bench.deployments import UMUJYI
from banyanshelf_bench.fleet import Fleet, FleetError, running_fleet
from banyanshelf_bench.load import LoadSummary, running_load
from banyanshelf_bench.load_plan import Stream

DAEMONS = 3
UPSTREAMS_PER_SERVICE = 4
LOAD_SECONDS = 10.0
LOOKUPS_PER_SECOND = 150.0
PAYMENTS_PER_SECOND = 20.0
SEED = 20260312


class Check(NamedTuple):
    """One promise that the demo looks at."""

    promise: str
    held: bool
    seen: str


def pay(fleet: Fleet, daemon_id: str, key: str, body: bytes) -> Reply:
    """Send one payment through a daemon."""
    headers = {
        "Host": UMUJYI.host("desk"),
        "Idempotency-Key": key,
        "Echo-Token": key,
        "Content-Type": "application/json",
    }
    address = fleet.caller_address(daemon_id)
    return send("POST", address, UMUJYI.payment_path, body, headers)


def runs_of_key(fleet: Fleet, key: str) -> int:
    """Return how many times the calls of an idempotency key ran."""
    return sum(
        fleet.backend_statistics(backend_id)["runs_by_key"].get(key, 0)
        for backend_id in fleet.backend_ids
    )


def check_payment(fleet: Fleet) -> Check:
    """Send one payment to two daemons; it must run once with one answer."""
    body = b'{"commission": 17, "amount": 45000}'
    first = pay(fleet, fleet.daemon_ids[0], "payment-14-march", body)
    second = pay(fleet, fleet.daemon_ids[1], "payment-14-march", body)
    runs = runs_of_key(fleet, "payment-14-march")
    same = first.status == second.status == 200 and first.body == second.body
    seen = f"ran {runs} times, answers {first.status} and {second.status}"
    return Check("a payment sent twice runs once", same and runs == 1, seen)


def check_text(fleet: Fleet) -> Check:
    """Commit a changed text; every daemon must adopt it."""
    begin = time.monotonic()
    version = fleet.commit(UMUJYI.operators_text(timeout_ms=1900)).version
    limit = begin + 10.0
    while time.monotonic() < limit:
        versions = [fleet.try_status(item).get("version") for item in fleet.daemon_ids]
        if set(versions) == {version}:
            break
        time.sleep(0.05)
    seen = f"versions {versions} after {time.monotonic() - begin:.2f} s"
    return Check(
        "an accepted text is in effect everywhere", set(versions) == {version}, seen
    )


def check_load(summary: LoadSummary) -> list[Check]:
    """Judge what became of the calls."""
    outcomes = summary.outcomes()
    bad = {name: count for name, count in outcomes.items() if name != "ok"}
    checks = [
        Check(
            "every caller got its own whole answer",
            not bad and outcomes["ok"] > 0,
            f"{outcomes['ok']} whole answers, others: {bad or 'none'}",
        ),
    ]
    if bad:
        checks.append(Check("samples", False, "; ".join(summary.failures()[:3])))
    return checks


def check_peaks(fleet: Fleet) -> Check:
    """Look at the queues of the backend servers."""
    queued = max(
        fleet.backend_statistics(item)["peak_queue"] for item in fleet.backend_ids
    )
    seen = f"at most {queued} calls beyond the slots of any server"
    return Check("calls do not exceed the slots", queued <= UMUJYI.slots, seen)


def run_load(fleet: Fleet) -> LoadSummary:
    """Send lookups and payments to all daemons."""
    addresses = [fleet.caller_address(item) for item in fleet.daemon_ids]
    streams = [
        Stream(
            name="lookups",
            addresses=addresses,
            host=UMUJYI.host("catalogue"),
            path="/patterns/7",
            rate=LOOKUPS_PER_SECOND,
            end_s=LOAD_SECONDS,
        ),
        Stream(
            name="payments",
            addresses=addresses,
            host=UMUJYI.host("desk"),
            method="POST",
            path=UMUJYI.payment_path,
            body_bytes=200,
            keyed=True,
            rate=PAYMENTS_PER_SECOND,
            end_s=LOAD_SECONDS,
        ),
    ]
    with running_load(streams, SEED, processes=2) as load:
        return load.finish()


def print_latencies(summary: LoadSummary) -> None:
    """Print one row per stream, in milliseconds."""
    rows = [
        [
            name,
            len_ok,
            times["p50"],
            times["p99"],
            times["max"],
            above["p50"],
            above["p99"],
        ]
        for name, stream in summary.stream_by_name.items()
        if (len_ok := stream.outcomes["ok"])
        for times, above in [(stream.latency(), stream.above_service())]
    ]
    headers = ["calls", "answered", "p50 ms", "p99 ms", "max ms"]
    headers += ["p50 above service ms", "p99 above service ms"]
    print(tabulate(rows, headers=headers))


def run_demo() -> list[Check]:
    """Run the whole demo and return its checks."""
    begin = time.monotonic()
    shape = UMUJYI.shape(daemons=DAEMONS, upstreams=UPSTREAMS_PER_SERVICE)
    with running_fleet(shape) as fleet:
        ready_s = time.monotonic() - begin
        print(f"{DAEMONS} daemons serve after {ready_s:.1f} s; sending calls")
        summary = run_load(fleet)
        print_latencies(summary)
        steps: list[Callable[[Fleet], Check]] = [check_peaks, check_payment, check_text]
        return check_load(summary) + [step(fleet) for step in steps]


def main() -> int:
    """Run the demo and print its checks; return the exit code."""
    try:
        checks = run_demo()
    except FleetError as error:
        print(error)
        return 1
    rows = [
        ["held" if item.held else "BROKEN", item.promise, item.seen] for item in checks
    ]
    print(tabulate(rows, headers=["", "promise", "seen"]))
    return 0 if all(item.held for item in checks) else 1


if __name__ == "__main__":
    sys.exit(main())
