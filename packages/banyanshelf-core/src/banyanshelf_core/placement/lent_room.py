"""Room that availability zones lend each other, and when a zone borrows it.

Answers demand that is spread unevenly over the zones for longer than a call takes: a
burst in one zone, callers that move, or a zone that has lost upstreams. One gateway of
a zone knows the room of its upstreams, so a zone in need asks, and another one answers
with what it can spare. What is lent is divided among all borrowers and expires soon, so
that zones that turn to the same one do not overload it together.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from banyanshelf_core.model import MemberId

# Above this utilization the next calls have to wait for a slot at times.
SHORT_UTILIZATION = 0.85
# A zone that borrows has less in use at home for a moment. It stays short until its
# utilization would allow for the calls that come back.
ENOUGH_UTILIZATION = 0.7
ENOUGH_TIME_S = 0.5
# A lender keeps this share of its slots free for its own callers.
RESERVED_SHARE = 0.15
# A loan is renewed every LOAN_PERIOD_S while it is needed; one renewal may be lost.
LOAN_PERIOD_S = 0.1
LOAN_VALIDITY_S = 0.25
# A borrower that has not asked for this long has no part of the room any more.
BORROWER_TIMEOUT_S = 0.3
# With a loan, a call leaves its zone for this much more probability to be in time.
# Without one the load of other zones is known less well, and more is demanded.
MIN_GAIN_WITH_LOAN = 0.15


class RoomNeed:
    """Whether a zone is short of room for the calls of one service.

    It becomes short at once, and has enough again only after its utilization has been
    low for ``ENOUGH_TIME_S``. Without this hysteresis a zone would bring its calls back
    as soon as the first ones have left, and be short again.

    Example:
        ``need.update(now, 0.9, waiting=0)`` is True.

    """

    def __init__(self) -> None:
        self.is_short = False
        self._enough_since = math.inf

    def update(self, now: float, utilization: float, waiting: int) -> bool:
        """Record the utilization and the waiting calls; return whether it is short."""
        if waiting or utilization >= SHORT_UTILIZATION:
            self.is_short = True
            self._enough_since = math.inf
        elif utilization >= ENOUGH_UTILIZATION:
            self._enough_since = math.inf
        else:
            self._enough_since = min(self._enough_since, now)
            if now - self._enough_since >= ENOUGH_TIME_S:
                self.is_short = False
        return self.is_short


class Borrowers:
    """The gateways that have asked for room of one service lately."""

    def __init__(self) -> None:
        self._asked_at_by_id: dict[MemberId, float] = {}

    def note(self, now: float, borrower: MemberId) -> None:
        """Record that a gateway asks for room."""
        self._asked_at_by_id[borrower] = now

    def count(self, now: float) -> int:
        """Return how many gateways share the room."""
        for member_id, asked_at in list(self._asked_at_by_id.items()):
            if now - asked_at > BORROWER_TIMEOUT_S:
                del self._asked_at_by_id[member_id]
        return len(self._asked_at_by_id)


class ZoneState(NamedTuple):
    """Slots and calls of one service in a zone; ``waiting`` calls have no slot yet."""

    slots: float
    in_flight: float
    waiting: int

    @property
    def utilization(self) -> float:
        """The share of the slots that is in use, at most 1; a zone without is full."""
        return min(1.0, self.in_flight / self.slots) if self.slots else 1.0


def lendable_calls(state: ZoneState, borrowers: int, lenders: int) -> int:
    """Return how many calls each borrower may send within one ``LOAN_PERIOD_S``.

    ``lenders`` is the number of gateways that lend the same room. A zone with waiting
    calls of its own lends nothing.

    Example:
        ``lendable_calls(ZoneState(40, 14, 0), borrowers=2, lenders=1)`` is 10: 26 slots
        are free, 6 of them reserved.

    """
    if state.waiting or not borrowers:
        return 0
    spare = state.slots * (1 - RESERVED_SHARE) - state.in_flight
    return max(0, int(spare / (borrowers * lenders)))


class _Loan(NamedTuple):
    calls: int
    expires_at: float


class Loans:
    """Room of one service that other zones have lent to this gateway.

    Example:
        ``loans.note(now, "zone-b", 3)`` records an answer, ``loans.take(now,
        "zone-b")`` uses one of the three calls.

    """

    def __init__(self) -> None:
        self._loan_by_zone: dict[str, _Loan] = {}

    def note(self, now: float, zone: str, calls: int) -> None:
        """Record what a zone lends; this replaces what is left of its last loan."""
        self._loan_by_zone[zone] = _Loan(calls, now + LOAN_VALIDITY_S)

    def left(self, now: float, zone: str) -> int:
        """Return the number of calls that may still be sent to a zone."""
        loan = self._loan_by_zone.get(zone)
        if loan is None or now >= loan.expires_at:
            return 0
        return loan.calls

    def take(self, now: float, zone: str) -> None:
        """Use one call of a zone's loan, if there is one."""
        left = self.left(now, zone)
        if left:
            loan = self._loan_by_zone[zone]
            self._loan_by_zone[zone] = loan._replace(calls=left - 1)

    def snapshot(self, now: float) -> Mapping[str, int]:
        """Return the calls that may still be sent, by zone."""
        return {zone: self.left(now, zone) for zone in self._loan_by_zone}
