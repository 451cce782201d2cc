"""The answer to one request of a caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol as Contract

from banyanshelf_daemon.http_message import Answer, Header, Request, serialize_head

if TYPE_CHECKING:
    from banyanshelf_daemon.caller_connection import CallerConnection


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
        self._release_memory: Callable[[], None] = _release_nothing
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

    def disconnected(self, release_memory: Callable[[], None]) -> None:
        """Handle the loss of the caller's connection.

        ``release_memory`` returns the memory of the request once the call has ended.
        """
        self._connection = None
        self.producer = None
        self._continues_without_caller = (
            self.call is not None and self.call.caller_disconnected()
        )
        if self._continues_without_caller:
            self._release_memory = release_memory
        else:
            release_memory()
            self._factory.call_finished()

    def call_ended(self) -> None:
        """Count the end of a call that continued after its caller had disconnected."""
        if self._continues_without_caller:
            self._continues_without_caller = False
            self._release_memory()
            self._factory.call_finished()

    def _must_close(self, connection: CallerConnection) -> bool:
        return (
            not self._request.keep_alive
            or connection.has_dropped_requests
            or connection.factory.closes_connections
        )

    def _end(self, connection: CallerConnection, close: bool) -> None:
        self._connection = None
        # The call refers to this exchange; without the reference cycle, both are freed
        # at once rather than by the garbage collector.
        self.call = None
        self.producer = None
        connection.exchange_finished(close=close)


def _release_nothing() -> None:
    """Return no memory."""
