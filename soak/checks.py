"""The promises that a run is checked for, from what callers and upstreams saw."""

from __future__ import annotations

from typing import NamedTuple

from banyanshelf_standins.platform_upstream import Run
from soak.callers import Call
from soak.site import LIMIT_PER_S, zone_of

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Bounds of the platform's pages, in seconds.
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
# A gateway is held to the bounds after this time without a disturbance.
STABLE_S = 3.0
# Share of the calls after the last fault that must be answered by an upstream.
SERVED_SHARE_AFTER_FAULTS = 0.9
# In any window, an upstream gets at most this multiple of what its limit allows, and
# some requests more. Requests of gateways that were disturbed count too.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_EXTRA = 4.0, 1.5, 5
Runs = dict[str, list[tuple[str, Run]]]


class Span(NamedTuple):
    """A time in monotonic seconds during which something was disturbed."""

    begin: float
    end: float

    def touches(self, begin: float, end: float) -> bool:
        """Whether this span and another one have a moment in common."""
        return self.begin <= end and begin <= self.end


class Record(NamedTuple):
    """What a run did, for the checks.

    ``disturbed_by_gateway`` holds the times in which a gateway, or what it depends on,
    was disturbed; ``stopped_by_gateway`` those of its planned stops.
    ``accepted_by_version`` and ``left_by_instance`` are the times at which the store
    accepted a version or an instance's leaving. ``evacuated_by_zone`` holds the times
    in which a zone was evacuated. ``arrivals_by_instance`` are the times of all
    requests at instances that state a limit.
    """

    calls: list[Call]
    runs: Runs
    arrivals_by_instance: dict[str, list[float]]
    disturbed_by_gateway: dict[int, list[Span]]
    stopped_by_gateway: dict[int, list[Span]]
    accepted_by_version: dict[int, float]
    left_by_instance: dict[str, float]
    evacuated_by_zone: dict[str, list[Span]]
    last_fault_ended: float
    ended_by_themselves: list[str]


def timeless_faults_found(record: Record) -> list[str]:
    """Return a line for each broken promise that names no time."""
    return [
        *_foreign_answers(record),
        *_repeated_runs(record),
        *_false_refusals(record),
        *_foreign_tenants(record),
        *(f"{each} ended by itself" for each in record.ended_by_themselves),
    ]


def faults_found(record: Record) -> list[str]:
    """Return a line for each promise that was broken."""
    return [
        *timeless_faults_found(record),
        *_old_configurations(record),
        *_late_work(record),
        *_work_in_evacuated_zones(record),
        *_cut_by_planned_stops(record),
        *_beyond_limits(record),
        *_not_served_at_the_end(record),
    ]


def _foreign_answers(record: Record) -> list[str]:
    found = []
    for call in record.calls:
        if call.status == 200:
            is_own = call.attempt.encode() in call.body.split()
            if not (is_own and call.is_signed and call.named_attempt == call.attempt):
                found.append(f"{call.attempt}: not its own whole answer: {call}")
    return found


def _repeated_runs(record: Record) -> list[str]:
    return [
        f"{call.attempt}: an unsafe call ran {len(runs)} times: {runs}"
        for call in record.calls
        if call.is_unsafe and len(runs := record.runs.get(call.attempt, [])) > 1
    ]


def _false_refusals(record: Record) -> list[str]:
    return [
        f"{call.attempt}: {call.status} after a run: {record.runs[call.attempt]}"
        for call in record.calls
        if call.is_unsafe
        and call.status in NOT_RUN_STATUSES
        and call.attempt in record.runs
    ]


def _foreign_tenants(record: Record) -> list[str]:
    call_by_attempt = {call.attempt: call for call in record.calls}
    found = []
    for attempt, runs in record.runs.items():
        call = call_by_attempt.get(attempt)
        for instance, run in runs:
            if run.credential:
                found.append(f"{attempt}: its key reached {instance}")
            if call is not None and run.tenant != call.tenant:
                found.append(f"{attempt}: ran for {run.tenant!r}, not {call.tenant}")
    return found


def _old_configurations(record: Record) -> list[str]:
    found = []
    for call in record.calls:
        accepted = record.accepted_by_version.get(call.version)
        if accepted is None or _is_disturbed(record, call):
            continue
        removed = record.accepted_by_version.get(call.version + 1)
        if (
            call.status in (401, 404)
            and call.sent_at > accepted + CONFIGURATION_BOUND_S
            and (removed is None or call.ended_at < removed)
        ):
            found.append(f"{call.attempt}: version {call.version} is not in force")
        if (
            call.status == 200
            and removed is not None
            and call.sent_at > removed + CONFIGURATION_BOUND_S
        ):
            found.append(f"{call.attempt}: a route removed before is served")
    return found


def _late_work(record: Record) -> list[str]:
    call_by_attempt = {call.attempt: call for call in record.calls}
    found = []
    for attempt, runs in record.runs.items():
        call = call_by_attempt.get(attempt)
        if call is None or _is_disturbed(record, call):
            continue
        for instance, run in runs:
            left = record.left_by_instance.get(instance)
            if left is not None and run.at > left + DRAIN_BOUND_S:
                late_s = run.at - left
                found.append(
                    f"{attempt}: ran at {instance} {late_s:.2f} s after it left"
                )
    return found


def _work_in_evacuated_zones(record: Record) -> list[str]:
    call_by_attempt = {call.attempt: call for call in record.calls}
    found = []
    for attempt, runs in record.runs.items():
        call = call_by_attempt.get(attempt)
        if call is None or _is_disturbed(record, call):
            continue
        found += [
            f"{attempt}: ran at {instance} {run.at - span.begin:.2f} s after its zone "
            "was evacuated"
            for instance, run in runs
            for span in record.evacuated_by_zone.get(zone_of(instance), [])
            if span.begin + EVACUATION_BOUND_S < run.at < span.end
        ]
    return found


def _cut_by_planned_stops(record: Record) -> list[str]:
    found = []
    for call in record.calls:
        stops = record.stopped_by_gateway.get(call.gateway, [])
        is_stop = any(stop.touches(call.sent_at, call.ended_at) for stop in stops)
        was_run = call.attempt in record.runs
        if is_stop and was_run and not call.status and not _is_disturbed(record, call):
            found.append(f"{call.attempt}: cut by a planned stop: {call.error}")
    return found


def _beyond_limits(record: Record) -> list[str]:
    found = []
    allowed = LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_EXTRA
    for instance, times in record.arrivals_by_instance.items():
        counted = [each for each in times if each >= times[0] + STABLE_S]
        first = 0
        for last, at in enumerate(counted):
            while counted[first] <= at - LIMIT_WINDOW_S:
                first += 1
            if last - first + 1 > allowed:
                count = last - first + 1
                found.append(f"{instance} got {count} requests in 4 s until {at:.2f}")
                break
    return found


def _not_served_at_the_end(record: Record) -> list[str]:
    late = [
        call
        for call in record.calls
        if call.sent_at > record.last_fault_ended + STABLE_S and not call.version
    ]
    served = sum(1 for call in late if call.is_signed)
    if not late:
        return ["no call after the last fault"]
    if served < SERVED_SHARE_AFTER_FAULTS * len(late):
        seen = sorted(
            {(call.status, call.error) for call in late if not call.is_signed}
        )
        return [f"{served} of {len(late)} calls served after all faults: {seen}"]
    return []


def _is_disturbed(record: Record, call: Call) -> bool:
    spans = record.disturbed_by_gateway.get(call.gateway, [])
    return any(span.touches(call.sent_at - STABLE_S, call.ended_at) for span in spans)
