"""HTTP/1.1 client connection to an upstream."""

from __future__ import annotations

from typing import Protocol as Contract

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from banyanshelf_core.errors import (
    UpstreamAnswerError,
    UpstreamCutError,
    UpstreamError,
)
from banyanshelf_daemon.http_message import (
    AnswerHead,
    AnswerRules,
    Header,
    header_value,
    keep_alive_timeout_s,
)
from banyanshelf_daemon.request_body import BLOCK_BYTES, BodySender, RequestBody

MAX_ANSWER_HEAD_BYTES = 64 * 1024
# Trailers, chunk sizes and their extensions, without any byte of the body between them.
MAX_FRAMING_BYTES = 64 * 1024
# RFC 9110, section 15; the parser accepts any three digits.
MIN_STATUS = 100
MAX_STATUS = 599
# Assumed for an upstream that announces no idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 60.0
# A connection is not used in the last fifth of its idle timeout: a request would still
# be on its way when the upstream closes the connection.
USABLE_SHARE_OF_IDLE_TIMEOUT = 0.8


class AnswerReceiver(Contract):
    """Receives one answer, up to ``answer_complete`` or ``answer_failed``."""

    def answer_begun(self, head: AnswerHead) -> None:
        """Handle the status and the headers."""

    def answer_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def answer_complete(self) -> None:
        """Handle the complete end of the answer."""

    def answer_failed(self, error: UpstreamError) -> None:
        """Handle an answer that was cut off or is malformed."""


class ConnectionOwner(Contract):
    """The pool that a connection belongs to."""

    def connection_free(self, connection: UpstreamConnection) -> None:
        """Reuse a connection that can carry another request."""

    def surplus_received(self) -> None:
        """Handle bytes that belong to no request."""

    def connection_lost(
        self, connection: UpstreamConnection, *, closed_by_upstream: bool
    ) -> None:
        """Remove a closed connection."""


class UpstreamConnection(Protocol):
    """Sends one request at a time and delivers its answer.

    An answer is complete only when its announced length or its last chunk has arrived.
    An answer without either cannot be distinguished from a truncated one and is
    refused, unless the rules let it end with the connection. An answer that names
    another request is skipped, and the connection is not reused. Neither is it after a
    statement that a request has not run, if that does not name the request: a copy of
    it would state the same of the next request.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._receiver: AnswerReceiver | None = None
        self._is_lost = False
        self._is_closing = False
        self._is_paused = False
        self.answer_count = 0
        self.idle_since = 0.0
        self.usable_idle_s = DEFAULT_IDLE_TIMEOUT_S

    def send(
        self,
        data: bytes,
        receiver: AnswerReceiver,
        *,
        is_head: bool,
        rules: AnswerRules | None = None,
        body: RequestBody | None = None,
    ) -> None:
        """Send a serialized head and a body; with ``is_head``, the answer has none."""
        self._receiver = receiver
        self._rules = rules
        self._is_for_other_request = False
        self._ends_with_connection = False
        self._is_head = is_head
        # Each answer has a new parser, so that no state is carried over.
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head: AnswerHead | None = None
        self._head_bytes = self._framing_bytes = 0
        self._body_parts: list[bytes] = []
        self._error = ""
        self._is_complete = False
        self._keeps_alive = False
        self._has_surplus_bytes = False
        self._is_interim = False
        self._received_bytes = 0
        self._sender: BodySender | None = None
        if body is None or len(body) <= BLOCK_BYTES:
            self.transport.write(data + body.to_bytes() if body else data)
            return
        self.transport.write(data)
        self._sender = BodySender(self.transport, body)
        self._sender.start()

    def cancel(self) -> None:
        """Cancel the current answer; the connection is closed."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._is_closing = True
        self.transport.abortConnection()

    @property
    def is_usable(self) -> bool:
        """Whether a request can be sent on this connection."""
        return self._receiver is None and not (self._is_lost or self._is_closing)

    def pause(self) -> None:
        """Pause reading, as the caller reads slowly."""
        if not (self._is_lost or self._is_paused):
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        if self._is_paused and not self._is_lost:
            self._is_paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the answer."""
        receiver = self._receiver
        if receiver is None:
            # No request is in progress, so these bytes belong to no caller.
            if not self._is_closing:
                self._owner.surplus_received()
            self.close()
            return
        self._received_bytes += len(data)
        had_head = self._head is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_complete:
                self._has_surplus_bytes = True
            else:
                cause = error.__context__ or error
                self._error = self._error or f"malformed answer: {cause}"
        self._check_framing(len(data))
        if self._error:
            self._fail(self._error)
            return
        if self._head is not None and not had_head:
            receiver.answer_begun(self._head)
        if self._body_parts and self._receiver is receiver:
            parts, self._body_parts = self._body_parts, []
            receiver.answer_data(parts[0] if len(parts) == 1 else b"".join(parts))
        if self._is_complete and self._receiver is receiver:
            self._finish(receiver)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report an answer that was cut off, or the end of one without a length."""
        self._is_lost = True
        receiver, self._receiver = self._receiver, None
        ended = (
            receiver is not None
            and self._ends_with_connection
            and reason.check(ConnectionDone) is not None
        )
        self._owner.connection_lost(
            self, closed_by_upstream=not (self._is_closing or ended)
        )
        if receiver is None:
            return
        if ended:
            self.answer_count += 1
            receiver.answer_complete()
            return
        if self.answer_count and not self._received_bytes:
            detail = "the upstream closed a kept connection before it answered"
        else:
            detail = f"the upstream cut its answer after {self._received_bytes} bytes"
        receiver.answer_failed(UpstreamCutError(detail))

    def on_message_begin(self) -> None:
        """Detect bytes after the answer (called by httptools)."""
        if self._is_complete:
            self._has_surplus_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or drop a trailer (called by httptools)."""
        if self._head is None:
            self._headers.append((name.lower(), name, value))

    def on_headers_complete(self) -> None:
        """Check how the body is delimited (called by httptools)."""
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        _check_status(status)
        if status < 200:
            self._is_interim = True
            self._headers = []
            return
        if self._names_other_request():
            self._is_for_other_request = self._has_surplus_bytes = True
            self._headers = []
            return
        self._check_origin(status)
        length: int | None = None
        is_chunked = False
        for lower, _, value in self._headers:
            if lower == b"content-length":
                length = int(value)
            elif lower == b"transfer-encoding":
                # httptools treats a repeated coding as a single one.
                if is_chunked or value.lower() != b"chunked":
                    raise ValueError("the answer has an unknown transfer coding")
                is_chunked = True
        if self._is_head or status in (204, 304):
            self._head = AnswerHead(status, self._headers, -1)
            # httptools does not know that an answer to HEAD has no body, so it cannot
            # find the start of the next answer.
            self._is_complete = self._is_head
            return
        if length is None and not is_chunked:
            if self._rules is None or not self._rules.may_end_with_connection:
                raise ValueError("the answer has neither a length nor chunks")
            self._ends_with_connection = True
        self._head = AnswerHead(status, self._headers, length)

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body (called by httptools)."""
        if self._is_for_other_request:
            return
        if self._is_interim:
            # It would become the beginning of the answer's body.
            raise ValueError("an interim answer has a body")
        if self._is_complete:
            self._has_surplus_bytes = True
            return
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Handle the end of the answer (called by httptools)."""
        if self._is_interim or self._is_for_other_request:
            self._is_interim = self._is_for_other_request = False
            return
        if self._ends_with_connection:
            return
        self._is_complete = True
        # httptools resets how the answer was delimited after this callback.
        self._keeps_alive = self._parser.should_keep_alive()

    def _check_framing(self, size: int) -> None:
        """Limit what is not part of a body, as it may come without end."""
        if self._head is None:
            self._head_bytes += size
            if self._head_bytes > MAX_ANSWER_HEAD_BYTES:
                self._error = "the answer's head is too long"
        elif self._body_parts or self._is_complete:
            self._framing_bytes = 0
        else:
            self._framing_bytes += size
            if self._framing_bytes > MAX_FRAMING_BYTES:
                self._error = "the answer's chunk sizes or trailers are too long"

    def _names_other_request(self) -> bool:
        return self._rules is not None and self._rules.names_other_request(
            self._headers
        )

    def _check_origin(self, status: int) -> None:
        rules = self._rules
        if rules is None or not rules.proof_field or not 200 <= status < 300:
            return
        if header_value(self._headers, rules.proof_field) is None:
            raise ValueError("the answer has no proof of its origin")

    def _has_unnamed_refusal(self) -> bool:
        """Whether a copy of the answer would say "not run" of any request."""
        head, rules = self._head, self._rules
        if head is None or rules is None or rules.names_request(head.headers):
            return False
        return rules.says_not_run(head)

    def _finish(self, receiver: AnswerReceiver) -> None:
        self._receiver = None
        self.answer_count += 1
        reusable = self._keeps_alive and not (
            self._has_surplus_bytes
            or self._has_unnamed_refusal()
            or (self._sender is not None and not self._sender.is_done)
        )
        if self._has_surplus_bytes:
            self._owner.surplus_received()
        if reusable and not self._is_lost:
            idle_s = keep_alive_timeout_s(self._headers)
            if idle_s is not None:
                self.usable_idle_s = USABLE_SHARE_OF_IDLE_TIMEOUT * idle_s
            self.resume()
            self._owner.connection_free(self)
        else:
            self.close()
        receiver.answer_complete()

    def _fail(self, detail: str) -> None:
        receiver, self._receiver = self._receiver, None
        self.close()
        if receiver is not None:
            receiver.answer_failed(UpstreamAnswerError(detail))


def _check_status(status: int) -> None:
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise ValueError(f"the answer has no HTTP status: {status:03d}")
    if status == 101:
        raise ValueError("the upstream switched protocols")
