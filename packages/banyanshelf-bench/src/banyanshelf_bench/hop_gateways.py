"""The processes of the hop benchmark: a backend and three gateways before it.

``klein`` proxies with a klein handler and a treq client, ``bare`` with Twisted
protocols and httptools only, ``banyanshelf`` with the daemon's data path, which logs
each decision and uses fakes that always grant permits.
"""

from __future__ import annotations

import gc
import io
import json
import os
import random
import resource
import signal
import sys
from typing import Any

import httptools
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from banyanshelf_core.call_messages import AnswerSample, ClaimOutcome, StoredAnswer
from banyanshelf_core.model import Member, Upstream
from banyanshelf_core.text import parse_text
from banyanshelf_daemon.call import CallHandler
from banyanshelf_daemon.caller_server import CallerServerFactory
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.interfaces import ActiveText, ClaimDecision, Permit
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.settings import Address, Settings

BODY = b"x" * 200
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b"
    % (len(BODY), BODY)
)

# The installed reactor is chosen at import time, which its module type cannot express.
reactor: Any = _reactor


class Backend(Protocol):
    """Answers each request at once."""

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the codec."""
        self.transport.setTcpNoDelay(True)
        self._parser = httptools.HttpRequestParser(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Answer (called by the codec)."""
        self.transport.write(ANSWER)


class BareUpstream(Protocol):
    """The client side of the bare hop: one call at a time."""

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the codec."""
        self.transport.setTcpNoDelay(True)
        self.caller: BareCaller | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse the answer."""
        self._parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        """Collect the body (called by the codec)."""
        self._body += data

    def on_message_complete(self) -> None:
        """Pass the answer on (called by the codec)."""
        body, self._body = self._body, b""
        caller, self.caller = self.caller, None
        if caller is not None:
            caller.answer(self, body)


class BareCaller(Protocol):
    """The server side of the bare hop."""

    factory: BareFactory

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the codec."""
        self.transport.setTcpNoDelay(True)
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._url = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests."""
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Note the target (called by the codec)."""
        self._url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the codec)."""
        self._headers.append((name, value))

    def on_message_complete(self) -> None:
        """Forward the request (called by the codec)."""
        lines = [self._parser.get_method(), b" ", self._url, b" HTTP/1.1\r\n"]
        lines += [b"%b: %b\r\n" % entry for entry in self._headers]
        self._headers = []
        lines.append(b"\r\n")
        upstream = self.factory.idle.pop()
        upstream.caller = self
        upstream.transport.write(b"".join(lines))

    def answer(self, upstream: BareUpstream, body: bytes) -> None:
        """Answer with the upstream's body."""
        self.factory.idle.append(upstream)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )


class BareFactory(Factory):
    """Opens its upstream connections at the start."""

    noisy = False
    protocol = BareCaller

    def __init__(self, backend_port: int) -> None:
        self.idle: list[BareUpstream] = []
        factory = self

        class Connector(ClientFactory):
            noisy = False

            def buildProtocol(self, _address: Any) -> BareUpstream:  # noqa: N802
                upstream = BareUpstream()
                factory.idle.append(upstream)
                return upstream

        for _ in range(4):
            reactor.connectTCP("127.0.0.1", backend_port, Connector())


class Fakes:
    """Neighbours of the data path that decide at once."""

    def __init__(self, backend_port: int) -> None:
        self._upstream = Upstream(
            "desk-1", "desk", f"127.0.0.1:{backend_port}", "Huye", 3
        )
        self._text = ActiveText(
            1, "digest", parse_text('[services.desk]\nhosts = ["desk.example"]\n')
        )

    def active(self) -> ActiveText:
        """Return the text in effect."""
        return self._text

    def on_change(self, handler: Any) -> None:
        """Ignore the handler."""

    on_members_change = on_upstreams_change = on_change
    on_link_change = on_self_removed = on_change

    def acquire(self, service_name: str, request: Any) -> Deferred[Permit]:
        """Grant a permit."""
        return succeed(Permit(self._upstream, 1, "idle_permit", 13))

    def release(self, permit: Permit, sample: AnswerSample) -> None:
        """Take a permit back."""

    def claim(self, *arguments: Any) -> Deferred[ClaimDecision]:
        """Refuse, as the benchmark sends no keys."""
        raise AssertionError("the benchmark sends no idempotency keys")

    def complete(
        self, attempt_id: str, outcome: ClaimOutcome, answer: StoredAnswer | None
    ) -> Deferred[None]:
        """Accept an outcome."""
        return succeed(None)

    def upstreams_by_id(self, service_name: str) -> dict[str, Upstream]:
        """Return the upstream."""
        return {self._upstream.id: self._upstream}

    def report_leaving(self, upstream_id: str, reason: str) -> None:
        """Ignore the report."""

    def members_by_id(self) -> dict[str, Member]:
        """Return one member."""
        return {"gateway-1": Member("gateway-1", "127.0.0.1:1", "Huye", 1)}

    def send(self, member_id: str, message: Any) -> bool:
        """Drop the message."""
        return False

    def broadcast(self, message: Any) -> None:
        """Drop the message."""

    def subscribe(self, message_class: type[Any], handler: Any) -> None:
        """Ignore the handler."""


def banyanshelf_factory(backend_port: int) -> CallerServerFactory:
    """Build the data path with logging and metrics."""
    fakes = Fakes(backend_port)
    settings = Settings(
        member_id="gateway-1",
        zone="Huye",
        listen="127.0.0.1:1",
        service_listen="127.0.0.1:2",
        peer_listen="127.0.0.1:3",
        operator_listen="127.0.0.1:4",
        store_url="http://127.0.0.1:5",
        host_list_url="http://127.0.0.1:6",
    )
    log = DecisionLog(reactor, "info", io.FileIO(os.open(os.devnull, os.O_WRONLY), "w"))
    handler = CallHandler(
        reactor,
        settings,
        fakes,
        fakes,
        fakes,
        fakes,
        fakes,
        fakes,
        random.Random(1),
        log,
        # Nobody listens there; sending costs the same.
        Metrics(reactor, Address("127.0.0.1", 9), "gateway-1"),
    )
    return CallerServerFactory(handler, settings, trust_internal_headers=False)


def klein_factory(backend_port: int) -> Any:
    """Build the proxy of a klein handler and a treq client."""
    import treq
    from klein import Klein
    from twisted.web.client import HTTPConnectionPool
    from twisted.web.server import Site

    app = Klein()
    pool = HTTPConnectionPool(reactor)

    @app.route("/", branch=True)
    async def forward(request: Any) -> bytes:
        response = await treq.request(
            request.method.decode(),
            f"http://127.0.0.1:{backend_port}{request.uri.decode()}",
            headers={"host": "desk.example"},
            data=request.content.read() or None,
            pool=pool,
        )
        request.setResponseCode(response.code)
        body: bytes = await response.content()
        request.setHeader("Content-Length", str(len(body)))
        return body

    site = Site(app.resource())
    site.noisy = False
    # An access log line per call would be counted for this hop only.
    site.log = lambda _request: None
    return site


def run(kind: str, backend_port: int = 0) -> None:
    """Serve until SIGTERM, then print the CPU seconds since SIGUSR1 as JSON."""
    match kind:
        case "backend":
            factory: Any = Factory.forProtocol(Backend)
        case "bare":
            factory = BareFactory(backend_port)
        case "klein":
            factory = klein_factory(backend_port)
        case "banyanshelf":
            factory = banyanshelf_factory(backend_port)
        case _:
            raise ValueError(f"unknown kind {kind!r}")
    started = [0.0]

    def cpu_s() -> float:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_utime + usage.ru_stime

    def begin(_number: int, _frame: Any) -> None:
        started[0] = cpu_s()

    # Modules are never freed; without this, full collections visit them all.
    gc.freeze()
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    signal.signal(signal.SIGUSR1, begin)
    print(port.getHost().port, flush=True)
    reactor.run()
    print(json.dumps({"cpu_s": cpu_s() - started[0]}), flush=True)


if __name__ == "__main__":
    run(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 0)
