"""Permits and waiting calls of one service at one gateway."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from banyanshelf_core.admission import AdmissionQueue, WaitingCall
from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.messages import CoordinatorAnnounce, Grant, GrantTerms, Recall
from banyanshelf_core.model import (
    NO_EPOCH,
    CallId,
    Epoch,
    MemberId,
    Send,
    ServiceName,
    Upstream,
    UpstreamId,
)
from banyanshelf_core.permits.effects import Assign, HolderEffect, Refuse
from banyanshelf_core.permits.local_choice import LocalSelector
from banyanshelf_core.permits.outbox import Outbox
from banyanshelf_core.permits.permit_counts import PermitCounts
from banyanshelf_core.permits.reach import CoordinatorReachability
from banyanshelf_core.permits.return_marks import ReturnMarks
from banyanshelf_core.permits.service_reserve import service_reserve_s
from banyanshelf_core.permits.settings import HolderSettings
from banyanshelf_core.request_limit import StatedLimit
from banyanshelf_core.upstream_health import UpstreamHealth

MIN_RETRY_AFTER_S = 0.1
IDLE_PERMIT_REASON = "idle permit"
LOCAL_SHARE_REASON = "local share"
NO_UPSTREAM_REASON = "no upstream left for this call"


class PermitHolder:
    """Permits held, calls in progress and waiting calls of one service.

    Changes for the coordinator are collected until :meth:`flush`, so that all changes
    of one reactor turn go into one message; ``wants_flush`` is true if there are any.
    """

    def __init__(
        self,
        rng: random.Random,
        service_name: ServiceName,
        member: tuple[MemberId, str],
        settings: HolderSettings,
    ) -> None:
        self.service_name = service_name
        self.member_id, self.zone = member
        self.epoch = NO_EPOCH
        self.queue = AdmissionQueue(settings.queue_limit, settings.caller_weights)
        self.counts = PermitCounts()
        self.is_contended = self.is_draining = False
        self._health = UpstreamHealth(
            settings.time_limit_s, settings.ramp_s, settings.eject_after_failures
        )
        self.local = LocalSelector(rng, member, self._health)
        self._reach = CoordinatorReachability(settings.time_limit_s)
        self._reuse_after_s = 0.0
        self._waiting_since = 0.0
        self._outbox = Outbox(service_name)
        self._marks = ReturnMarks()

    def apply(self, settings: HolderSettings) -> None:
        """Apply the settings of a new configuration text."""
        self.queue.limit = settings.queue_limit
        self.queue.weights_by_caller = settings.caller_weights
        self.local.health.apply(
            settings.time_limit_s, settings.ramp_s, settings.eject_after_failures
        )

    @property
    def is_reachable(self) -> bool:
        """Whether the coordinator is reachable; if not, the local share is used."""
        return self._reach.is_reachable

    def acquire(
        self, now: float, call: WaitingCall, *, only_idle: bool = False
    ) -> Sequence[HolderEffect]:
        """Assign an idle permit to a call, queue the call, or refuse it."""
        upstream_id = self.take_idle(now, call.caller_service, call.excluded)
        if upstream_id is not None:
            number = self.epoch.number
            return (Assign(call.call_id, upstream_id, number, IDLE_PERMIT_REASON, 1),)
        if only_idle:
            return (Refuse(call.call_id, "no idle permit", MIN_RETRY_AFTER_S),)
        if not self.local.has_candidate(call.excluded):
            return (Refuse(call.call_id, NO_UPSTREAM_REASON, 1.0),)
        expected = self._expected_wait_s(call.depth)
        if now + expected + self._reserve_s(call) > call.deadline:
            retry_after = max(MIN_RETRY_AFTER_S, expected)
            reason = "expected wait exceeds time left"
            return (Refuse(call.call_id, reason, retry_after),)
        shed = self.queue.add(call)
        effects: list[HolderEffect] = []
        if shed is not None:
            retry_after = max(MIN_RETRY_AFTER_S, expected)
            effects.append(Refuse(shed.call_id, "queue full", retry_after))
        if len(self.queue) == 1:
            self._waiting_since = now
        if self._reach.is_reachable:
            self._outbox.wants_flush = True
        else:
            effects += self._assign_local(now)
        return effects

    def take_idle(
        self, now: float, caller_service: str, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        """Start a call on an idle permit, or return None if no permit fits.

        This is the fast path of :meth:`acquire`, without effects.
        """
        counts = self.counts
        if counts.idle_total and self._reach.have_permits_expired(now):
            self.return_idle_permits()
        if not counts.idle_total:
            return None
        upstream_id = self.local.pick_idle(counts.idle, excluded)
        if upstream_id is None:
            return None
        counts.take_idle(upstream_id)
        counts.start_call(now, upstream_id)
        self.queue.in_use_by_caller[caller_service] += 1
        if not (counts.idle_total or self.is_contended or self.is_draining):
            self._outbox.request_spare(now)
        return upstream_id

    def cancel(self, call_id: CallId) -> None:
        """Remove a waiting call from the queue."""
        if self.queue.remove(call_id) is not None:
            self._outbox.wants_flush = True

    def release(
        self,
        now: float,
        upstream_id: UpstreamId,
        caller_service: str,
        sample: AnswerSample,
        *,
        is_local: bool = False,
    ) -> Sequence[HolderEffect]:
        """Take back the permit of a call that has ended."""
        self.queue.in_use_by_caller[caller_service] -= 1
        self.counts.calls -= 1
        self.local.take_sample(now, sample)
        self._outbox.add_sample(now, sample)
        if is_local and self.local.end_call(upstream_id):
            # No coordinator counts this call, so there is no permit to return.
            return () if self._reach.is_reachable else self._assign_local(now)
        self.counts.end_permit(upstream_id)
        if is_local or self._must_return(now, upstream_id):
            self._outbox.return_permit(upstream_id)
        elif len(self.queue) and self._may_reuse(now):
            call = self.queue.take(upstream_id)
            if call is not None:
                return (self._assign(now, call, upstream_id, "reused permit", 1),)
            self._keep_or_return(now, upstream_id)
        elif len(self.queue):
            self._outbox.return_permit(upstream_id)
        else:
            self._keep_or_return(now, upstream_id)
        if not self._reach.is_reachable and len(self.queue):
            return self._assign_local(now)
        return ()

    def on_message(
        self, now: float, message: CoordinatorAnnounce | Grant | Recall
    ) -> Sequence[HolderEffect]:
        """Handle a coordinator's message; lower epochs than the highest are ignored."""
        epoch = Epoch(message.epoch_number, message.epoch_member)
        if epoch < self.epoch:
            if isinstance(message, CoordinatorAnnounce):
                # Shows a coordinator that was partitioned which epoch it has to exceed.
                return (
                    self._outbox.holdings(
                        message.epoch_member, self.epoch, self.counts, self.queue
                    ),
                )
            return ()
        if epoch > self.epoch and not isinstance(message, CoordinatorAnnounce):
            return ()  # The epoch of these permits has not been announced here yet.
        if isinstance(message, CoordinatorAnnounce):
            return self._on_announce(now, epoch)
        ended_silence = self._reach.note_message(now)
        effects: Sequence[HolderEffect] = ()
        match message:
            case Grant():
                effects = self._on_grant(now, message)
            case Recall():
                self._on_recall(message)
        return (*effects, *self._report(now)) if ended_silence else effects

    def on_link(self, now: float, *, is_up: bool) -> Sequence[HolderEffect]:
        """Handle a change of the link to the coordinator."""
        self._reach.set_link(now, is_up=is_up)
        if is_up:
            return self._report(now)
        return self._assign_local(now)

    def set_upstreams(
        self, now: float, upstreams_by_id: Mapping[UpstreamId, Upstream]
    ) -> Sequence[HolderEffect]:
        """Replace the upstreams and return the idle permits of leaving ones."""
        self.local.set_upstreams(now, upstreams_by_id)
        for upstream_id in list(self.counts.idle):
            if not self.local.is_live(upstream_id):
                self._return_idle(upstream_id, self.counts.idle[upstream_id])
        effects: list[HolderEffect] = []
        for call in self.queue:
            if not self.local.has_candidate(call.excluded):
                self.cancel(call.call_id)
                effects.append(Refuse(call.call_id, NO_UPSTREAM_REASON, 1.0))
        if not self._reach.is_reachable:
            effects += self._assign_local(now)
        return effects

    def note_request_limit(self, upstream_id: UpstreamId, stated: StatedLimit) -> bool:
        """Apply what an upstream states; return whether its limit has changed.

        Idle permits of a limited upstream return to the coordinator.
        """
        is_changed = self.local.limits.note(upstream_id, stated)
        if is_changed and stated.per_s is not None:
            self._return_idle(upstream_id, self.counts.idle[upstream_id])
        return is_changed

    def tick(self, now: float) -> Sequence[HolderEffect]:
        """Run timed work; to be called about every 25 ms."""
        effects: list[HolderEffect] = []
        self.local.refresh(now)
        for call in self.queue:
            if now + self._reserve_s(call) >= call.deadline:
                self.cancel(call.call_id)
                retry_after = max(MIN_RETRY_AFTER_S, now - call.arrived)
                effects.append(Refuse(call.call_id, "no permit in time", retry_after))
        self._reach.tick(now, self._waiting_since if len(self.queue) else None)
        if not self._reach.is_reachable:
            if self._reach.have_permits_expired(now):
                self.return_idle_permits()
            effects += self._assign_local(now)
            if self._reach.may_resend_holdings(now):
                effects += self._report(now)
            return effects
        excess = self.counts.excess(now)
        while excess > 0 and self.counts.idle_total:
            self._return_idle(next(iter(self.counts.idle)), 1)
            excess -= 1
        self._outbox.tick(now)
        return effects

    def drain(self) -> None:
        """Return idle permits now, and those in use when their calls end."""
        self.is_draining = True
        self.return_idle_permits()

    def return_idle_permits(self) -> None:
        """Return all idle permits to the coordinator."""
        for upstream_id in list(self.counts.idle):
            self._return_idle(upstream_id, self.counts.idle[upstream_id])

    @property
    def wants_flush(self) -> bool:
        """Whether :meth:`flush` has something to send."""
        return self._outbox.wants_flush

    def flush(self, now: float) -> Sequence[Send]:
        """Return a message with all changes since the previous one."""
        if not self._reach.is_reachable:
            self._outbox.wants_flush = False
            return ()
        message = self._outbox.flush(now, self.epoch, self.queue)
        return () if message is None else (message,)

    def _assign(
        self,
        now: float,
        call: WaitingCall,
        upstream_id: UpstreamId,
        reason: str,
        candidates: int,
        is_local: bool = False,
    ) -> Assign:
        self.queue.in_use_by_caller[call.caller_service] += 1
        self.counts.start_call(now, None if is_local else upstream_id)
        if is_local:
            self.local.start_call(now, upstream_id)
        epoch_number = 0 if is_local else self.epoch.number
        return Assign(call.call_id, upstream_id, epoch_number, reason, candidates)

    def _assign_local(self, now: float) -> list[HolderEffect]:
        """Assign waiting calls to idle permits, then to the local share."""
        effects: list[HolderEffect] = []
        for upstream_id in list(self.counts.idle):
            while self.counts.idle[upstream_id] > 0:
                call = self.queue.take(upstream_id)
                if call is None:
                    break
                self.counts.take_idle(upstream_id)
                effects.append(
                    self._assign(now, call, upstream_id, IDLE_PERMIT_REASON, 1)
                )
        shared = self.local.shared_upstreams(now) if len(self.queue) else []
        for upstream_id in shared:
            call = self.queue.take(upstream_id)
            if call is not None:
                places = len(shared)
                assign = self._assign(
                    now, call, upstream_id, LOCAL_SHARE_REASON, places, is_local=True
                )
                effects.append(assign)
        return effects

    def _on_announce(self, now: float, epoch: Epoch) -> Sequence[HolderEffect]:
        if epoch > self.epoch:
            self.epoch = epoch
            self._outbox.permits_received = 0
            self.is_contended = False
            self._reuse_after_s = 0.0
        self._reach.set_link(now, is_up=True)
        return self._report(now)

    def _report(self, now: float) -> Sequence[HolderEffect]:
        """Report all permits held, which replaces the coordinator's count."""
        if self.epoch == NO_EPOCH:
            return ()
        for upstream_id, count in self.local.take_uncounted_calls().items():
            self.counts.in_use[upstream_id] += count
        self._reach.note_holdings_sent(now)
        self._marks.forget_recalls()
        self._outbox.restart()
        receiver = self.epoch.member_id
        return (self._outbox.holdings(receiver, self.epoch, self.counts, self.queue),)

    def _on_grant(self, now: float, message: Grant) -> Sequence[HolderEffect]:
        self._reuse_after_s = message.reuse_after_us / 1e6
        self.is_contended = message.contended
        terms = message.terms
        effects: list[HolderEffect] = []
        for each in message.permits:
            upstream_id = each.upstream
            self._outbox.note_grant(each.count)
            for _ in range(each.count):
                is_outdated = terms == GrantTerms.REUSABLE and self._is_limited(
                    upstream_id
                )
                if is_outdated or not self.local.is_live(upstream_id):
                    self._outbox.return_permit(upstream_id)
                    continue
                call = self.queue.take(
                    upstream_id, only_idempotent=terms == GrantTerms.TRIAL
                )
                if call is not None:
                    effects.append(self._assign(now, call, upstream_id, "granted", 1))
                    if terms != GrantTerms.REUSABLE:
                        self._marks.add_single_use(upstream_id)
                elif terms == GrantTerms.REUSABLE and not len(self.queue):
                    self._keep_or_return(now, upstream_id)
                else:
                    self._outbox.return_permit(upstream_id)
        if self.counts.idle_total:
            self._outbox.note_spare_received()
        return effects

    def _on_recall(self, message: Recall) -> None:
        if not message.upstream:
            self.is_contended = True
            left = message.count
            for upstream_id in list(self.counts.idle):
                count = min(left, self.counts.idle[upstream_id])
                self._return_idle(upstream_id, count)
                left -= count
            return
        upstream_id = message.upstream
        count = min(message.count, self.counts.idle[upstream_id])
        self._return_idle(upstream_id, count)
        left = message.count - count
        self._marks.recall(upstream_id, left, self.counts.in_use[upstream_id])

    def _must_return(self, now: float, upstream_id: UpstreamId) -> bool:
        if self._marks.consume_mark(upstream_id):
            return True
        if self.is_draining or not self.local.is_live(upstream_id):
            return True
        if self._is_limited(upstream_id):
            return True
        return self._reach.have_permits_expired(now)

    def _is_limited(self, upstream_id: UpstreamId) -> bool:
        """Whether each request to an upstream must be granted by the coordinator."""
        return self.local.limits.per_s(upstream_id) is not None

    def _may_reuse(self, now: float) -> bool:
        if not self.is_contended or not self._reach.is_reachable:
            return True
        oldest = self.queue.oldest_arrival()
        return oldest is not None and now - oldest >= self._reuse_after_s

    def _keep_or_return(self, now: float, upstream_id: UpstreamId) -> None:
        is_wanted = not self.is_contended and self.counts.is_wanted(now)
        if (is_wanted or not self._reach.is_reachable) and not self.is_draining:
            self.counts.add_idle(upstream_id)
        else:
            self._outbox.return_permit(upstream_id)

    def _return_idle(self, upstream_id: UpstreamId, count: int) -> None:
        for _ in range(count):
            self.counts.take_idle(upstream_id)
            self._outbox.return_permit(upstream_id)

    def _reserve_s(self, call: WaitingCall) -> float:
        return service_reserve_s(call, self.local.mean_service_s())

    def _expected_wait_s(self, depth: int) -> float:
        """Return how long the calls ahead take at this gateway's concurrency.

        The concurrency is at least this gateway's fair share of the slots: fewer calls
        are in progress right after a coordinator change, but the next grants restore
        the fair share.
        """
        ahead = self.queue.count_ahead(depth)
        limited_wait_s = self.local.limited_wait_s(
            ahead, is_contended=self.is_contended
        )
        if not ahead:
            return limited_wait_s
        concurrency = max(1.0, self.counts.calls, self.local.fair_share_of_slots())
        wait_s = ahead * self.local.mean_service_s() / concurrency
        return max(wait_s, limited_wait_s)
