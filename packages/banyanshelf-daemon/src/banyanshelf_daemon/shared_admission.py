"""Admits calls by expected answer time, with load shared between a zone's gateways."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import Any, NamedTuple

from logbook import Logger
from twisted.internet.defer import Deferred, fail
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.datagrams import EndedCall, LateCallNotice, PlacementReply
from banyanshelf_core.model import (
    AnswerKind,
    LoadReport,
    Member,
    MemberId,
    ServiceName,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from banyanshelf_core.placement.choice import (
    NO_UPSTREAM_RETRY_AFTER_S,
    PlacementSelector,
)
from banyanshelf_core.placement.decisions import (
    Placed,
    PlacementRequest,
    RunningAttempt,
)
from banyanshelf_core.placement.upstream_load import UpstreamLoad
from banyanshelf_core.quota_bank import QuotaTerms
from banyanshelf_core.replica import StorePosition
from banyanshelf_core.request_limit import StatedLimit
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.call_placer import CallPlacer, Reservation
from banyanshelf_daemon.call_queue import CallQueues
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.health_questions import HealthProber
from banyanshelf_daemon.interfaces import (
    ConfigurationSource,
    NotAdmittedError,
    Permit,
    PermitRequest,
    ProbeSender,
    QuotaExceededError,
    UpstreamDirectory,
)
from banyanshelf_daemon.load_sharing import LoadSharing
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.quota_limiter import QuotaLimiter
from banyanshelf_daemon.remote_placement import (
    NoPlacementError,
    PlacementClient,
    PlacementServer,
)
from banyanshelf_daemon.request_limiter import RequestLimiter
from banyanshelf_daemon.service_loads import ServiceLoads
from banyanshelf_daemon.zone_loans import ZoneLoans

TICK_INTERVAL_S = 0.025
# A hedged attempt is planned so that this multiple of the usual service time, and the
# margin, are left before the target.
HEDGE_SERVICE_TIME_FACTOR = 1.2
HEDGE_MARGIN_S = 0.012
# A call that needs a second attempt asks for one this often until an upstream is idle.
# In a large zone, each notice is a datagram.
LATE_NOTICE_PERIOD_S = 0.05
# Call numbers start at a random value of this many bits, so that they never exceed 64.
CALL_NUMBER_BITS = 48

log = Logger("admission")


class _CallInProgress(NamedTuple):
    service_name: ServiceName
    attempt: RunningAttempt
    on_late: Callable[[], None] | None
    is_placed_by_aggregator: bool = False


def _running_attempt(
    upstream_id: UpstreamId, progress_s: float, request: PlacementRequest
) -> RunningAttempt:
    return RunningAttempt(
        upstream_id, request.work_class, progress_s, request.target, request.deadline
    )


def _basis(found: Placed) -> dict[str, float]:
    basis = {
        "expected_ms": round(found.expected_s * 1000, 1),
        "in_flight": round(found.in_flight, 2),
        "pace": round(found.pace, 2),
    }
    if math.isfinite(found.report_age_s):
        basis["report_age_ms"] = round(found.report_age_s * 1000)
    if found.request_limit is not None:
        basis["request_limit"] = found.request_limit
    return basis


class SharedAdmission:
    """Implements ``PermitService``; calls are placed, refused or wait for room.

    Calls wait only for the services whose configuration asks for it. In a large zone
    the aggregator places the calls of all gateways. ``probe`` sends a health probe; see
    :class:`~.health_questions.HealthProber`. ``store_state`` is described at
    :class:`~.load_sharing.LoadSharing`, ``quota_clock`` at
    :class:`~.quota_keeper.QuotaKeeper`.
    """

    def __init__(
        self,
        reactor: Any,
        zone: str,
        configuration: ConfigurationSource,
        directory: UpstreamDirectory,
        gossip: GossipLink,
        rng: random.Random,
        probe: ProbeSender,
        store_state: Callable[[], tuple[StorePosition, float]],
        quota_terms: QuotaTerms | None = None,
        quota_clock: Callable[[], float] | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._reactor = reactor
        self._directory = directory
        self.loads = ServiceLoads(reactor, zone, configuration, directory, rng)
        self._pause_handlers: list[Callable[[Upstream, float], None]] = []
        self._cold_handlers: list[Callable[[Upstream, float], None]] = []
        self._call_by_number: dict[int, _CallInProgress] = {}
        # When the calls that need a second attempt were last notified
        self._notified_at_by_number: dict[int, float] = {}
        # A restarted gateway must not reuse the call numbers of its previous run.
        self._last_number = rng.getrandbits(CALL_NUMBER_BITS)
        self._aggregator_placed_by_upstream: Counter[UpstreamId] = Counter()
        self._sharing = LoadSharing(
            reactor,
            gossip,
            self.loads,
            self,
            store_state,
            lambda: self._queues.is_used(),
        )
        self._client = PlacementClient(reactor, gossip)
        self._client.on_late_answer(self._end_late_placement)
        self._server = PlacementServer(
            reactor,
            gossip,
            self._place_for_peer,
            self.release,
            lambda service_name: self._queues.is_enabled(service_name),
            lambda placement_request: self.quotas.give_back(placement_request),
        )
        gossip.on_datagram(LateCallNotice, self._on_call_late)
        self._limiter = RequestLimiter(reactor, gossip, self.loads, rng)
        self._prober = HealthProber(
            reactor, zone, self.loads, self._sharing, gossip, self._limiter, probe
        )
        self._placer = CallPlacer(reactor, self._prober, self._limiter)
        metrics = metrics or Metrics(reactor)
        self._queues = CallQueues(
            reactor, self._placer, self.loads, configuration, rng, metrics
        )
        self._zone_loans = ZoneLoans(
            reactor,
            gossip,
            self.loads,
            self._sharing,
            self._queues.waiting_for,
            self._queues.is_enabled,
            metrics,
        )
        self.quotas = QuotaLimiter(
            reactor,
            gossip,
            configuration,
            quota_terms or QuotaTerms(),
            lambda: self._sharing.aggregator,
            rng,
            quota_clock,
        )
        self._ticker = PeriodicTask(reactor, self._tick, "admission")

    def start(self) -> None:
        """Subscribe to configuration, upstreams and members; start periodic tasks."""
        self.loads.start()
        self._ticker.start(TICK_INTERVAL_S)
        self._sharing.start()
        self._zone_loans.start()
        self.quotas.start()

    def stop(self) -> None:
        """Stop the periodic tasks."""
        self._ticker.stop()
        self._sharing.stop()
        self._zone_loans.stop()
        self._queues.stop()
        self._server.stop()
        self.quotas.stop()

    def announce_departure(self) -> None:
        """Tell the other gateways that this one is shutting down."""
        self._limiter.announce_departure()

    def acquire(
        self, service_name: ServiceName, request: PermitRequest
    ) -> Deferred[Permit]:
        """Place a call or refuse it; see :class:`~.interfaces.PermitService`."""
        selector = self.loads.selector_by_service.get(service_name)
        if selector is None:
            return fail(
                NotAdmittedError("service not served", NO_UPSTREAM_RETRY_AFTER_S)
            )
        self.loads.mark_active(service_name)
        placement_request = PlacementRequest(
            request.work_class,
            request.target or request.deadline,
            request.deadline,
            request.excluded,
            request.only_idle,
            request.priority,
            workspace=request.workspace,
            counts_toward_quota=request.counts_toward_quota,
        )
        on_late = None if request.only_idle else request.on_late
        aggregator = self._sharing.peer_aggregator
        if aggregator is None:
            return self._place(service_name, selector, placement_request, on_late)
        return self._place_by_aggregator(
            aggregator, service_name, selector, placement_request, on_late
        )

    def _place_by_aggregator(
        self,
        aggregator: Member,
        service_name: ServiceName,
        selector: PlacementSelector,
        placement_request: PlacementRequest,
        on_late: Callable[[], None] | None,
    ) -> Deferred[Permit]:
        """Let the aggregator place a call; place it locally if it does not answer."""
        self._last_number += 1
        number = self._last_number

        def place_here() -> Deferred[Permit]:
            return self._place(
                service_name, selector, placement_request, on_late, may_wait=False
            )

        def placed(answer: PlacementReply) -> Permit | Deferred[Permit]:
            if answer.is_over_quota:
                raise QuotaExceededError(answer.reason, answer.retry_after_s)
            if not answer.upstream:
                raise NotAdmittedError(answer.reason, answer.retry_after_s)
            upstream = self._directory.upstreams_by_id(service_name).get(
                answer.upstream
            )
            load = selector.loads_by_id.get(answer.upstream)
            is_paused = load is not None and load.is_paused(self._reactor.seconds())
            is_live = upstream is not None and upstream.state is UpstreamState.LIVE
            if upstream is None or not is_live or is_paused:
                self._sharing.publish_call_end(number, AnswerKind.CANCELLED, 0)
                # The aggregator has counted the call.
                counted = placement_request._replace(counts_toward_quota=False)
                current = self.loads.selector_by_service.get(service_name)
                if current is None:
                    raise NotAdmittedError(
                        "service not served", NO_UPSTREAM_RETRY_AFTER_S
                    )
                return self._place(
                    service_name, current, counted, on_late, may_wait=False
                )
            progress_s = selector.start_call(self._reactor.seconds(), upstream.id)
            self._aggregator_placed_by_upstream[upstream.id] += 1
            attempt = _running_attempt(upstream.id, progress_s, placement_request)
            self._call_by_number[number] = _CallInProgress(
                service_name, attempt, on_late, True
            )
            return Permit(
                upstream,
                0,
                answer.reason,
                answer.candidates,
                number,
                answer.hedge_after_s,
                answer.basis,
            )

        def not_placed(failure: Failure) -> Deferred[Permit]:
            failure.trap(NoPlacementError)
            return place_here()

        reply: Deferred[Any] = self._client.request_placement(
            aggregator, number, service_name, placement_request
        )
        return reply.addCallbacks(placed, not_placed)

    def _end_late_placement(self, number: int) -> None:
        """End a call at the aggregator unless the reply is a repeated one."""
        if number not in self._call_by_number:
            self._sharing.publish_call_end(number, AnswerKind.CANCELLED, 0)

    def _place_for_peer(
        self,
        service_name: ServiceName,
        placement_request: PlacementRequest,
        on_late: Callable[[], None],
    ) -> Deferred[Permit] | None:
        selector = self.loads.selector_by_service.get(service_name)
        if selector is None:
            return None
        self.loads.mark_active(service_name)
        late = None if placement_request.only_idle else on_late
        return self._place(service_name, selector, placement_request, late)

    def _place(
        self,
        service_name: ServiceName,
        selector: PlacementSelector,
        placement_request: PlacementRequest,
        on_late: Callable[[], None] | None,
        *,
        may_wait: bool = True,
    ) -> Deferred[Permit]:
        """Place a call by this gateway's own load data.

        Without ``may_wait``, it is placed or refused at once: a gateway that cannot ask
        the aggregator does not know who else waits.
        """

        def placed(reservation: Reservation) -> Permit:
            found, progress_s = reservation
            self._publish_count(selector, found.upstream.id)
            self._last_number += 1
            self._call_by_number[self._last_number] = _CallInProgress(
                service_name,
                _running_attempt(found.upstream.id, progress_s, placement_request),
                on_late,
            )
            now = self._reactor.seconds()
            return Permit(
                found.upstream,
                0,
                found.reason,
                found.candidates,
                self._last_number,
                self._hedge_after_s(now, selector, placement_request, found),
                _basis(found),
            )

        def refused(failure: Failure) -> Failure:
            self.quotas.give_back(placement_request)
            return failure

        def place(_admitted: None) -> Deferred[Permit]:
            if may_wait and self._queues.is_enabled(service_name):
                placing = self._queues.place(service_name, selector, placement_request)
            else:
                placing = self._placer.place(selector, placement_request)
            return placing.addCallbacks(placed, refused)

        admission = self.quotas.admit(placement_request)
        return place(None) if admission is None else admission.addCallback(place)

    def release(self, permit: Permit, sample: AnswerSample) -> None:
        """Count the end of a call; further releases have no effect."""
        running = self._call_by_number.pop(permit.number, None)
        self._notified_at_by_number.pop(permit.number, None)
        if running is None:
            log.warning("permit {} was released twice", permit.number)
            return
        if running.is_placed_by_aggregator:
            self._aggregator_placed_by_upstream[sample.upstream] -= 1
            if not self._aggregator_placed_by_upstream[sample.upstream]:
                del self._aggregator_placed_by_upstream[sample.upstream]
        selector = self.loads.selector_by_service.get(running.service_name)
        if selector is None:
            return
        now = self._reactor.seconds()
        attempt = running.attempt
        selector.end_call(now, attempt.work_class, attempt.progress_s, sample)
        self._queues.room_freed(running.service_name)
        if running.is_placed_by_aggregator:
            self._sharing.publish_call_end(
                permit.number, AnswerKind(sample.kind), sample.service_time_us
            )
            return
        self._publish_count(selector, sample.upstream)
        if sample.kind is not AnswerKind.CANCELLED:
            self._sharing.publish_result(sample.upstream, str(sample.kind))

    def note_load_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        """Apply a load report and publish it to the other gateways.

        A report in the answer to a call still counts that call as running.
        """
        if self.loads.note_report(upstream_id, report):
            self._sharing.publish_report(upstream_id, report)

    def check_health(self, upstream: Upstream) -> None:
        """Probe an upstream that has not answered a call."""
        selector = self.loads.selector_for(upstream.id)
        if selector is not None:
            self._prober.check(selector, upstream)

    def heard_at(self, upstream_id: UpstreamId) -> float:
        """Return when any gateway of the zone last had a load report of an upstream."""
        selector = self.loads.selector_for(upstream_id)
        if selector is None:
            return -math.inf
        return selector.loads_by_id[upstream_id].reported_at

    def note_request_limit(self, upstream_id: UpstreamId, limit: float | None) -> None:
        """Apply the request limit that an answer states, or that it states none."""
        stated = StatedLimit(limit, self._reactor.seconds())
        is_changed = self.loads.note_request_limit(upstream_id, stated)
        if is_changed or limit is not None:
            self._sharing.publish_limit(upstream_id, stated)

    def note_pause(self, upstream: Upstream, pause_s: float) -> None:
        """Send an upstream nothing for a time."""
        until = self._reactor.seconds() + pause_s
        if self.loads.note_pause(upstream, until):
            for handler in self._pause_handlers:
                handler(upstream, pause_s)

    def note_cold(self, upstream: Upstream, cold_s: float) -> None:
        """Record for how long an upstream is cold, by its answer; 0 if it is not."""
        if self.loads.note_cold(upstream, cold_s) and cold_s:
            for handler in self._cold_handlers:
                handler(upstream, cold_s)

    def on_stated_cold(self, handler: Callable[[Upstream, float], None]) -> None:
        """Call ``handler`` when an upstream states to this gateway that it is cold."""
        self._cold_handlers.append(handler)

    def on_stated_pause(self, handler: Callable[[Upstream, float], None]) -> None:
        """Call ``handler`` with each pause that an upstream states to this gateway."""
        self._pause_handlers.append(handler)

    def _hedge_after_s(
        self,
        now: float,
        selector: PlacementSelector,
        placement_request: PlacementRequest,
        found: Placed,
    ) -> float | None:
        remaining_s = placement_request.target - now
        expected_work_s = selector.estimate.expected_work_s(
            placement_request.work_class, remaining_s
        )
        latest_s = (
            remaining_s - HEDGE_SERVICE_TIME_FACTOR * expected_work_s - HEDGE_MARGIN_S
        )
        after_s = max(latest_s, found.expected_s)
        if now + after_s + expected_work_s > placement_request.deadline:
            return None
        return after_s

    # Load sharing

    def retain_senders(self, senders: Collection[MemberId]) -> None:
        """End the calls that were placed for gateways other than ``senders``."""
        self._server.retain_senders(senders)

    def own_counts(self) -> dict[UpstreamId, int]:
        """Return the calls in progress that this gateway placed, by upstream."""
        return {
            upstream_id: count
            for selector in self.loads.selector_by_service.values()
            for upstream_id, load in selector.loads_by_id.items()
            if (count := self._placed_here_count(load))
        }

    def aggregator_placed_calls(self) -> list[int]:
        """Return the numbers of the calls in progress that the aggregator placed."""
        return [
            number
            for number, running in self._call_by_number.items()
            if running.is_placed_by_aggregator
        ]

    def apply_call_ends(
        self, sender: MemberId, ended: Iterable[EndedCall], placed: set[int] | None
    ) -> None:
        """Apply the ends of calls that were placed for another gateway."""
        self._server.apply_call_ends(sender, ended, placed)

    def _publish_count(
        self, selector: PlacementSelector, upstream_id: UpstreamId
    ) -> None:
        load = selector.loads_by_id.get(upstream_id)
        if load is not None:
            self._sharing.publish_count(upstream_id, self._placed_here_count(load))

    def _placed_here_count(self, load: UpstreamLoad) -> int:
        aggregator_placed = self._aggregator_placed_by_upstream[load.upstream.id]
        return max(0, load.own_calls - aggregator_placed)

    def _on_call_late(self, late: LateCallNotice, _address: str) -> None:
        running = self._call_by_number.get(late.number)
        if running is not None and running.on_late is not None:
            running.on_late()

    def _tick(self) -> None:
        self._notify_late_calls(self._reactor.seconds())
        self._prober.probe_stale_upstreams()

    def _notify_late_calls(self, now: float) -> None:
        """Notify the calls that need a second attempt, again until they get one."""
        notified_at = self._notified_at_by_number
        for number, running in list(self._call_by_number.items()):
            selector = self.loads.selector_by_service.get(running.service_name)
            if running.on_late is None or selector is None:
                continue
            if running.is_placed_by_aggregator:
                # The aggregator has newer load reports and checks this call.
                continue
            if now < notified_at.get(number, -math.inf) + LATE_NOTICE_PERIOD_S:
                continue
            if selector.needs_second_attempt(now, running.attempt):
                notified_at[number] = now
                running.on_late()
