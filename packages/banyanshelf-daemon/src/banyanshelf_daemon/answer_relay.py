"""Passes a long answer on to the caller while its upstream is still sending it."""

from __future__ import annotations

from typing import Any, Protocol

from banyanshelf_core.errors import UpstreamAnswerError, UpstreamError
from banyanshelf_core.model import AnswerKind
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.exchange import Exchange
from banyanshelf_daemon.http_message import AnswerHead


class RelayedCall(Protocol):
    """The call whose answer is passed on; it is over when the relay begins."""

    exchange: Exchange
    deadline: float

    def now(self) -> float:
        """Return the time in seconds."""

    def call_later(self, at: float, function: Any) -> Any:
        """Call a function at a time of the call's clock; return the timer."""

    def continues_without_caller(self) -> bool:
        """Whether the upstream's run is not to be interrupted."""

    def relay_ended(self, attempt: Attempt, head: AnswerHead) -> None:
        """Report a complete answer."""

    def relay_cut(
        self, attempt: Attempt, error: UpstreamError, *, by_upstream: bool
    ) -> None:
        """Report an answer that was cut off."""


class AnswerRelay:
    """Takes the place of a call from the first byte of a long answer to its end.

    The call has no attempt, timer or permit request of its own any more, so nothing but
    the bytes of this one answer can reach the caller. The relay ends once: with the
    complete answer, or by cutting the caller's connection when the upstream breaks off,
    at the deadline or at the end of a shutdown.

    Example:
        ``AnswerRelay(call, attempt, head).begin(headers)`` sends the head; the attempt
        then calls ``write`` for each part and ``end`` or ``cut``.

    """

    def __init__(self, call: RelayedCall, attempt: Attempt, head: AnswerHead) -> None:
        self._call = call
        self._attempt = attempt
        self._head = head
        self._exchange = call.exchange
        self._timer: Any = None
        self._is_over = False

    def begin(self, headers: list[Any]) -> None:
        """Send the head, and represent the call from now on."""
        head = self._head
        self._exchange.call = self
        self._timer = self._call.call_later(self._call.deadline, self._expire)
        self._exchange.begin(head.status, headers, head.length, self._attempt)

    def write(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self._is_over:
            self._exchange.write(data)

    def end(self) -> None:
        """Finish the answer, which is complete."""
        if self._finish():
            self._call.relay_ended(self._attempt, self._head)
            self._conclude()

    def cut(self, error: UpstreamError) -> None:
        """Handle an upstream that broke off or sent bytes that are no answer."""
        is_crash = not isinstance(error, UpstreamAnswerError)
        self._cut(error, by_upstream=is_crash)

    def caller_disconnected(self) -> bool:
        """Cancel the answer unless its run must not be interrupted."""
        if self._is_over:
            return False
        if self._call.continues_without_caller():
            # The caller may have been too slow for its answer.
            self._attempt.resume()
            return True
        self._finish()
        self._attempt.cancel()
        return False

    def end_by_shutdown(self) -> None:
        """Cut the answer off, as the gateway is shutting down."""
        self._abandon(
            AnswerKind.CANCELLED, "the gateway shut down during a long answer"
        )

    def _expire(self) -> None:
        self._abandon(AnswerKind.TIMEOUT, "the deadline passed during a long answer")

    def _abandon(self, kind: AnswerKind, detail: str) -> None:
        self._attempt.cancel(kind)
        self._cut(UpstreamError(detail), by_upstream=False)

    def _cut(self, error: UpstreamError, *, by_upstream: bool) -> None:
        if self._finish():
            self._call.relay_cut(self._attempt, error, by_upstream=by_upstream)
            self._exchange.abort()
            self._exchange.call_ended()

    def _finish(self) -> bool:
        """Enter the final state; return False if it was entered before."""
        if self._is_over:
            return False
        self._is_over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return True

    def _conclude(self) -> None:
        self._exchange.finish()
        self._exchange.call_ended()
