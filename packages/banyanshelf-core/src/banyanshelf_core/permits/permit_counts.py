"""Counts of the permits that one gateway holds for a service."""

from __future__ import annotations

from collections import Counter

from banyanshelf_core.model import UpstreamId
from banyanshelf_core.permits.demand import RecentPeak


class PermitCounts:
    """Idle permits and permits in use by upstream, and all calls in progress.

    ``calls`` includes calls in the local share, for which no permit is held.
    """

    __slots__ = ("calls", "idle", "idle_total", "in_use", "peak")

    def __init__(self) -> None:
        self.idle: Counter[UpstreamId] = Counter()
        self.in_use: Counter[UpstreamId] = Counter()
        self.idle_total = 0
        self.calls = 0
        self.peak = RecentPeak()

    def add_idle(self, upstream_id: UpstreamId) -> None:
        """Add an idle permit."""
        self.idle[upstream_id] += 1
        self.idle_total += 1

    def take_idle(self, upstream_id: UpstreamId) -> None:
        """Remove an idle permit."""
        self.idle_total -= 1
        _decrease(self.idle, upstream_id)

    def start_call(self, now: float, upstream_id: UpstreamId | None) -> None:
        """Count a call, and its permit if it has one."""
        self.calls += 1
        self.peak.note(now, self.calls)
        if upstream_id is not None:
            self.in_use[upstream_id] += 1

    def end_permit(self, upstream_id: UpstreamId) -> None:
        """Remove a permit from those in use."""
        _decrease(self.in_use, upstream_id)

    def is_wanted(self, now: float) -> bool:
        """Whether one more idle permit is within the recent peak plus one."""
        return self.calls + self.idle_total <= self.peak.value_at(now)

    def excess(self, now: float) -> int:
        """Return by how much the permits exceed the recent peak plus one."""
        return self.calls + self.idle_total - self.peak.value_at(now) - 1


def _decrease(counts: Counter[UpstreamId], upstream_id: UpstreamId) -> None:
    if counts[upstream_id] > 1:
        counts[upstream_id] -= 1
    else:
        del counts[upstream_id]
