"""One attempt to run a call at one upstream."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.errors import UpstreamError, UpstreamRefusedError
from banyanshelf_core.model import AnswerKind
from banyanshelf_daemon.http_message import Answer, AnswerHead, AnswerRules
from banyanshelf_daemon.interfaces import Permit, PermitService
from banyanshelf_daemon.request_body import RequestBody
from banyanshelf_daemon.upstream_client import UpstreamConnection
from banyanshelf_daemon.upstream_pool import UpstreamPool

MAX_COLLECTED_BYTES = 256 * 1024
GATEWAY_TIMEOUT = 504


class LongAnswerReceiver(Protocol):
    """Receives the body of a long answer, up to ``end`` or ``cut``."""

    def write(self, data: bytes) -> None:
        """Handle a part of the body."""

    def end(self) -> None:
        """Handle the complete end of the answer."""

    def cut(self, error: UpstreamError) -> None:
        """Handle an answer that was cut off before its end."""


class AttemptOwner(Protocol):
    """The call that an attempt belongs to."""

    def now(self) -> float:
        """Return the time in seconds."""

    def says_not_run(self, head: AnswerHead) -> bool:
        """Whether the upstream states that it did not run the call."""

    def had_enough_time(self, attempt: Attempt) -> bool:
        """Whether the attempt had enough time to blame the upstream for a timeout."""

    def attempt_head_received(self, attempt: Attempt, head: AnswerHead) -> None:
        """Handle the head of an answer."""

    def attempt_answered(self, attempt: Attempt, answer: Answer) -> None:
        """Handle a complete answer."""

    def attempt_failed(self, attempt: Attempt, error: UpstreamError) -> None:
        """Handle a failure; with ``attempt.is_sent``, the upstream may have run it."""

    def long_answer_begun(
        self, attempt: Attempt, head: AnswerHead
    ) -> LongAnswerReceiver | None:
        """Take over an answer that is too long to buffer.

        Return None if it is not the result of the call; it is cancelled then.
        """


class Attempt:
    """Sends a request with a permit, which is released exactly once."""

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
        self._long_answer: LongAnswerReceiver | None = None

    @property
    def is_unanswered(self) -> bool:
        """Whether the request was sent and no head of an answer has arrived."""
        return self.is_sent and self._head is None

    def start(
        self,
        data: bytes,
        *,
        is_head: bool,
        rules: AnswerRules,
        body: RequestBody,
    ) -> None:
        """Send the serialized head and the body once a connection is available."""
        connection = self._pool.take_idle_connection()
        if connection is not None:
            self._send(connection, data, is_head, rules, body)
            return
        self._waiter = self._pool.wait_for_connection()
        self._waiter.addCallback(self._send, data, is_head, rules, body)
        self._waiter.addErrback(self._connection_refused)

    def cancel(self, kind: AnswerKind = AnswerKind.CANCELLED) -> None:
        """Cancel the attempt; its connection is closed if the request was sent."""
        if self.is_over:
            return
        self._release(kind)
        if self._connection is not None:
            self._connection.cancel()
        elif self._waiter is not None:
            self._waiter.cancel()

    def pause(self) -> None:
        """Pause reading the answer."""
        if self._connection is not None and not self.is_over:
            self._connection.pause()

    def resume(self) -> None:
        """Resume reading the answer."""
        if self._connection is not None and not self.is_over:
            self._connection.resume()

    def answer_begun(self, head: AnswerHead) -> None:
        """Handle the head; an answer too long to buffer is handed over at once."""
        self._head = head
        self._owner.attempt_head_received(self, head)
        if head.length is not None and head.length > MAX_COLLECTED_BYTES:
            self._hand_over(head)

    def answer_data(self, data: bytes) -> None:
        """Buffer a part of the body, or pass it on if the answer is long."""
        if self._long_answer is not None:
            self._long_answer.write(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_COLLECTED_BYTES and self._head is not None:
            self._hand_over(self._head)

    def answer_complete(self) -> None:
        """Release the permit and report a complete answer."""
        head = self._head
        if self.is_over or head is None:
            return
        self._release(self._kind_of(head))
        if self._long_answer is not None:
            self._long_answer.end()
            return
        body = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._owner.attempt_answered(self, Answer(head.status, head.headers, body))

    def answer_failed(self, error: UpstreamError) -> None:
        """Release the permit and report a failure after the request was sent."""
        if self.is_over:
            return
        self._release(AnswerKind.CUT)
        if self._long_answer is not None:
            self._long_answer.cut(error)
        else:
            self._owner.attempt_failed(self, error)

    def _lacked_time(self, kind: AnswerKind) -> bool:
        """Whether the attempt timed out because it began too late.

        Such attempts are not counted as failures; under overload, that would eject
        healthy upstreams.
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
        rules: AnswerRules,
        body: RequestBody,
    ) -> None:
        self._waiter = None
        self._connection = connection
        self.is_sent = True
        connection.send(data, self, is_head=is_head, rules=rules, body=body)

    def _connection_refused(self, failure: Failure) -> None:
        if self.is_over:
            return
        self._release(AnswerKind.REFUSED)
        error = failure.value
        if not isinstance(error, UpstreamError):
            error = UpstreamRefusedError(str(error))
        self._owner.attempt_failed(self, error)

    def _hand_over(self, head: AnswerHead) -> None:
        if self.is_over:
            return
        self._long_answer = self._owner.long_answer_begun(self, head)
        if self._long_answer is None:
            self.cancel(self._kind_of(head))
            return
        parts, self._parts = self._parts, []
        for part in parts:
            self._long_answer.write(part)

    def _kind_of(self, head: AnswerHead) -> AnswerKind:
        if self._owner.says_not_run(head):
            return AnswerKind.SHED
        return AnswerKind.ANSWERED if head.status < 500 else AnswerKind.ERROR

    def _release(self, kind: AnswerKind) -> None:
        self.is_over = True
        if self._lacked_time(kind):
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
