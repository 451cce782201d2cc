"""Coordinator roles of this member: one slot coordinator per service."""

from __future__ import annotations

import random
from collections.abc import Mapping

from logbook import Logger

from banyanshelf_core.hashing import rank_members
from banyanshelf_core.messages import Leaving
from banyanshelf_core.model import (
    Epoch,
    Member,
    MemberId,
    ServiceName,
    Upstream,
    UpstreamId,
)
from banyanshelf_core.permits.coordinator import SlotCoordinator
from banyanshelf_core.permits.effects import CoordinatorEffect
from banyanshelf_core.permits.settings import CoordinatorSettings

# Without a delay, two members with different views of the membership would keep
# replacing each other with ever higher epochs. A delay of 1 s left the cluster without
# a coordinator when a member had just come back.
RETAKE_DELAY_S = 0.3

log = Logger("banyanshelf.coordination")


class CoordinatorRoles:
    """The coordinators of one member; the first-ranked member takes a role."""

    def __init__(self, member_id: MemberId, rng: random.Random) -> None:
        self._member_id = member_id
        self._rng = rng
        self.coordinators_by_service: dict[ServiceName, SlotCoordinator] = {}
        self._known_members: dict[MemberId, Member] = {}
        self._removed_at_by_member: dict[MemberId, float] = {}
        self._leaving_by_member: dict[MemberId, int] = {}
        self._highest_epoch_by_service: dict[ServiceName, int] = {}
        self._retake_at_by_service: dict[ServiceName, float] = {}

    def set_members(self, now: float, members: Mapping[MemberId, Member]) -> None:
        """Set the live members; a new incarnation of this member drops all roles."""
        known, self._known_members = self._known_members, dict(members)
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

    def release_all(self) -> Leaving:
        """Release all roles permanently; returns the message for the other members."""
        own = self._known_members.get(self._member_id)
        incarnation = own.incarnation if own is not None else 0
        self.mark_leaving(self._member_id, incarnation)
        roles = [f"service/{name}" for name in self.coordinators_by_service]
        self.coordinators_by_service.clear()
        return Leaving(incarnation, roles)

    def mark_leaving(self, member_id: MemberId, incarnation: int) -> None:
        """Exclude a member from all roles, as it shuts down gracefully."""
        self._leaving_by_member[member_id] = incarnation

    def record_epoch(self, service_name: ServiceName, number: int) -> None:
        """Record the highest epoch number seen for a service."""
        highest = self._highest_epoch_by_service.get(service_name, 0)
        self._highest_epoch_by_service[service_name] = max(highest, number)

    def remove_service(self, service_name: ServiceName) -> None:
        """Drop the coordinator of a service."""
        self.coordinators_by_service.pop(service_name, None)

    def step_down(self, now: float, service_name: ServiceName, epoch: Epoch) -> None:
        """Step down for a coordinator with a higher epoch, for ``RETAKE_DELAY_S``."""
        del self.coordinators_by_service[service_name]
        self._retake_at_by_service[service_name] = now + RETAKE_DELAY_S
        log.info(f"service {service_name}: {epoch.member_id} is the new coordinator")

    def is_retake_due(self, now: float, service_name: ServiceName) -> bool:
        """Whether the retry delay of a lost role is over; true only once."""
        if now < self._retake_at_by_service.get(service_name, float("inf")):
            return False
        del self._retake_at_by_service[service_name]
        return True

    def update_role(
        self,
        now: float,
        service_name: ServiceName,
        upstreams_by_id: Mapping[UpstreamId, Upstream],
        settings: CoordinatorSettings,
    ) -> list[CoordinatorEffect]:
        """Take, keep or release the role of a service by this member's rank."""
        is_first = self._first_ranked(service_name) == self._member_id
        is_coordinating = service_name in self.coordinators_by_service
        if is_coordinating and not is_first:
            del self.coordinators_by_service[service_name]
            log.info(f"service {service_name}: coordinator role released")
        is_delayed = now < self._retake_at_by_service.get(service_name, 0.0)
        if is_coordinating or not is_first or is_delayed:
            return []
        number = self._highest_epoch_by_service.get(service_name, 0) + 1
        removed = {
            member_id: removed_at
            for member_id, removed_at in self._removed_at_by_member.items()
            if now - removed_at < settings.time_limit_s
        }
        coordinator = SlotCoordinator(
            now,
            self._rng,
            service_name,
            Epoch(number, self._member_id),
            {each.id: each.zone for each in self._known_members.values()},
            upstreams_by_id,
            settings,
            removed,
        )
        self.coordinators_by_service[service_name] = coordinator
        log.info(f"service {service_name}: coordinator role taken, epoch {number}")
        return coordinator.start()

    def _first_ranked(self, service_name: ServiceName) -> MemberId | None:
        members = self._known_members
        candidates = [
            member_id
            for member_id, member in members.items()
            if self._leaving_by_member.get(member_id, -1) < member.incarnation
        ]
        ranked = rank_members(f"service/{service_name}", candidates or members)
        return ranked[0] if ranked else None
