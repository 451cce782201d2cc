"""Twisted reactor on a simulated clock with in-memory connections."""

# ruff: noqa: N802, N803, N815 - the names are those of Twisted's interfaces.

from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.interfaces import IReactorPluggableNameResolver
from twisted.internet.task import Clock
from twisted.protocols.tls import TLSMemoryBIOFactory
from twisted.python.failure import Failure
from zope.interface import implementer

LATENCY_S = 0.001


class PipeTransport:
    """One end of an in-memory connection."""

    disconnecting = False

    def __init__(self, reactor, protocol):
        self.reactor = reactor
        self.protocol = protocol
        self.is_closed = False
        self.writes = []

    def write(self, data):
        if not self.is_closed:
            self.writes.append(self.reactor.seconds())
            self.reactor.callLater(LATENCY_S, self.other.receive, bytes(data))

    def writeSequence(self, pieces):
        self.write(b"".join(pieces))

    def receive(self, data):
        if not self.is_closed and not self.reactor.is_cut(self):
            self.protocol.dataReceived(data)

    def loseConnection(self, reason=None):
        if not self.is_closed and not self.disconnecting:
            self.disconnecting = True
            self.reactor.callLater(LATENCY_S, self.other.lost, ConnectionDone())
            self.reactor.callLater(0, self.lost, reason or ConnectionDone())

    def abortConnection(self):
        self.loseConnection(ConnectionLost())

    def lost(self, reason):
        if not self.is_closed:
            self.is_closed = True
            self.reactor.transports.discard(self)
            self.protocol.connectionLost(Failure(reason))

    def _nothing(self, *_):
        return

    registerProducer = unregisterProducer = setTcpNoDelay = setTcpKeepAlive = _nothing
    stopProducing = pauseProducing = resumeProducing = getPeer = getHost = _nothing


class Connector:
    """An attempt to connect to a listener."""

    def __init__(self, reactor, address, factory):
        self.reactor = reactor
        self.address = address
        self.factory = factory
        self.state = "connecting"
        factory.doStart()
        reactor.callLater(LATENCY_S, self._connect)

    def _connect(self):
        if self.state != "connecting":
            return
        listener = self.reactor.listeners.get(self.address)
        if listener is None:
            self.stopConnecting()
            return
        self.state = "connected"
        client_end = PipeTransport(self.reactor, self.factory.buildProtocol(None))
        server_end = PipeTransport(self.reactor, listener.buildProtocol(None))
        client_end.other, server_end.other, self.transport = (
            server_end,
            client_end,
            client_end,
        )
        self.reactor.transports |= {client_end, server_end}
        server_end.protocol.makeConnection(server_end)
        client_end.protocol.makeConnection(client_end)

    def disconnect(self):
        if self.state == "connected":
            self.transport.loseConnection()
        elif self.state == "connecting":
            self.stopConnecting()

    def stopConnecting(self):
        self.state = "disconnected"
        self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))


class Port:
    """A listening address."""

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address

    def stopListening(self):
        self.reactor.listeners.pop(self.address, None)


@implementer(IReactorPluggableNameResolver)
class SimulatedReactor(Clock):
    """Clock with TCP and TLS; ends for which ``is_cut`` is true receive nothing."""

    def __init__(self):
        super().__init__()
        self.rightNow = 1_000_000.0
        self.listeners = {}
        self.transports = set()
        self.dials = []
        self.nameResolver = self
        self.is_cut = lambda transport: False

    def resolveHostName(self, receiver, host, portNumber=0, **_):
        receiver.resolutionBegan(None)
        receiver.addressResolved(IPv4Address("TCP", host, portNumber))
        receiver.resolutionComplete()

    def listenTCP(self, port, factory, backlog=50, interface=""):
        self.listeners[interface, port] = factory
        return Port(self, (interface, port))

    def listenSSL(self, port, factory, context, backlog=50, interface=""):
        wrapped = TLSMemoryBIOFactory(context, False, factory, self)
        return self.listenTCP(port, wrapped, interface=interface)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        self.dials.append((self.seconds(), host))
        return Connector(self, (host, port), factory)

    def connectSSL(self, host, port, factory, context, timeout=30, bindAddress=None):
        wrapped = TLSMemoryBIOFactory(context, True, factory, self)
        return self.connectTCP(host, port, wrapped)

    def run(self, seconds):
        end = self.seconds() + seconds
        while self.seconds() < end - 1e-9:
            next_call = min([end, *(each.getTime() for each in self.calls)])
            self.advance(max(0.0, next_call - self.seconds()))
