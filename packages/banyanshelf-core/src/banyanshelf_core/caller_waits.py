"""Estimates how long a caller that retries has already waited.

Callers measure time from their first attempt, but a gateway sees only the time that is
left until a caller's timeout. On one route this is nearly the same for all first
attempts, so a shorter time shows how long earlier attempts took, at this gateway or at
another one. This matters under overload, when new callers mix with callers that retry
after a refusal.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence

# Number of recent deadlines kept for each route.
MAX_CALLS_PER_ROUTE = 64
# With fewer calls no wait is estimated, since all of them may be retries.
MIN_CALLS = 8
# This share of the longest deadlines is ignored, so that a few callers with a long
# timeout do not make all others look like retries.
LONG_DEADLINE_SHARE = 0.1
# The timeouts of first attempts on a route differ by about a sixth. A retry follows a
# response and a pause, so less than this share of the longest timeout is left to it.
MIN_FIRST_ATTEMPT_SHARE = 0.8
# Routes change with the configuration; the oldest ones beyond this number are dropped.
MAX_ROUTES = 1024


class CallerWaitEstimator:
    """Recent deadlines by route, each in seconds from the arrival of its call.

    Example:
        If most calls on a route arrive with 0.45 to 0.5 s left,
        ``waited_s(route, 0.3)`` returns about 0.17 and ``waited_s(route, 0.46)``
        returns 0.

    """

    def __init__(self) -> None:
        self._deadlines_by_route: dict[Hashable, deque[float]] = {}

    def waited_s(self, route: Hashable, deadline_s: float) -> float:
        """Record a call and return the time since its caller's first attempt."""
        deadlines = self._deadlines_by_route.get(route)
        if deadlines is None:
            deadlines = self._add_route(route)
        deadlines.append(deadline_s)
        if len(deadlines) < MIN_CALLS:
            return 0.0
        first_attempts = _first_attempts(deadlines)
        if deadline_s >= first_attempts[0]:
            return 0.0
        return max(0.0, sum(first_attempts) / len(first_attempts) - deadline_s)

    def _add_route(self, route: Hashable) -> deque[float]:
        if len(self._deadlines_by_route) >= MAX_ROUTES:
            del self._deadlines_by_route[next(iter(self._deadlines_by_route))]
        added: deque[float] = deque(maxlen=MAX_CALLS_PER_ROUTE)
        self._deadlines_by_route[route] = added
        return added


def _first_attempts(deadlines: Sequence[float]) -> list[float]:
    """Return the deadlines that look like first attempts, in ascending order."""
    ordered = sorted(deadlines)
    longest = ordered[int((1 - LONG_DEADLINE_SHARE) * (len(ordered) - 1))]
    return [
        each for each in ordered if MIN_FIRST_ATTEMPT_SHARE * longest <= each <= longest
    ]
