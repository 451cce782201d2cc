"""Executes the effects that permit holders and coordinators return."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from banyanshelf_core.messages import Acquire, Grant, Holdings, PeerMessage, Release
from banyanshelf_core.model import (
    Broadcast,
    MemberId,
    Send,
    ServiceName,
    Upstream,
    UpstreamId,
)
from banyanshelf_core.permits.effects import Assign, Effect, Probe, Refuse
from banyanshelf_core.permits.holder import PermitHolder
from banyanshelf_daemon.baseline_admission import BaselineAdmission
from banyanshelf_daemon.coordinator_roles import CoordinatorRoles
from banyanshelf_daemon.interfaces import (
    NotAdmittedError,
    PeerNetwork,
    Permit,
    ProbeSender,
)
from banyanshelf_daemon.loopback_queue import LoopbackQueue


class PermitWaiter(NamedTuple):
    """A call that is waiting for a permit."""

    deferred: Deferred[Permit]
    caller_service: str


class PermitInUse(NamedTuple):
    """A permit in use and the baseline policy that granted it, if any."""

    service_name: ServiceName
    caller_service: str
    baseline: BaselineAdmission | None = None


class EffectExecutor:
    """Executes effects on the network, the upstreams and the waiting calls.

    ``handle_loopback`` receives the messages that this member sends to itself.
    """

    def __init__(
        self,
        reactor: Any,
        member_id: MemberId,
        network: PeerNetwork,
        rng: random.Random,
        send_probe: ProbeSender,
        handle_loopback: Callable[[PeerMessage], None],
    ) -> None:
        self._reactor = reactor
        self._member_id = member_id
        self._network = network
        self._send_probe = send_probe
        self._loopback_queue = LoopbackQueue(handle_loopback)
        self._is_flush_scheduled = False
        self.roles = CoordinatorRoles(member_id, rng)
        self.holders_by_service: dict[ServiceName, PermitHolder] = {}
        self.upstreams_by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        self.waiting_by_id: dict[int, PermitWaiter] = {}
        self.in_use_by_number: dict[int, PermitInUse] = {}

    def schedule_flush(self) -> None:
        """Schedule a flush for the end of this reactor turn."""
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(0, self.flush)

    def drain(self) -> None:
        """Return all idle permits and keep none from now on."""
        for holder in self.holders_by_service.values():
            holder.drain()
        self.flush()

    def flush(self) -> None:
        """Send the pending messages of all holders."""
        self._is_flush_scheduled = False
        now = self._reactor.seconds()
        for service_name, holder in self.holders_by_service.items():
            if holder.wants_flush:
                self.execute(service_name, holder.flush(now))

    def execute(self, service_name: ServiceName, effects: Iterable[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            match effect:
                case Assign():
                    self._on_assigned(service_name, effect)
                case Refuse():
                    waiting = self.waiting_by_id.pop(effect.call_id, None)
                    if waiting is not None:
                        waiting.deferred.errback(
                            NotAdmittedError(effect.reason, effect.retry_after_s)
                        )
                case Send():
                    self._send(service_name, effect)
                case Broadcast():
                    self._network.broadcast(effect.message)
                case Probe():
                    self._probe(service_name, effect)
        holder = self.holders_by_service.get(service_name)
        if holder is not None and holder.wants_flush:
            self.schedule_flush()
        self._loopback_queue.deliver()

    def _send(self, service_name: ServiceName, effect: Send) -> None:
        if effect.to == self._member_id:
            self._loopback_queue.put(effect.message)
            return
        if self._network.send(effect.to, effect.message):
            return
        now = self._reactor.seconds()
        message = effect.message
        if isinstance(message, Grant):
            coordinator = self.roles.coordinators_by_service.get(service_name)
            if coordinator is not None:
                coordinator.on_unsent(now, effect.to, message)
        elif isinstance(message, Holdings | Acquire | Release):
            holder = self.holders_by_service[service_name]
            self.execute(service_name, holder.on_link(now, is_up=False))

    def _on_assigned(self, service_name: ServiceName, effect: Assign) -> None:
        waiting = self.waiting_by_id.pop(effect.call_id)
        upstream = self.upstreams_by_service[service_name][effect.upstream]
        self.in_use_by_number[effect.call_id] = PermitInUse(
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

    def _probe(self, service_name: ServiceName, effect: Probe) -> None:
        upstream_id = effect.upstream
        upstream = self.upstreams_by_service[service_name][upstream_id]

        def on_result(succeeded: object) -> None:
            coordinator = self.roles.coordinators_by_service.get(service_name)
            if coordinator is not None:
                now = self._reactor.seconds()
                effects = coordinator.on_probe_result(
                    now, upstream_id, succeeded=succeeded is True
                )
                self.execute(service_name, effects)

        probe = self._send_probe(upstream, is_repeated=effect.is_repeated)
        probe.addBoth(on_result)
