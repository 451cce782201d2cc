"""Baseline policies without permits: calls are admitted at once, slots not limited."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping

from banyanshelf_core.model import Upstream, UpstreamId, UpstreamState
from banyanshelf_core.text import PolicyName


class BaselineSelector:
    """Selects the upstreams of one service at one gateway, without a coordinator."""

    def __init__(self, policy: PolicyName, rng: random.Random) -> None:
        self.policy = policy
        self._rng = rng
        self._live: list[UpstreamId] = []
        self.in_flight: Counter[UpstreamId] = Counter()
        self._load_by_id: dict[UpstreamId, float] = {}

    def set_upstreams(self, upstreams_by_id: Mapping[UpstreamId, Upstream]) -> None:
        """Replace the upstreams."""
        self._live = [
            upstream_id
            for upstream_id, upstream in upstreams_by_id.items()
            if upstream.state == UpstreamState.LIVE
        ]

    def note_load_report(
        self, upstream_id: UpstreamId, in_flight: int, slots: int
    ) -> None:
        """Record the load that an upstream has reported."""
        self._load_by_id[upstream_id] = in_flight / max(1, slots)

    def choose(self, excluded: Collection[UpstreamId]) -> UpstreamId | None:
        """Return the upstream for a call and count the call, or None."""
        live = self._live
        if excluded:
            live = [each for each in live if each not in excluded]
        if not live:
            return None
        match self.policy:
            case "two_choices":
                first, second = self._rng.choice(live), self._rng.choice(live)
                is_less = self.in_flight[first] <= self.in_flight[second]
                chosen = first if is_less else second
            case "reports":
                loads = [self._load_by_id.get(each, 0.0) for each in live]
                least = min(loads)
                least_loaded = [
                    each
                    for each, load in zip(live, loads, strict=True)
                    if load == least
                ]
                chosen = self._rng.choice(least_loaded)
            case _:
                chosen = self._rng.choice(live)
        self.in_flight[chosen] += 1
        return chosen

    def end_call(self, upstream_id: UpstreamId) -> None:
        """Remove an ended call from the count."""
        self.in_flight[upstream_id] -= 1
