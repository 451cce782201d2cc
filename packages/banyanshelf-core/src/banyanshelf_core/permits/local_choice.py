"""Upstream selection at a gateway: among its idle permits and in its local share."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import MemberId, Upstream, UpstreamId, UpstreamState
from banyanshelf_core.permits.limit_gate import LimitGate
from banyanshelf_core.permits.local_share import local_limit_share, local_share
from banyanshelf_core.request_rate import MAX_WAIT_S
from banyanshelf_core.upstream_health import UpstreamHealth

REFRESH_INTERVAL_S = 0.25


class LocalSelector:
    """Selects upstreams by one gateway's own data, without the coordinator."""

    def __init__(
        self,
        rng: random.Random,
        member: tuple[MemberId, str],
        health: UpstreamHealth,
    ) -> None:
        self._rng = rng
        self._member_id, self._zone = member
        self.health = health
        self._refreshed_at = float("-inf")
        self._members: frozenset[MemberId] = frozenset({self._member_id})
        self._upstreams_by_id: Mapping[UpstreamId, Upstream] = {}
        self._live: frozenset[UpstreamId] = frozenset()
        self._shares: list[UpstreamId] | None = None
        self._load_by_id: dict[UpstreamId, float] = {}
        self._uncounted: Counter[UpstreamId] = Counter()
        self._counted: Counter[UpstreamId] = Counter()
        self.limits = LimitGate(self._share_of_limit)

    def set_members(self, members: Iterable[MemberId]) -> None:
        """Replace the live members."""
        self._members = frozenset(members) | {self._member_id}
        self._shares = None

    def set_upstreams(
        self, now: float, upstreams_by_id: Mapping[UpstreamId, Upstream]
    ) -> None:
        """Replace the upstreams."""
        self._upstreams_by_id = dict(upstreams_by_id)
        self._live = frozenset(
            upstream_id
            for upstream_id, upstream in upstreams_by_id.items()
            if upstream.state == UpstreamState.LIVE
        )
        self._shares = None
        self.limits.retain(upstreams_by_id)
        self.health.set_upstreams(now, upstreams_by_id)

    def is_live(self, upstream_id: UpstreamId) -> bool:
        """Whether an upstream may receive new work."""
        return upstream_id in self._live

    def has_candidate(self, excluded: Collection[UpstreamId]) -> bool:
        """Whether any upstream outside ``excluded`` may receive new work."""
        if not excluded:
            return bool(self._live)
        return any(each not in excluded for each in self._live)

    def note_load_report(
        self, upstream_id: UpstreamId, in_flight: int, slots: int
    ) -> None:
        """Record a reported load as a share of the slots, at most 1."""
        self._load_by_id[upstream_id] = min(1.0, in_flight / max(1, slots))

    def take_sample(self, now: float, sample: AnswerSample) -> None:
        """Record how an attempt ended."""
        self.health.record(now, sample.upstream, sample.service_time_us, sample.kind)

    def mean_service_s(self) -> float:
        """Return the mean service time of the upstreams that are not slow."""
        return self.health.fast_mean_us / 1e6

    def fair_share_of_slots(self) -> float:
        """Return the service's live slots divided by the number of members."""
        slots = sum(self._upstreams_by_id[each].slots for each in self._live)
        return slots / len(self._members)

    def refresh(self, now: float) -> None:
        """Recompute averages and readmit upstreams whose ejection is over."""
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        for upstream_id, record in self.health.records_by_id.items():
            if record.ejected_until is not None and now >= record.ejected_until:
                self.health.readmit(now, upstream_id, probed=False)
        self.health.refresh(now)

    def pick_idle(
        self, idle: Counter[UpstreamId], excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        """Return the upstream of an idle permit, in the local zone if possible."""
        fallback = None
        for upstream_id in idle:
            if upstream_id in excluded:
                continue
            if self._upstreams_by_id[upstream_id].zone == self._zone:
                return upstream_id
            if fallback is None:
                fallback = upstream_id
        return fallback

    def shared_upstreams(self, now: float) -> list[UpstreamId]:
        """Return the upstreams with a free slot in the local share, best first.

        Upstreams that are not slow come first, then low reported load, then the local
        zone.
        """
        if self._shares is None:
            self._shares = [
                upstream_id
                for upstream_id in sorted(self._live)
                if local_share(
                    self._member_id,
                    self._members,
                    upstream_id,
                    self._upstreams_by_id[upstream_id].slots,
                )
            ]
        free = [
            each
            for each in self._shares
            if not self._uncounted[each]
            and not self._counted[each]
            and self.health.usable_slots(now, each)
            and self.limits.is_open(now, each)
        ]
        records = self.health.records_by_id
        return sorted(
            free,
            key=lambda each: (
                records[each].is_slow,
                self._load_by_id.get(each, 0.0),
                self._upstreams_by_id[each].zone != self._zone,
                self._rng.random(),
            ),
        )

    def start_call(self, now: float, upstream_id: UpstreamId) -> None:
        """Record a call in the local share."""
        self._uncounted[upstream_id] += 1
        self.limits.take(now, upstream_id)

    def _share_of_limit(self, upstream_id: UpstreamId) -> float:
        slots = self._upstreams_by_id[upstream_id].slots
        return local_limit_share([self._member_id], self._members, upstream_id, slots)

    def limited_wait_s(self, ahead: int, *, is_contended: bool) -> float:
        """Return how long a call waits if every upstream states a limit, in seconds.

        ``ahead`` calls of this gateway are served before it. While calls wait at other
        gateways too, this one gets its fair share of all limits. Returns 0.0 if an
        upstream states none.
        """
        per_s = [self.limits.per_s(each) for each in self._live]
        limits = [each for each in per_s if each is not None]
        if not limits or len(limits) < len(per_s):
            return 0.0
        total_per_s = sum(limits)
        if not total_per_s:
            return MAX_WAIT_S
        if is_contended:
            wait_s = (ahead + 1) * len(self._members) / total_per_s
        else:
            wait_s = ahead / total_per_s
        return min(MAX_WAIT_S, wait_s)

    def end_call(self, upstream_id: UpstreamId) -> bool:
        """Record the end of such a call; returns whether no coordinator counts it."""
        if self._uncounted[upstream_id]:
            self._uncounted[upstream_id] -= 1
            return True
        self._counted[upstream_id] -= 1
        return False

    def take_uncounted_calls(self) -> Counter[UpstreamId]:
        """Return the calls not yet reported to a coordinator and mark them counted."""
        counted = +self._uncounted
        self._uncounted.clear()
        self._counted.update(counted)
        return counted
