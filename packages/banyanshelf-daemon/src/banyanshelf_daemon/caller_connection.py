"""One connection of a caller, which serves one request at a time (HTTP/1.1)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from banyanshelf_core.errors import RequestError, RequestMemoryError
from banyanshelf_core.model import Outcome
from banyanshelf_core.request_memory import Holding
from banyanshelf_daemon.exchange import Exchange
from banyanshelf_daemon.http_message import serialize_head
from banyanshelf_daemon.problem import problem_answer
from banyanshelf_daemon.request_reader import RequestReader
from banyanshelf_daemon.socket_peek import has_unread_data

if TYPE_CHECKING:
    from banyanshelf_daemon.caller_server import CallerServerFactory

BODY_TIMEOUT_S = 30.0
SLOW_READER_TIMEOUT_S = 30.0
# Memory of a connection without a request.
CONNECTION_BYTES = 8 * 1024
# Further requests of a caller are read up to this size while it waits for an answer,
# as the end of the connection is only noticed behind them.
MAX_BACKLOG_BYTES = 64 * 1024
# A connection that is closed with unread bytes is reset, and the caller may lose the
# last answer. Up to these bounds, what still arrives is read and dropped.
LINGER_S = 2.0
LINGER_BYTES = 16 * 1024 * 1024
# Rank of connections that callers keep for their next requests; see displacement_rank.
KEPT_RANK = 2
# A request may be on its way on a connection that was used more recently.
MIN_UNUSED_S = 1.0
# Retry-After of requests that are refused for lack of memory or connections.
BUSY_RETRY_AFTER_S = 1.0


@implementer(IHalfCloseableProtocol)
class CallerConnection(Protocol):
    """One connection of a caller.

    Its memory is accounted as one holding, from the connection until the end of its
    last call. ``has_dropped_requests`` is true once requests behind the current one
    were dropped for lack of memory.
    """

    factory: CallerServerFactory

    def __init__(self, factory: CallerServerFactory) -> None:
        self.factory = factory
        self.is_write_paused = False
        self.has_dropped_requests = False
        self._reader = RequestReader(lambda: factory.limits)
        self._holding = Holding(self)
        self._backlog = bytearray()
        self._exchange: Exchange | None = None
        self._exchange_bytes = 0
        self._answer_count = 0
        self._is_serving = False
        self._is_closing = False
        self._is_lingering = False
        self._is_write_closed = False
        self._is_read_paused = False
        self._dropped_bytes = 0
        # Start of the present wait for the caller; the limits that apply to it are read
        # when it is checked, as they may change meanwhile.
        self._waits_since = 0.0
        self._closes_at = math.inf

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection, or refuse it if there are too many."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._waits_since = self.factory.now()
        if not self.factory.add(self):
            # It is not swept, so it does not wait for its caller either.
            self._write_refusal(RequestError(503, "too many connections"))
            self._close_at_once()
            return
        self._account_memory()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests and serve them in order."""
        if self._is_closing:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > LINGER_BYTES:
                self._end_close()
            return
        if self._exchange is None and not (
            self._reader.received or self.is_write_paused
        ):
            self._feed(data)
            self._serve()
            return
        if self.has_dropped_requests:
            return
        self._backlog += data
        self._account_memory()
        if len(self._backlog) >= MAX_BACKLOG_BYTES and not self._is_read_paused:
            self._is_read_paused = True
            self.transport.pauseProducing()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Handle the end of the caller's bytes like the loss of the connection."""
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close, as the kernel has all bytes to send."""
        self._is_write_closed = True
        self._closes_at = self.factory.now() + LINGER_S

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Notify the call in progress."""
        self._is_closing = True
        self.factory.remove(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.disconnected(self._release_memory)
        else:
            self._release_memory()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the answer, as the caller reads slowly (called by the transport)."""
        self.is_write_paused = True
        self._waits_since = self.factory.now()
        if self._exchange is not None and self._exchange.producer is not None:
            self._exchange.producer.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the answer (called by the transport)."""
        self.is_write_paused = False
        if self._exchange is None:
            self._waits_since = self.factory.now()
            self._serve()
        elif self._exchange.producer is not None:
            self._exchange.producer.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as ``connectionLost`` follows (called by the transport)."""

    def exchange_finished(self, *, close: bool) -> None:
        """Serve the next request after an answer."""
        self._exchange = None
        self._exchange_bytes = 0
        self._answer_count += 1
        if close:
            self.close()
        self.factory.call_finished()
        if self._is_closing:
            return
        # Reading may have been paused during the call, so the timeout starts anew.
        self._waits_since = self.factory.now()
        self._account_memory()
        if not self._is_serving:
            self._serve()

    def close(self) -> None:
        """Close once all bytes are sent and the caller has closed or sends no more."""
        if self._is_closing:
            return
        self._begin_close()
        self._is_lingering = True
        self.transport.loseWriteConnection()
        if self._is_read_paused:
            self._is_read_paused = False
            self.transport.resumeProducing()

    @property
    def is_lingering(self) -> bool:
        """Whether the caller may not have received the last answer yet."""
        return self._is_lingering

    @property
    def is_receiving(self) -> bool:
        """Whether a request has been received in part, read or not."""
        if self._is_closing:
            return False
        if self._backlog or not self._reader.is_idle:
            return True
        return has_unread_data(self.transport)

    def close_if_idle(self) -> None:
        """Close unless a request is being received or served."""
        if self._exchange is None and not self.is_receiving:
            self._close_at_once()

    def end_by_shutdown(self) -> None:
        """Answer the request that is being received or served."""
        call = None if self._exchange is None else self._exchange.call
        if call is not None:
            call.end_by_shutdown()
        elif self._exchange is None and self.is_receiving:
            self._refuse(RequestError(503, "this gateway is shutting down"))

    def displacement_rank(self) -> tuple[int, float] | None:
        """Return how soon this connection makes room for others, lowest first.

        Connections whose last answer has been sent come first, and those that callers
        keep for their next request last; None while a request is served or answered,
        or may be on its way.
        """
        if self._is_closing:
            return (0, self._closes_at) if self._is_write_closed else None
        if self._exchange is not None or self.is_write_paused:
            return None
        if self._reader.is_idle:
            rank = KEPT_RANK if self._answer_count else 1
            used_at = self._waits_since
        else:
            rank, used_at = 1, max(self._waits_since, self._holding.progressed_at)
        if self.factory.now() - used_at < MIN_UNUSED_S:
            return None
        return rank, used_at

    def displace(self) -> bool:
        """Make room for another connection, which needs the descriptor at once.

        Return False, and stay open, if more of a request has arrived meanwhile.
        """
        if not self._is_closing:
            if has_unread_data(self.transport):
                return False
            if not (self._reader.is_idle and self._answer_count):
                self._write_refusal(RequestError(503, "too many connections"))
                # The kernel must have the refusal before the connection is closed.
                self.transport.doWrite()
        self.transport.connectionLost(Failure(ConnectionDone()))
        return True

    def refuse_for_memory(self, detail: str) -> None:
        """Refuse the request that is being received, for lack of memory."""
        self._refuse(RequestError(503, detail))

    def check_deadline(self, now: float) -> None:
        """Close a connection that has been idle, or slow to send or read, too long."""
        if self._is_closing:
            if now >= self._closes_at:
                self._end_close()
            return
        waited_s = now - self._waits_since
        if self.is_write_paused:
            if waited_s >= SLOW_READER_TIMEOUT_S:
                self.transport.abortConnection()
        elif self._exchange is None and waited_s >= self._receive_timeout_s():
            if self._reader.is_idle:
                self._close_at_once()
            else:
                self._refuse(RequestError(408, "the request arrived too slowly"))

    def _receive_timeout_s(self) -> float:
        limits = self.factory.limits
        if self._reader.is_idle:
            return (
                limits.idle_timeout_s if self._answer_count else limits.head_timeout_s
            )
        return limits.head_timeout_s if self._reader.is_in_head else BODY_TIMEOUT_S

    def _feed(self, data: bytes) -> None:
        reader = self._reader
        was_idle, was_in_head = reader.is_idle, reader.is_in_head
        reader.feed(data)
        if reader.is_idle or was_idle or was_in_head != reader.is_in_head:
            self._waits_since = self.factory.now()
        self._account_memory()

    def _serve(self) -> None:
        # This is a loop, as recursion over a long pipeline of requests that are
        # answered at once would exceed the stack.
        self._is_serving = True
        reader = self._reader
        while self._exchange is None and not (self._is_closing or self.is_write_paused):
            if not reader.received:
                if reader.error is not None:
                    self._refuse(reader.error)
                    break
                if self._backlog:
                    data = bytes(self._backlog)
                    self._backlog.clear()
                    self._feed(data)
                    continue
                if reader.expects_continue:
                    reader.expects_continue = False
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                break
            request = reader.take()
            self._exchange_bytes = request.held_bytes
            exchange = self._exchange = Exchange(self, request)
            self.factory.call_started()
            self.factory.handler.start(
                request,
                exchange,
                trust_internal_headers=self.factory.trust_internal_headers,
            )
        self._is_serving = False
        if self._is_read_paused and not (self._backlog or self._is_closing):
            self._is_read_paused = False
            self.transport.resumeProducing()

    def _account_memory(self) -> None:
        """Account for what this connection holds, or refuse what does not fit."""
        reader = self._reader
        size = (
            CONNECTION_BYTES
            + len(self._backlog)
            + reader.held_bytes
            + self._exchange_bytes
        )
        is_receiving = not (reader.is_idle or reader.received or self._exchange)
        memory = self.factory.memory
        try:
            displaced = memory.resize(
                self._holding, size, self.factory.now(), is_receiving=is_receiving
            )
        except RequestMemoryError as error:
            if self._exchange is None:
                self.refuse_for_memory(str(error))
            else:
                # The current call goes on; the connection is closed behind its answer.
                self.has_dropped_requests = True
                self._backlog.clear()
            return
        for holding in displaced:
            holding.owner.refuse_for_memory(
                "the request arrived too slowly while memory was short"
            )

    def _release_memory(self) -> None:
        self.factory.memory.release(self._holding)

    def _refuse(self, error: RequestError) -> None:
        self._write_refusal(error)
        self.close()

    def _write_refusal(self, error: RequestError) -> None:
        self.factory.handler.refused(error.status, error.detail)
        answer = problem_answer(
            error.status,
            error.detail,
            Outcome.NOT_RUN,
            "http_request_error",
            retry_after_s=BUSY_RETRY_AFTER_S if error.status == 503 else None,
        )
        self.transport.write(
            serialize_head(answer.status, answer.headers, len(answer.body), close=True)
            + answer.body
        )

    def _close_at_once(self) -> None:
        """Close once all bytes are sent, without waiting for the caller."""
        if self._is_closing:
            return
        self._begin_close()
        self.transport.loseConnection()

    def _end_close(self) -> None:
        """Close without waiting for the caller any longer."""
        if self._is_write_closed:
            # An abort would discard what the kernel has not sent yet.
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def _begin_close(self) -> None:
        self._is_closing = True
        self._closes_at = self.factory.now() + SLOW_READER_TIMEOUT_S
        self._reader.discard()
        self._backlog.clear()
        self._release_memory()
        self.transport.unregisterProducer()
