"""One measured run: a fleet under load, its usage, and the checks of every answer."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from banyanshelf_bench.control import call_json
from banyanshelf_bench.deployments import Deployment
from banyanshelf_bench.fleet import Fleet
from banyanshelf_bench.load import LoadRun, LoadSummary, running_load
from banyanshelf_bench.load_plan import Stream

LOAD_PROCESSES = 4
CALL_TIMEOUT_S = 5.0

Action = Callable[["BenchRun", LoadRun], None]


class RunOptions(NamedTuple):
    """What a measurement is started with.

    ``load`` is the part of the first service's slot time that calls use. ``scale``
    multiplies service times and divides rates. Times are in seconds.
    """

    scenario: str
    policy: str
    deployment: Deployment
    seed: int
    load: float
    seconds: float
    warm_up_s: float
    daemons: int
    scale: float

    @property
    def mean_ms(self) -> float:
        """Mean service time."""
        return 20.0 * self.scale

    @property
    def end_s(self) -> float:
        """When the load ends."""
        return self.warm_up_s + self.seconds

    @property
    def middle_s(self) -> float:
        """When a scenario's event happens."""
        return self.warm_up_s + self.seconds / 3


class Usage(NamedTuple):
    """Resource use of the daemons and backend servers up to one moment."""

    at: float
    cpu_s_by_daemon: dict[str, float]
    peer_bytes: int
    calls_finished: int
    probe_s: float


class BenchRun:
    """A fleet, the load on it, and what was seen; ``events`` are scenario results."""

    def __init__(self, options: RunOptions, fleet: Fleet) -> None:
        self.options = options
        self.fleet = fleet
        self.events: dict[str, Any] = {}
        self.phases: dict[str, tuple[float, float]] = {}

    @property
    def first_service(self) -> str:
        """The service that takes payments or commissions."""
        return self.options.deployment.services[0]

    @property
    def second_service(self) -> str:
        """The service that the first one depends on."""
        return self.options.deployment.services[1]

    def upstreams(self, service: str) -> list[str]:
        """Return the backend servers of a service."""
        return [
            backend.id
            for backend in self.fleet.shape.backends
            if backend.service == service
        ]

    def rate(self, service: str, load: float) -> float:
        """Return the calls per second that use a part of a service's slot time."""
        slots = len(self.upstreams(service)) * self.options.deployment.slots
        return load * slots * 1000.0 / self.options.mean_ms

    def lookups(
        self, service: str, load: float, name: str = "", **fields: Any
    ) -> Stream:
        """Return a stream of idempotent calls from outside to all daemons."""
        fleet = self.fleet
        values: dict[str, Any] = {
            "name": name or f"{service}-lookups",
            "addresses": [fleet.caller_address(item) for item in fleet.daemon_ids],
            "host": self.options.deployment.host(service),
            "rate": self.rate(service, load),
            "path": "/records/12",
            "end_s": self.options.end_s,
        }
        return Stream(**{**values, **fields})

    def payments(self, rate: float, **fields: Any) -> Stream:
        """Return a stream of calls that must run at most once, each with a key."""
        return self.lookups(
            self.first_service,
            0.0,
            rate=rate,
            method="POST",
            path=self.options.deployment.payment_path,
            body_bytes=300,
            keyed=True,
            **{"name": "payments", **fields},
        )

    def health_by_address(self) -> dict[str, str]:
        """Return what the platform's balancer polls."""
        fleet = self.fleet
        return {
            fleet.caller_address(item): fleet.operator_address(item)
            for item in fleet.daemon_ids
        }

    def usage(self) -> Usage:
        """Return the use of resources so far."""
        fleet = self.fleet
        cpu_s_by_daemon = {
            daemon_id: fleet.processes_by_id[daemon_id].cpu_seconds()
            for daemon_id in fleet.daemon_ids
        }
        peer_bytes = sum(
            sum_numbers(fleet.status(daemon_id)["peer_bytes"]["bytes_out"])
            for daemon_id in fleet.daemon_ids
            if fleet.processes_by_id[daemon_id].serves
        )
        records = self.backend_records()
        finished = sum(record["finished"] for record in records)
        probe_s = sum(record["probe_s"] for record in records)
        return Usage(time.monotonic(), cpu_s_by_daemon, peer_bytes, finished, probe_s)

    def backend_records(self) -> list[dict[str, Any]]:
        """Return the records of the backend servers that run."""
        fleet = self.fleet
        return [
            fleet.backend_statistics(item)
            for item in fleet.backend_ids
            if fleet.processes_by_id[item].running
        ]

    def measure(
        self, streams: list[Stream], action: Action | None = None
    ) -> dict[str, Any]:
        """Run the load with an action beside it, and return everything measured."""
        load_before = os.getloadavg()
        for backend_id in self.fleet.backend_ids:
            call_json("POST", self.fleet.backend_control(backend_id), "/reset")
        with running_load(
            streams,
            self.options.seed,
            LOAD_PROCESSES,
            CALL_TIMEOUT_S,
            self.health_by_address(),
        ) as load:
            load.sleep_until(self.options.warm_up_s)
            before = self.usage()
            if action is not None:
                action(self, load)
            load.sleep_until(self.options.end_s)
            after = self.usage()
            summary = load.finish()
        return {
            "streams": self._streams(streams, summary),
            "usage": self._usage(before, after),
            "backends": self._backends(),
            "checks": self._checks(summary),
            "generator": {
                "lateness_ms": summary.lateness,
                "cpu_s": summary.cpu_s,
                "redirected": summary.redirected,
            },
            "machine": {
                "cores": os.cpu_count(),
                "load_before": [round(value, 2) for value in load_before],
                "load_after": [round(value, 2) for value in os.getloadavg()],
            },
            "events": self.events,
        }

    def _streams(self, streams: list[Stream], summary: LoadSummary) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for stream in streams:
            seen = summary.stream_by_name[stream.name]
            begin = max(self.options.warm_up_s, stream.begin_s)
            phases = self.phases or {"measured": (begin, self.options.end_s)}
            result[stream.name] = {
                "rate": round(stream.rate, 1),
                "outcomes": dict(seen.outcomes),
                "phases": {
                    name: {
                        "latency_ms": seen.latency(*bounds),
                        "above_service_ms": seen.above_service(*bounds),
                    }
                    for name, bounds in phases.items()
                },
                "p99_above_service_ms_by_second": seen.p99_by_second(),
                "failures": seen.failures[:10],
            }
        return result

    def _usage(self, before: Usage, after: Usage) -> dict[str, Any]:
        seconds = after.at - before.at
        # A daemon that was restarted meanwhile has only used its later CPU time.
        cpu_s = [
            (
                used - before.cpu_s_by_daemon[daemon_id]
                if used >= before.cpu_s_by_daemon[daemon_id]
                else used
            )
            for daemon_id, used in after.cpu_s_by_daemon.items()
        ]
        calls = max(1, after.calls_finished - before.calls_finished)
        slot_count = sum(backend.slots for backend in self.fleet.shape.backends)
        daemons = len(self.fleet.daemon_ids)
        memory = [
            self.fleet.processes_by_id[item].resident_kilobytes()
            for item in self.fleet.daemon_ids
        ]
        return {
            "seconds": round(seconds, 2),
            "calls_per_second": round(calls / seconds, 1),
            "daemon_cpu_us_per_call": round(sum(cpu_s) / calls * 1e6),
            "daemon_cores": round(sum(cpu_s) / seconds, 3),
            "busiest_daemon_cores": round(max(cpu_s) / seconds, 3),
            "control_bytes_sent_per_node_per_second": round(
                (after.peer_bytes - before.peer_bytes) / seconds / daemons
            ),
            "probe_share_of_slot_time": round(
                (after.probe_s - before.probe_s) / (seconds * slot_count), 6
            ),
            "daemon_memory_kb_max": max(memory, default=0),
        }

    def _backends(self) -> dict[str, Any]:
        records = self.backend_records()
        runs = [record["runs_by_token"] for record in records]
        started = sum(sum(item.values()) for item in runs)
        tokens = set().union(*runs) if runs else set()
        return {
            "started": sum(record["started"] for record in records),
            "runs_beyond_first": started - len(tokens),
            "probes": sum(record["probes"] for record in records),
            "peak_queue_beyond_slots": max(
                (record["peak_queue"] for record in records), default=0
            ),
            "cancelled": sum(record["cancelled"] for record in records),
            "shed": sum(record["shed"] for record in records),
            "expired": sum(record["expired"] for record in records),
        }

    def _checks(self, summary: LoadSummary) -> dict[str, Any]:
        runs_by_key: dict[str, int] = {}
        ran: set[str] = set()
        for record in self.backend_records():
            ran.update(record["runs_by_token"])
            for key, count in record["runs_by_key"].items():
                runs_by_key[key] = runs_by_key.get(key, 0) + count
        outcomes = summary.outcomes()
        not_run = {
            token
            for stream in summary.stream_by_name.values()
            for token in stream.not_run_tokens
        }
        return {
            "wrong_answers": outcomes.get("wrong", 0),
            "cut_answers": outcomes.get("cut", 0),
            "keys_run_more_than_once": sum(count > 1 for count in runs_by_key.values()),
            "said_not_run_but_ran": len(not_run & ran),
        }


def sum_numbers(value: Any) -> int:
    """Return the sum of all numbers in nested JSON."""
    if isinstance(value, dict):
        return sum(sum_numbers(item) for item in value.values())
    if isinstance(value, list):
        return sum(sum_numbers(item) for item in value)
    return int(value) if isinstance(value, int | float) else 0
