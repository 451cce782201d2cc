"""Room that availability zones lend each other, and when a zone borrows it.

Answers demand that is spread unevenly over the zones for longer than a call takes: a
burst in one zone, callers that move, or a zone that has lost upstreams. One gateway of
a zone knows the room of its upstreams, so a zone in need asks, and another one answers
with what it can spare. What is lent is divided among all borrowers and expires soon, so
that zones that turn to the same one do not overload it together.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from banyanshelf_core.model import MemberId, UpstreamId

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
# No zone has room for more calls; a larger number is damaged.
MAX_LOAN = 100_000


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


class ZoneState(NamedTuple):
    """Slots and calls of one service in a zone; ``waiting`` calls have no slot yet."""

    slots: float
    in_flight: float
    waiting: int

    @property
    def utilization(self) -> float:
        """The share of the slots that is in use, at most 1; a zone without is full."""
        return min(1.0, self.in_flight / self.slots) if self.slots else 1.0


class _Loan(NamedTuple):
    calls: int
    expires_at: float
    upstream_ids: frozenset[UpstreamId] = frozenset()


class Lender:
    """What this gateway has lent of one service, by borrower.

    Example:
        ``lender.lend(now, "g7", ZoneState(40, 14, 0), lenders=1)`` is 20 for the only
        borrower: 26 slots are free, 6 of them reserved.

    """

    def __init__(self) -> None:
        self._loan_by_borrower: dict[MemberId, _Loan] = {}
        self._asked_at_by_borrower: dict[MemberId, float] = {}

    def lend(
        self, now: float, borrower: MemberId, state: ZoneState, lenders: int
    ) -> int:
        """Return how many calls a borrower may send until the next answer.

        ``lenders`` is the number of gateways that lend the same room. A zone with
        waiting calls of its own lends nothing. Valid loans count as used.
        """
        self._asked_at_by_borrower[borrower] = now
        self._forget(now)
        self._loan_by_borrower.pop(borrower, None)
        if state.waiting:
            return 0
        spare = (state.slots * (1 - RESERVED_SHARE) - state.in_flight) / lenders
        lent = sum(each.calls for each in self._loan_by_borrower.values())
        part = min(spare / len(self._asked_at_by_borrower), spare - lent)
        calls = max(0, int(part))
        self._loan_by_borrower[borrower] = _Loan(calls, now + LOAN_VALIDITY_S)
        return calls

    def _forget(self, now: float) -> None:
        for borrower, asked_at in list(self._asked_at_by_borrower.items()):
            if now - asked_at > BORROWER_TIMEOUT_S:
                del self._asked_at_by_borrower[borrower]
        for borrower, loan in list(self._loan_by_borrower.items()):
            if now >= loan.expires_at:
                del self._loan_by_borrower[borrower]


class Loans:
    """Room of one service that other zones have lent to this gateway.

    A loan is good for the upstreams that its lender has named.

    Example:
        ``loans.record(now, "zone-b", 3, {"u1"})`` records an answer, and
        ``loans.take(now, "zone-b")`` uses one of the three calls.

    """

    def __init__(self) -> None:
        self._loan_by_zone: dict[str, _Loan] = {}

    def record(
        self, now: float, zone: str, calls: int, upstream_ids: Iterable[UpstreamId]
    ) -> None:
        """Record what a zone lends; this replaces what is left of its last loan."""
        expires_at = now + LOAN_VALIDITY_S
        loan = _Loan(min(calls, MAX_LOAN), expires_at, frozenset(upstream_ids))
        self._loan_by_zone[zone] = loan

    def has_answer(self, now: float, zone: str) -> bool:
        """Whether a zone has said lately what it lends, which may be nothing."""
        loan = self._loan_by_zone.get(zone)
        return loan is not None and now < loan.expires_at

    def calls_left(self, now: float, zone: str) -> int:
        """Return the number of calls that may still be sent to a zone."""
        return self._loan_by_zone[zone].calls if self.has_answer(now, zone) else 0

    def has_calls_left(self, now: float) -> bool:
        """Whether any zone has lent more than was used."""
        return any(self.calls_left(now, zone) for zone in self._loan_by_zone)

    def covers(self, now: float, zone: str, upstream_id: UpstreamId) -> bool:
        """Whether one more call to an upstream of a zone is covered by its loan."""
        if not self.calls_left(now, zone):
            return False
        return upstream_id in self._loan_by_zone[zone].upstream_ids

    def take(self, now: float, zone: str) -> None:
        """Use one call of a zone's loan, if there is one."""
        self._add(now, zone, -1)

    def give_back(self, now: float, zone: str) -> None:
        """Return a call that was not sent to a zone's loan."""
        self._add(now, zone, 1)

    def _add(self, now: float, zone: str, calls: int) -> None:
        if self.has_answer(now, zone):
            loan = self._loan_by_zone[zone]
            left = max(0, loan.calls + calls)
            self._loan_by_zone[zone] = loan._replace(calls=left)
