"""Caller's connections: one call at a time, and checks of every answer."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256
from typing import Any, ClassVar, NamedTuple

import httptools
import msgspec
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol


class CallRequest(NamedTuple):
    """One call; ``due_at`` is when it should be sent, on the reactor's clock."""

    method: str
    path: str
    host: str
    token: str
    headers: dict[str, str]
    body: bytes
    due_at: float

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {self.host}",
            f"Echo-Token: {self.token}",
            *(f"{name}: {value}" for name, value in self.headers.items()),
        ]
        if self.body or self.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


class CallResult(NamedTuple):
    """How a call ended: its outcome, and the service time stated by the backend."""

    outcome: str
    service_us: int = 0
    detail: str = ""


class ProblemBody(msgspec.Struct):
    """The part of a problem answer that counts here."""

    outcome: str = ""
    detail: str = ""


Done = Callable[[CallResult], None]

# select() handles descriptors below 1024 only.
MAX_CONNECTIONS = 900


def judge(
    call: CallRequest, status: int, headers: dict[str, str], body: bytes
) -> CallResult:
    """Check a whole answer against its call."""
    if status != 200:
        return _judge_failure(call, status, headers, body)
    if headers.get("echo-token") != call.token:
        return CallResult("wrong", 0, f"token {headers.get('echo-token')!r}")
    if f'"echo_token":"{call.token}"'.encode() not in body:
        return CallResult("wrong", 0, "body of another call")
    if sha256(body).hexdigest() != headers.get("answer-digest"):
        return CallResult("wrong", 0, "digest of the body differs")
    return CallResult("ok", int(headers.get("service-time-us", "0")))


def _judge_failure(
    call: CallRequest, status: int, headers: dict[str, str], body: bytes
) -> CallResult:
    if headers.get("content-type") != "application/problem+json":
        # An error of the backend server itself, which echoes the token too.
        if headers.get("echo-token", call.token) != call.token:
            return CallResult("wrong", 0, f"token {headers.get('echo-token')!r}")
        return CallResult(f"status_{status}", 0, f"status {status}")
    try:
        problem = msgspec.json.decode(body, type=ProblemBody)
    except msgspec.MsgspecError as error:
        return CallResult("wrong", 0, f"malformed problem: {error}")
    detail = f"{status} {problem.outcome}: {problem.detail}"
    return CallResult(problem.outcome or f"status_{status}", 0, detail)


class CallerConnection(Protocol):
    """One persistent connection to a daemon or backend server."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._parser = httptools.HttpResponseParser(self)
        self._call: CallRequest | None = None
        self._done: Done | None = None
        self._timer: Any = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._received = False
        self._closing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Offer the connection to its pool."""
        self.transport.setTcpNoDelay(True)

    def send(self, call: CallRequest, timeout_s: float, done: Done) -> None:
        """Send a call; ``done`` gets its result."""
        self._call, self._done = call, done
        self._received = False
        self._timer = reactor.callLater(timeout_s, self._timed_out)
        self.transport.write(call.encode())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser."""
        self._received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(CallResult("wrong", 0, f"malformed answer: {error}"))
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self._headers = {}
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Judge the answer and go back to the pool."""
        self._closing = not self._parser.should_keep_alive()
        if self._call is None:
            self._pool.unexpected_answers += 1
            self.transport.abortConnection()
            return
        status = self._parser.get_status_code()
        result = judge(self._call, status, self._headers, b"".join(self._body))
        if self._closing:
            self.transport.loseConnection()
        self._finish(result)
        if not self._closing:
            self._pool.give_back(self)

    def _timed_out(self) -> None:
        self._finish(CallResult("timeout", 0, "no whole answer in time"))
        self.transport.abortConnection()

    def _finish(self, result: CallResult) -> None:
        done, self._done, self._call = self._done, None, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if done is not None:
            done(result)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report a call that was in progress as cut or lost."""
        self._pool.forget(self)
        outcome = "cut" if self._received else "lost"
        self._finish(CallResult(outcome, 0, "connection ended during the call"))


class _Connector(ClientFactory):
    noisy = False

    def __init__(
        self,
        pool: ConnectionPool,
        ready: Callable[[CallerConnection], None],
        failed: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._ready = ready
        self._failed = failed

    def buildProtocol(self, address: Any) -> CallerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        connection = CallerConnection(self._pool)
        # The transport exists only after this method has returned.
        reactor.callLater(0, self._ready, connection)
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._failed()


class ConnectionPool:
    """Persistent connections to one address, opened when none is idle.

    ``connections`` counts those of all pools.
    """

    connections: ClassVar[int] = 0

    def __init__(self, address: str, timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._timeout_s = timeout_s
        self._idle: list[CallerConnection] = []
        self.unexpected_answers = 0

    def send(self, call: CallRequest, done: Done, refused: Callable[[], None]) -> None:
        """Send a call; ``refused`` runs instead of ``done`` without a connection."""
        if self._idle:
            self._idle.pop().send(call, self._timeout_s, done)
            return
        if ConnectionPool.connections >= MAX_CONNECTIONS:
            done(CallResult("generator_limit", 0, "too many connections"))
            return
        ConnectionPool.connections += 1

        def ready(connection: CallerConnection) -> None:
            connection.send(call, self._timeout_s, done)

        def failed() -> None:
            ConnectionPool.connections -= 1
            refused()

        connector = _Connector(self, ready, failed)
        reactor.connectTCP(self._host, self._port, connector, timeout=self._timeout_s)

    def give_back(self, connection: CallerConnection) -> None:
        """Keep a connection for later calls."""
        self._idle.append(connection)

    def forget(self, connection: CallerConnection) -> None:
        """Drop a connection that has ended."""
        ConnectionPool.connections -= 1
        if connection in self._idle:
            self._idle.remove(connection)
