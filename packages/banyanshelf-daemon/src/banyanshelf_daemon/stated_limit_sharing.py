"""Shares the request limits that upstreams state between the members."""

from __future__ import annotations

from typing import Any

from logbook import Logger

from banyanshelf_core.messages import RequestLimitNotice
from banyanshelf_core.model import MemberId, ServiceName, UpstreamId
from banyanshelf_core.permits.coordinator import SlotCoordinator
from banyanshelf_core.request_limit import StatedLimit, describe_limit
from banyanshelf_daemon.effect_executor import EffectExecutor
from banyanshelf_daemon.interfaces import PeerNetwork

MICRO = 1_000_000
NO_LIMIT = -1

log = Logger("banyanshelf.limits")


class StatedLimitSharing:
    """Passes stated limits to this member's holders and coordinators, and to others.

    Example:
        ``sharing.note("desk-1", 2.5)`` for an answer of ``desk-1`` that states 2.5
        requests a second.

    """

    def __init__(
        self, reactor: Any, network: PeerNetwork, executor: EffectExecutor
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._executor = executor

    def start(self) -> None:
        """Subscribe to the notices of other members."""
        self._network.subscribe(RequestLimitNotice, self._on_notice)

    def note(self, upstream_id: UpstreamId, limit: float | None) -> None:
        """Apply what an answer states; a change is announced to the other members."""
        now = self._reactor.seconds()
        stated = StatedLimit(limit, now)
        if self._apply(now, upstream_id, stated):
            self._network.broadcast(_notice(now, upstream_id, stated))

    def send_to(self, member_id: MemberId) -> None:
        """Send all known statements to a member whose link has come up."""
        now = self._reactor.seconds()
        for holder in self._executor.holders_by_service.values():
            for upstream_id, stated in holder.local.limits.statements().items():
                self._network.send(member_id, _notice(now, upstream_id, stated))

    def hand_to_coordinator(
        self, service_name: ServiceName, coordinator: SlotCoordinator
    ) -> None:
        """Apply all known statements at a coordinator that has just begun."""
        now = self._reactor.seconds()
        limits = self._executor.holders_by_service[service_name].local.limits
        for upstream_id, stated in limits.statements().items():
            effects = coordinator.note_request_limit(now, upstream_id, stated)
            self._executor.execute(service_name, effects)

    def _on_notice(self, _sender: MemberId, notice: RequestLimitNotice) -> None:
        now = self._reactor.seconds()
        per_s = None if notice.micro_per_s < 0 else notice.micro_per_s / MICRO
        stated_at = now - max(0, notice.age_us) / MICRO
        self._apply(now, notice.upstream, StatedLimit(per_s, stated_at))

    def _apply(self, now: float, upstream_id: UpstreamId, stated: StatedLimit) -> bool:
        """Apply a statement; return whether the limit of the upstream has changed."""
        executor = self._executor
        is_changed = False
        for service_name, upstreams in executor.upstreams_by_service.items():
            if upstream_id not in upstreams:
                continue
            holder = executor.holders_by_service[service_name]
            is_changed = holder.note_request_limit(upstream_id, stated) or is_changed
            coordinator = executor.roles.coordinators_by_service.get(service_name)
            effects = (
                []
                if coordinator is None
                else coordinator.note_request_limit(now, upstream_id, stated)
            )
            executor.execute(service_name, effects)
        if is_changed:
            log.info(describe_limit(upstream_id, stated))
        return is_changed


def _notice(
    now: float, upstream_id: UpstreamId, stated: StatedLimit
) -> RequestLimitNotice:
    micro_per_s = NO_LIMIT if stated.per_s is None else round(stated.per_s * MICRO)
    age_us = round(max(0.0, now - stated.stated_at) * MICRO)
    return RequestLimitNotice(upstream_id, micro_per_s, age_us)
