"""Which gateways there are, and what they tell each other without a connection.

Gateways of a small availability zone send each other their calls in progress and the
load reports that they receive. In a larger zone they send them to one aggregator, which
places their calls; see :mod:`banyanshelf_core.zone_digest`. Gateways of other
zones only greet each other now and then, so that each one knows somebody who can help
while the store does not answer it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from banyanshelf_core.datagrams import Datagram, Greeting, MemberRow, ZoneDigest
from banyanshelf_core.hashing import rank_members
from banyanshelf_core.model import Member, MemberId

GREETING_PERIOD_S = 1.0
# A gateway that knows nobody yet greets its seeds this often.
SEED_GREETING_PERIOD_S = 0.1
# A gateway of the own zone that is silent for this long is gone; its counts are void.
ZONE_MEMBER_TIMEOUT_S = 1.6
# In a larger zone, members are heard of through the aggregator. This leaves time to
# notice its loss and to hear of all members from the next one.
LARGE_ZONE_MEMBER_TIMEOUT_S = 2.4
# In a zone of up to this many members, each one tells all others. The datagrams grow
# with the square of the members: 45 members took three quarters of their processor
# time for them.
MAX_DIRECT_ZONE_MEMBERS = 8
# Members of other zones are greeted in turn, so that it takes longer to miss one.
REMOTE_ZONE_MEMBER_TIMEOUT_S = 60.0
MEMBERS_PER_GREETING = 32
REMOTE_ZONE_GREETING_PERIOD_S = 3.0


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Effect: send a datagram to an address ``host:port``."""

    address: str
    datagram: Datagram


@dataclass(slots=True)
class _Known:
    member: Member
    capacity: float
    heard_at: float


class GossipMembers:
    """The gateways that this one has heard of; times in seconds.

    ``capacity`` of this gateway orders it among the members of its zone for work on
    behalf of the others; the unit is arbitrary, but the same for all.

    Example:
        ``members.tick(now)`` returns the greetings that are due, and
        ``members.on_greeting(now, greeting)`` the answers to one.

    """

    def __init__(
        self,
        identity: Member,
        seeds: Iterable[str],
        rng: random.Random,
        capacity: float = 1.0,
    ) -> None:
        self.identity = identity
        self._capacity = capacity
        self.revision = 0
        self._seeds = [each for each in seeds if each != identity.address]
        self._rng = rng
        self._known_by_id: dict[MemberId, _Known] = {}
        self._next_greeting = 0.0
        self._next_far_greeting = 0.0

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take over a changed list of seeds."""
        self._seeds = [each for each in seeds if each != self.identity.address]

    def members_by_id(self) -> dict[MemberId, Member]:
        """Return all known members, this one included."""
        members = {each.member.id: each.member for each in self._known_by_id.values()}
        members[self.identity.id] = self.identity
        return members

    def zone_members_by_id(self) -> Mapping[MemberId, Member]:
        """Return the live members of the own zone, without this one."""
        return {
            each.member.id: each.member
            for each in self._known_by_id.values()
            if each.member.zone == self.identity.zone
        }

    def ranked_in_zone(self, key: str) -> list[Member]:
        """Order the members of the zone for a task, this one included.

        Those of most capacity come first, those of equal capacity by rendezvous.
        """
        capacity_by_id = {self.identity.id: self._capacity} | {
            member_id: self._known_by_id[member_id].capacity
            for member_id in self.zone_members_by_id()
        }
        members = self.members_by_id()
        ranked = rank_members(key, capacity_by_id)
        ranked.sort(key=lambda member_id: -capacity_by_id[member_id])
        return [members[member_id] for member_id in ranked]

    @property
    def is_large_zone(self) -> bool:
        """Whether the zone has too many members to tell each of them everything."""
        return len(self.zone_members_by_id()) >= MAX_DIRECT_ZONE_MEMBERS

    def recently_heard(self) -> list[Member]:
        """Return the other members: own zone first, then the last heard."""
        known = sorted(
            self._known_by_id.values(),
            key=lambda each: (
                each.member.zone != self.identity.zone,
                -each.heard_at,
            ),
        )
        return [each.member for each in known]

    def tick(self, now: float) -> tuple[list[SendDatagram], bool]:
        """Return the greetings that are due, and whether a member is gone."""
        is_changed = self._expire(now)
        effects: list[SendDatagram] = []
        if now >= self._next_greeting:
            is_alone = not self._known_by_id
            period_s = SEED_GREETING_PERIOD_S if is_alone else GREETING_PERIOD_S
            self._next_greeting = now + period_s
            if is_alone or not self.zone_members_by_id():
                greeting = self._greeting(wants_answer=True, wants_members=True)
                effects += [SendDatagram(seed, greeting) for seed in self._seeds]
        if now >= self._next_far_greeting and self._known_by_id:
            self._next_far_greeting = now + REMOTE_ZONE_GREETING_PERIOD_S
            greeting = self._greeting(wants_answer=True, wants_members=True)
            far = [
                each.member.address
                for each in self._known_by_id.values()
                if each.member.zone != self.identity.zone
            ]
            candidates = far or self._seeds
            if candidates:
                address = self._rng.choice(candidates)
                effects.append(SendDatagram(address, greeting))
        return effects, is_changed

    def on_greeting(
        self, now: float, greeting: Greeting
    ) -> tuple[list[SendDatagram], bool]:
        """Learn members; returns answers, and whether a member is new."""
        sender = _member(greeting.sender)
        if sender.id == self.identity.id:
            return [], False
        is_new = self._learn(now, greeting.sender)
        effects = []
        if greeting.wants_answer:
            answer = self._greeting(
                wants_answer=False, tells=sender if greeting.wants_members else None
            )
            effects.append(SendDatagram(sender.address, answer))
        for row in greeting.members:
            member = _member(row)
            if member.id in self._known_by_id or member.id == self.identity.id:
                continue
            # A member that is known from hearsay has to answer by itself first.
            if member.zone != self.identity.zone and self._has_far_member(member.zone):
                continue
            if self.is_large_zone and member.zone == self.identity.zone:
                # The aggregator's digests name it if it is alive.
                continue
            asks = self._greeting(wants_answer=True)
            effects.append(SendDatagram(member.address, asks))
        return effects, is_new

    def record_heartbeat(self, now: float, member_id: MemberId) -> bool:
        """Note a sign of life; returns whether the member is known."""
        known = self._known_by_id.get(member_id)
        if known is None:
            return False
        known.heard_at = now
        return True

    def on_digest(self, now: float, digest: ZoneDigest) -> bool:
        """Learn the members that an aggregator hears; returns whether one is new."""
        is_new = False
        self.record_heartbeat(now, digest.sender)
        for row in digest.members:
            if _member(row).id != self.identity.id:
                is_new = self._learn(now, row) or is_new
        return is_new

    def row_of(self, member_id: MemberId) -> MemberRow | None:
        """Return a member as it is told to others, or None if it is not known."""
        if member_id == self.identity.id:
            return member_row(self.identity, self._capacity)
        known = self._known_by_id.get(member_id)
        return None if known is None else member_row(known.member, known.capacity)

    def greeting_to_unknown_member(self, address: str) -> SendDatagram:
        """Return the greeting to a gateway that is not known yet."""
        return SendDatagram(address, self._greeting(wants_answer=True))

    def leave(self, member_id: MemberId) -> None:
        """Forget a member."""
        self._known_by_id.pop(member_id, None)

    def _learn(self, now: float, row: MemberRow) -> bool:
        member, capacity = _member(row), row[-1]
        known = self._known_by_id.get(member.id)
        if known is not None and known.member.incarnation > member.incarnation:
            return False
        self._known_by_id[member.id] = _Known(member, capacity, now)
        return known is None or known.member != member

    def _has_far_member(self, zone: str) -> bool:
        return any(each.member.zone == zone for each in self._known_by_id.values())

    def _greeting(
        self,
        *,
        wants_answer: bool,
        wants_members: bool = False,
        tells: Member | None = None,
    ) -> Greeting:
        members = [] if tells is None else self._members_for(tells)
        return Greeting(
            member_row(self.identity, self._capacity),
            members,
            wants_answer,
            self.revision,
            wants_members,
        )

    def _members_for(self, newcomer: Member) -> list[MemberRow]:
        """Return members of the newcomer's zone and one of each other zone."""
        chosen: list[MemberRow] = []
        zones: set[str] = set()
        for each in self._known_by_id.values():
            zone = each.member.zone
            if zone == newcomer.zone or zone not in zones:
                zones.add(zone)
                chosen.append(member_row(each.member, each.capacity))
        if len(chosen) > MEMBERS_PER_GREETING:
            chosen = self._rng.sample(chosen, MEMBERS_PER_GREETING)
        return chosen

    def _expire(self, now: float) -> bool:
        near_s = (
            LARGE_ZONE_MEMBER_TIMEOUT_S if self.is_large_zone else ZONE_MEMBER_TIMEOUT_S
        )
        own_zone = self.identity.zone
        silent = [
            member_id
            for member_id, each in self._known_by_id.items()
            if now - each.heard_at
            > (near_s if each.member.zone == own_zone else REMOTE_ZONE_MEMBER_TIMEOUT_S)
        ]
        for member_id in silent:
            del self._known_by_id[member_id]
        return bool(silent)


def member_row(member: Member, capacity: float) -> MemberRow:
    """Return a member as it is told to others."""
    return member.id, member.address, member.zone, member.incarnation, capacity


def _member(row: MemberRow) -> Member:
    return Member(*row[:4])
