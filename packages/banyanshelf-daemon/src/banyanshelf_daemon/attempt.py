"""One attempt of a call at one upstream."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.errors import UpstreamError, UpstreamRefusedError
from banyanshelf_core.model import AnswerKind
from banyanshelf_daemon.http_message import Answer, AnswerHead, AnswerRules
from banyanshelf_daemon.interfaces import Permit, PermitService
from banyanshelf_daemon.upstream_client import UpstreamConnection
from banyanshelf_daemon.upstream_pool import UpstreamPool

MAX_COLLECTED_BYTES = 256 * 1024
GATEWAY_TIMEOUT = 504


class AttemptOwner(Protocol):
    """The call that an attempt belongs to."""

    def now(self) -> float:
        """Return the time in seconds."""

    def says_not_run(self, head: AnswerHead) -> bool:
        """Whether the upstream states that it did not run the call."""

    def had_enough_time(self, attempt: Attempt) -> bool:
        """Whether an attempt began early enough to blame the upstream for a timeout."""

    def attempt_head_received(self, attempt: Attempt, head: AnswerHead) -> None:
        """Take the head of an answer."""

    def attempt_answered(self, attempt: Attempt, answer: Answer) -> None:
        """Take a whole answer."""

    def attempt_failed(self, attempt: Attempt, error: UpstreamError) -> None:
        """Take a failure; ``attempt.is_sent`` tells whether a byte may have left."""

    def stream_begun(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Decide whether a long answer is passed on; if not, it is cancelled."""

    def stream_data(self, data: bytes) -> None:
        """Take a part of a long answer."""

    def stream_ended(self) -> None:
        """Note that a long answer is whole."""

    def stream_cut(self, error: UpstreamError) -> None:
        """Note that a long answer has been cut."""


class Attempt:
    """Uses a permit to send a request, and gives the permit back exactly once."""

    def __init__(
        self,
        owner: AttemptOwner,
        permit: Permit,
        permits: PermitService,
        pool: UpstreamPool,
    ) -> None:
        self.permit = permit
        self.is_sent = False
        self.is_over = False
        self.is_streaming = False
        self.started = owner.now()
        self.service_time_s = 0.0
        self._owner = owner
        self._permits = permits
        self._pool = pool
        self._waiter: Deferred[UpstreamConnection] | None = None
        self._connection: UpstreamConnection | None = None
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._size = 0

    def start(
        self,
        data: bytes,
        *,
        is_head: bool,
        rules: AnswerRules | None = None,
    ) -> None:
        """Send the serialized request as soon as a connection is available."""
        connection = self._pool.take_idle_connection()
        if connection is not None:
            self._send(connection, data, is_head, rules)
            return
        self._waiter = self._pool.wait_for_connection()
        self._waiter.addCallback(self._send, data, is_head, rules)
        self._waiter.addErrback(self._refused)

    def cancel(self, kind: AnswerKind = AnswerKind.CANCELLED) -> None:
        """Give up; the connection is closed if the request has been sent."""
        if self.is_over:
            return
        self._release(kind)
        if self._connection is not None:
            self._connection.cancel()
        elif self._waiter is not None:
            self._waiter.cancel()

    def pause(self) -> None:
        """Stop reading the answer."""
        if self._connection is not None and not self.is_over:
            self._connection.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        if self._connection is not None and not self.is_over:
            self._connection.resume()

    def answer_begun(self, head: AnswerHead) -> None:
        """Note status and headers; a long answer is streamed from the start."""
        self._head = head
        self._owner.attempt_head_received(self, head)
        if head.length is not None and head.length > MAX_COLLECTED_BYTES:
            self._stream(head)

    def answer_data(self, data: bytes) -> None:
        """Collect or pass on a part of the body."""
        if self.is_streaming:
            self._owner.stream_data(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_COLLECTED_BYTES and self._head is not None:
            self._stream(self._head)

    def answer_complete(self) -> None:
        """Pass on a whole answer."""
        head = self._head
        if self.is_over or head is None:
            return
        if self._owner.says_not_run(head):
            kind = AnswerKind.SHED
        elif head.status < 500:
            kind = AnswerKind.ANSWERED
        else:
            kind = AnswerKind.ERROR
        self._release(kind)
        if self.is_streaming:
            self._owner.stream_ended()
            return
        body = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._owner.attempt_answered(self, Answer(head.status, head.headers, body))

    def answer_failed(self, error: UpstreamError) -> None:
        """Pass on a failure after the request was sent."""
        if self.is_over:
            return
        self._release(AnswerKind.CUT)
        if self.is_streaming:
            self._owner.stream_cut(error)
        else:
            self._owner.attempt_failed(self, error)

    def _ran_out_of_time(self, kind: AnswerKind) -> bool:
        """Whether the attempt failed because it began late.

        Counted as failures, such attempts ejected healthy upstreams under overload.
        """
        timed_out = kind == AnswerKind.TIMEOUT or (
            kind == AnswerKind.ERROR
            and self._head is not None
            and self._head.status == GATEWAY_TIMEOUT
        )
        return timed_out and not self._owner.had_enough_time(self)

    def _send(
        self,
        connection: UpstreamConnection,
        data: bytes,
        is_head: bool,
        rules: AnswerRules | None,
    ) -> None:
        self._waiter = None
        self._connection = connection
        self.is_sent = True
        connection.send(data, self, is_head=is_head, rules=rules)

    def _refused(self, failure: Failure) -> None:
        if self.is_over:
            return
        self._release(AnswerKind.REFUSED)
        error = failure.value
        if not isinstance(error, UpstreamError):
            error = UpstreamRefusedError(str(error))
        self._owner.attempt_failed(self, error)

    def _stream(self, head: AnswerHead) -> None:
        self.is_streaming = True
        parts, self._parts = self._parts, []
        if not self._owner.stream_begun(self, head):
            self.cancel()
            return
        for part in parts:
            self._owner.stream_data(part)

    def _release(self, kind: AnswerKind) -> None:
        self.is_over = True
        if self._ran_out_of_time(kind):
            kind = AnswerKind.CANCELLED
        self.service_time_s = self._owner.now() - self.started
        self._permits.release(
            self.permit,
            AnswerSample(
                self.permit.upstream.id,
                int(self.service_time_s * 1_000_000),
                kind,
            ),
        )
