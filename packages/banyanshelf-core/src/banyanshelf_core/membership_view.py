"""What one member knows about the others, and the news that it still has to spread.

A state is ordered by incarnation first and status second, and every update is merged by
taking the higher state. Merging is therefore independent of the order and the number of
deliveries.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from banyanshelf_core.messages import MemberStatus, MemberUpdate
from banyanshelf_core.model import Member, MemberId

MAX_UPDATES_PER_MESSAGE = 8
# An update is sent this many times the binary logarithm of the group's size, which
# reaches every member with high probability even when some messages are lost.
RETRANSMISSION_FACTOR = 3
# A partition between regions lasts about an hour; both sides must still know each
# other's addresses after it.
REMOVED_RETENTION_S = 7200.0

_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.REMOVED: 2,
    MemberStatus.LEFT: 3,
}
DEPARTED_STATUSES = (MemberStatus.REMOVED, MemberStatus.LEFT)


@dataclass(slots=True)
class KnownMember:
    """Another member's state and the time of its last change."""

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
        self._known: dict[MemberId, KnownMember] = {}
        # The few that are not alive, so that a tick does not visit every member.
        self._not_alive: dict[MemberId, KnownMember] = {}
        self._transmissions: dict[MemberId, int] = {identity.id: 0}
        self._joined: set[MemberId] = set()
        self._removed: set[MemberId] = set()

    def with_status(self, status: MemberStatus) -> dict[MemberId, Member]:
        """Return the other members that have a status other than alive."""
        return {
            each.member.id: each.member
            for each in self._not_alive.values()
            if each.status is status
        }

    def get(self, member_id: MemberId) -> KnownMember | None:
        """Return what is known about another member."""
        return self._known.get(member_id)

    def has_status(self, member_id: MemberId, status: MemberStatus) -> bool:
        """Return whether another member is known with a status."""
        known = self._known.get(member_id)
        return known is not None and known.status is status

    def set_identity(self, identity: Member) -> None:
        """Take a new incarnation and spread it."""
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
        """Take over another member's state if it is higher than the known one.

        News that every member reads from the store need not be spread.
        """
        known = self._known.get(member.id)
        if known is not None and (member.incarnation, _RANKS[status]) <= (
            known.member.incarnation,
            _RANKS[known.status],
        ):
            return
        was_live = member.id in self.live
        is_live = status not in DEPARTED_STATUSES
        state = KnownMember(member, status, now)
        self._known[member.id] = state
        if status is MemberStatus.ALIVE:
            self._not_alive.pop(member.id, None)
        else:
            self._not_alive[member.id] = state
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
        """Return who joined and who was removed since the last call."""
        changes = tuple(sorted(self._joined)), tuple(sorted(self._removed))
        self._joined.clear()
        self._removed.clear()
        return changes

    def expire(self, now: float, suspicion_s: float) -> None:
        """Remove suspects whose time is over and forget members long gone."""
        for known in list(self._not_alive.values()):
            if known.status is MemberStatus.SUSPECT:
                if now >= known.changed_at + suspicion_s:
                    self.merge(known.member, MemberStatus.REMOVED, now)
            elif now >= known.changed_at + REMOVED_RETENTION_S:
                del self._known[known.member.id]
                del self._not_alive[known.member.id]

    def extend_suspicions(self, seconds: float) -> None:
        """Give suspects more time, since nothing could be received for a while."""
        for known in self._not_alive.values():
            if known.status is MemberStatus.SUSPECT:
                known.changed_at += seconds

    # Updates to spread

    def disseminate(self, member_id: MemberId) -> None:
        """Piggyback a member's state on the next messages."""
        self._transmissions[member_id] = 0

    def next_updates(self, to: MemberId) -> list[MemberUpdate]:
        """Return the updates sent least often, and the receiver's state if not alive.

        A receiver that is suspected or removed must hear of it to refute it.
        """
        updates: list[MemberUpdate] = []
        receiver = self._known.get(to)
        if receiver is not None and receiver.status is not MemberStatus.ALIVE:
            updates.append(receiver.update())
        if not self._transmissions:
            return updates
        pending = sorted(
            (each for each in self._transmissions if each != to),
            key=self._transmissions.__getitem__,
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
        known = self._known.get(member_id)
        return known.update() if known is not None else None

    def _count_transmission(self, member_id: MemberId) -> None:
        limit = RETRANSMISSION_FACTOR * math.ceil(math.log2(len(self.live) + 1))
        self._transmissions[member_id] += 1
        if self._transmissions[member_id] >= limit:
            del self._transmissions[member_id]
