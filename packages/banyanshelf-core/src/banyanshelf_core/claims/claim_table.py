"""The claims of one shard in memory, ahead of the store by at most two transactions.

Implements group commit: while one transaction is in flight, further changes are
collected in the *pending* transaction. A reply is sent only after the state that it
reports has been committed. When a transaction is fenced, the whole table is dropped, so
no rollback is needed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from banyanshelf_core.call_messages import ClaimStatus
from banyanshelf_core.claims.records import ClaimRecord, ClaimState, encode_claim
from banyanshelf_core.messages import ClaimReply
from banyanshelf_core.model import MemberId, Send

# Transactions that may start without a delay after an idle period, so that the claim
# and the outcome of a single call wait for the store only.
WRITE_BURST = 2
# Refill rate of the token bucket whose size is the burst. Together they allow a shard
# to start 12 transactions in any second: the store sustains several hundred writes a
# second, and 16 shards make 192. A burst of 6 with a refill of 12 a second let 272
# writes through in one second.
WRITES_PER_SECOND = 10
# Lets an outcome share the transaction of the next claim. Outcomes that a duplicate
# request waits for are written without this delay.
OUTCOME_DELAY_S = 0.005
# The store accepts values of up to 1 MB. A claim with its answer takes up to about
# 20 KB.
MAX_BATCH_BYTES = 512 * 1024
MAX_DELETED_BATCHES = 32


@dataclass(slots=True)
class _Changes:
    """Claims of one transaction and the replies that wait for it, by key and attempt.

    ``urgent`` is true when a new claim or a duplicate request waits for the
    transaction.
    """

    claims_by_key: dict[str, ClaimRecord] = field(default_factory=dict)
    replies_by_key: dict[str, dict[str, Send]] = field(default_factory=dict)
    urgent: bool = False
    first_change_at: float = 0.0

    def __bool__(self) -> bool:
        return bool(self.claims_by_key or self.replies_by_key)


class _Batch(NamedTuple):
    number: int
    kept_since: float
    keys: list[str]


class ClaimTable:
    """The claims of a shard by key, with group commit and retention."""

    def __init__(self) -> None:
        self._claims_by_key: dict[str, ClaimRecord] = {}
        self._batch_by_key: dict[str, int] = {}
        self._running_keys_by_runner: dict[MemberId, set[str]] = {}
        self._batches: deque[_Batch] = deque()
        self._expired_batches: deque[int] = deque()
        self._pending = _Changes()
        self._in_flight = _Changes()
        self._deleting_count = 0

    def __len__(self) -> int:
        return len(self._claims_by_key)

    @property
    def batch_count(self) -> int:
        """Number of batches in the store."""
        return len(self._batches) + len(self._expired_batches)

    @property
    def has_changes(self) -> bool:
        """Whether changes wait for the next transaction."""
        return bool(self._pending)

    @property
    def has_waiting_requests(self) -> bool:
        """Whether a reply to a claim request waits for a commit.

        Acknowledgements of outcomes do not count.
        """
        return any(
            isinstance(effect.message, ClaimReply)
            for changes in (self._in_flight, self._pending)
            for replies in changes.replies_by_key.values()
            for effect in replies.values()
        )

    @property
    def oldest_batch_kept_since(self) -> float | None:
        """Time at which the oldest batch was written or loaded; None without one."""
        return self._batches[0].kept_since if self._batches else None

    def get(self, key: str) -> ClaimRecord | None:
        """Return the latest state of a key, which may not be committed yet."""
        return self._claims_by_key.get(key)

    def runners(self) -> list[MemberId]:
        """Return the members that hold claims without an outcome."""
        return list(self._running_keys_by_runner)

    def running_claims(self, runner: MemberId) -> list[ClaimRecord]:
        """Return a member's claims without an outcome."""
        keys = self._running_keys_by_runner.get(runner, ())
        return [self._claims_by_key[key] for key in keys]

    def load(self, now: float, claims_by_batch: dict[int, list[ClaimRecord]]) -> None:
        """Add the claims read from the store, in the order of their batches.

        Claims that are known already go before those of the store, which was restored
        then, and are written again.
        """
        known = list(self._claims_by_key.values())
        for number, claims in claims_by_batch.items():
            keys = [claim.key_digest for claim in claims]
            self._batches.append(_Batch(number, now, keys))
            for claim in claims:
                self._update_claim(claim)
                self._batch_by_key[claim.key_digest] = number
        for claim in known:
            self.put(now, claim, urgent=True)

    def forget_store(self) -> None:
        """Forget what the store holds; the claims stay known.

        The replies that wait for a commit are dropped.
        """
        self._batch_by_key.clear()
        self._batches.clear()
        self._expired_batches.clear()
        self._deleting_count = 0
        self._pending, self._in_flight = _Changes(), _Changes()

    def put(self, now: float, claim: ClaimRecord, *, urgent: bool) -> None:
        """Set the state of a key; the next transaction writes it."""
        self._mark_first_change(now)
        self._update_claim(claim)
        self._pending.claims_by_key[claim.key_digest] = claim
        self._pending.urgent |= urgent

    def mark_urgent(self) -> None:
        """Exempt the next transaction from ``OUTCOME_DELAY_S``."""
        self._pending.urgent = True

    def send_after_next_commit(
        self, now: float, key: str, attempt_id: str, effect: Send
    ) -> None:
        """Hold a reply back until the next transaction has been committed."""
        self._mark_first_change(now)
        self._pending.replies_by_key.setdefault(key, {})[attempt_id] = effect

    def send_when_durable(self, key: str, attempt_id: str, effect: Send) -> list[Send]:
        """Return a reply now, or hold it back until its key's state is committed."""
        for changes in (self._pending, self._in_flight):
            if key in changes.claims_by_key:
                changes.replies_by_key.setdefault(key, {})[attempt_id] = effect
                return []
        return [effect]

    def discard_reply(self, key: str, attempt_id: str) -> None:
        """Discard a reply that waits for a transaction."""
        for changes in (self._in_flight, self._pending):
            changes.replies_by_key.get(key, {}).pop(attempt_id, None)

    def refuse_requests(self, status: ClaimStatus) -> list[Send]:
        """Refuse the claim requests that wait for a commit.

        Acknowledgements of outcomes go on waiting.
        """
        effects: list[Send] = []
        for changes in (self._in_flight, self._pending):
            for replies in changes.replies_by_key.values():
                for attempt_id, effect in list(replies.items()):
                    if isinstance(effect.message, ClaimReply):
                        del replies[attempt_id]
                        refusal = ClaimReply(attempt_id, status.value)
                        effects.append(Send(effect.to, refusal))
        return effects

    def write_time(self, next_write_at: float) -> float | None:
        """Return when the next transaction may start; None if none is needed."""
        if self._pending.urgent:
            return next_write_at
        if self._pending:
            return max(next_write_at, self._pending.first_change_at + OUTCOME_DELAY_S)
        return next_write_at if self._expired_batches else None

    def start_transaction(self) -> tuple[list[bytes], list[int]]:
        """Start a transaction; returns encoded claims and the batches to delete."""
        pending, taken = self._pending, _Changes()
        encoded: list[bytes] = []
        size = 0
        for key, claim in list(pending.claims_by_key.items()):
            content = encode_claim(claim)
            if encoded and size + len(content) > MAX_BATCH_BYTES:
                break
            encoded.append(content)
            size += len(content)
            taken.claims_by_key[key] = pending.claims_by_key.pop(key)
        for key in list(pending.replies_by_key):
            if key not in pending.claims_by_key:
                taken.replies_by_key[key] = pending.replies_by_key.pop(key)
        self._in_flight = taken
        self._deleting_count = 0
        if not pending.claims_by_key:
            self._pending = _Changes()
            # Claims without an outcome are rewritten before their expired batch is
            # deleted, so batches are deleted only when no change is left for later.
            self._deleting_count = min(len(self._expired_batches), MAX_DELETED_BATCHES)
        return encoded, [
            self._expired_batches[index] for index in range(self._deleting_count)
        ]

    def finish_transaction(self, now: float, number: int) -> list[Send]:
        """Record that the transaction in flight took effect; returns its replies."""
        written, self._in_flight = self._in_flight, _Changes()
        for _ in range(self._deleting_count):
            self._expired_batches.popleft()
        self._deleting_count = 0
        if written.claims_by_key:
            self._batches.append(_Batch(number, now, list(written.claims_by_key)))
            for key in written.claims_by_key:
                self._batch_by_key[key] = number
        return [
            reply
            for replies in written.replies_by_key.values()
            for reply in replies.values()
        ]

    def expire(self, now: float, retention_s: float) -> None:
        """Expire the batches that have been kept for the retention time.

        Their claims are forgotten, except that a claim without an outcome is written
        again. No transaction may be in flight.
        """
        while self._batches and now >= self._batches[0].kept_since + retention_s:
            number, _, keys = self._batches.popleft()
            self._expired_batches.append(number)
            for key in keys:
                if (
                    self._batch_by_key.get(key) != number
                    or key in self._pending.claims_by_key
                ):
                    continue
                claim = self._claims_by_key[key]
                if claim.state is ClaimState.CLAIMED:
                    self.put(now, claim, urgent=False)
                else:
                    del self._claims_by_key[key]
                    del self._batch_by_key[key]

    def _update_claim(self, claim: ClaimRecord) -> None:
        key = claim.key_digest
        former = self._claims_by_key.get(key)
        if former is not None and former.state is ClaimState.CLAIMED:
            keys = self._running_keys_by_runner[former.runner]
            keys.discard(key)
            if not keys:
                del self._running_keys_by_runner[former.runner]
        if claim.state is ClaimState.CLAIMED:
            self._running_keys_by_runner.setdefault(claim.runner, set()).add(key)
        self._claims_by_key[key] = claim

    def _mark_first_change(self, now: float) -> None:
        if not self._pending:
            self._pending.first_change_at = now
