"""In-memory callers, upstreams and collaborators of the daemon's data path."""

import io
import json
import math
import random
from unittest.mock import Mock

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import ClaimStatus
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
routes = [
    { path_prefix = "/payments", methods = ["POST"], require_key = true },
    { path_prefix = "/search", methods = ["POST"], idempotent = true },
]
"""


def new_text(text):
    """Return an active configuration text."""
    return ActiveText(7, "digest", parse_text(text))


def workspaces_text(words):
    """Return the lines that give keys to workspaces.

    Example: ``one=k-1,k-2 two= three=k-3@1``, with priority 1 for the last one.
    """
    lines = ["[workspaces]"]
    for word in words.split():
        name, _, rest = word.partition("=")
        keys, _, priority = rest.partition("@")
        listed = [each for each in keys.split(",") if each]
        rank = f", priority = {priority}" if priority else ""
        lines.append(f"{name} = {{ keys = {listed}{rank} }}")
    return "\n".join(lines)


class _Transport(StringTransport):
    """Keeps the written bytes; closes in the reactor iteration after the request to."""

    def __init__(self, reactor, protocol, host=""):
        super().__init__()
        self.reactor, self.protocol, self.host = reactor, protocol, host
        self.is_closed = self.was_aborted = False
        self.history = []
        protocol.makeConnection(self)

    def receive(self, data):
        if not self.is_closed:
            self.protocol.dataReceived(data)

    def cut(self, error=None):
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connectionLost(Failure(error or ConnectionLost()))

    def loseConnection(self):  # noqa: N802
        self.reactor.callLater(0, self.cut, ConnectionDone())

    def connectionLost(self, reason):  # noqa: N802
        self.cut(reason.value)

    def doWrite(self):  # noqa: N802
        """Do nothing, as bytes are kept as soon as they are written."""

    def loseWriteConnection(self):  # noqa: N802
        # The other end closes once it has read everything.
        self.loseConnection()

    def abortConnection(self):  # noqa: N802
        self.was_aborted = True
        self.reactor.callLater(0, self.cut, ConnectionAborted())

    def write(self, data):
        if not self.is_closed:
            self.history.append(data)
            super().write(data)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class _Permits:
    """Grants the first upstream that is not excluded, unless set otherwise."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.requests, self.released, self.reports = [], [], []
        self.pauses = []
        self.is_holding_back = False
        self.held = []
        self.refusal = None
        self.granted, self.hedge_after_s = 0, None
        self.last_heard_at = -math.inf

    def heard_at(self, upstream_id):
        return self.last_heard_at

    def acquire(self, service_name, request):
        self.requests.append(request)
        if self.is_holding_back:
            self.held.append((service_name, request, Deferred()))
            return self.held[-1][2]
        free = [each for each in self.upstreams if each.id not in request.excluded]
        if self.refusal is None and free:
            self.granted += 1
            return succeed(
                Permit(
                    free[0],
                    4,
                    "idle_permit",
                    len(self.upstreams),
                    hedge_after_s=self.hedge_after_s,
                )
            )
        return fail(self.refusal or NotAdmittedError("no upstream is left", 1.0))

    def grant_held(self):
        """Decide on the requests that were held back."""
        self.is_holding_back = False
        held, self.held = self.held, []
        for service_name, request, waiter in held:
            if waiter.called:
                # It was cancelled.
                continue
            self.acquire(service_name, request).chainDeferred(waiter)

    def grant_one(self, at):
        """Decide on one of the requests that were held back."""
        service_name, request, waiter = self.held.pop(at)
        self.is_holding_back = False
        self.acquire(service_name, request).chainDeferred(waiter)
        self.is_holding_back = True

    def release(self, permit, sample):
        self.released.append(str(sample.kind))

    def note_pause(self, upstream, pause_s):
        self.pauses.append((upstream.id, round(pause_s, 3)))

    def note_load_report(self, upstream_id, report):
        self.reports.append((upstream_id, report.running, report.slots))


class _Claims:
    """Answers each claim with the set status and keeps the recorded outcomes."""

    def __init__(self):
        self.status, self.answer = ClaimStatus.GRANTED, None
        self.claims, self.recorded = [], []
        self.record_waiter = None

    def claim(self, *claim):
        self.claims.append(claim)
        return succeed(ClaimDecision(self.status, "attempt-1", self.answer))

    def complete(self, attempt_id, outcome, answer):
        self.recorded.append((str(outcome), answer))
        return self.record_waiter or succeed(None)


class DataPath:
    """A data path between in-memory callers and in-memory upstreams."""

    def __init__(
        self,
        text=TEXT,
        upstream_count=3,
        trusted=False,
        members=1,
        dialect=None,
        **limits,
    ):
        self.reactor = MemoryReactorClock()
        listeners = ("listen", "service_listen", "peer_listen", "operator_listen")
        addresses = {name: f"127.0.0.1:{at}" for at, name in enumerate(listeners, 1)}
        urls = {
            "store_url": "http://127.0.0.1:5",
            "host_list_url": "http://127.0.0.1:6",
        }
        settings = Settings(member_id="g", zone="Huye", **addresses, **urls, **limits)
        self.upstreams = [
            Upstream(f"desk-{i}", "desk", f"127.0.0.{i}:80", "Huye", 3)
            for i in range(1, upstream_count + 1)
        ]
        self.permits = _Permits(self.upstreams)
        self.claims = _Claims()
        self.collaborators = Mock()
        self.collaborators.active.return_value = new_text(text)
        self.collaborators.members_by_id.return_value = {
            str(i): Member(str(i), "127.0.0.1:1", "Huye", 1) for i in range(members)
        }
        self.collaborators.upstreams_by_id.return_value = {
            each.id: each for each in self.upstreams
        }
        self.log_stream = io.BytesIO()
        self.log = DecisionLog(self.reactor, "info", self.log_stream)
        self.handler = CallHandler(
            self.reactor,
            settings,
            self.collaborators,
            self.permits,
            self.claims,
            *[self.collaborators] * 3,
            random.Random(5),
            self.log,
            Metrics(self.reactor),
            dialect,
        )
        self.factory = CallerServerFactory(self.handler, settings, trusted)
        self.upstream_transports = []
        self.refused_hosts = set()
        self._seen_clients = 0

    def connect_caller(self):
        """Return the transport of a new caller's connection."""
        return _Transport(self.reactor, self.factory.buildProtocol(None))

    def settle(self, seconds=0):
        """Advance the clock, then run the calls that are due."""
        self.reactor.advance(seconds)
        for _ in range(20):
            self.reactor.advance(0)
            while self._seen_clients < len(self.reactor.tcpClients):
                host, _, factory, *_ = self.reactor.tcpClients[self._seen_clients]
                self._seen_clients += 1
                if host in self.refused_hosts:
                    factory.clientConnectionFailed(None, Failure(RefusedError()))
                    continue
                connection = factory.buildProtocol(None)
                transport = _Transport(self.reactor, connection, host)
                self.upstream_transports.append(transport)

    def send(self, transport, data):
        """Deliver bytes to one end of the data path and run the calls that are due."""
        transport.receive(data)
        self.settle()

    def waiting(self):
        """Return the upstream connections with an unanswered request."""
        return [found for found in self.upstream_transports if found.value()]

    def answer(self, transport, data):
        """Deliver bytes of an upstream and run the calls that are due."""
        transport.clear()
        self.send(transport, data)

    def log_lines(self):
        """Return the log lines so far."""
        self.log.flush()
        return [json.loads(line) for line in self.log_stream.getvalue().splitlines()]


def split_answers(data):
    """Return the status, headers and body of each answer that has a length."""
    answers = []
    while data:
        head, _, data = data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value
            for name, _, value in (line.partition(": ") for line in lines)
        }
        length = int(headers.get("content-length", 0))
        answers.append((int(first.split()[1]), headers, data[:length]))
        data = data[length:]
    return answers
