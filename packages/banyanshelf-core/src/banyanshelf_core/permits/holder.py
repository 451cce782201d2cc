"""One service's permits and waiting calls at one gateway."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from banyanshelf_core.admission import AdmissionQueue, WaitingCall
from banyanshelf_core.messages import (
    AnswerSample,
    CoordinatorAnnounce,
    Grant,
    GrantTerms,
    Holdings,
    Recall,
)
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
from banyanshelf_core.permits.demand import RecentPeak
from banyanshelf_core.permits.effects import Assign, HolderEffect, Refuse
from banyanshelf_core.permits.ledger import slot_counts_of
from banyanshelf_core.permits.local_choice import LocalChoice
from banyanshelf_core.permits.outbox import Outbox
from banyanshelf_core.upstream_health import UpstreamHealth

# A coordinator with waiting calls on record sends something every 100 ms.
SILENCE_S = 0.3
SHORTEST_RETRY_AFTER_S = 0.1


class HolderSettings(NamedTuple):
    """Settings of one service's holder, in seconds."""

    queue_limit: int = 512
    caller_weights: Mapping[str, int] = {}
    time_limit_s: float = 2.0
    ramp_s: float = 5.0
    eject_after_failures: int = 3


class PermitHolder:
    """Permits held, calls in progress and waiting calls of one service.

    Changes for the coordinator collect until :meth:`flush`, so that those of one
    reactor turn become one; ``wants_flush`` tells whether there are any.
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
        self.idle: Counter[UpstreamId] = Counter()
        self.in_use: Counter[UpstreamId] = Counter()
        self.idle_count = 0
        self.in_use_count = 0
        self.is_contended = False
        self.is_draining = False
        self._health = UpstreamHealth(
            settings.time_limit_s, settings.ramp_s, settings.eject_after_failures
        )
        self.local = LocalChoice(rng, member, self._health)
        self._peak = RecentPeak()
        self._is_linked = False
        self._is_silent = False
        self._unreachable_since = 0.0
        self._permit_life_s = settings.time_limit_s
        self._reuse_after_s = 0.0
        self._heard_at = 0.0
        self._reported_at = 0.0
        self._waiting_since = 0.0
        self._outbox = Outbox(service_name)
        self._recalled: Counter[UpstreamId] = Counter()
        self._single_use: Counter[UpstreamId] = Counter()

    @property
    def is_reachable(self) -> bool:
        """Whether the coordinator can be asked; the local share is used otherwise."""
        return self._is_linked and not self._is_silent

    def acquire(
        self, now: float, call: WaitingCall, *, only_idle: bool = False
    ) -> Sequence[HolderEffect]:
        """Assign an idle permit to a call, queue the call, or refuse it."""
        if self.idle_count:
            upstream_id = self.local.pick_idle(self.idle, call.excluded)
            if upstream_id is not None:
                candidates = len(self.idle)
                self._take_idle(upstream_id)
                if not (self.idle_count or self.is_contended or self.is_draining):
                    self._outbox.ask_spare(now)
                return (
                    self._assign(now, call, upstream_id, "idle permit", candidates),
                )
        if only_idle:
            return (Refuse(call.call_id, "no idle permit", SHORTEST_RETRY_AFTER_S),)
        if not self.local.has_candidate(call.excluded):
            return (Refuse(call.call_id, "no upstream left for this call", 1.0),)
        expected = self._expected_wait_s(call.depth)
        if now + expected > call.deadline:
            return (Refuse(call.call_id, "expected wait exceeds time left", expected),)
        shed = self.queue.add(call)
        effects: list[HolderEffect] = []
        if shed is not None:
            retry_after = max(SHORTEST_RETRY_AFTER_S, expected)
            effects.append(Refuse(shed.call_id, "queue full", retry_after))
        if len(self.queue) == 1:
            self._waiting_since = now
        if self.is_reachable:
            self._outbox.wants_flush = True
        else:
            effects += self._assign_local(now)
        return effects

    def cancel(self, now: float, call_id: CallId) -> bool:
        """Give up a waiting call's place; returns whether it was waiting."""
        found = self.queue.remove(call_id) is not None
        if found:
            self._outbox.wants_flush = True
        return found

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
        self.in_use_count -= 1
        self.local.take_sample(now, sample)
        self._outbox.add_sample(now, sample)
        if is_local and self.local.end_call(upstream_id):
            # Not counted by any coordinator, so there is nothing to hand back.
            return () if self.is_reachable else self._assign_local(now)
        self._decrease(self.in_use, upstream_id)
        if is_local or self._must_return(now, upstream_id):
            self._give_back(upstream_id)
        elif len(self.queue) and self._may_reuse(now):
            call = self.queue.take(upstream_id)
            if call is not None:
                return (self._assign(now, call, upstream_id, "reused permit", 1),)
            self._keep_or_return(now, upstream_id)
        elif len(self.queue):
            self._give_back(upstream_id)
        else:
            self._keep_or_return(now, upstream_id)
        if not self.is_reachable and len(self.queue):
            return self._assign_local(now)
        return ()

    def on_message(
        self, now: float, message: CoordinatorAnnounce | Grant | Recall
    ) -> Sequence[HolderEffect]:
        """Take in a coordinator's message; ignores epochs lower than the highest."""
        epoch = Epoch(message.epoch_number, message.epoch_member)
        if epoch < self.epoch:
            if isinstance(message, CoordinatorAnnounce):
                # Tells a coordinator that was cut off which epoch it has to exceed.
                return (self._holdings(message.epoch_member),)
            return ()
        if epoch > self.epoch and not isinstance(message, CoordinatorAnnounce):
            return ()  # Permits of an epoch that is not announced here yet.
        self._heard_at = now
        reports: Sequence[HolderEffect] = ()
        match message:
            case CoordinatorAnnounce():
                self._is_silent = False
                return self._on_announce(now, epoch)
            case Grant():
                reports = self._on_grant(now, message)
            case Recall():
                self._on_recall(message)
        if self._is_silent:
            self._is_silent = False
            reports = (*reports, *self._report(now))
        return reports

    def on_link(self, now: float, *, is_up: bool) -> Sequence[HolderEffect]:
        """Note that the coordinator's link came up or went down."""
        if self.is_reachable and not is_up:
            self._unreachable_since = now
        self._is_linked = is_up
        self._is_silent = False
        if is_up:
            self._heard_at = now
            return self._report(now)
        return self._assign_local(now)

    def set_upstreams(
        self, now: float, upstreams_by_id: Mapping[UpstreamId, Upstream]
    ) -> Sequence[HolderEffect]:
        """Take over the upstreams; idle permits of leaving ones are handed back."""
        self.local.set_upstreams(now, upstreams_by_id)
        for upstream_id in list(self.idle):
            if not self.local.is_live(upstream_id):
                self._return_idle(upstream_id, self.idle[upstream_id])
        effects: list[HolderEffect] = []
        for call in self.queue:
            if not self.local.has_candidate(call.excluded):
                self.cancel(now, call.call_id)
                effects.append(
                    Refuse(call.call_id, "no upstream left for this call", 1.0)
                )
        if not self.is_reachable:
            effects += self._assign_local(now)
        return effects

    def tick(self, now: float) -> Sequence[HolderEffect]:
        """Act on what time brings; to be called every 25 ms or so."""
        effects: list[HolderEffect] = []
        self.local.refresh(now)
        for call in self.queue:
            if now >= call.deadline:
                self.cancel(now, call.call_id)
                retry_after = max(SHORTEST_RETRY_AFTER_S, now - call.arrived)
                effects.append(Refuse(call.call_id, "no permit in time", retry_after))
        if not self.is_reachable:
            if self._have_permits_lapsed(now):
                self.drop_idle()
            effects += self._assign_local(now)
            if self._is_silent and now - self._reported_at >= SILENCE_S:
                effects += self._report(now)  # The coordinator answers if it can.
            return effects
        if self._has_fallen_silent(now):
            self._is_silent = True
            self._unreachable_since = now
            effects += self._assign_local(now)
            return effects
        excess = self.idle_count + self.in_use_count - self._peak.at(now) - 1
        while excess > 0 and self.idle_count:
            self._return_idle(next(iter(self.idle)), 1)
            excess -= 1
        self._outbox.tick(now)
        return effects

    def drain(self) -> None:
        """Hand back all idle permits, and those in use when their calls end."""
        self.is_draining = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Hand back all idle permits."""
        for upstream_id in list(self.idle):
            self._return_idle(upstream_id, self.idle[upstream_id])

    @property
    def wants_flush(self) -> bool:
        """Whether :meth:`flush` has something to send."""
        return self._outbox.wants_flush

    def flush(self, now: float) -> Sequence[Send]:
        """Return the message that collects all changes since the last one."""
        if not self.is_reachable:
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
        *,
        is_local: bool = False,
    ) -> Assign:
        self.queue.in_use_by_caller[call.caller_service] += 1
        self.in_use_count += 1
        self._peak.note(now, self.in_use_count)
        if is_local:
            self.local.start_call(upstream_id)
        else:
            self.in_use[upstream_id] += 1
        epoch_number = 0 if is_local else self.epoch.number
        return Assign(call.call_id, upstream_id, epoch_number, reason, candidates)

    def _assign_local(self, now: float) -> list[HolderEffect]:
        """Assign waiting calls to idle permits and the local share."""
        effects: list[HolderEffect] = []
        for upstream_id in list(self.idle):
            while self.idle[upstream_id] > 0:
                call = self.queue.take(upstream_id)
                if call is None:
                    break
                self._take_idle(upstream_id)
                effects.append(self._assign(now, call, upstream_id, "idle permit", 1))
        if not len(self.queue) or self.is_draining:
            return effects
        shared = self.local.shared_upstreams(now)
        for upstream_id in shared:
            call = self.queue.take(upstream_id)
            if call is not None:
                effects.append(
                    self._assign(
                        now,
                        call,
                        upstream_id,
                        "local share",
                        len(shared),
                        is_local=True,
                    )
                )
        return effects

    def _on_announce(self, now: float, epoch: Epoch) -> Sequence[HolderEffect]:
        if epoch > self.epoch:
            self.epoch = epoch
            self._outbox.permits_received = 0
            self.is_contended = False
            self._reuse_after_s = 0.0
        self._is_linked = True
        return self._report(now)

    def _report(self, now: float) -> Sequence[HolderEffect]:
        """Report everything that is held, which replaces the coordinator's count."""
        if self.epoch == NO_EPOCH:
            return ()
        for upstream_id, count in self.local.count_calls().items():
            self.in_use[upstream_id] += count
        self._reported_at = now
        self._recalled.clear()
        self._outbox.restart()
        return (self._holdings(self.epoch.member_id),)

    def _holdings(self, receiver: MemberId) -> Send:
        return Send(
            receiver,
            Holdings(
                self.service_name,
                *self.epoch,
                slot_counts_of(self.in_use),
                slot_counts_of(self.idle),
                len(self.queue),
                self._outbox.permits_received,
            ),
        )

    def _on_grant(self, now: float, message: Grant) -> Sequence[HolderEffect]:
        self._reuse_after_s = message.reuse_after_us / 1e6
        self.is_contended = message.contended
        terms = message.terms
        effects: list[HolderEffect] = []
        for each in message.permits:
            upstream_id = each.upstream
            self._outbox.note_grant(each.count)
            for _ in range(each.count):
                if not self.local.is_live(upstream_id):
                    self._give_back(upstream_id)
                    continue
                call = self.queue.take(
                    upstream_id, only_idempotent=terms == GrantTerms.TRIAL
                )
                if call is not None:
                    effects.append(self._assign(now, call, upstream_id, "granted", 1))
                    if terms != GrantTerms.REUSABLE:
                        self._single_use[upstream_id] += 1
                elif terms == GrantTerms.REUSABLE and not len(self.queue):
                    self._keep_or_return(now, upstream_id)
                else:
                    self._give_back(upstream_id)
        if self.idle_count:
            self._outbox.note_spare_received()
        return effects

    def _on_recall(self, message: Recall) -> None:
        if not message.upstream:
            self.is_contended = True
            left = message.count
            for upstream_id in list(self.idle):
                count = min(left, self.idle[upstream_id])
                self._return_idle(upstream_id, count)
                left -= count
            return
        upstream_id = message.upstream
        count = min(message.count, self.idle[upstream_id])
        self._return_idle(upstream_id, count)
        # Permits for single use go back in any case.
        most = self.in_use[upstream_id] - self._single_use[upstream_id]
        marked = min(most, self._recalled[upstream_id] + message.count - count)
        if marked > 0:
            self._recalled[upstream_id] = marked

    def _have_permits_lapsed(self, now: float) -> bool:
        """Whether a coordinator may have reclaimed this gateway's permits by now."""
        if self.is_reachable:
            return False
        return now - self._unreachable_since >= self._permit_life_s

    def _must_return(self, now: float, upstream_id: UpstreamId) -> bool:
        for marks in (self._single_use, self._recalled):
            if marks and marks[upstream_id] > 0:
                self._decrease(marks, upstream_id)
                return True
        if self.is_draining or not self.local.is_live(upstream_id):
            return True
        return self._have_permits_lapsed(now)

    def _may_reuse(self, now: float) -> bool:
        if not self.is_contended or not self.is_reachable:
            return True
        oldest = self.queue.oldest_arrival()
        return oldest is not None and now - oldest >= self._reuse_after_s

    def _keep_or_return(self, now: float, upstream_id: UpstreamId) -> None:
        held = self.in_use_count + self.idle_count
        is_wanted = not self.is_contended and held <= self._peak.at(now)
        if (is_wanted or not self.is_reachable) and not self.is_draining:
            self.idle[upstream_id] += 1
            self.idle_count += 1
        else:
            self._give_back(upstream_id)

    def _give_back(self, upstream_id: UpstreamId) -> None:
        self._outbox.give_back(upstream_id)

    def _take_idle(self, upstream_id: UpstreamId) -> None:
        self.idle_count -= 1
        self._decrease(self.idle, upstream_id)

    def _return_idle(self, upstream_id: UpstreamId, count: int) -> None:
        for _ in range(count):
            self._take_idle(upstream_id)
            self._give_back(upstream_id)

    def _expected_wait_s(self, depth: int) -> float:
        """Return how long the calls ahead take with the present concurrency."""
        ahead = self.queue.ahead_of(depth)
        if not ahead:
            return 0.0
        return ahead * self.local.mean_service_s() / max(1, self.in_use_count)

    def _has_fallen_silent(self, now: float) -> bool:
        if not len(self.queue):
            return False
        return now - max(self._heard_at, self._waiting_since) >= SILENCE_S

    @staticmethod
    def _decrease(counts: Counter[UpstreamId], upstream_id: UpstreamId) -> None:
        if counts[upstream_id] > 1:
            counts[upstream_id] -= 1
        else:
            del counts[upstream_id]
