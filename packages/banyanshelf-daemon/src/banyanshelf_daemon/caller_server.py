"""HTTP/1.1 server for callers; each connection serves one request at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple
from typing import Protocol as Contract

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from banyanshelf_core.errors import RequestError
from banyanshelf_core.model import Outcome
from banyanshelf_daemon.http_message import Answer, Header, Request, serialize_head
from banyanshelf_daemon.problem import problem_answer
from banyanshelf_daemon.request_reader import MAX_HEAD_BYTES, RequestReader
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.socket_peek import has_unread_data

BODY_TIMEOUT_S = 30.0
SLOW_READER_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 1.0


class CallerLimits(NamedTuple):
    """Limits on the size of requests, and on the time to send one or to be idle."""

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Producer(Contract):
    """The source of a streamed answer."""

    def pause(self) -> None:
        """Pause, as the caller reads too slowly."""

    def resume(self) -> None:
        """Resume."""


class ActiveCall(Contract):
    """A call in progress."""

    def caller_disconnected(self) -> bool:
        """Handle the loss of the caller's connection; return if the call continues."""

    def end_by_shutdown(self) -> None:
        """Answer the call with what is known, as the gateway is shutting down."""


class Handler(Contract):
    """Handles requests; see ``CallHandler``."""

    def start(
        self, request: Request, exchange: Exchange, *, trust_internal_headers: bool
    ) -> None:
        """Serve a request; ``exchange.call`` is set while the call is in progress."""

    def refused(self, status: int, detail: str) -> None:
        """Count a request that was refused before routing."""

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge with the metrics."""


class Exchange:
    """The answer to one request; its methods have no effect after the end.

    Either ``answer`` is called once, or ``begin``, then ``write`` any number of times,
    then ``finish`` or ``abort``.
    """

    def __init__(self, connection: CallerConnection, request: Request) -> None:
        self._connection: CallerConnection | None = connection
        self._request = request
        self._is_chunked = False
        self._factory = connection.factory
        self._continues_without_caller = False
        self.call: ActiveCall | None = None
        self.producer: Producer | None = None

    @property
    def is_over(self) -> bool:
        """Whether the answer has been sent or the connection is lost."""
        return self._connection is None

    def answer(self, answer: Answer) -> None:
        """Send a complete answer."""
        connection = self._connection
        if connection is None:
            return
        close = self._must_close(connection)
        length = len(answer.body)
        if self._request.method == "HEAD":
            # In an answer to HEAD, Content-Length describes the body of a GET, which
            # is not known here; none is sent.
            length = -1
        head = serialize_head(answer.status, answer.headers, length, close=close)
        connection.transport.write(head if length < 0 else head + answer.body)
        self._end(connection, close)

    def begin(
        self, status: int, headers: list[Header], length: int | None, producer: Producer
    ) -> None:
        """Send the head of a streamed answer."""
        connection = self._connection
        if connection is None:
            return
        self._is_chunked = length is None and not self._request.is_http_1_0
        if length is None and not self._is_chunked:
            length = -1
        self.producer = producer
        close = self._must_close(connection)
        connection.transport.write(serialize_head(status, headers, length, close=close))
        if connection.is_write_paused:
            producer.pause()

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._connection is None or not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.transport.write(data)

    def finish(self) -> None:
        """Finish a streamed answer that is complete."""
        connection = self._connection
        if connection is None:
            return
        if self._is_chunked:
            connection.transport.write(b"0\r\n\r\n")
        self._end(connection, self._must_close(connection))

    def abort(self) -> None:
        """Abort the connection, so that the caller sees the answer as truncated."""
        connection = self._connection
        if connection is not None:
            connection.transport.abortConnection()

    def disconnected(self) -> None:
        """Handle the loss of the caller's connection."""
        self._connection = None
        self.producer = None
        self._continues_without_caller = (
            self.call is not None and self.call.caller_disconnected()
        )
        if not self._continues_without_caller:
            self._factory.call_finished()

    def call_ended(self) -> None:
        """Count the end of a call that continued after its caller had disconnected."""
        if self._continues_without_caller:
            self._continues_without_caller = False
            self._factory.call_finished()

    def _must_close(self, connection: CallerConnection) -> bool:
        return not self._request.keep_alive or connection.factory.closes_connections

    def _end(self, connection: CallerConnection, close: bool) -> None:
        self._connection = None
        # The call refers to this exchange; without the reference cycle, both are freed
        # at once rather than by the garbage collector.
        self.call = None
        self.producer = None
        connection.exchange_finished(close=close)


class CallerConnection(Protocol):
    """One connection of a caller."""

    factory: CallerServerFactory

    def __init__(self, factory: CallerServerFactory) -> None:
        self.factory = factory
        self.is_write_paused = False
        self._reader = RequestReader(
            factory.limits.body_bytes, factory.limits.head_bytes
        )
        self._exchange: Exchange | None = None
        self._is_serving = False
        self._is_closing = False
        self._is_read_paused = False
        self._deadline = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection, or refuse it if there are too many."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._deadline = self.factory.now() + self.factory.limits.head_timeout_s
        if not self.factory.add(self):
            self._refuse(RequestError(503, "too many connections"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests and serve them in order."""
        if self._is_closing:
            return
        reader = self._reader
        was_idle = reader.is_idle
        was_in_head = reader.is_in_head
        reader.feed(data)
        if self._exchange is None:
            self._serve()
        if reader.is_idle:
            if self._exchange is None:
                self._deadline = self.factory.now() + self.factory.limits.idle_timeout_s
        elif was_idle or was_in_head != reader.is_in_head:
            self._deadline = self.factory.now() + self._receive_timeout_s()
        if reader.received and not self._is_read_paused:
            # Reading resumes when the queued requests have been served.
            self._is_read_paused = True
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Notify the call in progress."""
        self._is_closing = True
        self.factory.remove(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.disconnected()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the answer, as the caller reads slowly (called by the transport)."""
        self.is_write_paused = True
        self._deadline = self.factory.now() + SLOW_READER_TIMEOUT_S
        if self._exchange is not None and self._exchange.producer is not None:
            self._exchange.producer.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the answer (called by the transport)."""
        self.is_write_paused = False
        if self._exchange is None:
            self._deadline = self.factory.now() + self.factory.limits.idle_timeout_s
            self._serve()
        elif self._exchange.producer is not None:
            self._exchange.producer.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as ``connectionLost`` follows (called by the transport)."""

    def exchange_finished(self, *, close: bool) -> None:
        """Serve the next request after an answer."""
        self._exchange = None
        self.factory.call_finished()
        if close or self._is_closing:
            self.close()
            return
        # Reading may have been paused during the call, so the timeout starts anew.
        self._deadline = self.factory.now() + self._receive_timeout_s()
        if not self._is_serving:
            self._serve()

    def close(self) -> None:
        """Close the connection once all written bytes have been sent."""
        if not self._is_closing:
            self._is_closing = True
            self._deadline = self.factory.now() + SLOW_READER_TIMEOUT_S
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    @property
    def is_receiving(self) -> bool:
        """Whether a request has been received in part, read or not."""
        if self._is_closing:
            return False
        return not self._reader.is_idle or has_unread_data(self.transport)

    def close_if_idle(self) -> None:
        """Close unless a request is being received or served."""
        if self._exchange is None and not self.is_receiving:
            self.close()

    def end_by_shutdown(self) -> None:
        """Answer the request that is being received or served."""
        call = None if self._exchange is None else self._exchange.call
        if call is not None:
            call.end_by_shutdown()
        elif self._exchange is None and self.is_receiving:
            self._refuse(RequestError(503, "this gateway is shutting down"))

    def check_deadline(self, now: float) -> None:
        """Close a connection that has been idle, or slow to send or read, too long."""
        if now < self._deadline:
            return
        if self.is_write_paused or self._is_closing:
            self.transport.abortConnection()
        elif self._exchange is None:
            if self._reader.is_idle:
                self.close()
            else:
                self._refuse(RequestError(408, "the request arrived too slowly"))

    def _receive_timeout_s(self) -> float:
        if self._reader.is_idle:
            return self.factory.limits.idle_timeout_s
        if self._reader.is_in_head:
            return self.factory.limits.head_timeout_s
        return BODY_TIMEOUT_S

    def _serve(self) -> None:
        # This is a loop, as recursion over a long pipeline of requests that are
        # answered at once would exceed the stack.
        self._is_serving = True
        reader = self._reader
        while self._exchange is None and not (self._is_closing or self.is_write_paused):
            if not reader.received:
                if reader.error is not None:
                    self._refuse(reader.error)
                elif reader.expects_continue:
                    reader.expects_continue = False
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                break
            request = reader.received.popleft()
            exchange = self._exchange = Exchange(self, request)
            self.factory.call_started()
            self.factory.handler.start(
                request,
                exchange,
                trust_internal_headers=self.factory.trust_internal_headers,
            )
        self._is_serving = False
        if self._is_read_paused and not reader.received and not self._is_closing:
            self._is_read_paused = False
            self.transport.resumeProducing()

    def _refuse(self, error: RequestError) -> None:
        self.factory.handler.refused(error.status, error.detail)
        answer = problem_answer(
            error.status, error.detail, Outcome.NOT_RUN, "http_request_error"
        )
        self.transport.write(
            serialize_head(answer.status, answer.headers, len(answer.body), close=True)
            + answer.body
        )
        self.close()


class CallerServerFactory(Factory):
    """Accepts connections of callers, or of backend servers that call other services.

    Internal headers are trusted only on the listener for backend servers.
    """

    noisy = False

    def __init__(
        self, handler: Any, settings: Settings, trust_internal_headers: bool
    ) -> None:
        self.handler: Handler = handler
        self.settings = settings
        self.limits = CallerLimits(body_bytes=settings.max_body_bytes)
        self.trust_internal_headers = trust_internal_headers
        self.calls_in_progress = 0
        self.is_stopping = False
        # Whether answers ask callers to close their connections.
        self.closes_connections = False
        self.drained: Deferred[None] = Deferred()
        self._reactor = handler.reactor
        self._connections: set[CallerConnection] = set()
        self._sweep_call: Any = None
        listener = "services" if trust_internal_headers else "callers"
        self.handler.add_gauge(
            f"calls_in_progress.{listener}", lambda: self.calls_in_progress
        )

    def now(self) -> float:
        """Return the time in seconds."""
        return float(self._reactor.seconds())

    def buildProtocol(self, _address: Any) -> CallerConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return CallerConnection(self)

    def stop_accepting(self, *, closes_idle: bool = False) -> Deferred[None]:
        """Drain: close each connection after its current call.

        The result, also available as ``drained``, fires once no call is in progress
        and no request has been received in part. Idle connections are closed at that
        time, or immediately with ``closes_idle``.
        """
        if not self.is_stopping:
            self.is_stopping = self.closes_connections = True
            self._check_drained()
            if closes_idle:
                for connection in list(self._connections):
                    connection.close_if_idle()
        return self.drained

    def end_by_shutdown(self) -> None:
        """Answer all requests that are being received or served."""
        for connection in list(self._connections):
            connection.end_by_shutdown()

    def add(self, connection: CallerConnection) -> bool:
        """Add a connection; return False if there are too many."""
        if len(self._connections) >= self.settings.max_connections:
            return False
        self._connections.add(connection)
        if self._sweep_call is None:
            self._sweep_call = self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if self.is_stopping:
            self._check_drained()

    def call_started(self) -> None:
        """Count the start of a call."""
        self.calls_in_progress += 1

    def call_finished(self) -> None:
        """Count the end of a call."""
        self.calls_in_progress -= 1
        if self.is_stopping:
            self._check_drained()

    def _check_drained(self) -> None:
        if self.calls_in_progress or self.drained.called:
            return
        if any(connection.is_receiving for connection in self._connections):
            return
        self.drained.callback(None)
        for connection in list(self._connections):
            connection.close_if_idle()

    def _sweep(self) -> None:
        self._sweep_call = None
        now = self.now()
        for connection in list(self._connections):
            connection.check_deadline(now)
        if self._connections:
            self._sweep_call = self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
