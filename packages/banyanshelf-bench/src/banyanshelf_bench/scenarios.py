"""Scenarios of the measurement, by name."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from banyanshelf_bench.bench_run import BenchRun
from banyanshelf_bench.load import LoadRun
from banyanshelf_bench.spread import measure_spread

Scenario = Callable[[BenchRun], dict[str, Any]]

STRAGGLE_FACTOR = 5.0
PAUSE_S = 5.0
LAG_S = 20.0
LEAVE_POLL_S = 0.1
RECOVERY_S = 2.0
RESTART_CRASHED_S = 1.0
PAYMENTS_PER_SECOND = 150.0


def before_and_after(run: BenchRun, event_s: float, settle_s: float = 0.0) -> None:
    """Report the time before an event and after it separately."""
    options = run.options
    run.phases = {
        "before": (options.warm_up_s, event_s),
        "after": (event_s + settle_s, options.end_s),
    }


def steady(run: BenchRun) -> dict[str, Any]:
    """Send idempotent calls to the first service at a constant rate."""
    return run.measure([run.lookups(run.first_service, run.options.load)])


def added_latency(run: BenchRun) -> dict[str, Any]:
    """Compare one call at a time per daemon with the same calls sent directly."""
    service = run.second_service
    fleet = run.fleet
    upstreams = run.upstreams(service)[: len(fleet.daemon_ids)]
    direct = [fleet.backend_address(item) for item in upstreams]
    common: dict[str, Any] = {"per_address": 1, "think_ms": 20.0, "rate": 0.0}
    half = run.options.warm_up_s + run.options.seconds / 2
    streams = [
        run.lookups(
            service, 0.0, name="direct", end_s=half, **common | {"addresses": direct}
        ),
        run.lookups(service, 0.0, name="proxied", begin_s=half + 1.0, **common),
    ]
    result = run.measure(streams)
    seen = result["streams"]
    above = [
        seen[name]["phases"]["measured"]["above_service_ms"]
        for name in ("direct", "proxied")
    ]
    result["events"] = {
        f"added_{name}_ms": round(above[1][name] - above[0][name], 3)
        for name in ("p50", "p99")
    }
    return result


def straggler(run: BenchRun) -> dict[str, Any]:
    """Make one upstream several times slower."""
    event_s = run.options.middle_s
    before_and_after(run, event_s)

    def action(run: BenchRun, load: LoadRun) -> None:
        load.sleep_until(event_s)
        slow = run.upstreams(run.first_service)[0]
        run.fleet.set_behavior(slow, straggle_factor=STRAGGLE_FACTOR)

    return run.measure([run.lookups(run.first_service, run.options.load)], action)


def siblings(run: BenchRun) -> dict[str, Any]:
    """Send more proofing calls than the capacity shared with catalogue lookups.

    The lookups come from the first service's backend servers, the rush from outside.
    """
    event_s = run.options.middle_s
    before_and_after(run, event_s, settle_s=1.0)
    fleet = run.fleet
    services = [fleet.service_address(item) for item in fleet.daemon_ids]
    inner = {"Banyanshelf-Caller-Service": run.first_service, "Banyanshelf-Depth": "1"}
    streams = [
        run.lookups(
            run.second_service, 0.2, "lookups", addresses=services, headers=inner
        ),
        run.lookups(run.second_service, 1.2, "rush", begin_s=event_s, path="/proofs/3"),
        run.lookups(run.first_service, 0.4, "other-service"),
    ]
    return run.measure(streams)


def payment_burst(run: BenchRun) -> dict[str, Any]:
    """Send keyed payments in a burst beside lookups."""
    event_s = run.options.middle_s
    before_and_after(run, event_s)
    streams = [
        run.lookups(run.first_service, 0.4),
        run.payments(PAYMENTS_PER_SECOND / run.options.scale, begin_s=event_s),
    ]
    return run.measure(streams)


def fast_failure(run: BenchRun) -> dict[str, Any]:
    """Let one upstream answer every call with an error within 1 ms."""
    event_s = run.options.middle_s
    before_and_after(run, event_s)

    def action(run: BenchRun, load: LoadRun) -> None:
        load.sleep_until(event_s)
        run.fleet.set_behavior(run.upstreams(run.first_service)[0], fail_fast=True)

    return run.measure([run.lookups(run.first_service, run.options.load)], action)


def leaving(run: BenchRun) -> dict[str, Any]:
    """Let an upstream leave while the host list lags."""
    event_s = run.options.middle_s
    before_and_after(run, event_s)

    def action(run: BenchRun, load: LoadRun) -> None:
        fleet = run.fleet
        gone = run.upstreams(run.first_service)[0]
        fleet.set_host_list_lag(LAG_S)
        load.sleep_until(event_s)
        fleet.set_behavior(gone, draining=True)
        fleet.state_by_backend[gone] = "leaving"
        fleet.publish_hosts()
        begin = time.monotonic()
        last_new_s, last_count = 0.0, fleet.backend_statistics(gone)["started"]
        while time.monotonic() - begin < run.options.end_s - event_s - 1.0:
            started = fleet.backend_statistics(gone)["started"]
            if started != last_count:
                last_new_s, last_count = time.monotonic() - begin, started
            time.sleep(LEAVE_POLL_S)
        run.events = {
            "host_list_lag_s": LAG_S,
            "last_new_work_after_s": round(last_new_s, 2),
        }

    return run.measure([run.lookups(run.first_service, run.options.load)], action)


def coordinator_killed(run: BenchRun) -> dict[str, Any]:
    """Kill the coordinator of the loaded service."""
    event_s = run.options.middle_s
    before_and_after(run, event_s, settle_s=RECOVERY_S)

    def action(run: BenchRun, load: LoadRun) -> None:
        target = run.fleet.coordinator(run.first_service)
        load.sleep_until(event_s)
        run.fleet.processes_by_id[target].kill()
        run.events = {"killed": target}

    return run.measure([run.lookups(run.first_service, run.options.load)], action)


def coordinator_paused(run: BenchRun) -> dict[str, Any]:
    """Pause the coordinator of the loaded service for a while."""
    event_s = run.options.middle_s
    before_and_after(run, event_s, settle_s=PAUSE_S + RECOVERY_S)

    def action(run: BenchRun, load: LoadRun) -> None:
        target = run.fleet.coordinator(run.first_service)
        process = run.fleet.processes_by_id[target]
        load.sleep_until(event_s)
        process.pause()
        load.sleep_until(event_s + PAUSE_S)
        process.resume()
        run.events = {"paused": target, "pause_s": PAUSE_S}

    return run.measure([run.lookups(run.first_service, run.options.load)], action)


def misleading(run: BenchRun) -> dict[str, Any]:
    """Let four upstreams send false load reports."""
    upstreams = run.upstreams(run.first_service)
    for upstream, report in zip(
        upstreams, ("zero", "zero", "full", "frozen"), strict=False
    ):
        run.fleet.set_behavior(upstream, report=report)
    return run.measure([run.lookups(run.first_service, run.options.load)])


def crashing(run: BenchRun) -> dict[str, Any]:
    """Repeat a request that crashes each server that runs it."""
    event_s = run.options.middle_s
    before_and_after(run, event_s)
    crash = run.lookups(
        run.first_service,
        0.0,
        "crashing",
        rate=2.0,
        begin_s=event_s,
        path="/records/crash",
        headers={"Crash-Backend": "yes"},
    )
    alike = run.lookups(
        run.first_service, 0.0, "alike", rate=20.0, path="/records/crash2"
    )

    def action(run: BenchRun, load: LoadRun) -> None:
        crashes = 0
        while time.monotonic() < load.start_at + run.options.end_s:
            for upstream in run.upstreams(run.first_service):
                process = run.fleet.processes_by_id[upstream]
                if not process.running:
                    crashes += 1
                    time.sleep(RESTART_CRASHED_S)
                    run.fleet.restart_backend(upstream)
            time.sleep(0.1)
        run.events = {"servers_crashed": crashes}

    lookups = run.lookups(run.first_service, run.options.load)
    return run.measure([lookups, crash, alike], action)


def rolling_restart(run: BenchRun) -> dict[str, Any]:
    """Stop each daemon as planned and start it again, one after another."""
    restart_s: list[float] = []
    exit_codes: list[int] = []

    def action(run: BenchRun, load: LoadRun) -> None:
        for daemon_id in run.fleet.daemon_ids:
            process = run.fleet.processes_by_id[daemon_id]
            begin = time.monotonic()
            process.terminate()
            exit_codes.append(process.wait(60.0))
            run.fleet.restart_daemon(daemon_id)
            restart_s.append(round(time.monotonic() - begin, 2))
        finished_s = time.monotonic() - load.start_at
        run.events = {
            "exit_codes": exit_codes,
            "restart_s": restart_s,
            "finished_before_load_ended": finished_s < run.options.end_s,
        }

    streams = [run.lookups(run.first_service, run.options.load), run.payments(10.0)]
    return run.measure(streams, action)


def spread(run: BenchRun) -> dict[str, Any]:
    """Measure how fast a text takes effect, with and without the store."""
    streams = [run.lookups(run.first_service, 0.2)]
    return run.measure(streams, lambda run, load: measure_spread(run))


SCENARIO_BY_NAME: dict[str, Scenario] = {
    function.__name__: function
    for function in (
        steady,
        added_latency,
        straggler,
        siblings,
        payment_burst,
        fast_failure,
        leaving,
        coordinator_killed,
        coordinator_paused,
        misleading,
        crashing,
        spread,
        rolling_restart,
    )
}
