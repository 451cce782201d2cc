"""The gateway's side of claims: requests to shard owners and reports of outcomes.

A grant is valid only while its attempt waits for it. An attempt that was decided
without a grant never runs, and this process releases any claim that the attempt has
obtained:

- immediately if the claim may exist although no grant arrived: the deadline has passed,
  the owner could not reach the store, or several owners have been asked;
- otherwise when a late grant arrives.

An attempt id contains the process instance. A restarted process therefore ignores
grants to its predecessor, which may have sent the call.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus, StoredAnswer
from banyanshelf_core.claims.records import SHARD_COUNT
from banyanshelf_core.hashing import rank_members, shard_of
from banyanshelf_core.messages import (
    ClaimComplete,
    ClaimCompleteAck,
    ClaimReply,
    ClaimRequest,
)
from banyanshelf_core.model import MemberId, Send

# Requests and outcomes are retried because a link may break, and because the owner may
# change without a notification to this member.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
NOT_OWNER_RETRY_DELAY_S = 0.05
COMPLETION_RETRY_INTERVAL_S = 0.5
# Lets the RUNNING reply of the owner arrive before the caller's deadline.
REPLY_MARGIN_S = 0.1
# A grant can arrive late by as long as a link or a process was stalled.
ABANDONED_RETENTION_S = 600.0


@dataclass(frozen=True, slots=True)
class Decided:
    """Effect: an attempt was decided; only GRANTED allows the call to run."""

    attempt_id: str
    status: ClaimStatus
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Recorded:
    """Effect: the outcome of an attempt has been recorded in the store."""

    attempt_id: str


RunnerEffect = Send | Decided | Recorded


@dataclass(slots=True)
class _Attempt:
    attempt_id: str
    shard: int
    service_name: str
    key_digest: str
    body_digest: str
    deadline: float
    retry_at: float
    retry_delay_s: float = INITIAL_RETRY_DELAY_S
    asked_owners: set[MemberId] = field(default_factory=set)


@dataclass(slots=True)
class _Completion:
    message: ClaimComplete
    retry_at: float


def shard_owner_of(shard: int, member_ids: Collection[MemberId]) -> MemberId | None:
    """Return the member that owns a shard, or None without members."""
    ranked = rank_members(f"shard/{shard}", member_ids)
    return ranked[0] if ranked else None


class ClaimRunner:
    """Claims keys at the shard owners and reports outcomes to them.

    ``kept_answer_bytes`` is the largest answer body that is kept with a claim.
    """

    def __init__(
        self, member_id: MemberId, instance: str, kept_answer_bytes: int
    ) -> None:
        self.kept_answer_bytes = kept_answer_bytes
        self._prefix = f"{member_id}.{instance}"
        self._attempt_count = 0
        self._owner_by_shard: list[MemberId | None] = [None] * SHARD_COUNT
        self._waiting_by_id: dict[str, _Attempt] = {}
        self._running_by_id: dict[str, _Attempt] = {}
        self._completions_by_id: dict[str, _Completion] = {}
        self._abandoned_by_id: dict[str, tuple[_Attempt, float]] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no attempt waits, runs or has an unrecorded outcome."""
        return not (
            self._waiting_by_id or self._running_by_id or self._completions_by_id
        )

    def snapshot(self) -> dict[str, int]:
        """Return counts for the status page."""
        return {
            "waiting": len(self._waiting_by_id),
            "running": len(self._running_by_id),
            "unrecorded": len(self._completions_by_id),
        }

    def set_members(
        self, now: float, member_ids: Collection[MemberId]
    ) -> list[RunnerEffect]:
        """Set the live members; messages for shards with a new owner are sent again."""
        former = self._owner_by_shard
        self._owner_by_shard = [
            shard_owner_of(shard, member_ids) for shard in range(SHARD_COUNT)
        ]
        effects: list[RunnerEffect] = []
        for attempt in self._waiting_by_id.values():
            if former[attempt.shard] != self._owner_by_shard[attempt.shard]:
                effects.extend(self._send_request(now, attempt))
        for completion in self._completions_by_id.values():
            shard = completion.message.shard
            if former[shard] != self._owner_by_shard[shard]:
                effects.extend(self._send_completion(now, completion))
        return effects

    def claim(
        self,
        now: float,
        service_name: str,
        key_digest: str,
        body_digest: str,
        wait_s: float,
    ) -> tuple[str, list[RunnerEffect]]:
        """Start an attempt that waits up to ``wait_s``; returns its id and effects."""
        self._attempt_count += 1
        attempt_id = f"{self._prefix}.{self._attempt_count}"
        attempt = _Attempt(
            attempt_id,
            shard_of(key_digest, SHARD_COUNT),
            service_name,
            key_digest,
            body_digest,
            now + wait_s,
            now,
        )
        self._waiting_by_id[attempt_id] = attempt
        return attempt_id, self._send_request(now, attempt)

    def abandon(self, now: float, attempt_id: str) -> list[RunnerEffect]:
        """Cancel an attempt whose caller no longer waits; it never runs."""
        attempt = self._waiting_by_id.get(attempt_id)
        if attempt is None:
            return []
        return self._decide_without_grant(now, attempt, ClaimStatus.UNAVAILABLE)

    def complete(
        self,
        now: float,
        attempt_id: str,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> list[RunnerEffect]:
        """Report the outcome of a granted attempt; ``Recorded`` follows."""
        attempt = self._running_by_id.pop(attempt_id, None)
        if attempt is None:
            return [Recorded(attempt_id)]
        return self._finish(now, attempt, outcome, self._limit_answer_size(answer))

    def receive(
        self, now: float, message: ClaimReply | ClaimCompleteAck
    ) -> list[RunnerEffect]:
        """Handle a message of a shard owner."""
        match message:
            case ClaimCompleteAck(attempt_id=attempt_id):
                if self._completions_by_id.pop(attempt_id, None) is None:
                    return []
                return [Recorded(attempt_id)]
            case ClaimReply():
                return self._handle_reply(now, message)

    def tick(self, now: float) -> list[RunnerEffect]:
        """Abandon attempts whose deadline has passed; resend unanswered messages."""
        effects: list[RunnerEffect] = []
        for attempt in list(self._waiting_by_id.values()):
            if now >= attempt.deadline:
                effects.extend(
                    self._decide_without_grant(now, attempt, ClaimStatus.UNAVAILABLE)
                )
            elif now >= attempt.retry_at:
                effects.extend(self._send_request(now, attempt))
        for completion in self._completions_by_id.values():
            if now >= completion.retry_at:
                effects.extend(self._send_completion(now, completion))
        for attempt_id, (_, forget_at) in list(self._abandoned_by_id.items()):
            if now < forget_at:
                break
            del self._abandoned_by_id[attempt_id]
        return effects

    def next_wake(self) -> float | None:
        """Return when :meth:`tick` is due next; None if nothing is pending."""
        times = [
            min(attempt.deadline, attempt.retry_at)
            for attempt in self._waiting_by_id.values()
        ]
        times.extend(each.retry_at for each in self._completions_by_id.values())
        return min(times, default=None)

    def _handle_reply(self, now: float, reply: ClaimReply) -> list[RunnerEffect]:
        attempt = self._waiting_by_id.get(reply.attempt_id)
        status = ClaimStatus(reply.status)
        if attempt is None:
            return self._handle_late_reply(now, reply.attempt_id, status)
        if now >= attempt.deadline:
            # This process was paused; the caller has been refused or has left.
            return self._decide_without_grant(now, attempt, ClaimStatus.UNAVAILABLE)
        match status:
            case ClaimStatus.NOT_OWNER:
                # The retry goes to the member that owns the shard by then.
                attempt.retry_delay_s = NOT_OWNER_RETRY_DELAY_S
                attempt.retry_at = now + NOT_OWNER_RETRY_DELAY_S
                return []
            case ClaimStatus.GRANTED:
                del self._waiting_by_id[attempt.attempt_id]
                self._running_by_id[attempt.attempt_id] = attempt
                return [Decided(attempt.attempt_id, status)]
            case _:
                return self._decide_without_grant(now, attempt, status, reply.answer)

    def _handle_late_reply(
        self, now: float, attempt_id: str, status: ClaimStatus
    ) -> list[RunnerEffect]:
        """Release a claim that was granted to an abandoned attempt."""
        if (
            status is not ClaimStatus.GRANTED
            or attempt_id not in self._abandoned_by_id
            or attempt_id in self._completions_by_id
        ):
            return []
        attempt, _ = self._abandoned_by_id[attempt_id]
        return self._finish(now, attempt, ClaimOutcome.RELEASED, None)

    def _decide_without_grant(
        self,
        now: float,
        attempt: _Attempt,
        status: ClaimStatus,
        answer: StoredAnswer | None = None,
    ) -> list[RunnerEffect]:
        del self._waiting_by_id[attempt.attempt_id]
        self._abandoned_by_id[attempt.attempt_id] = (
            attempt,
            now + ABANDONED_RETENTION_S,
        )
        effects: list[RunnerEffect] = [Decided(attempt.attempt_id, status, answer)]
        if status is ClaimStatus.UNAVAILABLE or len(attempt.asked_owners) > 1:
            effects.extend(self._finish(now, attempt, ClaimOutcome.RELEASED, None))
        return effects

    def _finish(
        self,
        now: float,
        attempt: _Attempt,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> list[RunnerEffect]:
        message = ClaimComplete(
            attempt.shard,
            attempt.key_digest,
            attempt.body_digest,
            attempt.attempt_id,
            outcome.value,
            answer,
        )
        completion = _Completion(message, now)
        self._completions_by_id[attempt.attempt_id] = completion
        return self._send_completion(now, completion)

    def _send_request(self, now: float, attempt: _Attempt) -> list[RunnerEffect]:
        attempt.retry_at = now + attempt.retry_delay_s
        attempt.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * attempt.retry_delay_s)
        owner = self._owner_by_shard[attempt.shard]
        if owner is None:
            return []
        attempt.asked_owners.add(owner)
        remaining_s = attempt.deadline - now
        wait_s = remaining_s - min(REPLY_MARGIN_S, remaining_s / 4)
        request = ClaimRequest(
            attempt.shard,
            attempt.service_name,
            attempt.key_digest,
            attempt.body_digest,
            attempt.attempt_id,
            max(0, int(wait_s * 1000)),
        )
        return [Send(owner, request)]

    def _send_completion(
        self, now: float, completion: _Completion
    ) -> list[RunnerEffect]:
        completion.retry_at = now + COMPLETION_RETRY_INTERVAL_S
        owner = self._owner_by_shard[completion.message.shard]
        return [] if owner is None else [Send(owner, completion.message)]

    def _limit_answer_size(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        """Reduce an answer that is too large to store to its status."""
        if answer is None or len(answer.body) <= self.kept_answer_bytes:
            return answer
        return StoredAnswer(answer.status, [], b"", False)
