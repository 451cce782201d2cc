"""Loopback proxy that delays, resets, cuts one way or silences connections.

Example:
    ``python -m soak.proxy --control 127.0.0.1:2500
    --links store-1=127.0.0.1:2501=127.0.0.1:2400`` forwards one link.

"""

from __future__ import annotations

import enum
from typing import Any

import fire
import msgspec
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from banyanshelf_standins.http_server import Exchange, HttpServer


class Direction(enum.Enum):
    """Which bytes a link drops; a silent link drops both."""

    NONE = "none"
    REQUESTS = "requests"
    ANSWERS = "answers"
    BOTH = "both"


class LinkState(msgspec.Struct):
    """How a link treats bytes; ``delay_s`` is added in each direction."""

    delay_s: float = 0.0
    dropped: Direction = Direction.NONE


class _Side(Protocol):
    """One of the two connections of a forwarded one."""

    def __init__(self, link: Link, peer: _Side | None = None) -> None:
        self._link = link
        self.peer = peer
        self.is_inner = peer is not None
        self.is_open = False
        self._waiting: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target, or deliver what has arrived meanwhile."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self._link.sides.add(self)
        if self.peer is None:
            self._link.connect(self)
            return
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, unless the link drops them."""
        if self.peer is not None and not self._link.drops(self):
            self._link.later(self.peer.deliver, data)

    def deliver(self, data: bytes) -> None:
        """Write bytes, once connected."""
        if self.is_open:
            self.transport.write(data)
        else:
            self._waiting.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other side, unless the link hides it."""
        self.is_open = False
        self._link.sides.discard(self)
        if self.peer is not None and not self._link.drops(self):
            self._link.later(self.peer.close)

    def close(self) -> None:
        """Close after everything has been written."""
        if self.is_open:
            self.transport.loseConnection()

    def reset(self) -> None:
        """Cut the connection at once."""
        if self.is_open:
            self.transport.abortConnection()


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, side: _Side, link: Link) -> None:
        self._outer, self._link = side, link
        side.peer = _Side(link, side)

    def buildProtocol(self, _address: Any) -> _Side | None:  # noqa: N802
        return self._outer.peer

    def clientConnectionFailed(  # noqa: N802
        self, _connector: Any, reason: Any
    ) -> None:
        self._outer.reset()


class Link(Factory):
    """One forwarded listener."""

    noisy = False

    def __init__(self, listen: str, target: str) -> None:
        self.state = LinkState()
        self.sides: set[_Side] = set()
        self._target = target
        host, _, port = listen.rpartition(":")
        reactor.listenTCP(int(port), self, interface=host)

    def buildProtocol(self, _address: Any) -> _Side:  # noqa: N802
        """Return the outer side of a new connection."""
        return _Side(self)

    def connect(self, side: _Side) -> None:
        """Connect an accepted connection to the target."""
        host, _, port = self._target.rpartition(":")
        reactor.connectTCP(host, int(port), _Connector(side, self))

    def drops(self, side: _Side) -> bool:
        """Whether bytes that a side received are lost."""
        wanted = Direction.ANSWERS if side.is_inner else Direction.REQUESTS
        return self.state.dropped in (wanted, Direction.BOTH)

    def later(self, action: Any, *arguments: Any) -> None:
        """Run an action after the delay of the link."""
        reactor.callLater(self.state.delay_s, action, *arguments)

    def reset(self) -> None:
        """Cut all connections."""
        for side in list(self.sides):
            side.reset()


def serve(control: str, links: str) -> None:
    """Run the proxy; ``links`` is a list ``NAME=LISTEN=TARGET,...``."""
    link_by_name = {
        name: Link(listen, target)
        for name, listen, target in (each.split("=") for each in links.split(","))
    }

    def handle(exchange: Exchange) -> None:
        """Change one link: ``POST /links/NAME`` with a state, or ``/reset/NAME``."""
        match exchange.path.split("/"):
            case ["", "links", name]:
                state = msgspec.convert(exchange.json(), LinkState)
                link_by_name[name].state = state
            case ["", "reset", name]:
                link_by_name[name].reset()
            case _:
                exchange.answer(404)
                return
        exchange.answer_json({})

    HttpServer(control, handle).open()
    reactor.run()


if __name__ == "__main__":
    fire.Fire(serve)
