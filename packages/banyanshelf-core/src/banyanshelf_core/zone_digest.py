"""Aggregation of the load news of a large availability zone.

Each gateway sends its news to the aggregator that it ranks first and asks it to place
its calls. The aggregator sends digests to all gateways that it hears, so that they can
place calls themselves while it does not answer. Nobody is appointed: whoever receives
news aggregates. A gateway that hears no digest from its aggregator turns to the next
one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from banyanshelf_core.datagrams import LoadUpdate, MemberRow, ZoneDigest
from banyanshelf_core.model import Member, MemberId, UpstreamId

# A digest shows that the aggregator is alive, and is the basis for placing calls while
# it is not.
DIGEST_PERIOD_S = 0.2
# Counts and members are told again within this time, which heals lost datagrams.
REFRESH_PERIOD_S = 0.5
# News comes at least every 0.5 s; a gateway that misses two of them is left out.
UPDATE_TIMEOUT_S = 1.2
# Two digests may be lost before an aggregator is taken for gone.
AGGREGATOR_TIMEOUT_S = 0.5
# A count of zero is told this often before it is left out of the refreshing.
ZERO_COUNT_REPEATS = 8
# A gateway that was taken for gone as an aggregator is tried again after this time.
SUSPICION_TIMEOUT_S = 3.0


class AggregatorSelector:
    """Which gateway a gateway sends its news to.

    Example:
        ``choice.select(now, ranked_members)`` returns the aggregator, and
        ``choice.note_digest(now, digest.sender)`` notes a digest of it.

    """

    def __init__(self, identity: Member) -> None:
        self._identity = identity
        self._chosen: Member | None = None
        self._heard_at = -math.inf
        self._suspected_until: dict[MemberId, float] = {}

    def note_digest(self, now: float, sender: MemberId) -> None:
        """Note a digest."""
        if self._chosen is not None and sender == self._chosen.id:
            self._heard_at = now

    def select(self, now: float, ranked: Iterable[Member]) -> Member:
        """Return the first of the ranked members that is not taken for gone."""
        chosen = self._chosen
        is_silent = now - self._heard_at > AGGREGATOR_TIMEOUT_S
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
            self._chosen = first
            self._heard_at = now
        return first


@dataclass(slots=True)
class _Source:
    """What an aggregator has heard from one gateway."""

    row: MemberRow
    heard_at: float
    revision: int = 0
    uninterrupted_s: float = 0.0
    counts: dict[UpstreamId, int] = field(default_factory=dict)


class DigestBuilder:
    """Collects the news of a zone and makes digests of it; times in seconds.

    Example:
        ``builder.add_update(now, member_row, news)`` for each news, and
        ``builder.build_digest(now)`` every ``DIGEST_PERIOD_S``.

    """

    def __init__(self, identity: Member) -> None:
        self._identity = identity
        self._source_by_id: dict[MemberId, _Source] = {}
        self._total_by_upstream: dict[UpstreamId, int] = {}
        self._zeros_told_by_upstream: dict[UpstreamId, int] = {}
        self._changed: set[UpstreamId] = set()
        self._results: list[tuple[UpstreamId, str]] = []
        self._other_aggregators: dict[MemberId, _Source] = {}
        self._sent_at = -math.inf
        self._next_upstream = 0
        self._next_member = 0

    def add_update(self, now: float, sender: MemberRow, news: LoadUpdate) -> None:
        """Take in the news of a gateway, this one included."""
        source = self._source_by_id.get(news.sender)
        if source is None or source.row != sender:
            self._drop(news.sender)
            source = self._source_by_id[news.sender] = _Source(sender, now)
        source.heard_at = now
        source.revision, source.uninterrupted_s = news.revision, news.uninterrupted_s
        if news.is_full_snapshot:
            for upstream_id in source.counts.keys() - news.counts.keys():
                self._count(source, upstream_id, 0)
        for upstream_id, count in news.counts.items():
            self._count(source, upstream_id, count)
        self._results += news.results

    def note_aggregator(self, now: float, sender: MemberRow) -> None:
        """Note a digest of another aggregator.

        It is named in the digests of this one, so that all gateways can agree on one.
        """
        self._other_aggregators[sender[0]] = _Source(sender, now)

    def receiver_addresses(self) -> list[str]:
        """Return the addresses that the digests are for, without the own one."""
        return [
            source.row[1]
            for member_id, source in self._source_by_id.items()
            if member_id != self._identity.id
        ]

    def source_ids(self) -> set[MemberId]:
        """Return the gateways whose news are in force, this one included."""
        return set(self._source_by_id)

    def build_digest(self, now: float) -> ZoneDigest | None:
        """Return the next digest, or None if nobody wants it."""
        elapsed_s = now - self._sent_at
        self._forget_silent(now)
        receivers = self.receiver_addresses()
        if not receivers:
            self._results = []
            self._changed.clear()
            return None
        self._sent_at = now
        share = min(1.0, elapsed_s / REFRESH_PERIOD_S)
        sources = self._source_by_id.values()
        told = [*self._changed, *self._upstreams_in_turn(share)]
        digest = ZoneDigest(
            self._identity.id,
            {each: self._total_by_upstream.get(each, 0) for each in told},
            self._results,
            self._members_in_turn(share),
            max(each.revision for each in sources),
            max(each.uninterrupted_s for each in sources),
        )
        self._changed.clear()
        self._results = []
        return digest

    def _count(self, source: _Source, upstream_id: UpstreamId, count: int) -> None:
        previous = source.counts.get(upstream_id, 0)
        if count == previous:
            return
        if count:
            source.counts[upstream_id] = count
        else:
            del source.counts[upstream_id]
        total = self._total_by_upstream.get(upstream_id, 0) + count - previous
        self._total_by_upstream[upstream_id] = total
        self._zeros_told_by_upstream.pop(upstream_id, None)
        self._changed.add(upstream_id)

    def _drop(self, member_id: MemberId) -> None:
        source = self._source_by_id.pop(member_id, None)
        if source is not None:
            for upstream_id in list(source.counts):
                self._count(source, upstream_id, 0)

    def _forget_silent(self, now: float) -> None:
        for member_id, source in list(self._other_aggregators.items()):
            if now - source.heard_at > UPDATE_TIMEOUT_S:
                del self._other_aggregators[member_id]
        for member_id, source in list(self._source_by_id.items()):
            if now - source.heard_at > UPDATE_TIMEOUT_S:
                self._drop(member_id)

    def _upstreams_in_turn(self, share: float) -> list[UpstreamId]:
        """Return the next ``share`` of all upstreams."""
        upstream_ids = list(self._total_by_upstream)
        if not upstream_ids:
            return []
        count = math.ceil(share * len(upstream_ids))
        begin = self._next_upstream % len(upstream_ids)
        self._next_upstream = begin + count
        chosen = (upstream_ids + upstream_ids)[begin : begin + count]
        for upstream_id in chosen:
            if not self._total_by_upstream[upstream_id]:
                self._note_zero(upstream_id)
        return chosen

    def _note_zero(self, upstream_id: UpstreamId) -> None:
        told = self._zeros_told_by_upstream.get(upstream_id, 0) + 1
        if told < ZERO_COUNT_REPEATS:
            self._zeros_told_by_upstream[upstream_id] = told
        else:
            self._zeros_told_by_upstream.pop(upstream_id, None)
            del self._total_by_upstream[upstream_id]

    def _members_in_turn(self, share: float) -> list[MemberRow]:
        """Return the next ``share`` of the gateways that are heard directly."""
        sources = self._other_aggregators | self._source_by_id
        members = [each.row for each in sources.values()]
        count = math.ceil(share * len(members))
        begin = self._next_member % len(members)
        self._next_member = begin + count
        return (members + members)[begin : begin + count]
