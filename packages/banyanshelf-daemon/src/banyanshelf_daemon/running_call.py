"""Runs a call: admission, sending, retries and a hedged attempt."""

from __future__ import annotations

import math

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure as DeferredFailure

from banyanshelf_core.errors import UpstreamAnswerError, UpstreamError
from banyanshelf_core.retry import RETRIED_STATUSES, Failure
from banyanshelf_daemon.answer_relay import AnswerRelay
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.call_base import DEADLINE_MARGIN_S
from banyanshelf_daemon.call_results import DEFAULT_RETRY_AFTER_S
from banyanshelf_daemon.http_message import Answer, AnswerHead, header_value
from banyanshelf_daemon.interfaces import (
    NotAdmittedError,
    Permit,
    QuotaExceededError,
)
from banyanshelf_daemon.problem import PROXY_NAME
from banyanshelf_daemon.sending_checks import CheckedCall

# Start of the Proxy-Status value if the upstream relays the problem answer of another
# gateway, which has already used up its retries.
RELAYED_PROXY_STATUS = f"{PROXY_NAME}; error=".encode()


class RunningCall(CheckedCall):
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
            self._note_silent_attempts()
            self._end()
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
        if self._accepts(answer):
            # Errors are left out: fast ones would shorten the hedge delay.
            self._service_state.policy.note_answer(attempt.service_time_s)
            self.clear_crash_marks(answer.status)
            self.finish(answer, attempt)
            return
        self._fallback_answer = answer
        if not self._goes_on_after(answer):
            self._finish_fallback(answer)

    def long_answer_begun(
        self, attempt: Attempt, head: AnswerHead
    ) -> AnswerRelay | None:
        """Pass a long answer on, unless the call goes on after it.

        It is judged like a short one, before its first byte is sent to the caller.
        """
        self._attempts.remove(attempt)
        if not self._accepts(head):
            if self._goes_on_after(head):
                return None
            if self._is_replaced(head):
                self._finish_fallback(Answer(head.status, head.headers, b""))
                return None
        return self.relay(attempt, head)

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
        if self._is_in_progress():
            return
        if self._fallback_answer is not None:
            self._finish_fallback(self._fallback_answer)
            return
        kind = "connection_terminated" if attempt.is_sent else "connection_refused"
        self.finish_problem(502, str(error), kind)

    # Steps

    def _admitted(self, permit: Permit) -> None:
        self._pending_permit = None
        self._is_counted = True
        # Crashes may have been noticed while the call waited.
        if self.is_over or self._is_quarantined():
            self.release_unused(permit)
            return
        if self._has_lost_key(permit):
            return
        if not self._has_attempts_left():
            # A hedged attempt was sent meanwhile, and it is in progress.
            self.release_unused(permit)
            self._service_state.policy.refund(self.now())
            return
        if self._is_used(permit) or self._wants_no_requests(permit):
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
        if self.is_over or failure.check(CancelledError) or self._is_in_progress():
            return
        if self._fallback_answer is not None:
            self._finish_fallback(self._fallback_answer)
            return
        if isinstance(failure.value, QuotaExceededError):
            # Nothing was sent: only the first permit of a call draws on the quota.
            self.finish_problem(
                429,
                str(failure.value),
                "http_request_denied",
                failure.value.retry_after_s,
            )
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
        if self._pending_permit is not None:
            return False
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
        if not is_allowed:
            return False
        self.services.metrics.count(self._service_state.retry_metric)
        self.admit()
        return True

    def _accepts(self, head: Answer | AnswerHead) -> bool:
        """Whether an answer is the result of the call, whatever else is in progress."""
        return head.status < 500 and not self._is_replaced(head)

    def _goes_on_after(self, head: Answer | AnswerHead) -> bool:
        """Whether the call goes on after an answer that it does not accept."""
        not_run = self.says_not_run(head)
        self._may_have_run = self._may_have_run or not not_run
        failure = Failure.NOT_RUN if not_run else Failure.ERROR
        status = header_value(head.headers, b"proxy-status")
        if status is not None and RELAYED_PROXY_STATUS in status:
            failure = Failure.EXHAUSTED
        is_retried = not_run or head.status in RETRIED_STATUSES
        if is_retried and self._retry(failure):
            return True
        return self._is_in_progress()

    def _is_in_progress(self) -> bool:
        """Whether an attempt runs, or another one may still be sent."""
        if self._attempts:
            return True
        permits = (self._pending_permit, self._pending_hedge_permit)
        return self._has_attempts_left() and permits != (None, None)

    def _on_timer(self) -> None:
        self._timer = None
        if self._hedge_at is not None and self.now() < self.deadline:
            self._hedge_at = None
            self._start_hedge()
            self.arm_timer()
            return
        self.expire()

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
        if len(self._attempts) != 1 or not self._has_attempts_left():
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
        elif self.key_problem() is not None:
            reason = "the key of the request was taken away"
        elif not self._has_attempts_left():
            reason = "all attempts were made meanwhile"
        elif self._is_used(permit):
            reason = "a retry went to the same upstream"
        elif self._wants_no_requests(permit):
            reason = "the upstream wants no requests"
        if reason:
            self.release_unused(permit)
            self._service_state.policy.refund(self.now())
            self._log_no_hedge(reason)
            if not (self._attempts or self._pending_permit):
                self.admit()
            return
        self.services.metrics.count(self._service_state.hedge_metric)
        self._send(permit, "hedge")

    def _hedge_not_admitted(self, failure: DeferredFailure) -> None:
        self._pending_hedge_permit = None
        self._service_state.policy.refund(self.now())
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

    def _has_lost_key(self, permit: Permit) -> bool:
        """Whether the key has changed hands since; the permit is released then.

        Texts may have come into effect while the call waited for the permit.
        """
        workspace = self.workspace
        problem = self.key_problem()
        if problem is None and self.workspace == workspace:
            return False
        self.release_unused(permit)
        if problem is None:
            # The permit has drawn on the quota of the former workspace.
            self._is_counted = self._attempt_count > 0
            self.admit()
        elif self._fallback_answer is not None:
            self._finish_fallback(self._fallback_answer)
        elif not self._attempts:
            self.services.metrics.count(f"request.refused.{problem.status}")
            self.finish_problem(
                problem.status,
                problem.detail,
                "http_request_denied",
                DEFAULT_RETRY_AFTER_S if problem.status == 503 else None,
            )
        return True
