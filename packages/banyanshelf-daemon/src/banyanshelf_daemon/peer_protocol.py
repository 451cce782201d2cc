"""One TCP connection between two daemons: framing, batching and byte counters."""

from __future__ import annotations

from collections import Counter, deque
from struct import Struct
from typing import TYPE_CHECKING, Any, cast

from logbook import Logger
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from banyanshelf_core.errors import CodecError
from banyanshelf_core.messages import Hello, PeerMessage
from banyanshelf_core.model import MemberId
from banyanshelf_wire.codec import MAX_MESSAGE_BYTES, decode, encode

if TYPE_CHECKING:
    from banyanshelf_daemon.peer_link import PeerLinks

PROTOCOL_VERSION = 1
HELLO_TIMEOUT_S = 5.0
MAX_FLUSH_INTERVAL_S = 0.05
# Two messages of maximum size fit, so that sending a configuration text does not close
# the link.
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES

log = Logger("peer_link")
_LENGTH_PREFIX = Struct(">I")


class PeerConnection(Protocol):
    """A connection with length-prefixed frames; each flush is one write.

    ``opened_by`` is the member that opened the connection, and ``peer`` the ``Hello``
    of the member at the other end. Both are known once that ``Hello`` has arrived.
    """

    def __init__(self, links: PeerLinks, dialed_id: MemberId | None) -> None:
        self.links = links
        self.dialed_id = dialed_id
        self._received = bytearray()
        self._outgoing: deque[bytes] = deque()
        self._outgoing_bytes = 0
        self._transport_bytes = 0
        self._flush_call: Any = None
        self._hello_timeout: Any = None
        self._is_paused = False
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._is_closed = False
        self.peer: Hello | None = None
        self.opened_by: MemberId = links.identity.id if dialed_id else ""
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()

    # Connection

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send a ``Hello`` if this daemon dialed, and wait for the peer's ``Hello``."""
        reactor = self.links.reactor
        self._tokens = float(self.links.control_bytes_per_second)
        self._refilled_at = reactor.seconds()
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)
        transport = cast(Any, self.transport)
        transport.registerProducer(self, True)
        self._hello_timeout = reactor.callLater(HELLO_TIMEOUT_S, self._on_hello_timeout)
        self.links.connection_made(self)
        if self.dialed_id:
            self.write(self.links.hello(self.dialed_id))

    def _on_hello_timeout(self) -> None:
        self._hello_timeout = None
        self.close(f"no Hello within {HELLO_TIMEOUT_S:.0f} s")

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancel the timers and report the loss."""
        self._stop()
        self.links.connection_lost(self)

    def close(self, reason: str) -> None:
        """Abort the connection; queued messages are dropped."""
        if not self._is_closed:
            peer = self.peer.id if self.peer else self.dialed_id or "unknown peer"
            log.info("link to {} closed: {}", peer, reason)
            self._stop()
            cast(Any, self.transport).abortConnection()

    def flush_and_close(self) -> None:
        """Write the queued messages, then close the connection."""
        if not self._is_closed:
            self._write_all()
            self._stop()
            transport = cast(Any, self.transport)
            transport.unregisterProducer()
            transport.loseConnection()

    def _stop(self) -> None:
        self._is_closed = True
        self._outgoing.clear()
        self._outgoing_bytes = 0
        for call in (self._flush_call, self._hello_timeout):
            if call is not None and call.active():
                call.cancel()
        self._flush_call = self._hello_timeout = None

    # Receiving

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Decode complete frames; a malformed frame closes only this connection."""
        received = self._received
        received += data
        start = 0
        while not self._is_closed and len(received) - start >= _LENGTH_PREFIX.size:
            (size,) = _LENGTH_PREFIX.unpack_from(received, start)
            if size > MAX_MESSAGE_BYTES:
                self.close(f"frame of {size} bytes exceeds {MAX_MESSAGE_BYTES}")
                return
            end = start + _LENGTH_PREFIX.size + size
            if len(received) < end:
                break
            content = bytes(received[start + _LENGTH_PREFIX.size : end])
            start = end
            try:
                message = decode(content)
            except CodecError as error:
                self.close(str(error))
                return
            self.bytes_in[type(message).__name__] += _LENGTH_PREFIX.size + size
            self._on_message(message)
        del received[:start]

    def _on_message(self, message: PeerMessage) -> None:
        if self.peer is not None:
            self.links.message_received(self, message)
            return
        if not isinstance(message, Hello):
            self.close(f"first message is {type(message).__name__}, not Hello")
            return
        if message.protocol_version != PROTOCOL_VERSION:
            self.close(
                f"protocol version {message.protocol_version} is not "
                f"{PROTOCOL_VERSION}; run compatible versions",
            )
            return
        if message.receiver != self.links.identity.id:
            # The address was reused, or a malformed update paired it with another id.
            self.close(f"the peer expected member {message.receiver}")
            return
        if message.id == self.links.identity.id:
            self.close("the peer has this daemon's own member id")
            return
        if self.dialed_id is not None and message.id != self.dialed_id:
            self.close(f"expected member {self.dialed_id}, found {message.id}")
            return
        self._hello_timeout.cancel()
        self._hello_timeout = None
        self.peer = message
        if self.dialed_id is None:
            self.opened_by = message.id
            self.write(self.links.hello(message.id))
        self.links.hello_received(self, message)

    # Sending

    def write(self, message: PeerMessage) -> bool:
        """Queue a message for the next flush; returns False if the queue is full."""
        if self._is_closed:
            return False
        content = encode(message)
        size = _LENGTH_PREFIX.size + len(content)
        if self._outgoing_bytes + size > MAX_QUEUED_BYTES:
            self.close("the send queue is full; the peer does not read")
            return False
        self._outgoing.append(_LENGTH_PREFIX.pack(len(content)) + content)
        self._outgoing_bytes += size
        self.bytes_out[type(message).__name__] += size
        if self._flush_call is None and not self._is_paused:
            delay = self._flush_delay()
            self._flush_call = self.links.reactor.callLater(delay, self._flush)
        return True

    def _flush_delay(self) -> float:
        """Return a delay from 0 to the maximum that grows as the bucket empties."""
        rate = float(self.links.control_bytes_per_second)
        now = self.links.reactor.seconds()
        self._tokens = min(rate, self._tokens + (now - self._refilled_at) * rate)
        self._refilled_at = now
        # Bursts of up to half of the bucket are sent at the end of the reactor turn.
        emptiness = 1.0 - max(0.0, self._tokens) / rate
        return MAX_FLUSH_INTERVAL_S * max(0.0, 2.0 * emptiness - 1.0)

    def _flush(self) -> None:
        self._flush_call = None
        self._write_all()

    def _write_all(self) -> None:
        if not self._outgoing:
            return
        content = b"".join(self._outgoing)
        self._outgoing.clear()
        self._outgoing_bytes = 0
        # The bucket may go negative by the budget of one second.
        rate = float(self.links.control_bytes_per_second)
        self._tokens = max(-rate, self._tokens - len(content))
        cast(Any, self.transport).write(content)

    # Push producer interface: the transport pauses it while its buffer is full.

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Keep messages in the bounded queue."""
        self._is_paused = True
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_call = None

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write the queued messages."""
        self._is_paused = False
        if not self._is_closed:
            self._write_all()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; ``connectionLost`` reports the loss of the connection."""
