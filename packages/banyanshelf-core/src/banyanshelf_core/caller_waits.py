"""Tells how long a caller has waited already when it tries again.

Callers count their time from the first try, but a gateway sees only the time that a
caller still waits. That time is nearly the same for all first tries on a route, so that
a shorter one tells of time that earlier tries have taken, here or at another gateway.
It answers a load of callers that return after a refusal, beside new ones.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence

# The deadlines of this many calls are kept for each route.
MAX_CALLS_PER_ROUTE = 64
# Fewer calls may all be later tries.
MIN_CALLS = 8
# This share of the calls may wait for longer than usual.
LONG_DEADLINE_SHARE = 0.1
# Callers of one kind differ by about a sixth in how long they wait. A later try comes
# after an answer and a pause, and waits for less than this share of the longest wait.
MIN_FIRST_ATTEMPT_SHARE = 0.8
# Routes come and go with the configuration; the oldest are forgotten beyond this many.
MAX_ROUTES = 1024


class CallerWaitEstimator:
    """The deadlines of recent calls by route; times in seconds.

    Example:
        If most calls on a route come with 0.45 to 0.5 s left, ``waited_s(route, 0.3)``
        returns about 0.17 and ``waited_s(route, 0.46)`` returns 0.

    """

    def __init__(self) -> None:
        self._deadlines_by_route: dict[Hashable, deque[float]] = {}

    def waited_s(self, route: Hashable, deadline_s: float) -> float:
        """Take in a call; return the time since its caller's first try."""
        deadlines = self._deadlines_by_route.get(route)
        if deadlines is None:
            deadlines = self._add_route(route)
        deadlines.append(deadline_s)
        if len(deadlines) < MIN_CALLS:
            return 0.0
        first_tries = _first_tries(deadlines)
        if deadline_s >= first_tries[0]:
            return 0.0
        return max(0.0, sum(first_tries) / len(first_tries) - deadline_s)

    def _add_route(self, route: Hashable) -> deque[float]:
        if len(self._deadlines_by_route) >= MAX_ROUTES:
            del self._deadlines_by_route[next(iter(self._deadlines_by_route))]
        added: deque[float] = deque(maxlen=MAX_CALLS_PER_ROUTE)
        self._deadlines_by_route[route] = added
        return added


def _first_tries(deadlines: Sequence[float]) -> list[float]:
    """Return the deadlines of what look like first tries, in ascending order."""
    ordered = sorted(deadlines)
    longest = ordered[int((1 - LONG_DEADLINE_SHARE) * (len(ordered) - 1))]
    return [
        each for each in ordered if MIN_FIRST_ATTEMPT_SHARE * longest <= each <= longest
    ]
