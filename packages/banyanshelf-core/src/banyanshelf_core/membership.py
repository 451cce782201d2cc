"""Failure detection and dissemination in the style of SWIM."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from banyanshelf_core.membership_view import (
    DEPARTED_STATUSES,
    MemberView,
)
from banyanshelf_core.messages import (
    Ack,
    Leaving,
    MemberStatus,
    MemberUpdate,
    Ping,
    PingRequest,
)
from banyanshelf_core.model import Broadcast, Member, MemberId, Send

PING_PERIOD_S = 0.5
PING_TIMEOUT_S = 0.2
INDIRECT_PING_MEMBERS = 2
SUSPICION_TIMEOUT_S = 1.5
MEMBERS_PER_LIST_ACK = 32
# One removed member is tried every 5 s, which ends a partition without the store.
PERIODS_PER_REMOVED_PING = 10
# A process that did not run for this long cannot judge the silence of others.
PAUSE_THRESHOLD_S = 1.0
# Others may have removed this member after this long without an answer from it.
PRESUMED_REMOVED_S = PING_PERIOD_S + SUSPICION_TIMEOUT_S

# Milliseconds since the epoch stay below this for 30,000 years. A higher value from a
# malformed update could not be refuted, since the next one may not fit into 64 bits.
MAX_INCARNATION = 1 << 50

_STATUS_BY_NAME = {status.value: status for status in MemberStatus}


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Effect: the live members differ from before."""

    joined: tuple[MemberId, ...]
    removed: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class SelfRemoved:
    """Effect: this member was, or may have been, removed by the others.

    All roles must be dropped. ``identity`` carries the new incarnation.
    """

    identity: Member
    reason: str


MembershipMessage = Ping | Ack | PingRequest | Leaving
MembershipEffect = Send | Broadcast | MembersChanged | SelfRemoved


@dataclass(slots=True)
class _Probe:
    sequence: int
    target: MemberId
    started: float
    asked_others: bool = False


@dataclass(slots=True)
class _Relay:
    requester: MemberId
    sequence: int
    expires: float


class MembershipProtocol:
    """One member's part in the group.

    Call :meth:`tick` about every 100 ms and :meth:`receive` for each message. Suspected
    members count as live until they are removed.
    """

    def __init__(self, identity: Member, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._view = MemberView(identity, rng)
        self._complete = False
        self._leaving = False
        self._version = 0
        self._digest = ""
        self._sequence = 0
        self._periods = 0
        self._order: list[MemberId] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._last_run = now
        self._next_period = now + rng.uniform(0, PING_PERIOD_S)

    @property
    def identity(self) -> Member:
        """This member with its present incarnation."""
        return self._view.identity

    @property
    def members_by_id(self) -> Mapping[MemberId, Member]:
        """The live members, this one included."""
        return self._view.live

    @property
    def removed_by_id(self) -> Mapping[MemberId, Member]:
        """Members that were removed and must take a new incarnation to return."""
        return self._view.with_status(MemberStatus.REMOVED)

    @property
    def suspects_by_id(self) -> Mapping[MemberId, Member]:
        """The live members under suspicion."""
        return self._view.with_status(MemberStatus.SUSPECT)

    def set_version(self, version: int, digest: str) -> None:
        """Set the configuration version that pings announce."""
        self._version = version
        self._digest = digest

    def observe(self, members: Iterable[Member], now: float) -> list[MembershipEffect]:
        """Learn of members from their store records.

        A record that is older than what is known about its member changes nothing.
        """
        effects = self._resume(now)
        for member in members:
            self._observe(member, now, effects, disseminate=False)
        return self._finish(effects)

    def on_hello(self, member: Member, now: float) -> list[MembershipEffect]:
        """Learn of a member from its link.

        A member that was removed in this incarnation is told so at once.
        """
        effects = self._resume(now)
        self._observe(member, now, effects, disseminate=True)
        effects = self._finish(effects)
        if self._view.has_status(member.id, MemberStatus.REMOVED):
            effects.append(self._ping(member.id, self._next_sequence()))
        return effects

    def mark_member_list_complete(self) -> None:
        """Record that all members were read, so that no list is asked from peers."""
        self._complete = True

    def leave(self, roles: list[str]) -> list[MembershipEffect]:
        """Announce a planned stop; further pings are answered but none are sent."""
        self._leaving = True
        self._probe = None
        return [Broadcast(Leaving(self.identity.incarnation, roles))]

    def tick(self, now: float) -> list[MembershipEffect]:
        """Send what is due and remove suspects whose time is over."""
        effects = self._resume(now)
        self._last_run = now
        if self._leaving:
            return effects
        self._ask_others(now, effects)
        if now >= self._next_period:
            self._end_probe(now, effects)
            self._next_period = max(self._next_period + PING_PERIOD_S, now)
            self._start_probe(now, effects)
        self._view.expire(now, SUSPICION_TIMEOUT_S)
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if now < relay.expires
        }
        return self._finish(effects)

    def receive(
        self, sender: MemberId, message: MembershipMessage, now: float
    ) -> list[MembershipEffect]:
        """Handle a message from another member."""
        effects = self._resume(now)
        if not isinstance(message, Leaving):
            for update in message.updates:
                self._merge(update, now, effects)
        match message:
            case Ping():
                self._on_ping(sender, message, effects)
            case Ack():
                self._on_ack(message, effects)
            case PingRequest():
                self._on_ping_request(sender, message, now, effects)
            case Leaving():
                self._on_leaving(sender, message, now)
        return self._finish(effects)

    # States

    def _merge(
        self, update: MemberUpdate, now: float, effects: list[MembershipEffect]
    ) -> None:
        status = _STATUS_BY_NAME.get(update.status)
        if status is None or not 0 <= update.incarnation < MAX_INCARNATION:
            return
        if update.id == self.identity.id:
            self._merge_self(update, status, effects)
            return
        member = Member(update.id, update.address, update.zone, update.incarnation)
        self._view.merge(member, status, now)

    def _observe(
        self,
        member: Member,
        now: float,
        effects: list[MembershipEffect],
        *,
        disseminate: bool,
    ) -> None:
        if member.id == self.identity.id:
            update = MemberUpdate(*member, MemberStatus.ALIVE.value)
            self._merge_self(update, MemberStatus.ALIVE, effects)
        else:
            self._view.merge(member, MemberStatus.ALIVE, now, disseminate=disseminate)

    def _merge_self(
        self,
        update: MemberUpdate,
        status: MemberStatus,
        effects: list[MembershipEffect],
    ) -> None:
        if self._leaving:
            return
        own = self.identity.incarnation
        if update.incarnation < own:
            if status is not MemberStatus.ALIVE:
                self._view.disseminate(self.identity.id)
            return
        if status is MemberStatus.ALIVE and update.incarnation == own:
            return
        self._take_incarnation(update.incarnation + 1)
        if status in DEPARTED_STATUSES:
            effects.append(SelfRemoved(self.identity, "removed by the other members"))

    def _take_incarnation(self, incarnation: int) -> None:
        self._view.set_identity(self.identity._replace(incarnation=incarnation))

    def _on_leaving(self, sender: MemberId, message: Leaving, now: float) -> None:
        known = self._view.get(sender)
        if known is not None:
            member = known.member._replace(incarnation=message.incarnation)
            self._view.merge(member, MemberStatus.LEFT, now)

    def _resume(self, now: float) -> list[MembershipEffect]:
        """Discount a pause of this process, during which nothing was received."""
        gap = now - self._last_run
        if gap <= PAUSE_THRESHOLD_S:
            return []
        self._last_run = now
        self._next_period = now
        self._probe = None
        self._view.extend_suspicions(gap)
        if gap < PRESUMED_REMOVED_S or self._leaving:
            return []
        self._take_incarnation(self.identity.incarnation + 1)
        return [SelfRemoved(self.identity, f"did not run for {gap:.1f} s")]

    def _finish(self, effects: list[MembershipEffect]) -> list[MembershipEffect]:
        joined, removed = self._view.take_changes()
        for member_id in joined:
            self._order.insert(self._rng.randint(0, len(self._order)), member_id)
        if joined or removed:
            # Callers must know new members before they send them anything.
            effects.insert(0, MembersChanged(joined, removed))
        return effects

    # Pings

    def _start_probe(self, now: float, effects: list[MembershipEffect]) -> None:
        self._periods += 1
        if self._periods % PERIODS_PER_REMOVED_PING == 0:
            removed = sorted(self.removed_by_id)
            if removed:
                target = self._rng.choice(removed)
                effects.append(self._ping(target, self._next_sequence()))
        target_id = self._next_target()
        if target_id is not None:
            self._probe = _Probe(self._next_sequence(), target_id, now)
            effects.append(self._ping(target_id, self._probe.sequence))

    def _next_target(self) -> MemberId | None:
        for _ in range(2):
            while self._order:
                target = self._order.pop()
                if target in self._view.live:
                    return target
            self._order = [each for each in self._view.live if each != self.identity.id]
            self._rng.shuffle(self._order)
        return None

    def _ask_others(self, now: float, effects: list[MembershipEffect]) -> None:
        probe = self._probe
        if probe is None or probe.asked_others:
            return
        if now < probe.started + PING_TIMEOUT_S:
            return
        probe.asked_others = True
        excluded = (self.identity.id, probe.target)
        others = [each for each in self._view.live if each not in excluded]
        for helper in self._rng.sample(others, min(INDIRECT_PING_MEMBERS, len(others))):
            updates = self._view.next_updates(helper)
            request = PingRequest(probe.sequence, probe.target, updates)
            effects.append(Send(helper, request))

    def _end_probe(self, now: float, effects: list[MembershipEffect]) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if self._view.has_status(probe.target, MemberStatus.ALIVE):
            member = self._view.live[probe.target]
            self._view.merge(member, MemberStatus.SUSPECT, now)
            # The suspect hears of the suspicion first, so that it can refute in time.
            effects.append(self._ping(probe.target, self._next_sequence()))

    def _on_ping(
        self, sender: MemberId, ping: Ping, effects: list[MembershipEffect]
    ) -> None:
        updates = self._view.next_updates(sender)
        effects.append(self._ack(sender, ping.sequence, self.identity.id, updates))
        if ping.needs_members and sender in self._view.live:
            members = self._view.live_updates()
            for start in range(0, len(members), MEMBERS_PER_LIST_ACK):
                chunk = members[start : start + MEMBERS_PER_LIST_ACK]
                effects.append(self._ack(sender, 0, self.identity.id, chunk))

    def _on_ack(self, message: Ack, effects: list[MembershipEffect]) -> None:
        probe = self._probe
        if message.sequence == 0:
            self._complete = True
        elif probe is not None and message.sequence == probe.sequence:
            if message.subject == probe.target:
                self._probe = None
        elif (relay := self._relays.pop(message.sequence, None)) is not None:
            updates = self._view.next_updates(relay.requester)
            effects.append(
                self._ack(relay.requester, relay.sequence, message.subject, updates)
            )

    def _on_ping_request(
        self,
        sender: MemberId,
        message: PingRequest,
        now: float,
        effects: list[MembershipEffect],
    ) -> None:
        if message.subject not in self._view.live:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(sender, message.sequence, now + PING_PERIOD_S)
        effects.append(self._ping(message.subject, sequence))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, to: MemberId, sequence: int) -> Send:
        updates = self._view.next_updates(to)
        needs_members = not self._complete
        return Send(
            to, Ping(sequence, updates, self._version, self._digest, needs_members)
        )

    def _ack(
        self,
        to: MemberId,
        sequence: int,
        subject: MemberId,
        updates: list[MemberUpdate],
    ) -> Send:
        return Send(to, Ack(sequence, subject, updates, self._version, self._digest))
