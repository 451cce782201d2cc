"""Membership of gateways by datagrams, without connections and without the store.

Gateways of a small availability zone send each other their calls in progress and the
load reports that they receive. In a larger zone they send them to one aggregator, which
places their calls; see :mod:`banyanshelf_core.zone_digest`. Gateways of different zones
only exchange a greeting every few seconds, so that each one knows a gateway that can
help while the store does not answer it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from banyanshelf_core.datagrams import Datagram, Greeting, MemberRow, ZoneDigest
from banyanshelf_core.hashing import rank_members
from banyanshelf_core.model import Member, MemberId

GREETING_PERIOD_S = 1.0
# Interval at which a gateway that knows no other one greets its seeds.
SEED_GREETING_PERIOD_S = 0.1
# A gateway of the own zone is removed after this long without a datagram from it; its
# counts are then discarded.
ZONE_MEMBER_TIMEOUT_S = 1.6
# In a larger zone, members are learned of through the aggregator. This leaves time to
# detect the loss of the aggregator and to learn of all members from the next one.
LARGE_ZONE_MEMBER_TIMEOUT_S = 2.4
# In a zone of up to this many members, each one sends its counts to all others. The
# number of datagrams grows with the square of the members: 45 members spent three
# quarters of their processor time on them.
MAX_DIRECT_ZONE_MEMBERS = 8
# Members of other zones are greeted one at a time, so that their loss takes longer to
# detect.
REMOTE_ZONE_MEMBER_TIMEOUT_S = 60.0
# A gateway of the own zone that was lost without notice may be partitioned for this
# long and act on what it knew.
LOST_MEMBER_HOLD_S = 30.0
MEMBERS_PER_GREETING = 32
REMOTE_ZONE_GREETING_PERIOD_S = 3.0


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Effect: send a datagram to an address ``host:port``."""

    address: str
    datagram: Datagram


@dataclass(slots=True)
class _KnownMember:
    member: Member
    capacity: float
    last_heard_at: float


class GossipMembers:
    """The gateways that this one knows of; times are in seconds.

    ``capacity`` ranks this gateway among the members of its zone for work on behalf of
    the others. Its unit is arbitrary, but must be the same for all gateways.

    Example:
        ``members.tick(now)`` returns the greetings that are due, and
        ``members.on_greeting(now, greeting)`` returns the answers to one.

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
        self._known_by_id: dict[MemberId, _KnownMember] = {}
        self._lost_at_by_id: dict[MemberId, float] = {}
        # Incarnations of the members that are shutting down
        self._departing_by_id: dict[MemberId, int] = {}
        self._was_answered = False
        self._next_greeting = 0.0
        self._next_remote_greeting = 0.0

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the list of seeds."""
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

    def active_in_zone(self, zone: str) -> list[Member]:
        """Return the members of a zone without those that are shutting down.

        If all of them are, they are returned.
        """
        members = [each for each in self.members_by_id().values() if each.zone == zone]
        active = [
            each
            for each in members
            if self._departing_by_id.get(each.id) != each.incarnation
        ]
        return active or members

    def known_zones(self) -> set[str]:
        """Return the zones of all known members, including the own one."""
        return {each.zone for each in self.members_by_id().values()}

    @property
    def is_isolated(self) -> bool:
        """Whether this gateway has seeds and has never heard from another gateway."""
        return bool(self._seeds) and not self._was_answered

    def reachable_share(self, heard_since: float = -math.inf) -> float:
        """Return the reachable part of the zone's gateways.

        Those that were lost without notice in the last ``LOST_MEMBER_HOLD_S`` count as
        unreachable, as do those that have not been heard from after ``heard_since``.
        """
        zone = self.identity.zone
        members = [x for x in self._known_by_id.values() if x.member.zone == zone]
        reachable = sum(each.last_heard_at >= heard_since for each in members) + 1
        return reachable / (len(members) + 1 + len(self._lost_at_by_id))

    def heard_at(self, member_id: MemberId) -> float:
        """Return when a member was last heard from, or -inf if it is not known."""
        known = self._known_by_id.get(member_id)
        return -math.inf if known is None else known.last_heard_at

    def note_departure(self, member_id: MemberId, incarnation: int) -> None:
        """Record that a member is shutting down."""
        self._departing_by_id[member_id] = incarnation

    def ranked_in_zone(self, key: str) -> list[Member]:
        """Rank the members of the zone for a task, this one included.

        Members with more capacity rank higher; ties are broken by rendezvous hashing.
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
        """Whether the zone has too many members to send to each one directly."""
        return len(self.zone_members_by_id()) >= MAX_DIRECT_ZONE_MEMBERS

    def recently_heard(self) -> list[Member]:
        """Return the other members: own zone first, then the most recently heard."""
        known = sorted(
            self._known_by_id.values(),
            key=lambda each: (
                each.member.zone != self.identity.zone,
                -each.last_heard_at,
            ),
        )
        return [each.member for each in known]

    def tick(self, now: float) -> tuple[list[SendDatagram], bool]:
        """Return the greetings that are due, and whether a member was removed."""
        is_changed = self._expire(now)
        effects: list[SendDatagram] = []
        if now >= self._next_greeting:
            is_alone = not self._known_by_id
            period_s = SEED_GREETING_PERIOD_S if is_alone else GREETING_PERIOD_S
            self._next_greeting = now + period_s
            if is_alone or not self.zone_members_by_id():
                greeting = self._build_greeting(wants_answer=True, wants_members=True)
                effects += [SendDatagram(seed, greeting) for seed in self._seeds]
        if now >= self._next_remote_greeting and self._known_by_id:
            self._next_remote_greeting = now + REMOTE_ZONE_GREETING_PERIOD_S
            greeting = self._build_greeting(wants_answer=True, wants_members=True)
            remote_addresses = [
                each.member.address
                for each in self._known_by_id.values()
                if each.member.zone != self.identity.zone
            ]
            candidates = remote_addresses or self._seeds
            if candidates:
                address = self._rng.choice(candidates)
                effects.append(SendDatagram(address, greeting))
        return effects, is_changed

    def on_greeting(
        self, now: float, greeting: Greeting
    ) -> tuple[list[SendDatagram], bool]:
        """Learn members from a greeting; returns answers, and whether one is new."""
        sender = _member(greeting.sender)
        if sender.id == self.identity.id:
            return [], False
        is_new = self._learn(now, greeting.sender)
        effects = []
        if greeting.wants_answer:
            answer = self._build_greeting(
                wants_answer=False, recipient=sender if greeting.wants_members else None
            )
            effects.append(SendDatagram(sender.address, answer))
        for row in greeting.members:
            member = _member(row)
            if member.id in self._known_by_id or member.id == self.identity.id:
                continue
            # A member that only another gateway knows of must answer a greeting first.
            if member.zone != self.identity.zone and self._knows_zone(member.zone):
                continue
            if self.is_large_zone and member.zone == self.identity.zone:
                # The aggregator lists it in its digests if it is alive.
                continue
            request = self._build_greeting(wants_answer=True)
            effects.append(SendDatagram(member.address, request))
        return effects, is_new

    def record_heartbeat(self, now: float, member_id: MemberId) -> bool:
        """Record that a member was heard from; returns whether it is known."""
        known = self._known_by_id.get(member_id)
        if known is None:
            return False
        known.last_heard_at = now
        return True

    def on_digest(self, now: float, digest: ZoneDigest) -> bool:
        """Learn the members in an aggregator's digest; returns whether one is new."""
        is_new = False
        self.record_heartbeat(now, digest.sender)
        for row in digest.members:
            if _member(row).id != self.identity.id:
                is_new = self._learn(now, row) or is_new
        return is_new

    def row_of(self, member_id: MemberId) -> MemberRow | None:
        """Return the row that announces a member, or None if it is not known."""
        if member_id == self.identity.id:
            return member_row(self.identity, self._capacity)
        known = self._known_by_id.get(member_id)
        return None if known is None else member_row(known.member, known.capacity)

    def greeting_to_unknown_member(self, address: str) -> SendDatagram:
        """Return a greeting that asks an unknown gateway to introduce itself."""
        return SendDatagram(address, self._build_greeting(wants_answer=True))

    def leave(self, member_id: MemberId) -> None:
        """Forget a member."""
        self._known_by_id.pop(member_id, None)

    def _learn(self, now: float, row: MemberRow) -> bool:
        member, capacity = _member(row), row[-1]
        known = self._known_by_id.get(member.id)
        if known is not None and known.member.incarnation > member.incarnation:
            return False
        self._was_answered = True
        self._lost_at_by_id.pop(member.id, None)
        self._known_by_id[member.id] = _KnownMember(member, capacity, now)
        return known is None or known.member != member

    def _knows_zone(self, zone: str) -> bool:
        return any(each.member.zone == zone for each in self._known_by_id.values())

    def _build_greeting(
        self,
        *,
        wants_answer: bool,
        wants_members: bool = False,
        recipient: Member | None = None,
    ) -> Greeting:
        members = [] if recipient is None else self._select_members_for(recipient)
        return Greeting(
            member_row(self.identity, self._capacity),
            members,
            wants_answer,
            self.revision,
            wants_members,
        )

    def _select_members_for(self, newcomer: Member) -> list[MemberRow]:
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
        zone_timeout_s = (
            LARGE_ZONE_MEMBER_TIMEOUT_S if self.is_large_zone else ZONE_MEMBER_TIMEOUT_S
        )
        own_zone = self.identity.zone
        expired_ids = [
            member_id
            for member_id, each in self._known_by_id.items()
            if now - each.last_heard_at
            > (
                zone_timeout_s
                if each.member.zone == own_zone
                else REMOTE_ZONE_MEMBER_TIMEOUT_S
            )
        ]
        for member_id in expired_ids:
            member = self._known_by_id.pop(member_id).member
            is_planned = self._departing_by_id.get(member_id) == member.incarnation
            if member.zone == own_zone and not is_planned:
                self._lost_at_by_id[member_id] = now
        for member_id, lost_at in list(self._lost_at_by_id.items()):
            if now - lost_at > LOST_MEMBER_HOLD_S:
                del self._lost_at_by_id[member_id]
        return bool(expired_ids)


def member_row(member: Member, capacity: float) -> MemberRow:
    """Return the row that announces a member in datagrams."""
    return member.id, member.address, member.zone, member.incarnation, capacity


def _member(row: MemberRow) -> Member:
    return Member(*row[:4])
