"""A non-idempotent call with an idempotency key, which is claimed before sending."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256
from typing import Any

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus, StoredAnswer
from banyanshelf_core.errors import UpstreamError
from banyanshelf_core.model import Outcome
from banyanshelf_daemon.answer_relay import AnswerRelay
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.call_base import DEADLINE_MARGIN_S
from banyanshelf_daemon.http_message import Answer, AnswerHead, header
from banyanshelf_daemon.interfaces import ClaimDecision
from banyanshelf_daemon.problem import problem_answer
from banyanshelf_daemon.request_body import RequestBody
from banyanshelf_daemon.running_call import RunningCall

RETRY_AFTER_S = 1.0


class ClaimedCall(RunningCall):
    """Runs a call once per idempotency key and records its outcome before answering.

    The caller waits for the record up to the call's deadline. It is answered then
    anyway, as the claim service continues to record the outcome.
    """

    _attempt_id = ""
    is_recorded = False

    def run(self) -> None:
        """Claim the key, then continue like a call without one."""
        services = self.services
        services.metrics.count(self._service_state.count_metric)
        self._service_state.policy.note_call(self.started)
        if self.deadline - self.started <= DEADLINE_MARGIN_S:
            self.expire()
            return
        self.arm_timer()
        claim = services.claims.claim(
            self.route.service_name,
            self._key_digest(),
            _digest(
                self.request.method.encode(),
                self.request.target,
                body=self.request.body,
            ),
            self.deadline - self.started,
        )
        claim.addCallback(self._claimed)
        claim.addErrback(self.internal_error)

    def caller_disconnected(self) -> bool:
        """Cancel the call unless it may have run; its outcome is recorded then."""
        if self.is_over or self._is_sent():
            return not self.is_recorded
        self._end()
        if self._attempt_id:
            self._record(ClaimOutcome.RELEASED, None)
        return False

    def conclude(self, answer: Answer, outcome: ClaimOutcome) -> None:
        """Record the outcome, then send the answer."""
        if not self._attempt_id:
            super().conclude(answer, outcome)
            return
        stored = None
        if outcome is ClaimOutcome.COMPLETED:
            stored = self._stored(answer.status, answer)
        self._record_then(outcome, stored, lambda: self.exchange.answer(answer))

    def new_relay(self, attempt: Attempt, head: AnswerHead) -> AnswerRelay:
        """Return a relay that waits for the record before the end of the answer."""
        return _RecordedRelay(self, attempt, head)

    def relay_cut(
        self, attempt: Attempt, error: UpstreamError, *, by_upstream: bool
    ) -> None:
        """Record that the outcome is unknown."""
        super().relay_cut(attempt, error, by_upstream=by_upstream)
        self._record(ClaimOutcome.UNKNOWN, None)
        self.is_recorded = True

    def record_long_answer(self, status: int, finish: Callable[[], None]) -> None:
        """Record a long answer without its body, then finish it."""
        self._record_then(ClaimOutcome.COMPLETED, self._stored(status, None), finish)

    def _claimed(self, decision: ClaimDecision) -> None:
        self.services.metrics.count(f"claim.{decision.status}")
        self.services.log.event(
            "claim",
            request_id=self.request_id,
            service=self.route.service_name,
            key=self._key_digest()[:16],
            status=decision.status,
        )
        granted = decision.status == ClaimStatus.GRANTED
        if granted:
            self._attempt_id = decision.attempt_id
        if self.is_over:
            # The caller has already been answered that the request was not run.
            if granted:
                self._record(ClaimOutcome.RELEASED, None)
            return
        if granted:
            self.admit()
            return
        self._end()
        self.is_recorded = True
        answer = self._answer_for(decision)
        self.report_metrics(answer.status, 0.0)
        super().conclude(answer, ClaimOutcome.RELEASED)

    def _answer_for(self, decision: ClaimDecision) -> Answer:
        stored = decision.answer
        match decision.status:
            case ClaimStatus.COMPLETED if stored is not None and stored.body_kept:
                headers = [header(*line.split(": ", 1)) for line in stored.headers]
                headers.append(header("Idempotency-Replayed", "true"))
                headers.append(header("Banyanshelf-Request-Id", self.request_id))
                return Answer(stored.status, headers, stored.body)
            case ClaimStatus.COMPLETED:
                return self._problem(
                    409, "the call ran and its answer is no longer kept", None
                )
            case ClaimStatus.RUNNING:
                return self._problem(
                    409,
                    "a call with this key is still running",
                    Outcome.UNKNOWN,
                    RETRY_AFTER_S,
                )
            case ClaimStatus.CONFLICT:
                return self._problem(
                    422,
                    "this key was used for a different request; use a new key",
                    Outcome.NOT_RUN,
                )
            case ClaimStatus.UNKNOWN:
                return self._problem(
                    502,
                    "the outcome of the call with this key is unknown",
                    Outcome.UNKNOWN,
                )
            case _:
                return self._problem(
                    503,
                    "keys cannot be claimed at the moment",
                    Outcome.NOT_RUN,
                    RETRY_AFTER_S,
                )

    def _problem(
        self,
        status: int,
        detail: str,
        outcome: Outcome | None,
        retry_after_s: float | None = None,
    ) -> Answer:
        return problem_answer(
            status,
            detail,
            outcome,
            "http_request_denied",
            retry_after_s=retry_after_s,
            request_id=self.request_id,
        )

    def _key_digest(self) -> str:
        parts = [
            self.route.service_name.encode(),
            self.route.credential,
            self.route.key or b"",
        ]
        if self.route.workspace:
            # A workspace must not get the answers of another one.
            parts.append(self.route.workspace.encode())
        return _digest(*parts)

    def _stored(self, status: int, answer: Answer | None) -> StoredAnswer:
        if answer is None:
            return StoredAnswer(status, [], b"", False)
        is_kept = len(answer.body) <= self.active.text.claims.kept_answer_bytes
        headers = [
            f"{name.decode('latin-1')}: {value.decode('latin-1')}"
            for lower, name, value in answer.headers
            if lower != b"banyanshelf-request-id"
        ]
        return StoredAnswer(status, headers, answer.body if is_kept else b"", is_kept)

    def _record(self, outcome: ClaimOutcome, stored: StoredAnswer | None) -> Any:
        recorded = self.services.claims.complete(self._attempt_id, outcome, stored)
        recorded.addErrback(self._record_failed)
        return recorded

    def _record_failed(self, failure: Any) -> None:
        self.services.log.warning(
            "claim_record_failed",
            request_id=self.request_id,
            detail=str(failure.value),
        )

    def _record_then(
        self, outcome: ClaimOutcome, stored: StoredAnswer | None, answer: Any
    ) -> None:
        delay_s = max(0.0, self.deadline - self.now())
        timer = self.services.reactor.callLater(delay_s, self._answer_once, answer)

        def recorded(_result: Any) -> None:
            if timer.active():
                timer.cancel()
                self._answer_once(answer)

        self._record(outcome, stored).addCallback(recorded)

    def _answer_once(self, answer: Any) -> None:
        self.is_recorded = True
        answer()
        self.exchange.call_ended()


class _RecordedRelay(AnswerRelay):
    """Holds the last part of a long answer back until its outcome is recorded."""

    def __init__(self, call: ClaimedCall, attempt: Attempt, head: AnswerHead) -> None:
        super().__init__(call, attempt, head)
        self._claimed_call = call
        self._status = head.status
        self._held_back_data = b""

    def write(self, data: bytes) -> None:
        """Pass on all parts but the last."""
        held, self._held_back_data = self._held_back_data, data
        super().write(held)

    def caller_disconnected(self) -> bool:
        """Continue until the outcome is recorded."""
        return super().caller_disconnected() or not self._claimed_call.is_recorded

    def _conclude(self) -> None:
        self._claimed_call.record_long_answer(self._status, self._send_end)

    def _send_end(self) -> None:
        self._exchange.write(self._held_back_data)
        self._exchange.finish()


def _digest(*parts: bytes, body: RequestBody | None = None) -> str:
    content = sha256()
    for part in parts:
        # The length prefix keeps different parts from being joined to the same bytes.
        content.update(b"%d:" % len(part))
        content.update(part)
    if body is not None:
        content.update(b"%d:" % len(body))
        for block in body.blocks():
            content.update(block)
    return content.hexdigest()
