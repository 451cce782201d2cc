"""Hosts the permit decisions and routes their effects."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from banyanshelf_core.admission import WaitingCall
from banyanshelf_core.hashing import rank_members
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
    Member,
    MemberId,
    Send,
    ServiceName,
    Upstream,
    UpstreamId,
)
from banyanshelf_core.permits.coordinator import CoordinatorSettings, SlotCoordinator
from banyanshelf_core.permits.effects import Assign, Effect, Probe, Refuse
from banyanshelf_core.permits.holder import HolderSettings, PermitHolder
from banyanshelf_core.text import OperatorText
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
from banyanshelf_daemon.settings import Settings

TICK_S = 0.025
# Two members with different views of the membership would outbid each other at once.
# With 1 s, a member that had just come back left the fleet without a coordinator.
RETAKE_DELAY_S = 0.3

log = Logger("banyanshelf.coordination")


class _Waiting(NamedTuple):
    """A call that waits for its permit."""

    deferred: Deferred[Permit]
    caller_service: str


class _Running(NamedTuple):
    """A permit in use."""

    service_name: ServiceName
    caller_service: str


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
        self.coordinators_by_service: dict[ServiceName, SlotCoordinator] = {}
        self._upstreams_by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        self._waiting_by_id: dict[int, _Waiting] = {}
        self._running_by_number: dict[int, _Running] = {}
        self._last_call_id = 0
        self._own_messages: deque[PeerMessage] = deque()
        self._is_routing = False
        self._is_flush_scheduled = False
        self._highest_number_by_service: dict[ServiceName, int] = {}
        self._retake_at_by_service: dict[ServiceName, float] = {}
        self._leaving_by_member: dict[MemberId, int] = {}
        self._removed_at_by_member: dict[MemberId, float] = {}
        self._known_members: dict[MemberId, Member] = {}
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
        self._leaving_by_member[self._member_id] = incarnation
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
            if upstream_id in upstreams:
                holder = self.holders_by_service[service_name]
                holder.local.note_load_report(upstream_id, in_flight, slots)

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
            self.coordinators_by_service.pop(name, None)
            self._upstreams_by_service.pop(name, None)
        for name in text.services:
            if name not in self.holders_by_service:
                self.holders_by_service[name] = PermitHolder(
                    self._rng,
                    name,
                    (self._member_id, self._zone),
                    self._holder_settings(text, name),
                )
        self._on_members_change()
        self._on_upstreams_change()

    @staticmethod
    def _holder_settings(text: OperatorText, name: ServiceName) -> HolderSettings:
        service = text.services[name]
        return HolderSettings(
            service.queue_limit,
            service.caller_weights,
            service.timeout_ms / 1e3,
            text.protection.ramp_ms / 1e3,
            text.protection.eject_after_failures,
        )

    def _coordinator_settings(self, name: ServiceName) -> CoordinatorSettings:
        active = self._configuration.active()
        assert active is not None
        text = active.text
        return CoordinatorSettings(
            text.services[name].timeout_ms / 1e3,
            text.protection.ramp_ms / 1e3,
            text.protection.eject_after_failures,
            text.measuring.probe_share,
            text.measuring.probe_cost_ms / 1e3,
        )

    def _own_incarnation(self) -> int:
        own = self._members.members_by_id().get(self._member_id)
        return own.incarnation if own is not None else 0

    def _on_members_change(self) -> None:
        now = self._reactor.seconds()
        members = dict(self._members.members_by_id())
        known, self._known_members = self._known_members, members
        for member_id in known:
            if member_id not in members:
                self._removed_at_by_member[member_id] = now
        for member_id in members:
            self._removed_at_by_member.pop(member_id, None)
        own, own_before = members.get(self._member_id), known.get(self._member_id)
        if own and own_before and own.incarnation != own_before.incarnation:
            # The others have removed this member and may have chosen a coordinator.
            self.coordinators_by_service.clear()
        self._retake_at_by_service.clear()
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

    def _first_ranked(self, service_name: ServiceName) -> MemberId | None:
        members = self._known_members
        candidates = [
            member_id
            for member_id, member in members.items()
            if self._leaving_by_member.get(member_id, -1) < member.incarnation
        ] or list(members)
        ranked = rank_members(f"service/{service_name}", candidates)
        return ranked[0] if ranked else None

    def _take_or_drop_role(self, now: float, service_name: ServiceName) -> None:
        is_first = self._first_ranked(service_name) == self._member_id
        is_coordinating = service_name in self.coordinators_by_service
        if is_coordinating and not is_first:
            del self.coordinators_by_service[service_name]
            log.info(f"service {service_name}: coordinator role given up")
        if is_coordinating or not is_first:
            return
        if now < self._retake_at_by_service.get(service_name, 0.0):
            return
        holder = self.holders_by_service[service_name]
        highest = self._highest_number_by_service.get(service_name, 0)
        number = max(holder.epoch.number, highest) + 1
        epoch = Epoch(number, self._member_id)
        settings = self._coordinator_settings(service_name)
        removed = {
            member_id: removed_at
            for member_id, removed_at in self._removed_at_by_member.items()
            if now - removed_at < settings.time_limit_s
        }
        coordinator = SlotCoordinator(
            now,
            self._rng,
            service_name,
            epoch,
            {each.id: each.zone for each in self._known_members.values()},
            self._upstreams_by_service.get(service_name, {}),
            settings,
            removed,
        )
        self.coordinators_by_service[service_name] = coordinator
        log.info(f"service {service_name}: coordinator role taken, epoch {epoch[0]}")
        self._route(service_name, coordinator.start())

    def _on_upstreams_change(self) -> None:
        now = self._reactor.seconds()
        for service_name, holder in self.holders_by_service.items():
            upstreams = dict(self._directory.upstreams_by_id(service_name))
            if upstreams == self._upstreams_by_service.get(service_name):
                continue
            self._upstreams_by_service[service_name] = upstreams
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
        self._leaving_by_member[sender] = message.incarnation
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
            self._highest_number_by_service[message.service_name] = message.epoch_number
            del self.coordinators_by_service[message.service_name]
            self._take_or_drop_role(now, message.service_name)
            return
        effects = coordinator.on_message(now, sender, message)
        self._route(message.service_name, effects)

    def _on_announce(self, sender: MemberId, message: CoordinatorAnnounce) -> None:
        service_name = message.service_name
        coordinator = self.coordinators_by_service.get(service_name)
        epoch = Epoch(message.epoch_number, message.epoch_member)
        if coordinator is not None and epoch > coordinator.epoch:
            del self.coordinators_by_service[service_name]
            self._retake_at_by_service[service_name] = (
                self._reactor.seconds() + RETAKE_DELAY_S
            )
            log.info(f"service {service_name}: coordinator role lost to {epoch}")
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
            if now >= self._retake_at_by_service.get(service_name, float("inf")):
                del self._retake_at_by_service[service_name]
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
        self._deliver_own()

    def _send(self, service_name: ServiceName, effect: Send) -> None:
        if effect.to == self._member_id:
            self._own_messages.append(effect.message)
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

    def _deliver_own(self) -> None:
        if self._is_routing:
            return
        self._is_routing = True
        try:
            while self._own_messages:
                message: Any = self._own_messages.popleft()
                if isinstance(message, Holdings | Acquire | Release):
                    self._on_gateway_message(self._member_id, message)
                else:
                    self._on_coordinator_message(self._member_id, message)
        finally:
            self._is_routing = False

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

    def snapshot(self) -> Mapping[str, Any]:
        """Return the state of all services for the status page."""
        return {}
