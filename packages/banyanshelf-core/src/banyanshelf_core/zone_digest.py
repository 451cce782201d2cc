"""Aggregation of the load updates of a large availability zone.

Each gateway sends its updates to the aggregator that it ranks first, and asks it to
place its calls. The aggregator sends digests to all gateways that send it updates, so
that they can place calls themselves while it does not respond. There is no election:
any gateway that receives updates aggregates them. A gateway that receives no digest
from its aggregator fails over to the next one in its ranking.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from banyanshelf_core.datagrams import LimitRow, LoadUpdate, MemberRow, ZoneDigest
from banyanshelf_core.model import Member, MemberId, UpstreamId
from banyanshelf_core.replica import ORIGIN, StorePosition
from banyanshelf_core.request_limit import StatedLimit

# A digest serves as a heartbeat, and as load data for placing calls when the aggregator
# fails.
DIGEST_PERIOD_S = 0.2
# All counts and members are repeated within this time to make up for lost datagrams.
REFRESH_PERIOD_S = 0.5
# Unchanged request limits are repeated within this time, for gateways that have joined.
LIMIT_REFRESH_PERIOD_S = 2.0
# A limit without a new statement for this long is not repeated any more.
LIMIT_TIMEOUT_S = 30.0
# Updates are sent at least every 0.5 s; a gateway that misses two of them is dropped.
UPDATE_TIMEOUT_S = 1.2
# Two digests may be lost before an aggregator is suspected.
AGGREGATOR_TIMEOUT_S = 0.5
# A count of zero is repeated this many times, then the upstream leaves the rotation.
ZERO_COUNT_REPEATS = 8
# A suspected aggregator may be selected again after this time.
SUSPICION_TIMEOUT_S = 3.0


class AggregatorSelector:
    """Selects the gateway to which a gateway sends its load updates.

    Example:
        ``selector.select(now, ranked_members)`` returns the aggregator, and
        ``selector.note_digest(now, digest.sender)`` records a digest from it.

    """

    def __init__(self, identity: Member) -> None:
        self._identity = identity
        self._selected: Member | None = None
        self._last_seen_at = -math.inf
        self._suspected_until: dict[MemberId, float] = {}

    def note_digest(self, now: float, sender: MemberId) -> None:
        """Record the receipt of a digest, which shows that its sender is alive."""
        if self._selected is not None and sender == self._selected.id:
            self._last_seen_at = now

    def select(self, now: float, ranked: Iterable[Member]) -> Member:
        """Return the first ranked member that is not suspected to have failed."""
        chosen = self._selected
        is_silent = now - self._last_seen_at > AGGREGATOR_TIMEOUT_S
        if chosen is not None and chosen.id != self._identity.id and is_silent:
            self._suspected_until[chosen.id] = now + SUSPICION_TIMEOUT_S
        for member_id, until in list(self._suspected_until.items()):
            if now >= until:
                del self._suspected_until[member_id]
        first = next(
            member
            for member in ranked
            if member.id == self._identity.id or member.id not in self._suspected_until
        )
        if first != chosen:
            self._selected = first
            self._last_seen_at = now
        return first


@dataclass(slots=True)
class _Source:
    """Load data that an aggregator has received from one gateway."""

    row: MemberRow
    last_seen_at: float
    position: StorePosition = ORIGIN
    uninterrupted_s: float = 0.0
    counts: dict[UpstreamId, int] = field(default_factory=dict)


class DigestBuilder:
    """Collects the load updates of a zone and builds digests; times are in seconds.

    Example:
        ``builder.add_update(now, member_row, update)`` for each update, and
        ``builder.build_digest(now)`` every ``DIGEST_PERIOD_S``.

    """

    def __init__(self, identity: Member) -> None:
        self._identity = identity
        self._source_by_id: dict[MemberId, _Source] = {}
        self._total_by_upstream: dict[UpstreamId, int] = {}
        self._zeros_sent_by_upstream: dict[UpstreamId, int] = {}
        self._changed: set[UpstreamId] = set()
        self._results: list[tuple[UpstreamId, str]] = []
        self._other_aggregators: dict[MemberId, _Source] = {}
        self._sent_at = -math.inf
        self._upstream_position = 0
        self._member_position = 0
        self._limit_by_upstream: dict[UpstreamId, StatedLimit] = {}
        self._changed_limits: set[UpstreamId] = set()
        self._limit_position = 0

    def add_update(self, now: float, sender: MemberRow, update: LoadUpdate) -> None:
        """Record the load update of a gateway, which may be this one."""
        source = self._source_by_id.get(update.sender)
        if source is None or source.row != sender:
            self._drop(update.sender)
            source = self._source_by_id[update.sender] = _Source(sender, now)
        source.last_seen_at = now
        source.position = update.position
        source.uninterrupted_s = update.uninterrupted_s
        if update.is_full_snapshot:
            for upstream_id in source.counts.keys() - update.counts.keys():
                self._set_count(source, upstream_id, 0)
        for upstream_id, count in update.counts.items():
            self._set_count(source, upstream_id, count)
        self._results += update.results
        for upstream_id, row in update.limits.items():
            self._note_limit(upstream_id, StatedLimit.from_row(now, row))

    def note_aggregator(self, now: float, sender: MemberRow) -> None:
        """Record a digest of another aggregator.

        Digests of this gateway list that aggregator as a member, so that all gateways
        can agree on one.
        """
        self._other_aggregators[sender[0]] = _Source(sender, now)

    def receiver_addresses(self) -> list[str]:
        """Return the addresses that get the digests, without this gateway's own."""
        return [
            source.row[1]
            for member_id, source in self._source_by_id.items()
            if member_id != self._identity.id
        ]

    def source_ids(self) -> set[MemberId]:
        """Return the gateways whose counts are in use, including this one."""
        return set(self._source_by_id)

    def build_digest(self, now: float) -> ZoneDigest | None:
        """Return the next digest, or None if there is no receiver."""
        elapsed_s = now - self._sent_at
        self._remove_silent(now)
        receivers = self.receiver_addresses()
        if not receivers:
            self._results = []
            self._changed.clear()
            return None
        self._sent_at = now
        share = min(1.0, elapsed_s / REFRESH_PERIOD_S)
        sources = self._source_by_id.values()
        position = max(each.position for each in sources)
        included = [*self._changed, *self._next_upstreams(share)]
        digest = ZoneDigest(
            self._identity.id,
            {each: self._total_by_upstream.get(each, 0) for each in included},
            self._results,
            self._next_members(share),
            position.revision,
            max(
                each.uninterrupted_s
                for each in sources
                if each.position.generation == position.generation
            ),
            self._next_limits(now, min(1.0, elapsed_s / LIMIT_REFRESH_PERIOD_S)),
            position.generation,
        )
        self._changed.clear()
        self._results = []
        return digest

    def _set_count(self, source: _Source, upstream_id: UpstreamId, count: int) -> None:
        previous = source.counts.get(upstream_id, 0)
        if count == previous:
            return
        if count:
            source.counts[upstream_id] = count
        else:
            del source.counts[upstream_id]
        total = self._total_by_upstream.get(upstream_id, 0) + count - previous
        self._total_by_upstream[upstream_id] = total
        self._zeros_sent_by_upstream.pop(upstream_id, None)
        self._changed.add(upstream_id)

    def _note_limit(self, upstream_id: UpstreamId, stated: StatedLimit) -> None:
        known = self._limit_by_upstream.get(upstream_id)
        if known is not None and stated.stated_at < known.stated_at:
            return
        if known is None or stated.per_s != known.per_s:
            self._changed_limits.add(upstream_id)
        self._limit_by_upstream[upstream_id] = stated

    def _next_limits(self, now: float, share: float) -> dict[UpstreamId, LimitRow]:
        """Return the changed limits and the next ``share`` of the others."""
        limits = self._limit_by_upstream
        for upstream_id, stated in list(limits.items()):
            if now - stated.stated_at > LIMIT_TIMEOUT_S:
                del limits[upstream_id]
        self._changed_limits &= limits.keys()
        chosen = self._changed_limits
        upstream_ids = list(limits)
        if upstream_ids:
            count = math.ceil(share * len(upstream_ids))
            begin = self._limit_position % len(upstream_ids)
            self._limit_position = begin + count
            chosen.update((upstream_ids + upstream_ids)[begin : begin + count])
        self._changed_limits = set()
        return {each: limits[each].row(now) for each in chosen}

    def _drop(self, member_id: MemberId) -> None:
        source = self._source_by_id.pop(member_id, None)
        if source is not None:
            for upstream_id in list(source.counts):
                self._set_count(source, upstream_id, 0)

    def _remove_silent(self, now: float) -> None:
        for member_id, source in list(self._other_aggregators.items()):
            if now - source.last_seen_at > UPDATE_TIMEOUT_S:
                del self._other_aggregators[member_id]
        for member_id, source in list(self._source_by_id.items()):
            if now - source.last_seen_at > UPDATE_TIMEOUT_S:
                self._drop(member_id)

    def _next_upstreams(self, share: float) -> list[UpstreamId]:
        """Return the next ``share`` of all upstreams in rotation."""
        upstream_ids = list(self._total_by_upstream)
        if not upstream_ids:
            return []
        count = math.ceil(share * len(upstream_ids))
        begin = self._upstream_position % len(upstream_ids)
        self._upstream_position = begin + count
        chosen = (upstream_ids + upstream_ids)[begin : begin + count]
        for upstream_id in chosen:
            if not self._total_by_upstream[upstream_id]:
                self._record_sent_zero(upstream_id)
        return chosen

    def _record_sent_zero(self, upstream_id: UpstreamId) -> None:
        sent = self._zeros_sent_by_upstream.get(upstream_id, 0) + 1
        if sent < ZERO_COUNT_REPEATS:
            self._zeros_sent_by_upstream[upstream_id] = sent
        else:
            self._zeros_sent_by_upstream.pop(upstream_id, None)
            del self._total_by_upstream[upstream_id]

    def _next_members(self, share: float) -> list[MemberRow]:
        """Return the next ``share`` of the gateways that send updates or digests."""
        sources = self._other_aggregators | self._source_by_id
        members = [each.row for each in sources.values()]
        count = math.ceil(share * len(members))
        begin = self._member_position % len(members)
        self._member_position = begin + count
        return (members + members)[begin : begin + count]
