"""Runs a call: admission, sending, retries, a hedged attempt and the answer."""

from __future__ import annotations

import math

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure as DeferredFailure

from banyanshelf_core.call_messages import ClaimOutcome
from banyanshelf_core.crash_guard import shows_completed_run
from banyanshelf_core.errors import UpstreamAnswerError, UpstreamError
from banyanshelf_core.model import AnswerKind, Outcome
from banyanshelf_core.retry import RETRIED_STATUSES, Failure
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.call_base import DEADLINE_MARGIN_S, CallState
from banyanshelf_daemon.dialect import Refusal
from banyanshelf_daemon.http_message import Answer, AnswerHead, header_value
from banyanshelf_daemon.interfaces import NotAdmittedError, Permit
from banyanshelf_daemon.problem import PROXY_NAME

# A caller that tries again is sent to another gateway by then.
SHUTDOWN_RETRY_AFTER_S = 0.1
# Told to callers if nothing better is known.
DEFAULT_RETRY_AFTER_S = 1.0
# Start of the Proxy-Status value if the upstream relays the problem answer of another
# gateway, which has already used up its retries.
RELAYED_PROXY_STATUS = f"{PROXY_NAME}; error=".encode()


class RunningCall(CallState):
    """A call that is idempotent or has no idempotency key."""

    def run(self) -> None:
        """Start the first attempt."""
        self.services.metrics.count(self._service_state.count_metric)
        self._service_state.policy.note_call(self.started)
        if self.deadline - self.started <= DEADLINE_MARGIN_S:
            self.expire()
            return
        self.admit()
        self.arm_timer()

    def caller_disconnected(self) -> bool:
        """Cancel the call if that is safe; return whether it continues.

        A non-idempotent call whose request has been sent is not interrupted.
        """
        if not self.is_over and (self.route.idempotent or not self._is_sent()):
            self._end(AnswerKind.CANCELLED)
            self.services.log.event(
                "caller left",
                request_id=self.request_id,
                attempts=self._attempt_count,
                total_ms=round((self.now() - self.started) * 1000, 1),
            )
        return not self.is_over

    def arm_timer(self) -> None:
        """Set the timer to the time of the hedged attempt or to the deadline."""
        if self.is_over:
            return
        at = self.deadline if self._hedge_at is None else self._hedge_at
        delay_s = max(0.0, min(at, self.deadline) - self.now())
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self.services.reactor.callLater(delay_s, self._on_timer)

    def admit(self) -> None:
        """Acquire a permit for the next attempt."""
        if self._is_quarantined():
            return
        pending = self._pending_permit = self.acquire_permit(only_idle=False)
        pending.addCallbacks(self._admitted, self._not_admitted)
        pending.addErrback(self.internal_error)

    # Results of attempts

    def attempt_head_received(self, attempt: Attempt, head: AnswerHead) -> None:
        """Read the load and state signals in the head of an answer."""
        self.services.head_received(attempt.permit.upstream, head)

    def attempt_answered(self, attempt: Attempt, answer: Answer) -> None:
        """Handle a complete answer: forward it, or retry after an error."""
        self._attempts.remove(attempt)
        services = self.services
        not_run = self.says_not_run(answer)
        is_false_promise = services.dialect.falsely_promises_not_run(answer)
        if answer.status < 500 and not (not_run or is_false_promise):
            # Errors are left out: fast ones would shorten the hedge delay.
            self._service_state.policy.note_answer(attempt.service_time_s)
            self.clear_crash_marks(answer.status)
            self.finish(answer, attempt)
            return
        self._may_have_run = self._may_have_run or not not_run
        failure = Failure.NOT_RUN if not_run else Failure.ERROR
        status = header_value(answer.headers, b"proxy-status")
        if status is not None and RELAYED_PROXY_STATUS in status:
            failure = Failure.EXHAUSTED
        self._fallback_answer = answer
        is_retried = not_run or answer.status in RETRIED_STATUSES
        if is_retried and self._retry(failure):
            return
        if self._attempts or self._pending_hedge_permit is not None:
            return
        self._finish_fallback(answer)

    def attempt_failed(self, attempt: Attempt, error: UpstreamError) -> None:
        """Retry if that is safe, otherwise answer with an error."""
        self._attempts.remove(attempt)
        self._may_have_run = self._may_have_run or attempt.is_sent
        if attempt.is_sent and not isinstance(error, UpstreamAnswerError):
            self.services.attempt_cut(
                attempt.permit.upstream.id, self.fingerprint(), self.request_id
            )
        if self._retry(Failure.CUT if attempt.is_sent else Failure.NOT_SENT):
            return
        if self._attempts or self._pending_hedge_permit is not None:
            return
        if self._fallback_answer is not None:
            self._finish_fallback(self._fallback_answer)
            return
        kind = "connection_terminated" if attempt.is_sent else "connection_refused"
        self.finish_problem(502, str(error), kind)

    def stream_begun(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Start to stream a long answer and cancel the other attempts."""
        if self.is_over:
            return False
        self._attempts.remove(attempt)
        self._cancel_attempts(AnswerKind.CANCELLED)
        self._attempts.append(attempt)
        self._hedge_at = None
        self._may_have_run = True
        self._stream_head = head
        self.exchange.begin(
            head.status, self.caller_headers(head.headers), head.length, attempt
        )
        return True

    def stream_data(self, data: bytes) -> None:
        """Forward a part of a streamed answer."""
        self.exchange.write(data)

    def stream_ended(self) -> None:
        """Finish a streamed answer."""
        if self._stream_head is not None:
            self.report_metrics(self._stream_head.status, 0.0)
            self.clear_crash_marks(self._stream_head.status)
        self._end(AnswerKind.CANCELLED)
        self.exchange.finish()
        self.exchange.call_ended()

    def stream_cut(self, error: UpstreamError) -> None:
        """Abort the caller's connection, so that it sees the answer as truncated."""
        self._end(AnswerKind.CANCELLED)
        self.services.log.warning(
            "answer_cut", request_id=self.request_id, detail=str(error)
        )
        self.exchange.abort()
        self.exchange.call_ended()

    # Results of the call

    def finish(self, answer: Answer, attempt: Attempt | None = None) -> None:
        """Forward the answer of an upstream as the result of the call."""
        self._end(AnswerKind.CANCELLED)
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
    ) -> None:
        """Answer with problem details that tell whether the request may have run."""
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        self._end(AnswerKind.CANCELLED)
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
        if not self.is_over:
            self._may_have_run = self._is_sent()
            self.finish_problem(500, "internal error", "proxy_internal_error")

    # Steps

    def _admitted(self, permit: Permit) -> None:
        self._pending_permit = None
        # Crashes may have been noticed while the call waited.
        if self.is_over or self._is_quarantined():
            self.release_unused(permit)
            return
        if self._wants_no_requests(permit):
            self.release_unused(permit)
            self.admit()
            return
        hedge_delay_s = self._service_state.policy.hedge_delay_s(
            idempotent=self.route.idempotent, proposed_s=permit.hedge_after_s
        )
        if hedge_delay_s is not None and self._attempt_count == 0:
            self._hedge_at = self.now() + hedge_delay_s
            if self._timer is not None:
                self.arm_timer()
        self._send(permit, permit.reason)

    def _send(self, permit: Permit, reason: str) -> None:
        upstream = permit.upstream
        services = self.services
        services.log.decision(
            request_id=self.request_id,
            service=self.route.service_name,
            upstream=upstream.id,
            reason=reason,
            attempt=self._attempt_count + 1,
            candidates=permit.candidates,
            version=self.active.version,
            epoch=permit.epoch_number,
            **permit.basis,
        )
        self._used_upstreams |= {upstream.id}
        self._attempt_count += 1
        attempt = Attempt(self, permit, services.permits, services.pool_for(upstream))
        self._attempts.append(attempt)
        attempt.start(
            self.serialized_request(upstream.id),
            is_head=self.request.method == "HEAD",
            rules=services.dialect.answer_rules(self.request, self.request_id),
            body=self.request.body,
        )

    def _not_admitted(self, failure: DeferredFailure) -> None:
        self._pending_permit = None
        if self.is_over or failure.check(CancelledError):
            return
        if self._attempts or self._pending_hedge_permit is not None:
            return
        if self._fallback_answer is not None:
            self._finish_fallback(self._fallback_answer)
            return
        retry_after_s = DEFAULT_RETRY_AFTER_S
        if isinstance(failure.value, NotAdmittedError):
            retry_after_s = failure.value.retry_after_s
        if math.isfinite(self._shortest_pause_s):
            retry_after_s = self.services.spread_return_s(self._shortest_pause_s)
        self.finish_problem(
            503, str(failure.value), "destination_unavailable", retry_after_s
        )

    def _retry(self, failure: Failure) -> bool:
        if failure is Failure.CUT and self.services.crashes.is_suspect(
            self.fingerprint(), self.request_id, self._attempt_count
        ):
            return False
        is_allowed = self._service_state.policy.may_retry(
            failure,
            idempotent=self.route.idempotent,
            attempts=self._attempt_count,
            now=self.now(),
            max_attempts=self.route.max_attempts,
        )
        if not is_allowed or self._pending_permit is not None:
            return False
        self.services.metrics.count(self._service_state.retry_metric)
        self.admit()
        return True

    def _on_timer(self) -> None:
        self._timer = None
        if self._hedge_at is not None and self.now() < self.deadline:
            self._hedge_at = None
            self._start_hedge()
            self.arm_timer()
            return
        self.expire()

    def expire(self) -> None:
        """Cancel the attempts and answer 504 at the deadline."""
        if self._cancel_unanswered(
            AnswerKind.TIMEOUT, "the deadline passed during a long answer"
        ):
            self.finish_problem(
                504, "no answer within the time limit", "http_response_timeout", 1.0
            )

    def clear_crash_marks(self, status: int) -> None:
        """Clear the marks of the request after an answer that shows a completed run."""
        crashes = self.services.crashes
        if crashes.guard.has_tracked_requests and shows_completed_run(status):
            crashes.record_answer(self.fingerprint(), self.request_id, status)

    def end_by_shutdown(self) -> None:
        """Answer 503, with the known outcome, as this gateway is shutting down."""
        if self.is_over:
            return
        if self._cancel_unanswered(
            AnswerKind.CANCELLED, "the gateway shut down during a long answer"
        ):
            self.finish_problem(
                503,
                "this gateway is shutting down",
                "destination_unavailable",
                SHUTDOWN_RETRY_AFTER_S,
            )

    def _cancel_unanswered(self, kind: AnswerKind, detail: str) -> bool:
        """Cancel the attempts; return False after cutting off a streamed answer."""
        self._may_have_run = self._is_sent()
        is_streaming = any(attempt.is_streaming for attempt in self._attempts)
        self._cancel_attempts(kind)
        if is_streaming:
            self.stream_cut(UpstreamError(detail))
        return not is_streaming

    def answer_expected_late(self) -> None:
        """Start a hedged attempt if it may be answered in time."""
        if (
            self.is_over
            or self._pending_permit is not None
            or not self.route.service.hedge
        ):
            return
        if self._pending_hedge_permit is None:
            self._start_hedge()

    def _start_hedge(self) -> None:
        policy = self._service_state.policy
        limit = self.route.max_attempts or self.route.service.max_attempts
        if len(self._attempts) != 1 or self._attempt_count >= limit:
            return
        if not policy.may_hedge(self.now()):
            self._log_no_hedge("the retry budget is used up")
            return
        pending = self._pending_hedge_permit = self.acquire_permit(only_idle=True)
        pending.addCallbacks(self._hedge_admitted, self._hedge_not_admitted)
        pending.addErrback(self.internal_error)

    def _hedge_admitted(self, permit: Permit) -> None:
        self._pending_hedge_permit = None
        if self.is_over:
            self.release_unused(permit)
            return
        reason = ""
        if self._left_quarantine_s() is not None:
            reason = "the request has crashed upstreams"
        elif self._wants_no_requests(permit):
            reason = "the upstream wants no requests"
        if reason:
            self.release_unused(permit)
            self._service_state.policy.refund_hedge(self.now())
            self._log_no_hedge(reason)
            if not (self._attempts or self._pending_permit):
                self.admit()
            return
        self.services.metrics.count(self._service_state.hedge_metric)
        self._send(permit, "hedge")

    def _hedge_not_admitted(self, failure: DeferredFailure) -> None:
        self._pending_hedge_permit = None
        self._service_state.policy.refund_hedge(self.now())
        if not failure.check(CancelledError):
            self._log_no_hedge(failure.getErrorMessage())
        if not (self.is_over or self._attempts or self._pending_permit):
            self._not_admitted(failure)

    def _log_no_hedge(self, reason: str) -> None:
        if self._has_logged_no_hedge:
            return
        self._has_logged_no_hedge = True
        self.services.log.event(
            "no second attempt", request_id=self.request_id, reason=reason
        )

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
            DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s,
        )

    def _wants_no_requests(self, permit: Permit) -> bool:
        """Whether the upstream of a permit is in a pause; it is not tried again then.

        What chose the upstream may not know of the pause.
        """
        upstream = permit.upstream
        left_s = self.services.paused_for_s(upstream)
        if not left_s:
            return False
        self._used_upstreams |= {upstream.id}
        self._shortest_pause_s = min(self._shortest_pause_s, left_s)
        self.services.log.event(
            "upstream wants no requests",
            request_id=self.request_id,
            upstream=upstream.id,
            left_s=round(left_s, 3),
        )
        return True

    def _left_quarantine_s(self) -> float | None:
        crashes = self.services.crashes
        if not crashes.guard.has_tracked_requests:
            return None
        return crashes.refused_for_s(self.fingerprint(), self.request_id)

    def _is_quarantined(self) -> bool:
        refused_for_s = self._left_quarantine_s()
        if refused_for_s is None:
            return False
        self.finish_problem(
            503,
            "this request has crashed the servers that ran it; do not repeat it",
            "http_request_denied",
            refused_for_s,
        )
        return True

    def _is_sent(self) -> bool:
        return self._may_have_run or any(attempt.is_sent for attempt in self._attempts)

    def _cancel_attempts(self, kind: AnswerKind) -> None:
        for attempt in list(self._attempts):
            attempt.cancel(kind)
        for pending in (self._pending_permit, self._pending_hedge_permit):
            if pending is not None:
                pending.cancel()

    def _end(self, kind: AnswerKind) -> None:
        self.is_over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_attempts(kind)
