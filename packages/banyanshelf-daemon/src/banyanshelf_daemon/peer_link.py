"""Links to the other daemons: one TCP connection per pair."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from logbook import Logger
from twisted.internet.protocol import ClientFactory, Factory
from twisted.internet.ssl import Certificate, PrivateCertificate

from banyanshelf_core.backoff import Backoff
from banyanshelf_core.errors import SettingsError
from banyanshelf_core.messages import (
    Ack,
    Hello,
    Leaving,
    PeerMessage,
    Ping,
    PingRequest,
)
from banyanshelf_core.model import Member, MemberId
from banyanshelf_core.text import Measuring
from banyanshelf_daemon.peer_protocol import PROTOCOL_VERSION, PeerConnection
from banyanshelf_daemon.settings import Address, Settings

CONNECT_TIMEOUT_S = 2.0
RECONNECT_BASE_S = 0.1
RECONNECT_LIMIT_S = 5.0
# The member with the lower id dials at once and the other one after this delay. If both
# dial at the same time, both handshakes are made and one connection is closed again.
HIGHER_ID_DIAL_DELAY_S = 0.5
# Only these messages are accepted from members that were removed from the cluster.
MEMBERSHIP_MESSAGES = (Ping, Ack, PingRequest, Leaving)

log = Logger("peer_link")
Handler = Callable[[MemberId, Any], None]
LinkHandler = Callable[[MemberId, bool], None]


class _Dialer(ClientFactory):
    noisy = False

    def __init__(self, links: PeerLinks, member_id: MemberId) -> None:
        self._links = links
        self._member_id = member_id

    def buildProtocol(self, addr: Any) -> PeerConnection:  # noqa: N802
        return PeerConnection(self._links, self._member_id)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._links.dial_failed(self._member_id)


class _Listener(Factory):
    noisy = False

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def buildProtocol(self, addr: Any) -> PeerConnection:  # noqa: N802
        return PeerConnection(self._links, None)


class PeerLinks:
    """Implements ``PeerNetwork`` over TCP, with TLS if the settings enable it.

    A message is accepted for sending only while the link is up. Links to all live
    members are opened in advance and reopened with backoff when they are lost.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        identity: Member,
        rng: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.control_bytes_per_second = Measuring().control_bytes_per_second
        self._settings = settings
        self._rng = rng or random.Random(settings.seed or None)
        self._tls = _tls_options(settings)
        self._members: dict[MemberId, Member] = {}
        self._removed: dict[MemberId, Member] = {}
        self._connections: set[PeerConnection] = set()
        self._links: dict[MemberId, PeerConnection] = {}
        self._dialing: dict[MemberId, Any] = {}
        self._redials: dict[MemberId, Any] = {}
        self._backoffs: dict[MemberId, Backoff] = {}
        self._handlers: defaultdict[type[Any], list[Handler]] = defaultdict(list)
        self._link_handlers: list[LinkHandler] = []
        self._bytes_in: Counter[str] = Counter()
        self._bytes_out: Counter[str] = Counter()
        self._port: Any = None
        self._is_stopped = False

    # PeerNetwork

    def send(self, member_id: MemberId, message: PeerMessage) -> bool:
        """Send a message; returns False if no link is up (a link is then opened)."""
        link = self._links.get(member_id)
        if link is None:
            # Does not bypass the backoff of a pending redial.
            if member_id not in self._redials:
                self._dial(member_id)
            return False
        return link.write(message)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every other live member."""
        for member_id in self._members:
            self.send(member_id, message)

    def subscribe(self, message_class: type[Any], handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each received message of a class."""
        self._handlers[message_class].append(handler)

    def on_link_change(self, handler: LinkHandler) -> None:
        """Call ``handler(member_id, is_up)`` when a link comes up or goes down."""
        self._link_handlers.append(handler)

    def update_members(
        self,
        live: Mapping[MemberId, Member],
        removed: Mapping[MemberId, Member],
    ) -> None:
        """Set the live members, to which links are kept, and the removed ones."""
        own_id = self.identity.id
        former = set(self._members)
        self._members = {each: live[each] for each in live if each != own_id}
        newly_removed = removed.keys() & former
        self._removed = dict(removed)
        for member_id in newly_removed:
            if member_id in self._links:
                # The Hello of the next link carries the current incarnation.
                self._links[member_id].close("the member was removed")
        for member_id in [each for each in self._redials if each not in live]:
            self._redials.pop(member_id).cancel()
        for member_id in self._members:
            if not self._is_connecting(member_id):
                delay = 0.0 if own_id < member_id else HIGHER_ID_DIAL_DELAY_S
                self._redial_after(member_id, delay)

    def set_identity(self, identity: Member) -> None:
        """Set the identity that later ``Hello`` messages carry."""
        self.identity = identity

    def set_budget(self, bytes_per_second: int) -> None:
        """Set the limit of control bytes per second for each link."""
        self.control_bytes_per_second = bytes_per_second

    # Start, stop, status

    def start(self) -> None:
        """Listen on the configured peer address."""
        address = Address.from_string(self._settings.peer_listen)
        if self._tls is None:
            self._port = self.reactor.listenTCP(
                address.port, _Listener(self), interface=address.host
            )
        else:
            self._port = self.reactor.listenSSL(
                address.port, _Listener(self), self._tls, interface=address.host
            )

    def stop(self) -> Any:
        """Close the listener and all links; returns a Deferred or None."""
        self._is_stopped = True
        for redial in self._redials.values():
            redial.cancel()
        self._redials.clear()
        for connection in list(self._connections):
            connection.flush_and_close()
        for connector in list(self._dialing.values()):
            connector.disconnect()
        return self._port.stopListening() if self._port is not None else None

    def snapshot(self) -> dict[str, Any]:
        """Return links and byte counts by message type for the status page."""
        bytes_in, bytes_out = Counter(self._bytes_in), Counter(self._bytes_out)
        for connection in self._connections:
            bytes_in += connection.bytes_in
            bytes_out += connection.bytes_out
        return {
            "links": sorted(self._links),
            "bytes_in": dict(bytes_in),
            "bytes_out": dict(bytes_out),
        }

    # Connections

    def hello(self, receiver: MemberId) -> Hello:
        """Return the ``Hello`` that introduces this daemon to a member."""
        return Hello(*self.identity, PROTOCOL_VERSION, receiver)

    def connection_made(self, connection: PeerConnection) -> None:
        """Register a new connection."""
        self._connections.add(connection)
        if self._is_stopped:
            connection.close("this daemon is shutting down")

    def hello_received(self, connection: PeerConnection, hello: Hello) -> None:
        """Use a connection as the link, unless the existing one takes precedence."""
        member_id = hello.id
        existing = self._links.get(member_id)
        if existing is not None:
            if not self._replaces(connection, existing):
                connection.flush_and_close()
                return
            self._link_down(member_id)
            existing.flush_and_close()
        self._links[member_id] = connection
        self._dialing.pop(member_id, None)
        self._backoffs.pop(member_id, None)
        redial = self._redials.pop(member_id, None)
        if redial is not None:
            redial.cancel()
        self._dispatch(member_id, hello)
        for handler in self._link_handlers:
            handler(member_id, True)

    def _replaces(self, new: PeerConnection, existing: PeerConnection) -> bool:
        if new.peer is None or existing.peer is None:
            return existing.peer is None
        if new.peer.incarnation != existing.peer.incarnation:
            return new.peer.incarnation > existing.peer.incarnation
        if new.opened_by == existing.opened_by:
            return True
        return new.opened_by < existing.opened_by

    def message_received(
        self, connection: PeerConnection, message: PeerMessage
    ) -> None:
        """Pass a message to its subscribers."""
        assert connection.peer is not None
        member_id = connection.peer.id
        if self._links.get(member_id) is not connection:
            return
        if member_id in self._removed and not isinstance(message, MEMBERSHIP_MESSAGES):
            return
        self._dispatch(member_id, message)

    def _dispatch(self, member_id: MemberId, message: PeerMessage) -> None:
        for handler in self._handlers[type(message)]:
            try:
                handler(member_id, message)
            except Exception:
                # An error in one handler must not close the link for all handlers.
                log.exception(
                    "handler of {} from {} failed", type(message).__name__, member_id
                )

    def connection_lost(self, connection: PeerConnection) -> None:
        """Add up the connection's bytes and redial the member if it is live."""
        self._connections.discard(connection)
        self._bytes_in += connection.bytes_in
        self._bytes_out += connection.bytes_out
        member_id = connection.peer.id if connection.peer else connection.dialed_id
        if member_id is None:
            return
        if self._links.get(member_id) is connection:
            self._link_down(member_id)
        if connection.dialed_id is not None:
            self._dialing.pop(member_id, None)
        self._redial(member_id)

    def _link_down(self, member_id: MemberId) -> None:
        del self._links[member_id]
        for handler in self._link_handlers:
            handler(member_id, False)

    # Dialing

    def _is_connecting(self, member_id: MemberId) -> bool:
        return any(
            member_id in each for each in (self._links, self._dialing, self._redials)
        )

    def _dial(self, member_id: MemberId) -> None:
        if self._is_stopped or member_id in self._links or member_id in self._dialing:
            return
        member = self._members.get(member_id) or self._removed.get(member_id)
        if member is None:
            return
        redial = self._redials.pop(member_id, None)
        if redial is not None and redial.active():
            redial.cancel()
        try:
            address = self._peer_address(member)
        except SettingsError as error:
            log.error("cannot dial member {}: {}", member_id, error)
            return
        factory = _Dialer(self, member_id)
        source = (Address.from_string(self._settings.peer_listen).host, 0)
        if self._tls is None:
            connector = self.reactor.connectTCP(
                address.host, address.port, factory, CONNECT_TIMEOUT_S, source
            )
        else:
            connector = self.reactor.connectSSL(
                address.host,
                address.port,
                factory,
                self._tls,
                CONNECT_TIMEOUT_S,
                source,
            )
        self._dialing[member_id] = connector

    def _peer_address(self, member: Member) -> Address:
        address = Address.from_string(member.address)
        if self._tls is None and not ip_address(address.host).is_loopback:
            raise SettingsError(
                f"{member.address} is not on loopback; give tls_certificate, tls_key "
                "and tls_authority",
            )
        return address

    def dial_failed(self, member_id: MemberId) -> None:
        """Schedule a redial if the member is still live."""
        self._dialing.pop(member_id, None)
        self._redial(member_id)

    def _redial(self, member_id: MemberId) -> None:
        if member_id not in self._members or self._is_connecting(member_id):
            return
        backoff = self._backoffs.get(member_id)
        if backoff is None:
            backoff = Backoff(self._rng, RECONNECT_BASE_S, RECONNECT_LIMIT_S)
            self._backoffs[member_id] = backoff
        self._redial_after(member_id, backoff.next_delay())

    def _redial_after(self, member_id: MemberId, delay: float) -> None:
        if not self._is_stopped:
            self._redials[member_id] = self.reactor.callLater(
                delay, self._dial, member_id
            )


def _tls_options(settings: Settings) -> Any:
    """Return TLS options that require a certificate of the authority on both sides."""
    if not settings.uses_tls:
        return None
    own = PrivateCertificate.loadPEM(
        Path(settings.tls_key).read_bytes()
        + b"\n"
        + Path(settings.tls_certificate).read_bytes(),
    )
    authority = Certificate.loadPEM(Path(settings.tls_authority).read_bytes())
    return own.options(authority)
