"""Calls of one service that wait for room at its upstreams.

Answers bursts beyond the slots of the upstreams that last for less time than callers
have, and keeps what a longer overload leaves to callers that can still be answered in
time. A call that has no prospect of its turn is refused at once.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from banyanshelf_core.model import ServiceName
from banyanshelf_core.placement.choice import MIN_RETRY_AFTER_S, RESPONSE_MARGIN_S
from banyanshelf_core.placement.decisions import PlacementRequest, Refused
from banyanshelf_core.placement.fair_order import FairOrder
from banyanshelf_core.text import OperatorText

# Bounds the memory of one service's queue.
MAX_WAITING_CALLS = 1024
# A late answer has its use, but a caller that waited for long and is refused has lost
# the time in which it could have asked again: a late call waits at most for this share
# of what its caller has left.
MAX_LATE_WAIT_SHARE = 0.25
# Late calls have at least this share of the service rate to themselves when their turn
# is estimated, as the demand of the others varies.
MIN_LATE_RATE_SHARE = 0.3
# A caller that is told to return later than after this share of its time will not.
MAX_RETURN_SHARE = 1 / 3
# Callers that have no return time of their own are spread over this part of that time.
RETURN_SPREAD = 0.5

NO_TURN_REASON = "no upstream has room in time"


@dataclass(eq=False, slots=True)
class WaitingCall:
    """A call that waits since ``arrived``.

    ``is_held`` is true while a placement of the call is being tried.
    ``tries_elsewhere`` counts how often other zones were considered.
    """

    request: PlacementRequest
    arrived: float
    is_held: bool = False
    tries_elsewhere: int = 0


@dataclass(slots=True)
class Turns:
    """Waiting calls in the order of their turns.

    ``in_time`` are those that are expected to be answered before their target, ``late``
    those before their deadline. ``refused`` have no prospect of either.
    """

    in_time: list[WaitingCall] = field(default_factory=list)
    late: list[WaitingCall] = field(default_factory=list)
    refused: list[tuple[WaitingCall, Refused]] = field(default_factory=list)


class _Rates(NamedTuple):
    per_s: float
    late_per_s: float


class WaitingCalls:
    """The queue of one service.

    Example:
        ``calls.add(now, request)`` queues a call. ``calls.turns(now, per_s,
        service_s)`` says who is next and who must be refused. ``calls.remove(now, call,
        is_served=True)`` ends a wait with a placement.

    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: dict[WaitingCall, None] = {}
        self._next_return_at = 0.0
        self.order = FairOrder()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, call: WaitingCall) -> bool:
        return call in self._waiting

    def add(self, now: float, request: PlacementRequest) -> WaitingCall:
        """Queue a call."""
        call = WaitingCall(request, now)
        self.order.note_asked(now, request)
        self._waiting[call] = None
        return call

    def remove(self, now: float, call: WaitingCall, *, is_served: bool) -> None:
        """End the wait of a call; has no effect on one that does not wait."""
        if call not in self._waiting:
            return
        del self._waiting[call]
        if is_served:
            self.order.note_served(now, call.request)

    def turns(
        self,
        now: float,
        per_s: float,
        service_s: Callable[[PlacementRequest], float],
    ) -> Turns:
        """Return the order of the waiting calls and those that must be refused.

        ``per_s`` is the rate at which room for calls frees up. ``service_s`` returns
        the expected time from a call's turn to its answer.
        """
        result = Turns()
        rates = self._rates(now, per_s)
        ordered, protected = self._ordered(now)
        for call in ordered:
            turn_at = now + _wait_s(len(result.in_time) + 1, rates.per_s)
            end = turn_at + service_s(call.request) + RESPONSE_MARGIN_S
            last = call.request.target
            if call is protected:
                last = call.request.deadline
            (result.in_time if end <= last else result.late).append(call)
        behind, result.late = result.late, []
        for call in behind:
            place = len(result.in_time) + len(result.late) + 1
            turn_at = now + _wait_s(place, rates.late_per_s)
            latest = _latest_late_turn(call, service_s(call.request))
            if turn_at <= latest and place <= MAX_WAITING_CALLS or call.is_held:
                result.late.append(call)
            else:
                backlog = len(result.in_time) + len(result.late)
                retry_after_s = self._book_return_s(now, call, backlog, rates)
                result.refused.append((call, Refused(NO_TURN_REASON, retry_after_s)))
        return result

    def _ordered(self, now: float) -> tuple[list[WaitingCall], WaitingCall | None]:
        """Return the waiting calls in their order, and one that goes before its rank.

        It is the first one of those that are underserved. Only one at a time goes
        first, as the others may not be underserved any more once it has room.
        """
        waiting = list(self._waiting)
        standings = self.order.standings(now, [each.request for each in waiting])
        ranked = sorted(
            zip(standings, waiting, strict=True),
            # Of equal calls, that of the caller who asked first goes first.
            key=lambda each: (each[0][:2], each[1].request.target),
        )
        ordered = [call for _, call in ranked]
        for standing, call in ranked:
            if standing.is_underserved:
                ordered.remove(call)
                return [call, *ordered], call
        return ordered, None

    def _rates(self, now: float, per_s: float) -> _Rates:
        spare_per_s = per_s - self.order.timely_per_s(now)
        late_per_s = max(MIN_LATE_RATE_SHARE * per_s, spare_per_s)
        return _Rates(per_s, late_per_s)

    def _book_return_s(
        self, now: float, call: WaitingCall, backlog: int, rates: _Rates
    ) -> float:
        """Return when a refused caller should come back, in seconds from now.

        Each one gets a time of its own after the backlog, at the rate at which there is
        room beyond the other calls.
        """
        most_s = max(0.0, MAX_RETURN_SHARE * (call.request.deadline - now))
        first_at = now + _wait_s(backlog + 1, rates.per_s)
        return_at = max(first_at, self._next_return_at)
        wait_s = return_at - now
        if wait_s > most_s:
            wait_s = most_s * self._rng.uniform(1 - RETURN_SPREAD, 1.0)
        else:
            self._next_return_at = return_at + _wait_s(1, rates.late_per_s)
        return max(MIN_RETRY_AFTER_S, wait_s)


def services_with_queue(text: OperatorText) -> set[ServiceName]:
    """Return the services whose calls wait for room.

    These are the ones that say so, and all if callers belong to workspaces, whose
    shares of the room are kept apart by the queue.
    """
    if text.workspaces:
        return set(text.services)
    return {name for name, each in text.services.items() if each.wait_for_room}


def _wait_s(calls: int, per_s: float) -> float:
    return calls / per_s if per_s > 0 else math.inf


def _latest_late_turn(call: WaitingCall, service_s: float) -> float:
    deadline = call.request.deadline
    patience_s = MAX_LATE_WAIT_SHARE * (deadline - call.arrived)
    latest = deadline - service_s - RESPONSE_MARGIN_S
    return min(call.arrived + patience_s, latest)
