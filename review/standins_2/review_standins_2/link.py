"""A machine's link to the platform's store: a proxy with a bandwidth.

All connections share the bandwidth fairly: they take turns, piece by piece.
"""

from __future__ import annotations

from collections import deque

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol

PIECE_BYTES = 4096


class Link:
    """Passes connections on to ``target``; what comes back takes its time."""

    def __init__(self, listen: str, target: str, mbit_per_s: float) -> None:
        self._listen = listen.rpartition(":")
        self.target = target.rpartition(":")
        self._bytes_per_s = mbit_per_s * 1e6 / 8
        self._turns: deque[NearSide] = deque()
        self._is_busy = False
        # When the link has sent all that it has begun to send.
        self._free_at = 0.0
        self.is_cut = False
        self.sides: set[NearSide] = set()

    def open(self) -> None:
        """Listen for the machine's connections."""
        factory = Factory.forProtocol(lambda: NearSide(self))
        factory.noisy = False
        host, _, port = self._listen
        reactor.listenTCP(int(port), factory, interface=host)

    def queue(self, side: NearSide) -> None:
        """Give a connection with bytes to send its turn."""
        self._turns.append(side)
        if not self._is_busy:
            self._send_piece(is_idle=True)

    def set_cut(self, is_cut: bool) -> None:
        """Reset all connections, and each new one while the link is cut."""
        self.is_cut = is_cut
        if is_cut:
            for side in list(self.sides):
                side.transport.abortConnection()

    def _send_piece(self, *, is_idle: bool = False) -> None:
        self._is_busy = bool(self._turns)
        if not self._turns:
            return
        side = self._turns.popleft()
        piece = bytes(side.waiting[:PIECE_BYTES])
        del side.waiting[:PIECE_BYTES]
        # Timers fire late; the next piece makes up for that.
        now = reactor.seconds()
        begins_at = now if is_idle else self._free_at
        self._free_at = begins_at + len(piece) / self._bytes_per_s
        delay_s = max(0.0, self._free_at - now)
        reactor.callLater(delay_s, self._piece_sent, side, piece)

    def _piece_sent(self, side: NearSide, piece: bytes) -> None:
        side.transport.write(piece)
        if side.waiting:
            self._turns.append(side)
        self._send_piece()


class NearSide(Protocol):
    """The machine's side of one connection."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._far: FarSide | None = None
        self._early = b""
        self.waiting = bytearray()

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        if self._link.is_cut:
            self.transport.abortConnection()
            return
        self._link.sides.add(self)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: FarSide(self)
        host, _, port = self._link.target
        reactor.connectTCP(host, int(port), factory)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass the machine's bytes on at once."""
        if self._far is None:
            self._early += data
        else:
            self._far.transport.write(data)

    def far_made(self, far: FarSide) -> None:
        """Pass on what came before the connection."""
        self._far = far
        far.transport.write(self._early)

    def far_received(self, data: bytes) -> None:
        """Queue the target's bytes."""
        is_queued = bool(self.waiting)
        self.waiting += data
        if not is_queued:
            self._link.queue(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Close the other side."""
        self._link.sides.discard(self)
        self.waiting.clear()
        if self._far is not None:
            self._far.transport.abortConnection()


class FarSide(Protocol):
    """The target's side of one connection."""

    def __init__(self, near: NearSide) -> None:
        self._near = near

    def connectionMade(self) -> None:  # noqa: N802
        """Join both sides."""
        self._near.far_made(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Send the bytes over the link."""
        self._near.far_received(data)
