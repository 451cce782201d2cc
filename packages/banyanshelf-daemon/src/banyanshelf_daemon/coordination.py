"""Admission by permits: runs the holders and the coordinators of one member."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred, fail, succeed

from banyanshelf_core.admission import WaitingCall
from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.messages import (
    Acquire,
    CoordinatorAnnounce,
    Grant,
    Holdings,
    Leaving,
    PeerMessage,
    Recall,
    Release,
)
from banyanshelf_core.model import (
    Epoch,
    LoadReport,
    MemberId,
    ServiceName,
    UpstreamId,
)
from banyanshelf_core.permits.effects import Refuse
from banyanshelf_core.permits.holder import (
    IDLE_PERMIT_REASON,
    NO_UPSTREAM_REASON,
    PermitHolder,
)
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.baseline_admission import NO_RETRY_TIME_S, BaselineAdmission
from banyanshelf_daemon.coordination_views import (
    cap_upstream_slots,
    coordinator_settings,
    holder_settings,
    service_snapshot,
)
from banyanshelf_daemon.effect_executor import EffectExecutor, PermitInUse, PermitWaiter
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ConfigurationSource,
    MembershipSource,
    NotAdmittedError,
    PeerNetwork,
    Permit,
    PermitRequest,
    ProbeSender,
    UpstreamDirectory,
)
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.stated_limit_sharing import StatedLimitSharing

TICK_S = 0.025
log = Logger("banyanshelf.coordination")


class Coordination:
    """Admits calls with a permit holder per service, and coordinates some services."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        configuration: ConfigurationSource,
        members: MembershipSource,
        directory: UpstreamDirectory,
        network: PeerNetwork,
        rng: random.Random,
        send_probe: ProbeSender,
    ) -> None:
        self._reactor = reactor
        self._member_id = settings.member_id
        self._zone = settings.zone
        self._configuration = configuration
        self._members = members
        self._directory = directory
        self._network = network
        self._rng = rng
        self._executor = EffectExecutor(
            reactor,
            settings.member_id,
            network,
            rng,
            send_probe,
            self._on_loopback_message,
        )
        self._roles = self._executor.roles
        self.holders_by_service = self._executor.holders_by_service
        self.coordinators_by_service = self._roles.coordinators_by_service
        self._upstreams_by_service = self._executor.upstreams_by_service
        self._waiting_by_id = self._executor.waiting_by_id
        self._in_use_by_number = self._executor.in_use_by_number
        self._limits = StatedLimitSharing(reactor, network, self._executor)
        self._last_call_id = 0
        self._baseline: BaselineAdmission | None = None
        self._ticker = PeriodicTask(reactor, self._tick, "coordination")
        self._is_stopped = False

    def start(self) -> None:
        """Subscribe to messages and changes, and start the ticker."""
        subscriptions: list[tuple[type[Any], Callable[[MemberId, Any], None]]] = [
            (Holdings, self._on_gateway_message),
            (Acquire, self._on_gateway_message),
            (Release, self._on_gateway_message),
            (CoordinatorAnnounce, self._on_announce),
            (Grant, self._on_coordinator_message),
            (Recall, self._on_coordinator_message),
            (Leaving, self._on_leaving),
        ]
        for message_class, handler in subscriptions:
            self._network.subscribe(message_class, handler)
        self._limits.start()
        self._network.on_link_change(self._on_link_change)
        self._members.on_members_change(self._on_members_change)
        self._directory.on_upstreams_change(self._on_upstreams_change)
        self._configuration.on_change(self._on_text)
        active = self._configuration.active()
        if active is not None:
            self._on_text(active)
        self._ticker.start(TICK_S)

    def hand_over(self) -> None:
        """Release coordinator roles and idle permits before a graceful shutdown.

        Calls in progress continue, and new calls are still admitted.
        """
        self._network.broadcast(self._roles.release_all())
        self._executor.drain()

    def stop(self) -> None:
        """Refuse waiting calls and return idle permits."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._ticker.stop()
        for waiting in list(self._waiting_by_id.values()):
            waiting.deferred.errback(NotAdmittedError("this gateway stops", 1.0))
        self._waiting_by_id.clear()
        self._executor.drain()

    def acquire(
        self, service_name: ServiceName, request: PermitRequest
    ) -> Deferred[Permit]:
        """Wait for a permit; see :class:`~.interfaces.PermitService`."""
        holder = self.holders_by_service.get(service_name)
        if holder is None or self._is_stopped:
            return fail(NotAdmittedError("service not served", NO_RETRY_TIME_S))
        now = self._reactor.seconds()
        self._last_call_id += 1
        call_id = self._last_call_id
        if self._baseline is not None:
            return self._admit_by_baseline(self._baseline, service_name, request)
        caller_service = request.caller_service
        idle = len(holder.counts.idle)
        upstream_id = holder.take_idle(now, caller_service, request.excluded)
        if upstream_id is not None:
            if holder.wants_flush:
                self._executor.schedule_flush()
            upstream = self._upstreams_by_service[service_name][upstream_id]
            self._in_use_by_number[call_id] = PermitInUse(service_name, caller_service)
            epoch = holder.epoch.number
            return succeed(Permit(upstream, epoch, IDLE_PERMIT_REASON, idle, call_id))
        deferred: Deferred[Permit] = Deferred(self._on_cancelled)
        deferred.call_id, deferred.service_name = call_id, service_name
        call = WaitingCall(
            call_id,
            request.caller_service,
            request.depth,
            now,
            request.deadline,
            request.idempotent,
            request.excluded,
        )
        self._waiting_by_id[call_id] = PermitWaiter(deferred, request.caller_service)
        self._executor.execute(
            service_name, holder.acquire(now, call, only_idle=request.only_idle)
        )
        return deferred

    def release(self, permit: Permit, sample: AnswerSample) -> None:
        """Return a permit; a second release of the same permit has no effect."""
        running = self._in_use_by_number.pop(permit.number, None)
        if running is None:
            log.warn(f"permit {permit.number} was released twice")
            return
        service_name = running.service_name
        if running.baseline is not None:
            running.baseline.release(service_name, permit.upstream.id)
            return
        holder = self.holders_by_service.get(service_name)
        if holder is None:
            return
        effects = holder.release(
            self._reactor.seconds(),
            permit.upstream.id,
            running.caller_service,
            sample,
            is_local=permit.epoch_number == 0,
        )
        if effects:
            self._executor.execute(service_name, effects)
        elif holder.wants_flush:
            self._executor.schedule_flush()

    def note_load_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        """Record the load report of a response."""
        for service_name, upstreams in self._upstreams_by_service.items():
            if upstream_id not in upstreams:
                continue
            holder = self.holders_by_service[service_name]
            in_flight, slots = report.running, report.slots
            holder.local.note_load_report(upstream_id, in_flight, slots)
            if self._baseline is not None:
                self._baseline.note_load_report(
                    service_name, upstream_id, in_flight, slots
                )

    def note_request_limit(self, upstream_id: UpstreamId, limit: float | None) -> None:
        """Apply the request limit that an answer states, or that it states none."""
        self._limits.note(upstream_id, limit)

    def _admit_by_baseline(
        self,
        baseline: BaselineAdmission,
        service_name: ServiceName,
        request: PermitRequest,
    ) -> Deferred[Permit]:
        number = self._last_call_id
        permit = baseline.acquire(service_name, request, number)
        if permit is None:
            return fail(NotAdmittedError(NO_UPSTREAM_REASON, NO_RETRY_TIME_S))
        self._in_use_by_number[number] = PermitInUse(
            service_name, request.caller_service, baseline
        )
        return succeed(permit)

    def _on_cancelled(self, deferred: Any) -> None:
        if self._waiting_by_id.pop(deferred.call_id, None) is None:
            return
        holder = self.holders_by_service.get(deferred.service_name)
        if holder is not None:
            holder.cancel(deferred.call_id)
            self._executor.schedule_flush()

    def _on_text(self, active: ActiveText) -> None:
        text = active.text
        removed = [
            each for each in self.holders_by_service if each not in text.services
        ]
        for name in removed:
            holder = self.holders_by_service.pop(name)
            refusals = [
                Refuse(each.call_id, "service removed", 1.0) for each in holder.queue
            ]
            self._executor.execute(name, refusals)
            self._roles.remove_service(name)
            self._upstreams_by_service.pop(name, None)
        policy = text.policy
        if policy == "permits":
            self._baseline = None
        elif self._baseline is None or self._baseline.policy != policy:
            self._baseline = BaselineAdmission(policy, self._rng)
            for name, upstreams in self._upstreams_by_service.items():
                self._baseline.set_upstreams(name, upstreams)
        for name in text.services:
            holder_of_name = self.holders_by_service.get(name)
            if holder_of_name is not None:
                holder_of_name.apply(holder_settings(text, name))
                continue
            self.holders_by_service[name] = PermitHolder(
                self._rng,
                name,
                (self._member_id, self._zone),
                holder_settings(text, name),
            )
        for name, coordinator in self.coordinators_by_service.items():
            coordinator.apply(coordinator_settings(text, name))
        self._on_upstreams_change()
        self._on_members_change()

    def _on_members_change(self) -> None:
        now = self._reactor.seconds()
        members = dict(self._members.members_by_id())
        self._roles.set_members(now, members)
        for service_name, holder in self.holders_by_service.items():
            holder.local.set_members(members)
            coordinator_id = holder.epoch.member_id
            if coordinator_id and coordinator_id not in members:
                self._executor.execute(service_name, holder.on_link(now, is_up=False))
            # Runs first, so that a member that loses the role sends no announcement.
            self._update_role(now, service_name)
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                zones = {each.id: each.zone for each in members.values()}
                self._executor.execute(
                    service_name, coordinator.set_members(now, zones)
                )

    def _update_role(self, now: float, service_name: ServiceName) -> None:
        active = self._configuration.active()
        if active is None or service_name not in self._upstreams_by_service:
            return
        settings = coordinator_settings(active.text, service_name)
        upstreams = self._upstreams_by_service[service_name]
        previous = self.coordinators_by_service.get(service_name)
        effects = self._roles.update_role(now, service_name, upstreams, settings)
        coordinator = self.coordinators_by_service.get(service_name)
        if coordinator is not None and coordinator is not previous:
            self._limits.hand_to_coordinator(service_name, coordinator)
        self._executor.execute(service_name, effects)

    def _on_upstreams_change(self) -> None:
        now = self._reactor.seconds()
        active = self._configuration.active()
        services = active.text.services if active else {}
        for service_name, holder in self.holders_by_service.items():
            upstreams = cap_upstream_slots(
                self._directory.upstreams_by_id(service_name),
                services.get(service_name),
            )
            if upstreams == self._upstreams_by_service.get(service_name):
                continue
            self._upstreams_by_service[service_name] = upstreams
            if self._baseline is not None:
                self._baseline.set_upstreams(service_name, upstreams)
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                self._executor.execute(
                    service_name, coordinator.set_upstreams(now, upstreams)
                )
            self._executor.execute(service_name, holder.set_upstreams(now, upstreams))

    def _on_link_change(self, member_id: MemberId, is_up: bool) -> None:
        now = self._reactor.seconds()
        for service_name, holder in self.holders_by_service.items():
            if holder.epoch.member_id == member_id:
                self._executor.execute(service_name, holder.on_link(now, is_up=is_up))
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                effects = coordinator.on_link(now, member_id, is_up=is_up)
                self._executor.execute(service_name, effects)
        if is_up:
            self._limits.send_to(member_id)

    def _on_leaving(self, sender: MemberId, message: Leaving) -> None:
        self._roles.mark_leaving(sender, message.incarnation)
        for service_name in self.holders_by_service:
            self._update_role(self._reactor.seconds(), service_name)

    def _on_gateway_message(
        self, sender: MemberId, message: Holdings | Acquire | Release
    ) -> None:
        coordinator = self.coordinators_by_service.get(message.service_name)
        if coordinator is None:
            return
        now = self._reactor.seconds()
        if (message.epoch_number, message.epoch_member) > coordinator.epoch:
            # Another member became coordinator while this one was partitioned.
            self._roles.record_epoch(message.service_name, message.epoch_number)
            self._roles.remove_service(message.service_name)
            self._update_role(now, message.service_name)
            return
        effects = coordinator.on_message(now, sender, message)
        self._executor.execute(message.service_name, effects)

    def _on_announce(self, sender: MemberId, message: CoordinatorAnnounce) -> None:
        service_name = message.service_name
        coordinator = self.coordinators_by_service.get(service_name)
        epoch = Epoch(message.epoch_number, message.epoch_member)
        self._roles.record_epoch(service_name, epoch.number)
        if coordinator is not None and epoch > coordinator.epoch:
            self._roles.step_down(self._reactor.seconds(), service_name, epoch)
        elif coordinator is not None and epoch < coordinator.epoch:
            own = CoordinatorAnnounce(service_name, *coordinator.epoch)
            self._network.send(sender, own)
        self._on_coordinator_message(sender, message)

    def _on_coordinator_message(
        self, sender: MemberId, message: CoordinatorAnnounce | Grant | Recall
    ) -> None:
        holder = self.holders_by_service.get(message.service_name)
        if holder is None:
            return
        effects = holder.on_message(self._reactor.seconds(), message)
        self._executor.execute(message.service_name, effects)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        for service_name, coordinator in list(self.coordinators_by_service.items()):
            self._executor.execute(service_name, coordinator.tick(now))
        for service_name, holder in list(self.holders_by_service.items()):
            self._executor.execute(service_name, holder.tick(now))
            if self._roles.is_retake_due(now, service_name):
                self._update_role(now, service_name)

    def _on_loopback_message(self, message: PeerMessage) -> None:
        match message:
            case Holdings() | Acquire() | Release():
                self._on_gateway_message(self._member_id, message)
            case CoordinatorAnnounce() | Grant() | Recall():
                self._on_coordinator_message(self._member_id, message)

    def snapshot(self) -> dict[str, Any]:
        """Return the state of all services for the status page."""
        now = self._reactor.seconds()
        return {
            service_name: service_snapshot(
                now, holder, self.coordinators_by_service.get(service_name)
            )
            for service_name, holder in self.holders_by_service.items()
        }
