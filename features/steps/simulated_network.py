"""Reactor over a controlled clock that joins daemons by in-memory connections."""

# ruff: noqa: N802, N803, N815 - the names are those of Twisted's interfaces.

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.task import Clock
from twisted.protocols.tls import TLSMemoryBIOFactory
from twisted.python.failure import Failure

LATENCY_S = 0.001


class PipeTransport:
    """One end of an in-memory connection; ``blocked`` holds the bytes back."""

    disconnecting = False

    def __init__(self, clock, network):
        self.clock = clock
        self.network = network
        self.protocol = None
        self.other = None
        self.closed = False
        self.writes = []

    def write(self, data):
        """Deliver the bytes to the other end after the latency."""
        if not self.closed:
            self.writes.append((self.clock.seconds(), len(data)))
            self.clock.callLater(LATENCY_S, self.other.receive, bytes(data))

    def writeSequence(self, pieces):
        """Write the pieces in one go."""
        self.write(b"".join(pieces))

    def receive(self, data):
        """Hand bytes to the protocol unless the path is cut."""
        if not self.closed and not self.network.is_cut(self):
            self.protocol.dataReceived(data)

    def loseConnection(self):
        """Close after what was written has arrived."""
        self._end(ConnectionDone())

    def abortConnection(self):
        """Close at once."""
        self._end(ConnectionLost())

    def _end(self, reason):
        if not self.closed:
            self.disconnecting = True
            self.clock.callLater(LATENCY_S, self.other.lost, ConnectionDone())
            self.clock.callLater(0, self.lost, reason)

    def lost(self, reason):
        """Report the loss to the protocol once."""
        if not self.closed:
            self.closed = True
            self.network.transports.discard(self)
            self.protocol.connectionLost(Failure(reason))

    def registerProducer(self, producer, streaming):
        """Accept a producer."""
        self.producer = producer

    def unregisterProducer(self):
        """Forget the producer."""
        self.producer = None

    def setTcpNoDelay(self, enabled):
        """Do nothing."""

    def getPeer(self):
        """Return no address."""
        return

    getHost = getPeer


class Connector:
    """Attempt to connect to a listener."""

    def __init__(self, reactor, address, factory):
        self.reactor = reactor
        self.address = address
        self.factory = factory
        self.transport = None
        self.state = "connecting"
        reactor.callLater(LATENCY_S, self._connect)

    def _connect(self):
        if self.state != "connecting":
            return
        listener = self.reactor.network.listeners.get(self.address)
        if listener is None:
            self.state = "disconnected"
            self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))
            return
        self.state = "connected"
        network = self.reactor.network
        near = PipeTransport(self.reactor, network)
        far = PipeTransport(self.reactor, network)
        near.other, far.other = far, near
        network.transports |= {near, far}
        self.transport = near
        near.protocol = self.factory.buildProtocol(None)
        far.protocol = listener.buildProtocol(None)
        far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)

    def disconnect(self):
        """Give up or close the connection."""
        if self.state == "connected":
            self.transport.loseConnection()
        elif self.state == "connecting":
            self.state = "disconnected"
            self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))


class Port:
    """Listening address."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def stopListening(self):
        """Refuse connections from now on."""
        self.network.listeners.pop(self.address, None)


class SimulatedNetwork:
    """Listeners and open connections; ``is_cut`` tells which ends hear nothing."""

    def __init__(self):
        self.listeners = {}
        self.transports = set()
        self.is_cut = lambda transport: False


class SimulatedReactor(Clock):
    """Clock with TCP and TLS between its own listeners."""

    def __init__(self):
        super().__init__()
        self.rightNow = 1_000_000.0
        self.network = SimulatedNetwork()

    def listenTCP(self, port, factory, backlog=50, interface=""):
        """Listen on an address."""
        self.network.listeners[interface, port] = factory
        return Port(self.network, (interface, port))

    def listenSSL(self, port, factory, context, backlog=50, interface=""):
        """Listen with TLS."""
        wrapped = TLSMemoryBIOFactory(context, False, factory, self)
        return self.listenTCP(port, wrapped, interface=interface)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Connect to a listener."""
        return Connector(self, (host, port), factory)

    def connectSSL(self, host, port, factory, context, timeout=30, bindAddress=None):
        """Connect with TLS."""
        wrapped = TLSMemoryBIOFactory(context, True, factory, self)
        return self.connectTCP(host, port, wrapped)

    def run_for(self, seconds):
        """Advance in small steps, so that messages cross in order."""
        end = self.seconds() + seconds
        while self.seconds() < end - 1e-9:
            calls = [each.getTime() for each in self.getDelayedCalls()]
            target = min([*calls, end])
            self.advance(max(0.0, min(target, end) - self.seconds()))
