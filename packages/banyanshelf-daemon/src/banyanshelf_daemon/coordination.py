"""Hosts the permit decisions and routes their effects."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from banyanshelf_core.admission import WaitingCall
from banyanshelf_core.messages import (
    Acquire,
    AnswerSample,
    CoordinatorAnnounce,
    Grant,
    Holdings,
    Leaving,
    PeerMessage,
    Recall,
    Release,
)
from banyanshelf_core.model import (
    Broadcast,
    Epoch,
    MemberId,
    Send,
    ServiceName,
    Upstream,
    UpstreamId,
)
from banyanshelf_core.permits.effects import Assign, Effect, Probe, Refuse
from banyanshelf_core.permits.holder import PermitHolder
from banyanshelf_daemon.baseline_admission import NO_RETRY_TIME_S, BaselineAdmission
from banyanshelf_daemon.coordination_views import (
    coordinator_settings,
    holder_settings,
    service_snapshot,
)
from banyanshelf_daemon.coordinator_roles import CoordinatorRoles
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ConfigurationSource,
    MembershipSource,
    NotAdmittedError,
    PeerNetwork,
    Permit,
    PermitRequest,
    UpstreamDirectory,
)
from banyanshelf_daemon.own_mailbox import OwnMailbox
from banyanshelf_daemon.settings import Settings

TICK_S = 0.025
log = Logger("banyanshelf.coordination")


class _Waiting(NamedTuple):
    """A call that waits for its permit."""

    deferred: Deferred[Permit]
    caller_service: str


class _Running(NamedTuple):
    """A permit in use, with the baseline policy that gave it, if any."""

    service_name: ServiceName
    caller_service: str
    baselines: BaselineAdmission | None = None


class Coordination:
    """Admits calls: a permit holder per service, and this member's coordinators."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        configuration: ConfigurationSource,
        members: MembershipSource,
        directory: UpstreamDirectory,
        network: PeerNetwork,
        rng: random.Random,
        send_probe: Callable[[Upstream], Deferred[bool]],
    ) -> None:
        self._reactor = reactor
        self._member_id = settings.member_id
        self._zone = settings.zone
        self._configuration = configuration
        self._members = members
        self._directory = directory
        self._network = network
        self._rng = rng
        self._send_probe = send_probe
        self.holders_by_service: dict[ServiceName, PermitHolder] = {}
        self._roles = CoordinatorRoles(settings.member_id, rng)
        self.coordinators_by_service = self._roles.coordinators_by_service
        self._upstreams_by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        self._waiting_by_id: dict[int, _Waiting] = {}
        self._running_by_number: dict[int, _Running] = {}
        self._last_call_id = 0
        self._own_mailbox = OwnMailbox(self._on_own_message)
        self._baselines: BaselineAdmission | None = None
        self._is_flush_scheduled = False
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._is_stopped = False

    def start(self) -> None:
        """Subscribe to messages and changes, and start the clock."""
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
        self._network.on_link_change(self._on_link_change)
        self._members.on_members_change(self._on_members_change)
        self._directory.on_upstreams_change(self._on_upstreams_change)
        self._configuration.on_change(self._on_text)
        active = self._configuration.active()
        if active is not None:
            self._on_text(active)
        self._ticker.start(TICK_S, now=False)

    def hand_over(self) -> None:
        """Give up the coordinator roles and all idle permits before a planned stop.

        Calls in progress go on; further calls are still admitted.
        """
        roles = [f"service/{name}" for name in self.coordinators_by_service]
        incarnation = self._own_incarnation()
        self._roles.set_leaving(self._member_id, incarnation)
        self._network.broadcast(Leaving(incarnation, roles))
        self.coordinators_by_service.clear()
        for holder in self.holders_by_service.values():
            holder.drain()
        self._flush()

    def stop(self) -> None:
        """Refuse waiting calls and hand back idle permits."""
        if self._is_stopped:
            return
        self._is_stopped = True
        if self._ticker.running:
            self._ticker.stop()
        for waiting in list(self._waiting_by_id.values()):
            waiting.deferred.errback(NotAdmittedError("this gateway stops", 1.0))
        self._waiting_by_id.clear()
        for holder in self.holders_by_service.values():
            holder.drain()
        self._flush()

    def acquire(
        self, service_name: ServiceName, request: PermitRequest
    ) -> Deferred[Permit]:
        """Wait for a permit; see :class:`~.interfaces.PermitService`."""
        deferred: Deferred[Permit] = Deferred(self._on_cancelled)
        holder = self.holders_by_service.get(service_name)
        if holder is None or self._is_stopped:
            reason = "this gateway stops" if self._is_stopped else "unknown service"
            deferred.errback(NotAdmittedError(reason, 1.0))
            return deferred
        now = self._reactor.seconds()
        self._last_call_id += 1
        call_id = self._last_call_id
        if self._baselines is not None:
            self._admit_at_once(self._baselines, service_name, request, deferred)
            return deferred
        deferred.call_id = call_id
        deferred.service_name = service_name
        call = WaitingCall(
            call_id,
            request.caller_service,
            request.depth,
            now,
            request.deadline,
            request.idempotent,
            request.excluded,
        )
        self._waiting_by_id[call_id] = _Waiting(deferred, request.caller_service)
        self._route(
            service_name, holder.acquire(now, call, only_idle=request.only_idle)
        )
        return deferred

    def release(self, permit: Permit, sample: AnswerSample) -> None:
        """Give a permit back; a second release of the same permit has no effect."""
        running = self._running_by_number.pop(permit.number, None)
        if running is None:
            log.warn(f"permit {permit.number} was released twice")
            return
        service_name = running.service_name
        if running.baselines is not None:
            running.baselines.release(service_name, permit.upstream.id)
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
        self._route(service_name, effects)

    def note_load_report(
        self, upstream_id: UpstreamId, in_flight: int, slots: int
    ) -> None:
        """Take in a load report from a response."""
        for service_name, upstreams in self._upstreams_by_service.items():
            if upstream_id not in upstreams:
                continue
            holder = self.holders_by_service[service_name]
            holder.local.note_load_report(upstream_id, in_flight, slots)
            if self._baselines is not None:
                self._baselines.note_load_report(
                    service_name, upstream_id, in_flight, slots
                )

    def _admit_at_once(
        self,
        baselines: BaselineAdmission,
        service_name: ServiceName,
        request: PermitRequest,
        deferred: Deferred[Permit],
    ) -> None:
        number = self._last_call_id
        permit = baselines.acquire(service_name, request, number)
        if permit is None:
            reason = "no upstream left for this call"
            deferred.errback(NotAdmittedError(reason, NO_RETRY_TIME_S))
            return
        self._running_by_number[number] = _Running(
            service_name, request.caller_service, baselines
        )
        deferred.callback(permit)

    def _on_cancelled(self, deferred: Any) -> None:
        if self._waiting_by_id.pop(deferred.call_id, None) is None:
            return
        holder = self.holders_by_service.get(deferred.service_name)
        if holder is not None:
            holder.cancel(self._reactor.seconds(), deferred.call_id)
            self._schedule_flush()

    def _on_text(self, active: ActiveText) -> None:
        text = active.text
        for name in [
            each for each in self.holders_by_service if each not in text.services
        ]:
            del self.holders_by_service[name]
            self._roles.drop(name)
            self._upstreams_by_service.pop(name, None)
        policy = text.policy
        if policy == "permits":
            self._baselines = None
        elif self._baselines is None or self._baselines.policy != policy:
            self._baselines = BaselineAdmission(policy, self._rng)
            for name, upstreams in self._upstreams_by_service.items():
                self._baselines.set_upstreams(name, upstreams)
        for name in text.services:
            if name not in self.holders_by_service:
                self.holders_by_service[name] = PermitHolder(
                    self._rng,
                    name,
                    (self._member_id, self._zone),
                    holder_settings(text, name),
                )
        self._on_upstreams_change()
        self._on_members_change()

    def _own_incarnation(self) -> int:
        own = self._members.members_by_id().get(self._member_id)
        return own.incarnation if own is not None else 0

    def _on_members_change(self) -> None:
        now = self._reactor.seconds()
        members = dict(self._members.members_by_id())
        self._roles.set_members(now, members)
        for service_name, holder in self.holders_by_service.items():
            holder.local.set_members(members)
            coordinator_id = holder.epoch.member_id
            if coordinator_id and coordinator_id not in members:
                self._route(service_name, holder.on_link(now, is_up=False))
            # First, so that a member that gives up the role announces nothing.
            self._take_or_drop_role(now, service_name)
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                zones = {each.id: each.zone for each in members.values()}
                self._route(service_name, coordinator.set_members(now, zones))

    def _take_or_drop_role(self, now: float, service_name: ServiceName) -> None:
        active = self._configuration.active()
        if active is None or service_name not in self._upstreams_by_service:
            return
        settings = coordinator_settings(active.text, service_name)
        upstreams = self._upstreams_by_service[service_name]
        effects = self._roles.take_or_drop(now, service_name, upstreams, settings)
        self._route(service_name, effects)

    def _on_upstreams_change(self) -> None:
        now = self._reactor.seconds()
        for service_name, holder in self.holders_by_service.items():
            upstreams = dict(self._directory.upstreams_by_id(service_name))
            if upstreams == self._upstreams_by_service.get(service_name):
                continue
            self._upstreams_by_service[service_name] = upstreams
            if self._baselines is not None:
                self._baselines.set_upstreams(service_name, upstreams)
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                self._route(service_name, coordinator.set_upstreams(now, upstreams))
            self._route(service_name, holder.set_upstreams(now, upstreams))

    def _on_link_change(self, member_id: MemberId, is_up: bool) -> None:
        now = self._reactor.seconds()
        for service_name, holder in self.holders_by_service.items():
            if holder.epoch.member_id == member_id:
                self._route(service_name, holder.on_link(now, is_up=is_up))
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                effects = coordinator.on_link(now, member_id, is_up=is_up)
                self._route(service_name, effects)

    def _on_leaving(self, sender: MemberId, message: Leaving) -> None:
        self._roles.set_leaving(sender, message.incarnation)
        now = self._reactor.seconds()
        for service_name in self.holders_by_service:
            self._take_or_drop_role(now, service_name)

    def _on_gateway_message(
        self, sender: MemberId, message: Holdings | Acquire | Release
    ) -> None:
        coordinator = self.coordinators_by_service.get(message.service_name)
        if coordinator is None:
            return
        now = self._reactor.seconds()
        if (message.epoch_number, message.epoch_member) > coordinator.epoch:
            # Another member coordinated while this one was cut off.
            self._roles.note_epoch(message.service_name, message.epoch_number)
            self._roles.drop(message.service_name)
            self._take_or_drop_role(now, message.service_name)
            return
        effects = coordinator.on_message(now, sender, message)
        self._route(message.service_name, effects)

    def _on_announce(self, sender: MemberId, message: CoordinatorAnnounce) -> None:
        service_name = message.service_name
        coordinator = self.coordinators_by_service.get(service_name)
        epoch = Epoch(message.epoch_number, message.epoch_member)
        self._roles.note_epoch(service_name, epoch.number)
        if coordinator is not None and epoch > coordinator.epoch:
            self._roles.lose(self._reactor.seconds(), service_name, epoch)
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
        self._route(message.service_name, effects)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        for service_name, coordinator in list(self.coordinators_by_service.items()):
            self._route(service_name, coordinator.tick(now))
        for service_name, holder in list(self.holders_by_service.items()):
            self._route(service_name, holder.tick(now))
            if self._roles.is_retake_due(now, service_name):
                self._take_or_drop_role(now, service_name)

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        now = self._reactor.seconds()
        for service_name, holder in self.holders_by_service.items():
            if holder.wants_flush:
                self._route(service_name, holder.flush(now))

    def _route(self, service_name: ServiceName, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Assign():
                    self._on_assigned(service_name, effect)
                case Refuse():
                    waiting = self._waiting_by_id.pop(effect.call_id, None)
                    if waiting is not None:
                        waiting.deferred.errback(
                            NotAdmittedError(effect.reason, effect.retry_after_s)
                        )
                case Send():
                    self._send(service_name, effect)
                case Broadcast():
                    self._network.broadcast(effect.message)
                case Probe():
                    self._probe(service_name, effect.upstream)
        holder = self.holders_by_service.get(service_name)
        if holder is not None and holder.wants_flush:
            self._schedule_flush()
        self._own_mailbox.deliver()

    def _send(self, service_name: ServiceName, effect: Send) -> None:
        if effect.to == self._member_id:
            self._own_mailbox.put(effect.message)
            return
        if self._network.send(effect.to, effect.message):
            return
        now = self._reactor.seconds()
        message = effect.message
        if isinstance(message, Grant):
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                coordinator.on_unsent(now, effect.to, message)
        elif isinstance(message, Holdings | Acquire | Release):
            holder = self.holders_by_service[service_name]
            self._route(service_name, holder.on_link(now, is_up=False))

    def _on_own_message(self, message: PeerMessage) -> None:
        match message:
            case Holdings() | Acquire() | Release():
                self._on_gateway_message(self._member_id, message)
            case CoordinatorAnnounce() | Grant() | Recall():
                self._on_coordinator_message(self._member_id, message)

    def _on_assigned(self, service_name: ServiceName, effect: Assign) -> None:
        waiting = self._waiting_by_id.pop(effect.call_id)
        upstream = self._upstreams_by_service[service_name][effect.upstream]
        self._running_by_number[effect.call_id] = _Running(
            service_name, waiting.caller_service
        )
        waiting.deferred.callback(
            Permit(
                upstream,
                effect.epoch_number,
                effect.reason,
                effect.candidates,
                effect.call_id,
            )
        )

    def _probe(self, service_name: ServiceName, upstream_id: UpstreamId) -> None:
        upstream = self._upstreams_by_service[service_name][upstream_id]

        def on_result(succeeded: object) -> None:
            coordinator = self.coordinators_by_service.get(service_name)
            if coordinator is not None:
                now = self._reactor.seconds()
                effects = coordinator.on_probe_result(
                    now, upstream_id, succeeded=succeeded is True
                )
                self._route(service_name, effects)

        self._send_probe(upstream).addBoth(on_result)

    def snapshot(self) -> dict[str, Any]:
        """Return the state of all services for the status page."""
        now = self._reactor.seconds()
        return {
            service_name: service_snapshot(
                now, holder, self.coordinators_by_service.get(service_name)
            )
            for service_name, holder in self.holders_by_service.items()
        }
