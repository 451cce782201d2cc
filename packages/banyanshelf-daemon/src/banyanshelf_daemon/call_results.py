"""Ends a call: with an upstream's answer, an error answer or a long answer's relay."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure as DeferredFailure

from banyanshelf_core.call_messages import ClaimOutcome
from banyanshelf_core.crash_guard import shows_completed_run
from banyanshelf_core.errors import UpstreamError
from banyanshelf_core.model import AnswerKind, Outcome
from banyanshelf_daemon.answer_relay import AnswerRelay
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.call_base import CallState
from banyanshelf_daemon.dialect import Refusal
from banyanshelf_daemon.http_message import Answer, AnswerHead

# A caller that tries again is sent to another gateway by then.
SHUTDOWN_RETRY_AFTER_S = 0.1
# Told to callers if nothing better is known.
DEFAULT_RETRY_AFTER_S = 1.0
# A rejected caller may return after this share of the time to its target, which leaves
# most of it for the answer.
RETURN_SHARE_OF_TARGET = 1 / 8


class ResolvableCall(CallState):
    """A call that ends exactly once.

    At its end it has no attempt, permit request or timer left. With a long answer it
    ends as the answer begins, and an :class:`AnswerRelay` takes its place.
    """

    def finish(self, answer: Answer, attempt: Attempt | None = None) -> None:
        """Forward the answer of an upstream as the result of the call."""
        if not self._end():
            return
        headers = self.caller_headers(answer.headers)
        if attempt is not None:
            self.report_metrics(answer.status, attempt.service_time_s)
        self.log_outcome(answer.status, attempt)
        self.conclude(
            Answer(answer.status, headers, answer.body), ClaimOutcome.COMPLETED
        )

    def finish_problem(
        self,
        status: int,
        detail: str,
        error: str,
        retry_after_s: float | None = None,
        attempts_end_as: AnswerKind = AnswerKind.CANCELLED,
    ) -> None:
        """Answer with problem details that tell whether the request may have run."""
        self._may_have_run = self._is_sent()
        if self.is_over:
            return
        self._note_silent_attempts()
        self._end(attempts_end_as)
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        self.report_metrics(status, 0.0)
        self.log_outcome(status, None, outcome=outcome.value, detail=detail)
        answer = self.services.dialect.refusal(
            Refusal(status, detail, outcome, error, retry_after_s, self.request_id)
        )
        self.conclude(
            answer,
            ClaimOutcome.UNKNOWN if self._may_have_run else ClaimOutcome.RELEASED,
        )

    def conclude(self, answer: Answer, outcome: ClaimOutcome) -> None:
        """Send the final answer; a claimed call records its outcome first."""
        self.exchange.answer(answer)
        self.exchange.call_ended()

    def internal_error(self, failure: DeferredFailure) -> None:
        """Answer 500 after an unexpected exception instead of at the deadline."""
        self.services.log.warning(
            "internal_error",
            request_id=self.request_id,
            detail=failure.getTraceback(),
        )
        self.finish_problem(500, "internal error", "proxy_internal_error")

    def expire(self) -> None:
        """Cancel the attempts and answer 504 at the deadline."""
        self.finish_problem(
            504,
            "no answer within the time limit",
            "http_response_timeout",
            1.0,
            AnswerKind.TIMEOUT,
        )

    def end_by_shutdown(self) -> None:
        """Answer 503, with the known outcome, as this gateway is shutting down."""
        self.finish_problem(
            503,
            "this gateway is shutting down",
            "destination_unavailable",
            SHUTDOWN_RETRY_AFTER_S,
        )

    def relay(self, attempt: Attempt, head: AnswerHead) -> AnswerRelay:
        """End the call and pass the long answer of an attempt on in its place."""
        self._may_have_run = True
        self._end()
        relay = self.new_relay(attempt, head)
        relay.begin(self.caller_headers(head.headers))
        return relay

    def new_relay(self, attempt: Attempt, head: AnswerHead) -> AnswerRelay:
        """Return the relay of a long answer."""
        return AnswerRelay(self, attempt, head)

    # What the relay of a long answer needs

    def call_later(self, at: float, function: Callable[[], None]) -> Any:
        """Call a function at a time of the reactor clock; return the timer."""
        delay_s = max(0.0, at - self.now())
        return self.services.reactor.callLater(delay_s, function)

    def continues_without_caller(self) -> bool:
        """Whether the upstream's run must not be interrupted."""
        return not self.route.idempotent

    def relay_ended(self, attempt: Attempt, head: AnswerHead) -> None:
        """Report a long answer that is complete."""
        self.report_metrics(head.status, 0.0)
        self.log_outcome(head.status, attempt)
        self.clear_crash_marks(head.status)

    def relay_cut(
        self, attempt: Attempt, error: UpstreamError, *, by_upstream: bool
    ) -> None:
        """Report a long answer that was cut off."""
        if by_upstream:
            self.services.attempt_cut(
                attempt.permit.upstream.id, self.fingerprint(), self.request_id
            )
        self.services.log.warning(
            "answer_cut", request_id=self.request_id, detail=str(error)
        )

    def clear_crash_marks(self, status: int) -> None:
        """Clear the marks of the request after an answer that shows a completed run."""
        crashes = self.services.crashes
        if crashes.guard.has_tracked_requests and shows_completed_run(status):
            crashes.record_answer(self.fingerprint(), self.request_id, status)

    def _note_silent_attempts(self) -> None:
        """Report attempts whose answers were due, as the call ends without one."""
        due_s = self._service_state.policy.slow_answer_s
        for attempt in self._attempts:
            if attempt.is_unanswered and self.now() - attempt.started >= due_s:
                self.services.attempt_silent(
                    attempt.permit.upstream,
                    self.fingerprint(),
                    self.request_id,
                    attempt.started,
                )

    def _is_replaced(self, head: Answer | AnswerHead) -> bool:
        """Whether the caller gets an error answer of this gateway in its place."""
        return self.says_not_run(
            head
        ) or self.services.dialect.falsely_promises_not_run(head)

    def _finish_fallback(self, answer: Answer) -> None:
        if self.services.dialect.falsely_promises_not_run(answer):
            self.finish_problem(
                502,
                f"the upstream answered {answer.status} without stating that the "
                "request has not run",
                "http_response_incomplete",
            )
            return
        if not self.says_not_run(answer):
            self.finish(answer)
            return
        retry_after_s = self.services.retry_after_s(answer, "")
        self.finish_problem(
            503,
            "the upstream did not run the request",
            "destination_unavailable",
            self._early_return_s() if retry_after_s is None else retry_after_s,
        )

    def _early_return_s(self) -> float:
        """Return when a caller may come back that upstreams have rejected.

        Another upstream may have room at once, so that the answer can still come by the
        target. Callers are spread, as an upstream may reject many together.
        """
        left_s = min(self.target, self.deadline) - self.now()
        if left_s <= 0:
            return DEFAULT_RETRY_AFTER_S
        return min(
            DEFAULT_RETRY_AFTER_S,
            self.services.spread_return_s(RETURN_SHARE_OF_TARGET * left_s),
        )

    def _is_sent(self) -> bool:
        return self._may_have_run or any(attempt.is_sent for attempt in self._attempts)

    def _end(self, attempts_end_as: AnswerKind = AnswerKind.CANCELLED) -> bool:
        """Enter the final state; return False if it was entered before."""
        if self.is_over:
            return False
        self.is_over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for attempt in list(self._attempts):
            attempt.cancel(attempts_end_as)
        for pending in (self._pending_permit, self._pending_hedge_permit):
            if pending is not None:
                pending.cancel()
        return True
