"""Order in which the waiting calls of one service get the room that frees up.

Answers a service whose callers ask for more than it takes, with callers of several
priorities and workspaces. Higher priorities go first, and a workspace that has lately
got more than it usually asks for goes after the others of its priority. No kind of
request and no workspace is put off for long: one that is served far less often than all
goes first.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from banyanshelf_core.placement.decisions import PlacementRequest

# Answered calls are compared over this time, which is a few bursts long.
SERVED_SHARE_TIME_S = 5.0
# A kind of request or a workspace must not be served less than a quarter as often as
# all are. Some of its calls fail later, so it goes first below this part.
MIN_SERVED_SHARE = 0.3
# With fewer calls, the share of those that were served says little.
MIN_CALLS_FOR_SHARE = 4.0
# What a workspace has got lately, and what it usually asks for, count over these times.
RECENT_TIME_S = 2.0
USUAL_TIME_S = 60.0
# Added to both rates, in calls per second, so that single calls of a small workspace
# do not count as more than usual.
RATE_FLOOR_PER_S = 1.0
# Ordinary fluctuations of a workspace stay below this multiple of its usual rate.
USUAL_FLUCTUATION = 1.25
# Counters below this value have no influence and are dropped.
NEGLIGIBLE_COUNT = 0.01
MAX_KEYS = 4096


@dataclass(slots=True)
class DecayingCount:
    """Number of events of the last ``time_s`` seconds, with exponential decay."""

    time_s: float
    _count: float = 0.0
    _at: float = 0.0
    _since: float = math.nan

    def add(self, now: float) -> None:
        """Count an event."""
        if math.isnan(self._since):
            self._since = now
        self._count = self.value(now) + 1
        self._at = now

    def value(self, now: float) -> float:
        """Return the decayed number of events."""
        return self._count * math.exp((self._at - now) / self.time_s)

    def per_s(self, now: float) -> float:
        """Return the mean rate, over the time since the first event if that is less."""
        if math.isnan(self._since):
            return 0.0
        observed = 1 - math.exp((self._since - now) / self.time_s)
        # The first event alone must not look like a high rate.
        observed = max(observed, min(1.0, 1 / self.time_s))
        return self.value(now) / (self.time_s * observed)


class _Statistics:
    """Calls of one kind of request or of one workspace."""

    def __init__(self) -> None:
        self.asked = DecayingCount(SERVED_SHARE_TIME_S)
        self.served = DecayingCount(SERVED_SHARE_TIME_S)
        self.usual = DecayingCount(USUAL_TIME_S)
        self.recent = DecayingCount(RECENT_TIME_S)

    def served_share(self, now: float) -> float:
        asked = self.asked.value(now)
        return self.served.value(now) / asked if asked > NEGLIGIBLE_COUNT else 1.0

    def excess(self, now: float) -> float:
        """Return how many times its usual rate has been served lately."""
        ratio = (self.recent.per_s(now) + RATE_FLOOR_PER_S) / (
            self.usual.per_s(now) + RATE_FLOOR_PER_S
        )
        return ratio if ratio > USUAL_FLUCTUATION else 1.0


class Standing(NamedTuple):
    """How the calls of one kind and workspace stand; what goes first sorts first.

    ``excess`` says how many times its usual rate the workspace has been served lately.
    A call that ``is_underserved`` may go before its rank.
    """

    priority: int
    excess: float
    is_underserved: bool


class FairOrder:
    """Demand and service by kind of request and by workspace; times in seconds.

    Example:
        ``order.note_asked(now, request)`` for each call and ``order.note_served(now,
        request)`` for each that gets room; ``order.standings(now, requests)`` says who
        goes first.

    """

    def __init__(self) -> None:
        self._all = _Statistics()
        self._timely = DecayingCount(RECENT_TIME_S)
        self._statistics_by_key: dict[Hashable, _Statistics] = {}

    def note_asked(self, now: float, request: PlacementRequest) -> None:
        """Count a call that asks for room."""
        if request.target > now:
            self._timely.add(now)
        for statistics in self._statistics_of(request):
            statistics.asked.add(now)
            statistics.usual.add(now)

    def note_served(self, now: float, request: PlacementRequest) -> None:
        """Count a call that got room."""
        for statistics in self._statistics_of(request):
            statistics.served.add(now)
            statistics.recent.add(now)

    def timely_per_s(self, now: float) -> float:
        """Return the recent rate of calls that asked before their target."""
        return self._timely.per_s(now)

    def standings(
        self, now: float, requests: Iterable[PlacementRequest]
    ) -> list[Standing]:
        """Return the standing of each call."""
        # Most calls have their kind and workspace in common with others.
        standing_by_key: dict[Hashable, Standing] = {}
        result = []
        for request in requests:
            key = (request.work_class, request.priority, request.workspace)
            standing = standing_by_key.get(key)
            if standing is None:
                standing = standing_by_key[key] = self._standing(now, request)
            result.append(standing)
        return result

    def _standing(self, now: float, request: PlacementRequest) -> Standing:
        groups = self._statistics_of(request)[1:]
        least = MIN_SERVED_SHARE * self._all.served_share(now)
        is_underserved = any(
            each.asked.value(now) >= MIN_CALLS_FOR_SHARE
            and each.served_share(now) < least
            for each in groups
        )
        excess = groups[1].excess(now) if request.workspace else 1.0
        return Standing(request.priority, excess, is_underserved)

    def _statistics_of(self, request: PlacementRequest) -> list[_Statistics]:
        """Return the statistics of all calls, of the call's kind and its workspace."""
        keys: list[Hashable] = [("kind", request.work_class, request.priority)]
        if request.workspace:
            keys.append(("workspace", request.workspace))
        return [self._all, *(self._statistics(key) for key in keys)]

    def _statistics(self, key: Hashable) -> _Statistics:
        found = self._statistics_by_key.get(key)
        if found is None:
            if len(self._statistics_by_key) >= MAX_KEYS:
                del self._statistics_by_key[next(iter(self._statistics_by_key))]
            found = self._statistics_by_key[key] = _Statistics()
        return found
