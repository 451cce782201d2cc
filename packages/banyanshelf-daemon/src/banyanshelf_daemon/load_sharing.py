"""Tells the other gateways of the zone about calls and loads, and hears from them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Protocol

from logbook import Logger
from twisted.internet.task import LoopingCall

from banyanshelf_core.datagrams import EndedCall, LoadNews, ReportRow, ZoneDigest
from banyanshelf_core.model import LoadReport, Member, MemberId, UpstreamId
from banyanshelf_core.zone_digest import (
    DIGEST_PERIOD_S,
    AggregatorChoice,
    DigestBuilder,
)
from banyanshelf_daemon.gossip_link import GossipLink

# Counts are told again in whole this often, which heals lost datagrams.
WHOLE_NEWS_PERIOD_S = 0.5
# How often the aggregator of a large zone is checked for silence.
AGGREGATOR_CHECK_S = 0.1

log = Logger("load sharing")


class LoadSink(Protocol):
    """Takes in what other gateways tell of loads; see ``ServiceLoads``."""

    def take_counts(
        self, source: str, counts: Mapping[UpstreamId, int], *, is_whole: bool
    ) -> None:
        """Take over another gateway's calls in progress; all of them if whole."""

    def take_totals(self, source: str, totals: Mapping[UpstreamId, int]) -> None:
        """Take over the calls in progress of the zone, which include the own ones."""

    def take_results(self, results: Iterable[tuple[UpstreamId, str]]) -> None:
        """Take in how calls of other gateways ended."""

    def take_reports(self, reports: Mapping[UpstreamId, ReportRow]) -> None:
        """Take in load reports that other gateways received."""

    def keep_sources(self, sources: Collection[str]) -> None:
        """Drop the counts of all other sources."""


class PlacedCalls(Protocol):
    """The calls in progress of this gateway; see ``SharedAdmission``."""

    def own_counts(self) -> dict[UpstreamId, int]:
        """Return the calls in progress that this gateway has placed."""

    def placed_elsewhere(self) -> list[int]:
        """Return the numbers of calls in progress that the aggregator has placed."""

    def take_ended(
        self, sender: MemberId, ended: Iterable[EndedCall], placed: set[int] | None
    ) -> None:
        """Take in the ends of calls that were placed for another gateway.

        ``placed`` are all calls that are still in progress, if the sender tells them.
        """

    def keep_senders(self, senders: Collection[MemberId]) -> None:
        """End the calls that were placed for all other gateways."""


class LoadSharing:
    """Sends news to the zone, or to its aggregator in a large zone.

    ``store_state`` returns the newest known revision of the store and for how long the
    store has answered this gateway.
    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        sink: LoadSink,
        calls: PlacedCalls,
        store_state: Callable[[], tuple[int, float]],
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._sink = sink
        self._calls = calls
        self._store_state = store_state
        self._identity = gossip.members.identity
        self._choice = AggregatorChoice(self._identity)
        self._builder = DigestBuilder(self._identity)
        self._aggregator: Member | None = None
        self._counts: dict[UpstreamId, int] = {}
        self._results: list[tuple[UpstreamId, str]] = []
        self._reports: dict[UpstreamId, ReportRow] = {}
        # Ends of calls that the aggregator placed.
        self._ended: list[EndedCall] = []
        self._is_flush_scheduled = False
        self._teller = LoopingCall(self._tell_whole)
        self._checker = LoopingCall(self._check_aggregator)
        self._digester = LoopingCall(self._send_digest)
        for task in (self._teller, self._checker, self._digester):
            task.clock = reactor

    def start(self) -> None:
        """Begin to tell and to hear."""
        self._gossip.on_members_change(self._on_members_change)
        self._gossip.on_load_update(self._on_load_news)
        self._gossip.on_zone_digest(self._on_zone_digest)
        self._teller.start(WHOLE_NEWS_PERIOD_S, now=False)
        self._checker.start(AGGREGATOR_CHECK_S, now=False)

    def stop(self) -> None:
        """Stop telling."""
        for task in (self._teller, self._checker, self._digester):
            if task.running:
                task.stop()

    @property
    def aggregates(self) -> bool:
        """Whether this gateway chooses itself as the aggregator."""
        return self._aggregator is not None and self._aggregator.id == self._identity.id

    @property
    def aggregator_elsewhere(self) -> Member | None:
        """The gateway that places calls for this one, if there is one."""
        return None if self.aggregates else self._aggregator

    def tell_count(self, upstream_id: UpstreamId, count: int) -> None:
        """Tell this gateway's calls in progress at an upstream."""
        self._counts[upstream_id] = count
        self._schedule_flush()

    def tell_result(self, upstream_id: UpstreamId, kind: str) -> None:
        """Tell how a call ended, with the next news."""
        self._results.append((upstream_id, kind))

    def tell_ended(self, number: int, kind: str, service_time_us: int) -> None:
        """Tell the aggregator that a call which it placed has ended."""
        self._ended.append((number, kind, service_time_us))
        self._schedule_flush()

    def tell_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        """Tell a load report of an upstream."""
        self._reports[upstream_id] = (
            report.running,
            report.waiting,
            report.slots,
            int(report.pace * 100),
        )
        self._schedule_flush()

    # Sending

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._counts or self._results or self._reports or self._ended:
            self._send(self._counts, is_whole=False)

    def _tell_whole(self) -> None:
        self._send(self._calls.own_counts(), is_whole=True)

    def _send(self, counts: dict[UpstreamId, int], *, is_whole: bool) -> None:
        revision, steady_s = self._store_state()
        news = LoadNews(
            self._identity.id,
            counts,
            self._results,
            self._reports,
            revision,
            is_whole,
            steady_s,
            self._ended,
            self._calls.placed_elsewhere() if is_whole else [],
        )
        self._counts, self._results, self._reports = {}, [], {}
        self._ended = []
        if self._aggregator is None:
            self._gossip.send_to_zone(news)
            return
        if self._aggregator.id != self._identity.id:
            self._gossip.send_to([self._aggregator.address], news)
        own = self._gossip.members.row_of(self._identity.id)
        if own is not None and (self._digester.running or self.aggregates):
            self._builder.take(self._reactor.seconds(), own, news)

    def _send_digest(self) -> None:
        digest = self._builder.digest(self._reactor.seconds())
        receivers = self._builder.receivers()
        if digest is not None:
            self._gossip.send_to(receivers, digest)
        elif not receivers:
            self._digester.stop()

    # Hearing

    def _on_load_news(self, news: LoadNews) -> None:
        if self.aggregator_elsewhere is None:
            self._sink.take_counts(news.sender, news.counts, is_whole=news.is_whole)
        # Another gateway may hold this one for the aggregator and let it place calls.
        self._sink.take_results(news.results)
        self._sink.take_reports(news.reports)
        members = self._gossip.members
        sender = members.row_of(news.sender)
        if sender is None or not members.is_large_zone:
            return
        self._builder.take(self._reactor.seconds(), sender, news)
        placed = set(news.placed) if news.is_whole else None
        self._calls.take_ended(news.sender, news.ended, placed)
        if not self._digester.running:
            self._digester.start(DIGEST_PERIOD_S, now=False)

    def _on_zone_digest(self, digest: ZoneDigest) -> None:
        now = self._reactor.seconds()
        self._choice.heard(now, digest.sender)
        sender = self._gossip.members.row_of(digest.sender)
        if sender is not None:
            self._builder.note_aggregator(now, sender)
        if self._aggregator is None or digest.sender != self._aggregator.id:
            return
        self._sink.take_totals(_digest_source(digest.sender), digest.counts)
        self._sink.take_results(digest.results)

    def _on_members_change(self) -> None:
        self._check_aggregator()
        self._sink.keep_sources(self._sources())

    def _check_aggregator(self) -> None:
        members = self._gossip.members
        previous = self._aggregator
        if members.is_large_zone:
            ranked = members.ranked_in_zone(f"digest/{self._identity.zone}")
            now = self._reactor.seconds()
            self._aggregator = self._choice.current(now, ranked)
        else:
            self._aggregator = None
        if self._aggregator == previous:
            if self.aggregates:
                self._sink.keep_sources(self._sources())
            self._calls.keep_senders(self._builder.source_ids())
            return
        name = "nobody" if self._aggregator is None else self._aggregator.id
        log.info("load news is aggregated by {}", name)
        self._sink.keep_sources(self._sources())
        self._tell_whole()

    def _sources(self) -> set[MemberId]:
        """Return whose counts are of use."""
        if self._aggregator is None:
            return set(self._gossip.members.zone_members_by_id())
        if self.aggregates:
            return self._builder.source_ids()
        return {_digest_source(self._aggregator.id)}


def _digest_source(member_id: MemberId) -> str:
    """Return the name of the counts that a digest brings."""
    return f"digest/{member_id}"
