"""Selects the upstream of a grant by expected completion time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection

from banyanshelf_core.messages import GrantTerms
from banyanshelf_core.model import UpstreamId
from banyanshelf_core.permits.limit_gate import LimitGate
from banyanshelf_core.permits.random_set import RandomSet
from banyanshelf_core.upstream_health import UpstreamHealth

TRIAL_PERIOD_S = 1.0
REUSABLE = GrantTerms.REUSABLE.value
SINGLE_USE = GrantTerms.SINGLE_USE.value
TRIAL = GrantTerms.TRIAL.value


class SlotSelector:
    """The free slots of a service, classified by expected completion time.

    Upstreams up to twice the median service time are treated as equal, so that noise
    in the averages has no influence. Slower upstreams are used last. Upstreams that
    state a request limit are used while it leaves a request, for one call per grant.
    """

    def __init__(
        self,
        rng: random.Random,
        health: UpstreamHealth,
        outstanding: Counter[UpstreamId],
        limits: LimitGate,
    ) -> None:
        self._rng = rng
        self._health = health
        self._outstanding = outstanding
        self._limits = limits
        self._fast = RandomSet()
        self._fast_by_zone: dict[str, RandomSet] = {}
        self._limited: set[UpstreamId] = set()
        self._slow: set[UpstreamId] = set()
        self._last_trial_by_id: dict[UpstreamId, float] = {}
        self._usable_slots = 0

    def rebuild(self, now: float) -> None:
        """Reclassify all upstreams."""
        self._fast = RandomSet()
        self._fast_by_zone = {}
        self._limited = set()
        self._slow = set()
        self._usable_slots = 0
        for upstream_id, record in self._health.records_by_id.items():
            self.update(now, upstream_id)
            if not record.is_slow and self._limits.per_s(upstream_id) is None:
                self._usable_slots += self._health.usable_slots(now, upstream_id)

    def update(self, now: float, upstream_id: UpstreamId) -> None:
        """Reclassify one upstream after a change of its counts or averages."""
        record = self._health.records_by_id.get(upstream_id)
        if record is None:
            self._fast.discard(upstream_id)
            for each in self._fast_by_zone.values():
                each.discard(upstream_id)
            self._limited.discard(upstream_id)
            self._slow.discard(upstream_id)
            return
        limit = self._health.usable_slots(now, upstream_id)
        is_free = self._outstanding[upstream_id] < limit and self._limits.is_open(
            now, upstream_id
        )
        is_limited = self._limits.per_s(upstream_id) is not None
        is_slow = record.is_slow or record.is_trial_only
        zone = record.upstream.zone
        in_zone = self._fast_by_zone.get(zone)
        if in_zone is None:
            in_zone = self._fast_by_zone[zone] = RandomSet()
        if is_free and not (is_slow or is_limited):
            self._fast.add(upstream_id)
            in_zone.add(upstream_id)
        else:
            self._fast.discard(upstream_id)
            in_zone.discard(upstream_id)
        if is_free and is_limited and not is_slow:
            self._limited.add(upstream_id)
        else:
            self._limited.discard(upstream_id)
        if is_free and is_slow:
            self._slow.add(upstream_id)
        else:
            self._slow.discard(upstream_id)

    def pick(
        self,
        now: float,
        zone: str,
        excluded: Collection[UpstreamId],
        queue_length: int,
    ) -> tuple[UpstreamId, str] | None:
        """Return the upstream for the oldest waiting call and the grant's terms.

        ``queue_length`` counts the waiting calls, including this one.
        """
        if self._slow:
            trial = self._due_trial(now, excluded)
            if trial is not None:
                return trial, TRIAL
        fast = self.pick_fast(zone, excluded)
        if fast is not None:
            return fast, REUSABLE
        limited = self._pick_limited(zone, excluded)
        if limited is not None:
            return limited, SINGLE_USE
        slow = self._pick_slow(excluded, queue_length)
        return None if slow is None else (slow, SINGLE_USE)

    def pick_fast(self, zone: str, excluded: Collection[UpstreamId]) -> str | None:
        """Return a free upstream that is not slow, if possible in ``zone``."""
        in_zone = self._fast_by_zone.get(zone)
        if in_zone:
            picked = in_zone.choose(self._rng, excluded)
            if picked is not None:
                return picked
        return self._fast.choose(self._rng, excluded)

    def update_limited(self, now: float) -> None:
        """Reclassify the upstreams that state a limit, as time frees requests."""
        for upstream_id in self._limits.limited():
            self.update(now, upstream_id)

    def take_request(self, now: float, upstream_id: UpstreamId) -> None:
        """Take a granted call's request from the limit of its upstream, if any."""
        self._limits.take(now, upstream_id)

    def has_reserve(self, share: float) -> bool:
        """Whether more than a share of all upstreams are fast and have a free slot."""
        return len(self._fast) > share * len(self._health.records_by_id)

    def _due_trial(self, now: float, excluded: Collection[UpstreamId]) -> str | None:
        for upstream_id in sorted(self._slow):
            last = self._last_trial_by_id.get(upstream_id, float("-inf"))
            if upstream_id not in excluded and now - last >= TRIAL_PERIOD_S:
                self._last_trial_by_id[upstream_id] = now
                return upstream_id
        return None

    def _pick_limited(
        self, zone: str, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        records = self._health.records_by_id
        candidates = sorted(self._limited.difference(excluded))
        near = [each for each in candidates if records[each].upstream.zone == zone]
        return self._rng.choice(near or candidates) if candidates else None

    def _pick_slow(
        self, excluded: Collection[UpstreamId], queue_length: int
    ) -> UpstreamId | None:
        """Return the fastest slow upstream unless waiting for a fast one is sooner.

        The wait is estimated from the queue length and the slots of fast upstreams.
        """
        records = self._health.records_by_id
        candidates = [
            each
            for each in self._slow
            if each not in excluded and not records[each].is_trial_only
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda each: (records[each].average_us, each))
        mean_us = self._health.fast_mean_us
        if self._usable_slots:
            wait_us = queue_length * mean_us / self._usable_slots
            if records[best].average_us > wait_us + mean_us:
                return None
        return best
