"""Gossip between gateways over UDP, and the members learned from it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

import msgspec
from logbook import Logger
from twisted.internet.protocol import DatagramProtocol

from banyanshelf_core.call_messages import CrashClear, CrashMark
from banyanshelf_core.datagrams import (
    CrashNotice,
    Datagram,
    Greeting,
    LoadUpdate,
    ZoneDigest,
)
from banyanshelf_core.errors import CodecError
from banyanshelf_core.gossip import GossipMembers, SendDatagram
from banyanshelf_core.model import Member, MemberId
from banyanshelf_core.replica import StorePosition
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.settings import Address
from banyanshelf_wire.datagram import decode_datagram, encode_datagram

if TYPE_CHECKING:
    from banyanshelf_core.messages import PeerMessage

TICK_S = 0.1

log = Logger("gossip")


class GossipLink(DatagramProtocol):
    """Implements ``MembershipSource`` and the crash marks of ``PeerNetwork``.

    ``on_position`` is called with the newest position in the store's history that
    another gateway knows, and for how many seconds the store has answered that gateway
    in that generation without interruption.
    """

    def __init__(
        self,
        reactor: Any,
        identity: Member,
        seeds: Iterable[str],
        rng: random.Random,
        on_position: Callable[[StorePosition, float], None],
        capacity: float = 1.0,
    ) -> None:
        self._reactor = reactor
        self.members = GossipMembers(identity, seeds, rng, capacity)
        self._on_position = on_position
        self._load_handler: Callable[[LoadUpdate], None] | None = None
        self._digest_handler: Callable[[ZoneDigest], None] | None = None
        self._handler_by_type: dict[type, Callable[[Any, str], None]] = {}
        self._member_handlers: list[Callable[[], None]] = []
        self._crash_handlers: dict[type, Callable[[MemberId, Any], None]] = {}
        self._address_by_member: dict[MemberId, tuple[str, int]] = {}
        self._ticker = PeriodicTask(reactor, self._tick, "gossip")
        self._port: Any = None
        self._is_stopped = False

    def start(self) -> None:
        """Listen on this member's address and send greetings to the seeds."""
        address = Address.from_string(self.members.identity.address)
        self._port = self._reactor.listenUDP(address.port, self, interface=address.host)
        self._ticker.start(TICK_S, now=True)

    def stop(self) -> None:
        """Stop sending and receiving.

        The process closes its connections when it exits, which must not be reported as
        crashes of upstreams.
        """
        self._is_stopped = True
        self._ticker.stop()
        if self._port is not None:
            self._port.stopListening()

    # MembershipSource

    def members_by_id(self) -> Mapping[MemberId, Member]:
        """Return the known members, including this daemon."""
        return self.members.members_by_id()

    def on_members_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of the known members."""
        self._member_handlers.append(handler)

    def on_self_removed(self, handler: Callable[[], None]) -> None:
        """Do nothing, as gossip members do not remove each other."""

    # PeerNetwork

    def subscribe(
        self, message_class: type[Any], handler: Callable[[MemberId, Any], None]
    ) -> None:
        """Call ``handler`` for each crash mark or clear, the only messages sent."""
        self._crash_handlers[message_class] = handler

    def broadcast(self, message: PeerMessage) -> None:
        """Send a crash mark or clear to every known member."""
        own_id = self.members.identity.id
        match message:
            case CrashMark(fingerprint, crash_id, upstream):
                notice = CrashNotice(own_id, fingerprint, crash_id, upstream=upstream)
            case CrashClear(fingerprint, crash_ids):
                notice = CrashNotice(own_id, fingerprint, "", cleared_ids=crash_ids)
            case _:
                return
        content = encode_datagram(notice)
        for member in self.members.recently_heard():
            self._write(content, member.address)

    def send(self, member_id: MemberId, message: PeerMessage) -> bool:
        """Return False, as there are no links to individual members."""
        return False

    def on_link_change(self, handler: Callable[[MemberId, bool], None]) -> None:
        """Do nothing, as there are no links."""

    # Load updates

    def on_load_update(self, handler: Callable[[LoadUpdate], None]) -> None:
        """Call ``handler`` for each load report of a gateway in the zone."""
        self._load_handler = handler

    def on_zone_digest(self, handler: Callable[[ZoneDigest], None]) -> None:
        """Call ``handler`` for each zone digest of an aggregator."""
        self._digest_handler = handler

    def on_datagram(
        self, datagram_type: type, handler: Callable[[Any, str], None]
    ) -> None:
        """Call ``handler(datagram, sender_address)`` for each datagram of a type."""
        self._handler_by_type[datagram_type] = handler

    def send_to(self, addresses: Iterable[str], datagram: Datagram) -> None:
        """Send a datagram to the given addresses."""
        content = encode_datagram(datagram)
        for address in addresses:
            self._write(content, address)

    def send_to_zone(self, datagram: Datagram) -> None:
        """Send a datagram to the other gateways in the zone."""
        if not self._address_by_member:
            return
        content = encode_datagram(datagram)
        for address in self._address_by_member.values():
            self._send(content, address)

    def datagramReceived(self, content: bytes, address: Any) -> None:  # noqa: N802
        """Decode a datagram and pass it to its handler."""
        try:
            datagram = decode_datagram(content)
        except CodecError as error:
            log.warning("datagram ignored: {}", error)
            return
        now = self._reactor.seconds()
        match datagram:
            case LoadUpdate():
                self._on_position(datagram.position, datagram.uninterrupted_s)
                is_known = self.members.record_heartbeat(now, datagram.sender)
                if is_known and self._load_handler is not None:
                    self._load_handler(datagram)
                elif not is_known:
                    host, port = address
                    self._run(
                        [self.members.greeting_to_unknown_member(f"{host}:{port}")],
                        False,
                    )
            case ZoneDigest():
                self._on_position(datagram.position, datagram.uninterrupted_s)
                self._run([], self.members.on_digest(now, datagram))
                if self._digest_handler is not None:
                    self._digest_handler(datagram)
            case Greeting():
                effects, is_changed = self.members.on_greeting(now, datagram)
                self._run(effects, is_changed)
            case CrashNotice():
                self._on_crash_notice(datagram)
            case _:
                handler = self._handler_by_type.get(type(datagram))
                if handler is not None:
                    handler(datagram, f"{address[0]}:{address[1]}")

    def _on_crash_notice(self, notice: CrashNotice) -> None:
        zone_members = self.members.zone_members_by_id()
        if not notice.is_forwarded and notice.sender not in zone_members:
            forwarded = msgspec.structs.replace(notice, is_forwarded=True)
            self.send_to_zone(forwarded)
        message: CrashMark | CrashClear
        if notice.crash_id:
            message = CrashMark(notice.fingerprint, notice.crash_id, notice.upstream)
        else:
            message = CrashClear(notice.fingerprint, notice.cleared_ids)
        handler = self._crash_handlers.get(type(message))
        if handler is not None:
            handler(notice.sender, message)

    def _tick(self) -> None:
        self._run(*self.members.tick(self._reactor.seconds()))

    def _run(self, effects: list[SendDatagram], is_changed: bool) -> None:
        if is_changed:
            before = self._address_by_member.keys()
            self._address_by_member = {
                member_id: _endpoint(member.address)
                for member_id, member in self.members.zone_members_by_id().items()
            }
            known = self._address_by_member.keys()
            log.info(
                "zone members: {} others, joined {}, left {}",
                len(known),
                sorted(known - before),
                sorted(before - known),
            )
            for handler in self._member_handlers:
                handler()
        for effect in effects:
            self._write(encode_datagram(effect.datagram), effect.address)

    def _write(self, content: bytes, address: str) -> None:
        self._send(content, _endpoint(address))

    def _send(self, content: bytes, address: Any) -> None:
        if self.transport is None or self._is_stopped:
            return
        try:
            self.transport.write(content, address)
        except OSError as error:
            log.info("sending a datagram to {} failed: {}", address, error)


def _endpoint(address: str) -> tuple[str, int]:
    host, port = Address.from_string(address)
    return host, port
