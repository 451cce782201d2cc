"""Exchange of calls in progress and load reports between the gateways of a zone."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Protocol

from logbook import Logger

from banyanshelf_core.datagrams import (
    EndedCall,
    LimitRow,
    LoadUpdate,
    ReportRow,
    ZoneDigest,
)
from banyanshelf_core.model import AnswerKind, LoadReport, Member, MemberId, UpstreamId
from banyanshelf_core.replica import StorePosition
from banyanshelf_core.request_limit import StatedLimit
from banyanshelf_core.zone_digest import (
    DIGEST_PERIOD_S,
    AggregatorSelector,
    DigestBuilder,
)
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.gossip_link import GossipLink

# Period of full snapshots of the counts, which repair the loss of datagrams.
FULL_SNAPSHOT_PERIOD_S = 0.5
# Period of the check whether the aggregator of a large zone still sends digests.
AGGREGATOR_CHECK_PERIOD_S = 0.1

# Limits that a snapshot repeats, so that it fits into one datagram.
LIMITS_PER_SNAPSHOT = 24

log = Logger("load sharing")


class LoadSink(Protocol):
    """Receives the load updates of other gateways; see ``ServiceLoads``."""

    def apply_counts(
        self, source: str, counts: Mapping[UpstreamId, int], *, is_full_snapshot: bool
    ) -> None:
        """Apply another gateway's counts; a full snapshot replaces all earlier ones."""

    def apply_totals(self, source: str, totals: Mapping[UpstreamId, int]) -> None:
        """Apply the counts of the whole zone, which include this gateway's calls."""

    def apply_results(self, results: Iterable[tuple[UpstreamId, str]]) -> None:
        """Apply the results of calls of other gateways."""

    def apply_reports(self, reports: Mapping[UpstreamId, ReportRow]) -> None:
        """Apply load reports that other gateways received."""

    def apply_limits(self, limits: Mapping[UpstreamId, LimitRow]) -> None:
        """Apply request limits that other gateways have heard of."""

    def stated_limits(self) -> Mapping[UpstreamId, StatedLimit]:
        """Return the upstreams that state a limit, and their statements."""

    def retain_sources(self, sources: Collection[str]) -> None:
        """Drop the counts of all sources but these."""


class PlacedCalls(Protocol):
    """The calls in progress of this gateway; see ``SharedAdmission``."""

    def own_counts(self) -> dict[UpstreamId, int]:
        """Return the calls in progress that this gateway placed, by upstream."""

    def aggregator_placed_calls(self) -> list[int]:
        """Return the numbers of the calls in progress that the aggregator placed."""

    def apply_call_ends(
        self, sender: MemberId, ended: Iterable[EndedCall], placed: set[int] | None
    ) -> None:
        """Apply the ends of calls that were placed for another gateway.

        ``placed`` holds the numbers of all calls still in progress, or is None if the
        sender did not list them.
        """

    def retain_senders(self, senders: Collection[MemberId]) -> None:
        """End the calls that were placed for gateways other than ``senders``."""


class LoadSharing:
    """Sends load updates to all gateways of the zone, or to a large zone's aggregator.

    ``store_state`` returns the newest known position in the store's history, and how
    long the store has answered this gateway in that generation without interruption, in
    seconds. ``is_queue_used`` returns whether calls wait for room, which takes an
    aggregator in a small zone too, as the queue of a zone is kept at one place.
    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        sink: LoadSink,
        calls: PlacedCalls,
        store_state: Callable[[], tuple[StorePosition, float]],
        is_queue_used: Callable[[], bool] = lambda: False,
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._sink = sink
        self._calls = calls
        self._store_state = store_state
        self._is_queue_used = is_queue_used
        self._identity = gossip.members.identity
        self._selector = AggregatorSelector(self._identity)
        self._builder = DigestBuilder(self._identity)
        self._aggregator: Member | None = None
        self._counts: dict[UpstreamId, int] = {}
        self._results: list[tuple[UpstreamId, str]] = []
        self._reports: dict[UpstreamId, ReportRow] = {}
        self._limits: dict[UpstreamId, StatedLimit] = {}
        # Limits that members who have joined may not know
        self._repeated_limits: dict[UpstreamId, StatedLimit] = {}
        # Ends of calls that the aggregator placed
        self._ended: list[EndedCall] = []
        self._is_flush_scheduled = False
        self._snapshot_task = PeriodicTask(
            reactor, self._publish_full_snapshot, "load snapshot"
        )
        self._aggregator_check_task = PeriodicTask(
            reactor, self._check_aggregator, "aggregator check"
        )
        self._digest_task = PeriodicTask(reactor, self._send_digest, "zone digest")

    def start(self) -> None:
        """Subscribe to datagrams and member changes; start the periodic tasks."""
        self._gossip.on_members_change(self._on_members_change)
        self._gossip.on_load_update(self._on_load_update)
        self._gossip.on_zone_digest(self._on_zone_digest)
        self._snapshot_task.start(FULL_SNAPSHOT_PERIOD_S)
        self._aggregator_check_task.start(AGGREGATOR_CHECK_PERIOD_S)

    def stop(self) -> None:
        """Stop the periodic tasks."""
        for task in (
            self._snapshot_task,
            self._aggregator_check_task,
            self._digest_task,
        ):
            task.stop()

    @property
    def is_aggregator(self) -> bool:
        """Whether this gateway has selected itself as the aggregator."""
        return self._aggregator is not None and self._aggregator.id == self._identity.id

    @property
    def aggregator(self) -> Member | None:
        """The aggregator of a large zone, which may be this gateway."""
        return self._aggregator

    @property
    def peer_aggregator(self) -> Member | None:
        """The other gateway that places this gateway's calls, if any."""
        return None if self.is_aggregator else self._aggregator

    def publish_count(self, upstream_id: UpstreamId, count: int) -> None:
        """Publish this gateway's number of calls in progress at an upstream."""
        self._counts[upstream_id] = count
        self._schedule_flush()

    def publish_result(self, upstream_id: UpstreamId, kind: str) -> None:
        """Publish the result of a call with the next update."""
        self._results.append((upstream_id, kind))

    def publish_call_end(
        self, number: int, kind: AnswerKind, service_time_us: int
    ) -> None:
        """Report the end of a call to the aggregator that placed it."""
        self._ended.append((number, kind, service_time_us))
        self._schedule_flush()

    def publish_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        """Publish a load report of an upstream."""
        self._reports[upstream_id] = (
            report.running,
            report.waiting,
            report.slots,
            int(report.pace * 100),
        )
        self._schedule_flush()

    def publish_limit(self, upstream_id: UpstreamId, stated: StatedLimit) -> None:
        """Publish the request limit that an upstream states, or that it states none."""
        self._limits[upstream_id] = stated
        self._schedule_flush()

    # Sending

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        is_due = self._counts or self._results or self._reports or self._ended
        if is_due or self._limits:
            self._send(self._counts, is_full_snapshot=False)

    def _publish_full_snapshot(self) -> None:
        for upstream_id in list(self._repeated_limits)[:LIMITS_PER_SNAPSHOT]:
            stated = self._repeated_limits.pop(upstream_id)
            self._limits.setdefault(upstream_id, stated)
        self._send(self._calls.own_counts(), is_full_snapshot=True)

    def _send(self, counts: dict[UpstreamId, int], *, is_full_snapshot: bool) -> None:
        position, uninterrupted_s = self._store_state()
        update = LoadUpdate(
            self._identity.id,
            counts,
            self._results,
            self._reports,
            position.revision,
            is_full_snapshot,
            uninterrupted_s,
            self._ended,
            self._calls.aggregator_placed_calls() if is_full_snapshot else [],
            self._limit_rows(),
            position.generation,
        )
        self._counts, self._results, self._reports = {}, [], {}
        self._ended = []
        self._limits = {}
        if self._aggregator is None:
            self._gossip.send_to_zone(update)
            return
        if self._aggregator.id != self._identity.id:
            self._gossip.send_to([self._aggregator.address], update)
        own = self._gossip.members.row_of(self._identity.id)
        if own is not None and (self._digest_task.is_running or self.is_aggregator):
            self._builder.add_update(self._reactor.seconds(), own, update)

    def _limit_rows(self) -> dict[UpstreamId, LimitRow]:
        now = self._reactor.seconds()
        return {each: stated.row(now) for each, stated in self._limits.items()}

    def _send_digest(self) -> None:
        digest = self._builder.build_digest(self._reactor.seconds())
        receivers = self._builder.receiver_addresses()
        if digest is not None:
            self._gossip.send_to(receivers, digest)
        elif not receivers:
            self._digest_task.stop()

    # Receiving

    def _on_load_update(self, update: LoadUpdate) -> None:
        if self.peer_aggregator is None:
            self._sink.apply_counts(
                update.sender, update.counts, is_full_snapshot=update.is_full_snapshot
            )
        # Other gateways may have selected this one as their aggregator, even if it has
        # selected another one, and let it place their calls.
        self._sink.apply_results(update.results)
        self._sink.apply_reports(update.reports)
        self._sink.apply_limits(update.limits)
        members = self._gossip.members
        sender = members.row_of(update.sender)
        if sender is None or not self._needs_aggregator():
            return
        self._builder.add_update(self._reactor.seconds(), sender, update)
        placed = set(update.placed_calls) if update.is_full_snapshot else None
        self._calls.apply_call_ends(update.sender, update.ended_calls, placed)
        if not self._digest_task.is_running:
            self._digest_task.start(DIGEST_PERIOD_S)

    def _on_zone_digest(self, digest: ZoneDigest) -> None:
        now = self._reactor.seconds()
        self._selector.note_digest(now, digest.sender)
        sender = self._gossip.members.row_of(digest.sender)
        if sender is not None:
            self._builder.note_aggregator(now, sender)
        if self._aggregator is None or digest.sender != self._aggregator.id:
            return
        self._sink.apply_totals(_digest_source(digest.sender), digest.counts)
        self._sink.apply_results(digest.results)
        self._sink.apply_limits(digest.limits)

    def _on_members_change(self) -> None:
        self._repeated_limits = dict(self._sink.stated_limits())
        self._check_aggregator()
        self._sink.retain_sources(self._valid_sources())

    def _check_aggregator(self) -> None:
        members = self._gossip.members
        previous = self._aggregator
        if self._needs_aggregator():
            ranked = members.ranked_in_zone(f"digest/{self._identity.zone}")
            now = self._reactor.seconds()
            self._aggregator = self._selector.select(now, ranked)
        else:
            self._aggregator = None
        if self._aggregator == previous:
            if self.is_aggregator:
                self._sink.retain_sources(self._valid_sources())
            self._calls.retain_senders(self._builder.source_ids())
            return
        name = "nobody" if self._aggregator is None else self._aggregator.id
        log.info("load updates are now aggregated by {}", name)
        self._sink.retain_sources(self._valid_sources())
        self._publish_full_snapshot()

    def _needs_aggregator(self) -> bool:
        return self._gossip.members.is_large_zone or self._is_queue_used()

    def _valid_sources(self) -> set[MemberId]:
        """Return the sources whose counts are valid."""
        if self._aggregator is None:
            return set(self._gossip.members.zone_members_by_id())
        if self.is_aggregator:
            return self._builder.source_ids()
        return {_digest_source(self._aggregator.id)}


def _digest_source(member_id: MemberId) -> str:
    """Return the source name of the counts in an aggregator's digests."""
    return f"digest/{member_id}"
