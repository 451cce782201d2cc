"""In-memory callers, upstreams and neighbours of the daemon's data path."""

import io
import json
import random

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from banyanshelf_core.messages import ClaimStatus
from banyanshelf_core.model import Member, Upstream
from banyanshelf_core.text import parse_text
from banyanshelf_daemon.call import CallHandler
from banyanshelf_daemon.caller_server import CallerServerFactory
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ClaimDecision,
    NotAdmittedError,
    Permit,
)
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.settings import Settings

TEXT = """
[services.desk]
hosts = ["desk.example"]
timeout_ms = 2000

[[services.desk.routes]]
path_prefix = "/payments"
methods = ["POST"]
require_key = true

[[services.desk.routes]]
path_prefix = "/search"
methods = ["POST"]
idempotent = true
"""


class MemoryTransport(StringTransport):
    """A transport that reports its own closing to its protocol, one turn later."""

    def __init__(self, reactor):
        super().__init__()
        self.reactor = reactor
        self.protocol = None
        self.is_closed = False
        self.was_aborted = False
        self.history = []

    def attach(self, protocol):
        """Connect the transport to a protocol."""
        self.protocol = protocol
        protocol.makeConnection(self)
        return self

    def receive(self, data):
        """Deliver bytes to the protocol."""
        if not self.is_closed:
            self.protocol.dataReceived(data)

    def cut(self, error=None):
        """Close from the other side."""
        self._close(error or ConnectionLost())

    def loseConnection(self):  # noqa: N802
        """Close in the next turn."""
        self.reactor.callLater(0, self._close, ConnectionDone())

    def abortConnection(self):  # noqa: N802
        """Close in the next turn and note that it was at once."""
        self.was_aborted = True
        self.reactor.callLater(0, self._close, ConnectionAborted())

    def write(self, data):
        """Keep the bytes unless closed."""
        if not self.is_closed:
            self.history.append(data)
            super().write(data)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Accept the option."""

    def take(self):
        """Return and forget what has been written."""
        data = self.value()
        self.clear()
        return data

    def _close(self, error):
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connectionLost(Failure(error))


class FakePermits:
    """Grants permits in order of the upstreams, or waits when told to."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.requests = []
        self.released = []
        self.reports = []
        self.granted = 0
        self.is_holding_back = False
        self.refusal = None
        self.waiting = []

    def acquire(self, service_name, request):
        """Grant, refuse or hold back a permit."""
        self.requests.append(request)
        if self.refusal is not None:
            return fail(self.refusal)
        if self.is_holding_back:
            waiter = Deferred()
            self.waiting.append(waiter)
            return waiter
        for upstream in self.upstreams:
            if upstream.id not in request.excluded:
                self.granted += 1
                return succeed(Permit(upstream, 4, "idle_permit", len(self.upstreams)))
        return fail(NotAdmittedError("no upstream is left", 1.0))

    def release(self, permit, sample):
        """Keep the result of the attempt."""
        self.released.append((permit.upstream.id, sample.kind))

    def note_load_report(self, upstream_id, in_flight, slots):
        """Keep the report."""
        self.reports.append((upstream_id, in_flight, slots))


class FakeClaims:
    """Decides each claim as told and keeps the recorded outcomes."""

    def __init__(self):
        self.status = ClaimStatus.GRANTED
        self.answer = None
        self.claims = []
        self.recorded = []
        self.record_waiter = None
        self.decision_waiter = None

    def claim(self, service_name, key_digest, body_digest, wait_s):
        """Decide as told."""
        self.claims.append((service_name, key_digest, body_digest, wait_s))
        if self.decision_waiter is not None:
            return self.decision_waiter
        return succeed(ClaimDecision(self.status, "attempt-1", self.answer))

    def complete(self, attempt_id, outcome, answer):
        """Keep the outcome."""
        self.recorded.append((attempt_id, outcome, answer))
        return self.record_waiter or succeed(None)


class FakeNeighbours:
    """Configuration, directory, members and network of one daemon."""

    def __init__(self, text, upstreams, members=1):
        self.active_text = ActiveText(7, "digest", text)
        self.upstreams = upstreams
        self.leaving = []
        self.messages = []
        self.handler_by_class = {}
        self.change_handlers = []
        self.member_by_id = {
            f"gateway-{i}": Member(f"gateway-{i}", "127.0.0.1:1", "Huye", 1)
            for i in range(members)
        }

    def active(self):
        """Return the text in effect."""
        return self.active_text

    def on_change(self, handler):
        """Keep the handler."""
        self.change_handlers.append(handler)

    def members_by_id(self):
        """Return the members."""
        return self.member_by_id

    def on_members_change(self, handler):
        """Ignore the handler."""

    def upstreams_by_id(self, service_name):
        """Return all upstreams."""
        return {upstream.id: upstream for upstream in self.upstreams}

    def report_leaving(self, upstream_id, reason):
        """Keep the report."""
        self.leaving.append((upstream_id, reason))

    def on_upstreams_change(self, handler):
        """Keep the handler."""
        self.change_handlers.append(handler)

    def broadcast(self, message):
        """Keep the message."""
        self.messages.append(message)

    def subscribe(self, message_class, handler):
        """Keep the handler."""
        self.handler_by_class[message_class] = handler


class DataPath:
    """A data path between in-memory callers and in-memory upstreams."""

    def __init__(self, text=TEXT, upstream_count=3, trusted=False, members=1, **limits):
        self.reactor = MemoryReactorClock()
        self.settings = Settings(
            member_id="gateway-0",
            zone="Huye",
            listen="127.0.0.1:1",
            service_listen="127.0.0.1:2",
            peer_listen="127.0.0.1:3",
            operator_listen="127.0.0.1:4",
            store_url="http://127.0.0.1:5",
            host_list_url="http://127.0.0.1:6",
            **limits,
        )
        self.upstreams = [
            Upstream(f"desk-{i}", "desk", f"127.0.0.{i}:80", "Huye", 3)
            for i in range(1, upstream_count + 1)
        ]
        self.permits = FakePermits(self.upstreams)
        self.claims = FakeClaims()
        self.neighbours = FakeNeighbours(parse_text(text), self.upstreams, members)
        self.log_stream = io.BytesIO()
        self.log = DecisionLog(self.reactor, "info", self.log_stream)
        self.handler = CallHandler(
            self.reactor,
            self.settings,
            self.neighbours,
            self.permits,
            self.claims,
            self.neighbours,
            self.neighbours,
            self.neighbours,
            random.Random(5),
            self.log,
            Metrics(self.reactor),
        )
        self.factory = CallerServerFactory(self.handler, self.settings, trusted)
        self.upstream_transports = []
        self.refused_hosts = set()
        self._seen_clients = 0

    def connect_caller(self):
        """Return the transport of a new caller's connection."""
        protocol = self.factory.buildProtocol(None)
        return MemoryTransport(self.reactor).attach(protocol)

    def settle(self):
        """Run turns until no connection attempt and no immediate call is left."""
        for _ in range(20):
            self.reactor.advance(0)
            while self._seen_clients < len(self.reactor.tcpClients):
                host, port, factory, *_ = self.reactor.tcpClients[self._seen_clients]
                self._seen_clients += 1
                if host in self.refused_hosts:
                    factory.clientConnectionFailed(None, Failure(RefusedError()))
                    continue
                transport = MemoryTransport(self.reactor)
                transport.host = host
                transport.attach(factory.buildProtocol(None))
                self.upstream_transports.append(transport)

    def send(self, caller, data):
        """Deliver bytes of a caller and run what follows."""
        caller.receive(data)
        self.settle()

    def requests_at_upstreams(self):
        """Return the transports on which a request has arrived unanswered."""
        return [found for found in self.upstream_transports if found.value()]

    def advance(self, seconds):
        """Let time pass and run what follows."""
        self.reactor.advance(seconds)
        self.settle()

    def sent_requests(self):
        """Return all requests that have reached an upstream, in no fixed order."""
        return [data for found in self.upstream_transports for data in found.history]

    def answer(self, transport, data):
        """Deliver bytes of an upstream and run what follows."""
        transport.clear()
        transport.receive(data)
        self.settle()

    def log_lines(self):
        """Return the lines logged so far."""
        self.log.flush()
        return [json.loads(line) for line in self.log_stream.getvalue().splitlines()]


def split_answers(data):
    """Return (status, header dictionary, body) of each answer with a length."""
    answers = []
    while data:
        head, _, data = data.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(b": ")
            headers[name.lower().decode()] = value.decode()
        length = int(headers.get("content-length", 0))
        answers.append((int(first.split()[1]), headers, data[:length]))
        data = data[length:]
    return answers
