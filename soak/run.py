"""Runs real processes under random faults and checks the promises to callers.

Example:
    ``python -m soak.run --seed 7 --seconds 30`` plays one seed, and ``python -m
    soak.run --minutes 5`` plays fresh seeds; the exit code is 1 if a promise was
    broken. Logs of such a run are kept in the folder that is printed.

"""

from __future__ import annotations

import random
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import fire

from soak.callers import Callers
from soak.checks import Record, faults_found
from soak.injector import Injector
from soak.schedule import draw_evacuations, draw_schedule
from soak.site import ZONES, running_site

# Each caller keeps about a fifth of a slot busy.
CALLERS_PER_UPSTREAM = 3
# Calls go on for this long after the last fault.
QUIET_END_S = 5.0
REGRESSIONS = Path(__file__).with_name("regressions.txt")


class Case(NamedTuple):
    """The arguments of a seed that failed once."""

    seed: int
    seconds: float
    gateways: int
    upstreams: int


def read_regressions() -> list[Case]:
    """Return the cases of ``regressions.txt``; the rest of a line is the cause."""
    cases = []
    for line in REGRESSIONS.read_text().splitlines():
        if not line.startswith("#"):
            seed, seconds, gateways, upstreams, _ = line.split(maxsplit=4)
            cases.append(Case(int(seed), float(seconds), int(gateways), int(upstreams)))
    return cases


def play(
    seed: int,
    seconds: float,
    gateways: int,
    upstreams: int,
    check: Callable[[Record], list[str]] = faults_found,
    limited: int = 0,
) -> list[str]:
    """Play one seed; returns the broken promises."""
    rng = random.Random(seed)
    schedule = draw_schedule(rng, seconds, gateways, upstreams)
    schedule += draw_evacuations(random.Random(f"{seed}/zones"), seconds, ZONES)
    schedule.sort(key=lambda each: each.at)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with running_site(folder, gateways, upstreams, limited) as site:
        callers = Callers(site, seed, upstreams * CALLERS_PER_UPSTREAM)
        injector = Injector(site)
        callers.start()
        try:
            injector.play(schedule)
            ended = time.monotonic()
            site.wait_ready()
            time.sleep(QUIET_END_S)
        finally:
            injector.restore()
            callers.stop()
        record = Record(
            callers.calls,
            site.runs(),
            site.arrivals(),
            injector.disturbed_by_gateway,
            injector.stopped_by_gateway,
            injector.accepted_by_version,
            injector.left_by_instance,
            injector.evacuated_by_zone,
            ended,
            injector.ended_by_themselves,
        )
        found = check(record)
        if found:
            for gateway in site.gateways:
                gateway.output.seek(0)
                (folder / f"{gateway.id}.log").write_bytes(gateway.output.read())
    answered = sum(1 for call in record.calls if call.is_signed)
    print(
        f"seed {seed}: {len(schedule)} faults, {len(record.calls)} calls, "
        f"{answered} answered by upstreams, {len(found)} broken promises",
        flush=True,
    )
    if found:
        (folder / "schedule.txt").write_text("\n".join(map(str, schedule)))
        (folder / "found.txt").write_text("\n".join(found))
        print(f"kept: {folder}", *found[:10], sep="\n", flush=True)
    else:
        shutil.rmtree(folder)
    return found


def run(
    seed: int | None = None,
    seconds: float = 20.0,
    minutes: float = 0.0,
    seeds: int = 1,
    gateways: int = 3,
    upstreams: int = 6,
    limited: int = 0,
    regressions: bool = False,
) -> None:
    """Play ``seeds`` seeds, fresh ones for some ``minutes``, or the regressions.

    The first ``limited`` upstreams state a request limit.
    """
    if regressions:
        failed = [case.seed for case in read_regressions() if play(*case)]
        print(f"regressions failed: {failed or 'none'}")
        sys.exit(1 if failed else 0)
    first = random.SystemRandom().randrange(2**31) if seed is None else seed
    until = time.monotonic() + 60 * minutes
    broken = []
    number = 0
    while number < seeds or time.monotonic() < until:
        if play(first + number, seconds, gateways, upstreams, limited=limited):
            broken.append(first + number)
        number += 1
    print(f"seeds: {number - len(broken)} passed, {len(broken)} failed {broken or ''}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(run)
