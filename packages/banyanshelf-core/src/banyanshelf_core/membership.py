"""SWIM-style failure detection and dissemination of membership updates.

Each member pings another one per period. Without an ack, other members are asked to
ping it on its behalf; if none succeeds, it is suspected and later removed. Updates are
piggybacked on these messages.
"""

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
# One removed member is pinged every 5 s, so that a partition heals without the store.
PERIODS_PER_REMOVED_PING = 10
# After its process was paused for this long, a member must not conclude from missing
# acks that others have failed.
PAUSE_THRESHOLD_S = 1.0
# The others may have removed this member if it was paused for this long.
PRESUMED_REMOVED_S = PING_PERIOD_S + SUSPICION_TIMEOUT_S

# Incarnations are milliseconds since the epoch, which stay below this limit for 30,000
# years. A higher value from a malformed update could not be refuted, since the next
# incarnation might not fit into 64 bits.
MAX_INCARNATION = 1 << 50

_STATUS_BY_NAME = {status.value: status for status in MemberStatus}


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Effect: the set of live members has changed."""

    joined: tuple[MemberId, ...]
    removed: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class SelfRemoved:
    """Effect: this member was, or may have been, removed by the others.

    It must give up all its roles. ``identity`` has the new incarnation.
    """

    identity: Member
    reason: str


MembershipMessage = Ping | Ack | PingRequest | Leaving
MembershipEffect = Send | Broadcast | MembersChanged | SelfRemoved


@dataclass(slots=True)
class _Probe:
    sequence: int
    target: MemberId
    started_at: float
    has_sent_indirect: bool = False


@dataclass(slots=True)
class _Relay:
    requester: MemberId
    sequence: int
    expires_at: float


class MembershipProtocol:
    """The membership protocol as one member runs it.

    Call :meth:`tick` about every 100 ms and :meth:`receive` for each message. Suspected
    members count as live until they are removed.
    """

    def __init__(self, identity: Member, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._view = MemberView(identity, rng)
        self._is_member_list_complete = False
        self._is_leaving = False
        self._version = 0
        self._digest = ""
        self._sequence = 0
        self._periods = 0
        self._ping_order: list[MemberId] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._last_run_at = now
        self._next_period_at = now + rng.uniform(0, PING_PERIOD_S)

    @property
    def identity(self) -> Member:
        """This member with its current incarnation."""
        return self._view.identity

    @property
    def members_by_id(self) -> Mapping[MemberId, Member]:
        """The live members, this one included."""
        return self._view.live

    @property
    def removed_by_id(self) -> Mapping[MemberId, Member]:
        """Removed members, which need a higher incarnation to become live again."""
        return self._view.with_status(MemberStatus.REMOVED)

    @property
    def suspects_by_id(self) -> Mapping[MemberId, Member]:
        """The live members that are suspected to have failed."""
        return self._view.with_status(MemberStatus.SUSPECT)

    def set_version(self, version: int, digest: str) -> None:
        """Set the configuration version that pings announce."""
        self._version = version
        self._digest = digest

    def observe(self, members: Iterable[Member], now: float) -> list[MembershipEffect]:
        """Add members by their store records.

        A record that is older than the known state of its member is ignored.
        """
        effects = self._detect_pause(now)
        for member in members:
            self._observe(member, now, effects, disseminate=False)
        return self._with_membership_changes(effects)

    def on_hello(self, member: Member, now: float) -> list[MembershipEffect]:
        """Add a member that has sent its Hello on a new link.

        If it was removed in this incarnation, a ping tells it so immediately.
        """
        effects = self._detect_pause(now)
        self._observe(member, now, effects, disseminate=True)
        effects = self._with_membership_changes(effects)
        if self._view.has_status(member.id, MemberStatus.REMOVED):
            effects.append(self._ping(member.id, self._next_sequence()))
        return effects

    def mark_member_list_complete(self) -> None:
        """Record that all members are known, so that pings do not ask for the list."""
        self._is_member_list_complete = True

    def leave(self, roles: list[str]) -> list[MembershipEffect]:
        """Announce a planned stop; pings are still answered, but none are sent."""
        self._is_leaving = True
        self._probe = None
        return [Broadcast(Leaving(self.identity.incarnation, roles))]

    def tick(self, now: float) -> list[MembershipEffect]:
        """Send the pings that are due; remove suspects after the suspicion timeout."""
        effects = self._detect_pause(now)
        self._last_run_at = now
        if self._is_leaving:
            return effects
        self._send_indirect_pings(now, effects)
        if now >= self._next_period_at:
            self._end_probe(now, effects)
            self._next_period_at = max(self._next_period_at + PING_PERIOD_S, now)
            self._start_probe(now, effects)
        self._view.expire(now, SUSPICION_TIMEOUT_S)
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if now < relay.expires_at
        }
        return self._with_membership_changes(effects)

    def receive(
        self, sender: MemberId, message: MembershipMessage, now: float
    ) -> list[MembershipEffect]:
        """Handle a message from another member."""
        effects = self._detect_pause(now)
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
        return self._with_membership_changes(effects)

    # Member states

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
        if self._is_leaving:
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

    def _detect_pause(self, now: float) -> list[MembershipEffect]:
        """Detect a pause of this process, during which it received no messages.

        Suspicion timeouts are extended by it. After a pause in which the others may
        have removed this member, it takes a new incarnation.
        """
        gap = now - self._last_run_at
        if gap <= PAUSE_THRESHOLD_S:
            return []
        self._last_run_at = now
        self._next_period_at = now
        self._probe = None
        self._view.extend_suspicions(gap)
        if gap < PRESUMED_REMOVED_S or self._is_leaving:
            return []
        self._take_incarnation(self.identity.incarnation + 1)
        return [SelfRemoved(self.identity, f"did not run for {gap:.1f} s")]

    def _with_membership_changes(
        self, effects: list[MembershipEffect]
    ) -> list[MembershipEffect]:
        joined, removed = self._view.take_changes()
        for member_id in joined:
            self._ping_order.insert(
                self._rng.randint(0, len(self._ping_order)), member_id
            )
        if joined or removed:
            # Members must be known to the caller before messages are sent to them.
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
            while self._ping_order:
                target = self._ping_order.pop()
                if target in self._view.live:
                    return target
            self._ping_order = [
                each for each in self._view.live if each != self.identity.id
            ]
            self._rng.shuffle(self._ping_order)
        return None

    def _send_indirect_pings(self, now: float, effects: list[MembershipEffect]) -> None:
        probe = self._probe
        if probe is None or probe.has_sent_indirect:
            return
        if now < probe.started_at + PING_TIMEOUT_S:
            return
        probe.has_sent_indirect = True
        excluded = (self.identity.id, probe.target)
        others = [each for each in self._view.live if each not in excluded]
        for relay_id in self._rng.sample(
            others, min(INDIRECT_PING_MEMBERS, len(others))
        ):
            updates = self._view.next_updates(relay_id)
            request = PingRequest(probe.sequence, probe.target, updates)
            effects.append(Send(relay_id, request))

    def _end_probe(self, now: float, effects: list[MembershipEffect]) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if self._view.has_status(probe.target, MemberStatus.ALIVE):
            member = self._view.live[probe.target]
            self._view.merge(member, MemberStatus.SUSPECT, now)
            # The suspect is informed immediately, so that it can refute in time.
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
            self._is_member_list_complete = True
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
        needs_members = not self._is_member_list_complete
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
