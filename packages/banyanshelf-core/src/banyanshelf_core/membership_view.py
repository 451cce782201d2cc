"""One member's view of the others, and the updates that it still has to disseminate.

States are ordered by incarnation first and status second, and an update is merged by
taking the higher state. Merging is therefore commutative and idempotent: neither the
order nor the number of deliveries matters.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from banyanshelf_core.messages import MemberStatus, MemberUpdate
from banyanshelf_core.model import Member, MemberId

MAX_UPDATES_PER_MESSAGE = 8
# An update is sent this many times the binary logarithm of the group size, which
# reaches every member with high probability even if some messages are lost.
RETRANSMISSION_FACTOR = 3
# A partition between regions lasts about an hour. Afterwards, both sides must still
# know each other's addresses.
REMOVED_RETENTION_S = 7200.0

_STATUS_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.REMOVED: 2,
    MemberStatus.LEFT: 3,
}
DEPARTED_STATUSES = (MemberStatus.REMOVED, MemberStatus.LEFT)


@dataclass(slots=True)
class KnownMember:
    """Another member's state and the time at which it changed last."""

    member: Member
    status: MemberStatus
    changed_at: float

    def update(self) -> MemberUpdate:
        """Return the state as a piggybacked update."""
        return MemberUpdate(*self.member, self.status.value)


class MemberView:
    """The states of all known members, merged from updates."""

    def __init__(self, identity: Member, rng: random.Random) -> None:
        self.identity = identity
        self.live: dict[MemberId, Member] = {identity.id: identity}
        self._rng = rng
        self._known_by_id: dict[MemberId, KnownMember] = {}
        # Subset of _known_by_id, so that a tick does not iterate over all members.
        self._not_alive_by_id: dict[MemberId, KnownMember] = {}
        self._transmissions_by_id: dict[MemberId, int] = {identity.id: 0}
        self._joined: set[MemberId] = set()
        self._removed: set[MemberId] = set()

    def with_status(self, status: MemberStatus) -> dict[MemberId, Member]:
        """Return the other members that have a status other than alive."""
        return {
            each.member.id: each.member
            for each in self._not_alive_by_id.values()
            if each.status is status
        }

    def get(self, member_id: MemberId) -> KnownMember | None:
        """Return the state of another member, or None if it is not known."""
        return self._known_by_id.get(member_id)

    def has_status(self, member_id: MemberId, status: MemberStatus) -> bool:
        """Return whether another member is known to have a status."""
        known = self._known_by_id.get(member_id)
        return known is not None and known.status is status

    def set_identity(self, identity: Member) -> None:
        """Set this member's identity and disseminate its new incarnation."""
        self.identity = identity
        self.live[identity.id] = identity
        self.disseminate(identity.id)

    def merge(
        self,
        member: Member,
        status: MemberStatus,
        now: float,
        *,
        disseminate: bool = True,
    ) -> None:
        """Adopt another member's state if it is higher than the known one.

        Updates that every member reads from the store need no dissemination.
        """
        known = self._known_by_id.get(member.id)
        if known is not None and (member.incarnation, _STATUS_PRECEDENCE[status]) <= (
            known.member.incarnation,
            _STATUS_PRECEDENCE[known.status],
        ):
            return
        was_live = member.id in self.live
        is_live = status not in DEPARTED_STATUSES
        state = KnownMember(member, status, now)
        self._known_by_id[member.id] = state
        if status is MemberStatus.ALIVE:
            self._not_alive_by_id.pop(member.id, None)
        else:
            self._not_alive_by_id[member.id] = state
        if is_live:
            self.live[member.id] = member
        else:
            self.live.pop(member.id, None)
        if disseminate:
            self.disseminate(member.id)
        if is_live and not was_live:
            self._removed.discard(member.id)
            self._joined.add(member.id)
        elif was_live and not is_live:
            self._joined.discard(member.id)
            self._removed.add(member.id)

    def take_changes(self) -> tuple[tuple[MemberId, ...], tuple[MemberId, ...]]:
        """Return the members that joined and were removed since the last call."""
        changes = tuple(sorted(self._joined)), tuple(sorted(self._removed))
        self._joined.clear()
        self._removed.clear()
        return changes

    def expire(self, now: float, suspicion_s: float) -> None:
        """Remove suspects after their timeout; forget members removed long ago."""
        for known in list(self._not_alive_by_id.values()):
            if known.status is MemberStatus.SUSPECT:
                if now >= known.changed_at + suspicion_s:
                    self.merge(known.member, MemberStatus.REMOVED, now)
            elif now >= known.changed_at + REMOVED_RETENTION_S:
                del self._known_by_id[known.member.id]
                del self._not_alive_by_id[known.member.id]

    def extend_suspicions(self, seconds: float) -> None:
        """Extend the timeouts of suspects by a time without received messages."""
        for known in self._not_alive_by_id.values():
            if known.status is MemberStatus.SUSPECT:
                known.changed_at += seconds

    # Dissemination

    def disseminate(self, member_id: MemberId) -> None:
        """Piggyback the state of a member on the next messages."""
        self._transmissions_by_id[member_id] = 0

    def next_updates(self, to: MemberId) -> list[MemberUpdate]:
        """Return the updates for a message, those sent least often first.

        A receiver that is suspected or removed also gets its own state, so that it can
        refute it.
        """
        updates: list[MemberUpdate] = []
        receiver = self._known_by_id.get(to)
        if receiver is not None and receiver.status is not MemberStatus.ALIVE:
            updates.append(receiver.update())
        if not self._transmissions_by_id:
            return updates
        pending = sorted(
            (each for each in self._transmissions_by_id if each != to),
            key=self._transmissions_by_id.__getitem__,
        )
        for member_id in pending[: MAX_UPDATES_PER_MESSAGE - len(updates)]:
            update = self._update(member_id)
            if update is not None:
                updates.append(update)
            self._count_transmission(member_id)
        return updates

    def live_updates(self) -> list[MemberUpdate]:
        """Return the states of all live members."""
        updates = [self._update(each) for each in self.live]
        return [each for each in updates if each is not None]

    def _update(self, member_id: MemberId) -> MemberUpdate | None:
        if member_id == self.identity.id:
            return MemberUpdate(*self.identity, MemberStatus.ALIVE.value)
        known = self._known_by_id.get(member_id)
        return known.update() if known is not None else None

    def _count_transmission(self, member_id: MemberId) -> None:
        limit = RETRANSMISSION_FACTOR * math.ceil(math.log2(len(self.live) + 1))
        self._transmissions_by_id[member_id] += 1
        if self._transmissions_by_id[member_id] >= limit:
            del self._transmissions_by_id[member_id]
