"""Room at the upstreams of a service for calls that can wait for it.

Answers bursts of up to twice what the upstreams take: a call that waits a few
milliseconds for a slot is answered sooner than one that slows down all calls of an
upstream, or that queues at one while another upstream becomes free.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from banyanshelf_core.model import UpstreamState
from banyanshelf_core.placement.choice import (
    COLD_START_FACTOR,
    MIN_CROSS_ZONE_GAIN,
    NEARLY_FULL_SHARE,
    RESPONSE_MARGIN_S,
    Candidate,
    PlacementSelector,
    on_time_probability,
)
from banyanshelf_core.placement.decisions import Placed, PlacementRequest, Refused
from banyanshelf_core.placement.lent_room import (
    LOAN_VALIDITY_S,
    MIN_GAIN_WITH_LOAN,
    ZoneState,
)
from banyanshelf_core.placement.upstream_load import UpstreamLoad

# Calls that other gateways do not report are estimated and decay slowly; a slot counts
# as free when less than this part of it is in use.
FREE_SLOT_TOLERANCE = 0.5
# A late call takes a slot only up to this utilization, so that the next call that can
# still be in time finds one.
LATE_CALL_ROOM_SHARE = 0.9


def efficient_slots(load: UpstreamLoad, full_factor: float) -> int:
    """Return how many calls an upstream should run at once.

    The last slots do not pay if they slow down the other calls so much that fewer
    calls are finished per second.

    Example:
        An upstream of 4 slots that is 1.7 times slower when full finishes as many calls
        as 2.4 slots at full speed, so that 3 calls at once are better than 4.

    """
    slots = load.upstream.slots
    nearly_full = math.floor(NEARLY_FULL_SHARE * slots)
    return nearly_full if nearly_full > slots / full_factor else slots


def has_room(now: float, selector: PlacementSelector, load: UpstreamLoad) -> bool:
    """Whether an upstream can start one more call without slowing down the others."""
    slots = efficient_slots(load, selector.estimate.full_factor)
    return load.in_flight(now) < slots - FREE_SLOT_TOLERANCE


def service_rate(now: float, selector: PlacementSelector, work_s: float) -> float:
    """Return the calls per second, of ``work_s`` seconds each, that the zone ends."""
    per_s = 0.0
    for load in selector.local_loads():
        if not load.takes_calls(now) and not _is_only_limited(now, load):
            continue
        slots = efficient_slots(load, selector.estimate.full_factor)
        slot_work_s = work_s * (COLD_START_FACTOR if now < load.cold_until else 1.0)
        age_s = now - load.reported_at
        slots_per_s = slots / selector.pace.service_s(slot_work_s, load.rate, age_s)
        limit_per_s = load.limit(now).per_s
        per_s += slots_per_s if limit_per_s is None else min(slots_per_s, limit_per_s)
    return per_s


def expected_here_s(
    now: float, selector: PlacementSelector, request: PlacementRequest, wait_s: float
) -> float:
    """Return the expected time until an answer from the local zone after a wait."""
    work_s = selector.estimate.expected_work_s(request.work_class, request.target - now)
    services_s = [
        selector.pace.service_s(work_s, load.rate, now - load.reported_at)
        for load in _usable_here(now, selector)
        if load.upstream.id not in request.excluded
    ]
    return wait_s + min(services_s, default=math.inf)


def is_served_here(
    now: float, selector: PlacementSelector, request: PlacementRequest
) -> bool:
    """Whether the local zone has an upstream that the call may still be sent to."""
    return any(
        load.upstream.id not in request.excluded for load in _usable_here(now, selector)
    )


def zone_state(now: float, selector: PlacementSelector, waiting: int) -> ZoneState:
    """Return the room of the local zone, with so many calls waiting for it."""
    return _state_of(_usable_here(now, selector), now, selector, waiting)


def lendable_loads(now: float, selector: PlacementSelector) -> list[UpstreamLoad]:
    """Return the upstreams of the local zone that other zones may be told of.

    What is known of them is recent, and they state no limit and are not cold: other
    zones would not know of that.
    """
    return [
        load
        for load in _usable_here(now, selector)
        if load.limit(now).per_s is None and now - load.reported_at <= LOAN_VALIDITY_S
    ]


def lendable_state(now: float, selector: PlacementSelector, waiting: int) -> ZoneState:
    """Return the room of the upstreams that other zones may be told of."""
    return _state_of(lendable_loads(now, selector), now, selector, waiting)


def _state_of(
    loads: Iterable[UpstreamLoad],
    now: float,
    selector: PlacementSelector,
    waiting: int,
) -> ZoneState:
    slots = in_flight = 0.0
    for load in loads:
        efficient = efficient_slots(load, selector.estimate.full_factor)
        slots += efficient
        in_flight += min(efficient, load.in_flight(now))
    return ZoneState(slots, in_flight, waiting)


def utilization(now: float, selector: PlacementSelector) -> float:
    """Return the share of the local zone's room that is in use."""
    return zone_state(now, selector, waiting=0).utilization


def is_full(now: float, selector: PlacementSelector) -> bool:
    """Whether no upstream of the local zone has room."""
    return not any(
        has_room(now, selector, load) for load in _usable_here(now, selector)
    )


def find_room(
    now: float,
    selector: PlacementSelector,
    request: PlacementRequest,
    *,
    may_be_late: bool,
) -> Placed | None:
    """Return a placement in the local zone, or None if the call has to wait.

    With ``may_be_late``, a call gets room that calls in time leave free, provided that
    it is answered before its deadline.
    """
    candidates = _with_room(now, selector, request, selector.local_loads())
    best = selector.fastest(candidates)
    if best is None:
        return None
    end = now + best[0] + RESPONSE_MARGIN_S
    if end <= request.target:
        return selector.placed(now, best, len(candidates))
    is_room_left = utilization(now, selector) < LATE_CALL_ROOM_SHARE
    if may_be_late and is_room_left and end <= request.deadline:
        return selector.placed(now, best, len(candidates))
    return None


def find_room_elsewhere(
    now: float,
    selector: PlacementSelector,
    request: PlacementRequest,
    *,
    local_s: float,
) -> Placed | Refused:
    """Return a placement in another zone if that is much more likely to be in time.

    ``local_s`` is the expected time until the answer if the call waits for room here.
    """
    oldest = now - request.max_remote_report_age_s
    candidates = [
        each
        for each in _with_room(now, selector, request, selector.remote_loads())
        if each[1].reported_at >= oldest or each[1].stated_limit.per_s is not None
        if selector.may_leave_for(now, each[1])
    ]
    best = selector.fastest(candidates)
    left_s = request.target - now
    local_chance = on_time_probability(local_s, left_s)
    lent = [each for each in candidates if selector.is_lent(now, each[1])]
    for found, min_gain in (
        (selector.fastest(lent), MIN_GAIN_WITH_LOAN),
        (best, MIN_CROSS_ZONE_GAIN),
    ):
        if found is None:
            continue
        if on_time_probability(found[0], left_s) - local_chance >= min_gain:
            return selector.placed(now, found, len(candidates))
    return Refused("no zone has room in time", 0.0)


def _is_only_limited(now: float, load: UpstreamLoad) -> bool:
    """Whether an upstream takes calls again as soon as its limit grants a request."""
    is_live = load.upstream.state is UpstreamState.LIVE
    is_held_back = load.is_paused(now) or load.is_ejected(now)
    return is_live and load.is_limited(now) and not is_held_back


def _usable_here(now: float, selector: PlacementSelector) -> Iterator[UpstreamLoad]:
    return (each for each in selector.local_loads() if each.takes_calls(now))


def _with_room(
    now: float,
    selector: PlacementSelector,
    request: PlacementRequest,
    loads: Iterable[UpstreamLoad],
) -> list[Candidate]:
    """Return the upstreams with room; the costly estimate is made for these only."""
    return [
        selector.candidate(now, load, request)
        for load in loads
        if load.upstream.id not in request.excluded
        and load.takes_calls(now)
        and has_room(now, selector, load)
    ]
