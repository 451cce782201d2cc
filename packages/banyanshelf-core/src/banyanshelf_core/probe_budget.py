"""Limit on the slot time that probes use."""

from __future__ import annotations

from collections import deque

from banyanshelf_core.model import UpstreamId

WINDOW_S = 60.0


class ProbeBudget:
    """Share of an upstream's slot time that probes may use over a sliding window.

    The budget starts empty and accrues over the window, so that a new coordinator
    cannot spend the same probe time again.
    """

    def __init__(self, now: float, share: float) -> None:
        self._started = now
        self.share = share
        self._spent_by_id: dict[UpstreamId, deque[tuple[float, float]]] = {}

    def allowance_s(self, now: float, slots: int) -> float:
        """Return the probe time that one upstream may use in the window, in seconds."""
        return self.share * slots * min(WINDOW_S, max(0.0, now - self._started))

    def spent_s(self, now: float, upstream: UpstreamId) -> float:
        """Return the probe time spent in the window, in seconds."""
        spent = self._spent_by_id.get(upstream)
        if spent is None:
            return 0.0
        while spent and spent[0][0] <= now - WINDOW_S:
            spent.popleft()
        return sum(cost for _, cost in spent)

    def covers(
        self, now: float, upstream: UpstreamId, slots: int, cost_s: float
    ) -> bool:
        """Whether the budget covers a probe of the given cost."""
        return self.spent_s(now, upstream) + cost_s <= self.allowance_s(now, slots)

    def spend(self, now: float, upstream: UpstreamId, cost_s: float) -> None:
        """Record probe time."""
        self._spent_by_id.setdefault(upstream, deque()).append((now, cost_s))
