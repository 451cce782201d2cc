"""The claims of one shard in memory, ahead of the store by at most two transactions.

Changes gather in the *forming* transaction while another one is in flight. Replies wait
until the state that they tell is committed. When a transaction is fenced, the whole
table is dropped, so no rollback is needed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from banyanshelf_core.call_messages import ClaimStatus
from banyanshelf_core.claims.records import ClaimRecord, ClaimState, encode_claim
from banyanshelf_core.messages import ClaimReply
from banyanshelf_core.model import MemberId, Send

# Transactions that may follow each other at once after a quiet time, so that claim and
# outcome of a single call wait for the store only.
WRITE_BURST = 2
# Refill of the burst. Burst and refill together are the 12 transactions a second that a
# shard may start: the store sustains several hundred writes, and 16 shards make 192.
# A burst of 6 that was refilled at 12 a second let 272 writes through in one second.
WRITES_PER_SECOND = 10
# An outcome waits for the next claim's transaction, unless a duplicate waits for it.
OUTCOME_DELAY_S = 0.005
# Values in the store may have 1 MB; a claim with its answer has up to about 20 KB.
MAX_BATCH_BYTES = 512 * 1024
MAX_DELETED_BATCHES = 32


@dataclass(slots=True)
class _Changes:
    """Claims of one transaction and the replies that wait for it, by key and attempt.

    ``urgent`` is set when a claim or a duplicate waits for the transaction.
    """

    claims_by_key: dict[str, ClaimRecord] = field(default_factory=dict)
    replies_by_key: dict[str, dict[str, Send]] = field(default_factory=dict)
    urgent: bool = False
    since: float = 0.0

    def __bool__(self) -> bool:
        return bool(self.claims_by_key or self.replies_by_key)


class _Batch(NamedTuple):
    number: int
    kept_since: float
    keys: list[str]


class ClaimTable:
    """Claims by key with group commit and retention."""

    def __init__(self) -> None:
        self._claims_by_key: dict[str, ClaimRecord] = {}
        self._batch_by_key: dict[str, int] = {}
        self._running_keys_by_runner: dict[MemberId, set[str]] = {}
        self._batches: deque[_Batch] = deque()
        self._expired: deque[int] = deque()
        self._forming = _Changes()
        self._in_flight = _Changes()
        self._deleting = 0

    def __len__(self) -> int:
        return len(self._claims_by_key)

    @property
    def batch_count(self) -> int:
        """Number of batches in the store."""
        return len(self._batches) + len(self._expired)

    @property
    def has_changes(self) -> bool:
        """Whether changes wait for the next transaction."""
        return bool(self._forming)

    @property
    def has_waiting_requests(self) -> bool:
        """Whether replies to requests, not only acknowledgements, are waiting."""
        return any(
            isinstance(effect.message, ClaimReply)
            for changes in (self._in_flight, self._forming)
            for replies in changes.replies_by_key.values()
            for effect in replies.values()
        )

    @property
    def oldest_batch_kept_since(self) -> float | None:
        """Time since which the oldest batch has been kept."""
        return self._batches[0].kept_since if self._batches else None

    def get(self, key: str) -> ClaimRecord | None:
        """Return the latest state of a key, committed or not."""
        return self._claims_by_key.get(key)

    def runners(self) -> list[MemberId]:
        """Return the members that have a claim without an outcome."""
        return list(self._running_keys_by_runner)

    def running_claims(self, runner: MemberId) -> list[ClaimRecord]:
        """Return a member's claims without an outcome."""
        keys = self._running_keys_by_runner.get(runner, ())
        return [self._claims_by_key[key] for key in keys]

    def load(self, now: float, claims_by_batch: dict[int, list[ClaimRecord]]) -> None:
        """Take the claims read from the store, in the order of their batches."""
        for number, claims in claims_by_batch.items():
            keys = [claim.key_digest for claim in claims]
            self._batches.append(_Batch(number, now, keys))
            for claim in claims:
                self._set(claim)
                self._batch_by_key[claim.key_digest] = number

    def put(self, now: float, claim: ClaimRecord, *, urgent: bool) -> None:
        """Set the state of a key; the next transaction writes it."""
        self._note_change(now)
        self._set(claim)
        self._forming.claims_by_key[claim.key_digest] = claim
        self._forming.urgent |= urgent

    def mark_urgent(self) -> None:
        """Send the next transaction without waiting for a claim."""
        self._forming.urgent = True

    def send_after_next_commit(
        self, now: float, key: str, attempt_id: str, effect: Send
    ) -> None:
        """Keep a reply until the next transaction has been committed."""
        self._note_change(now)
        self._forming.replies_by_key.setdefault(key, {})[attempt_id] = effect

    def send_when_durable(self, key: str, attempt_id: str, effect: Send) -> list[Send]:
        """Return a reply now, or keep it until the state of its key is committed."""
        for changes in (self._forming, self._in_flight):
            if key in changes.claims_by_key:
                changes.replies_by_key.setdefault(key, {})[attempt_id] = effect
                return []
        return [effect]

    def discard_reply(self, key: str, attempt_id: str) -> None:
        """Drop a reply that waits for a transaction."""
        for changes in (self._in_flight, self._forming):
            changes.replies_by_key.get(key, {}).pop(attempt_id, None)

    def refuse_requests(self, status: ClaimStatus) -> list[Send]:
        """Replace the waiting replies by a refusal; acknowledgements go on waiting."""
        effects: list[Send] = []
        for changes in (self._in_flight, self._forming):
            for replies in changes.replies_by_key.values():
                for attempt_id, effect in list(replies.items()):
                    if isinstance(effect.message, ClaimReply):
                        del replies[attempt_id]
                        refusal = ClaimReply(attempt_id, status.value)
                        effects.append(Send(effect.to, refusal))
        return effects

    def write_time(self, next_write_at: float) -> float | None:
        """Return when the next transaction may be sent; None if none is needed."""
        if self._forming.urgent:
            return next_write_at
        if self._forming:
            return max(next_write_at, self._forming.since + OUTCOME_DELAY_S)
        return next_write_at if self._expired else None

    def start_transaction(self) -> tuple[list[bytes], list[int]]:
        """Start a transaction: encoded claims to write and batches to delete."""
        forming, taken = self._forming, _Changes()
        encoded: list[bytes] = []
        size = 0
        for key, claim in list(forming.claims_by_key.items()):
            content = encode_claim(claim)
            if encoded and size + len(content) > MAX_BATCH_BYTES:
                break
            encoded.append(content)
            size += len(content)
            taken.claims_by_key[key] = forming.claims_by_key.pop(key)
        for key in list(forming.replies_by_key):
            if key not in forming.claims_by_key:
                taken.replies_by_key[key] = forming.replies_by_key.pop(key)
        self._in_flight = taken
        self._deleting = 0
        if not forming.claims_by_key:
            self._forming = _Changes()
            # Claims without an outcome are written again before their old batch goes,
            # so batches are deleted only when no change is left for later.
            self._deleting = min(len(self._expired), MAX_DELETED_BATCHES)
        return encoded, [self._expired[index] for index in range(self._deleting)]

    def finish_transaction(self, now: float, number: int) -> list[Send]:
        """Note that the transaction in flight took effect; return its replies."""
        written, self._in_flight = self._in_flight, _Changes()
        for _ in range(self._deleting):
            self._expired.popleft()
        self._deleting = 0
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
        """Forget claims kept for the retention time; no transaction may be in flight.

        A claim without an outcome is written again instead.
        """
        while self._batches and now >= self._batches[0].kept_since + retention_s:
            number, _, keys = self._batches.popleft()
            self._expired.append(number)
            for key in keys:
                if (
                    self._batch_by_key.get(key) != number
                    or key in self._forming.claims_by_key
                ):
                    continue
                claim = self._claims_by_key[key]
                if claim.state is ClaimState.CLAIMED:
                    self.put(now, claim, urgent=False)
                else:
                    del self._claims_by_key[key]
                    del self._batch_by_key[key]

    def _set(self, claim: ClaimRecord) -> None:
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

    def _note_change(self, now: float) -> None:
        if not self._forming:
            self._forming.since = now
