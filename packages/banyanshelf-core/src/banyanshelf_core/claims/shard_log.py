"""Fenced access of one shard owner to the shard's head and batches.

The design handles these cases:

- *Lost answer.* A transaction whose answer was lost may have taken effect, or may take
  effect later. The head is read back. If it carries the ``write_id`` of the
  transaction, the transaction took effect. If the head is unchanged, the identical
  transaction is sent again: the compare lets only one of the two copies take effect,
  and both have the same content. No other transaction is sent before this one is
  resolved.
- *Own write read back.* A repeated transaction fails if the first copy took effect. A
  failed compare is therefore no proof of a new owner; only the ``write_id`` of the head
  is.
- *Takeover during a transaction in flight.* The takeover changes the revision of the
  head. A transaction of the former owner that the store receives later fails; one that
  it received earlier is in the batches, which are read after the takeover.
- *Takeover before the read back.* If another member has written the head since, this
  owner cannot tell whether the transaction took effect. It sends no reply; the new
  owner answers from the batches.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto
from random import Random

from banyanshelf_core.claims.records import (
    ClaimRecord,
    Compare,
    HeadRecord,
    Put,
    RangeEntry,
    RangeResult,
    StoreEffect,
    StoreRange,
    StoreResult,
    StoreTransaction,
    TransactionResult,
    batch_key,
    batch_number,
    batch_prefix,
    decode_batch,
    decode_head,
    encode_batch,
    encode_head,
    head_key,
)
from banyanshelf_core.model import MemberId

# Retries back off exponentially with full jitter, so that the daemons do not all call a
# recovering store at the same time.
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class Loaded:
    """Event: the shard was taken over; claims are in the order of their batches."""

    claims_by_batch: dict[int, list[ClaimRecord]]


@dataclass(frozen=True, slots=True)
class Committed:
    """Event: the transaction in flight took effect."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Event: another owner has taken the shard over."""


ShardLogEvent = Loaded | Committed | Fenced


class _Operation(Enum):
    READ_HEAD = auto()
    READ_BACK = auto()
    READ_BATCHES = auto()
    TRANSACT = auto()


class ShardLog:
    """Takes one shard over and writes to it, one transaction at a time.

    ``instance`` must differ between processes that use the same member id, so that
    write ids are unique.
    """

    def __init__(
        self,
        shard: int,
        member_id: MemberId,
        instance: str,
        rng: Random,
    ) -> None:
        self._shard = shard
        self._member_id = member_id
        self._instance = instance
        self._rng = rng
        self._operation_id = 0
        self._writes = 0
        self._reset()

    def _reset(self) -> None:
        self.is_loaded = False
        self._operation: _Operation | None = None
        self._retry_at: float | None = None
        self._failures = 0
        self.blocked_since: float | None = None
        self._head: HeadRecord | None = None
        self._head_revision = 0
        self._transaction: StoreTransaction | None = None
        self._proposed_head: HeadRecord | None = None

    @property
    def is_open(self) -> bool:
        """Whether the shard is being taken over or owned."""
        return self._operation is not None or self.is_loaded

    @property
    def can_write(self) -> bool:
        """Whether the shard is loaded and no store operation is in progress."""
        return self.is_loaded and self._operation is None

    @property
    def epoch(self) -> int:
        """Epoch of the head that this owner wrote last; 0 if none."""
        return self._head.epoch if self._head and self.is_loaded else 0

    @property
    def next_batch(self) -> int:
        """Number of the next batch."""
        return self._head.next_batch if self._head else 0

    @property
    def next_wake(self) -> float | None:
        """Time of the next retry."""
        return self._retry_at

    def is_blocked(self, now: float, limit_s: float) -> bool:
        """Whether the current operation has been without a result for ``limit_s``."""
        return self.blocked_since is not None and now >= self.blocked_since + limit_s

    def open(self, now: float) -> list[StoreEffect]:
        """Start the takeover."""
        self.close()
        self.blocked_since = now
        return self._send(_Operation.READ_HEAD)

    def close(self) -> None:
        """Forget the shard; results of operations in flight are ignored."""
        self._reset()
        self._operation_id += 1

    def write(
        self,
        now: float,
        claims: list[bytes],
        deleted_batches: list[int],
    ) -> list[StoreEffect]:
        """Write one batch; requires :attr:`can_write`.

        Without claims only the head is written, which still proves ownership.
        """
        assert self.can_write and self._head is not None
        number = self._head.next_batch
        self.blocked_since = now
        puts = []
        if claims:
            puts.append(Put(batch_key(self._shard, number), encode_batch(claims)))
        return self._transact(
            self._head_revision,
            HeadRecord(
                self._head.epoch,
                self._member_id,
                number + bool(claims),
                self._next_write_id(),
            ),
            puts,
            tuple(batch_key(self._shard, each) for each in deleted_batches),
        )

    def handle(
        self, now: float, result: StoreResult
    ) -> tuple[list[StoreEffect], ShardLogEvent | None]:
        """Handle a result from the store; results of former operations are ignored."""
        if result.operation_id != self._operation_id or self._operation is None:
            return [], None
        match result:
            case TransactionResult(succeeded=None):
                return self._retry(now, _Operation.READ_BACK), None
            case TransactionResult(succeeded=False):
                return self._send(_Operation.READ_BACK), None
            case TransactionResult(revision=revision):
                return self._finish_transaction(revision)
            case RangeResult(entries=None):
                return self._retry(now, self._operation), None
            case RangeResult(entries=entries):
                assert entries is not None
                return self._handle_range(now, entries)

    def tick(self, now: float) -> list[StoreEffect]:
        """Send a retry that is due."""
        if self._retry_at is None or now < self._retry_at:
            return []
        assert self._operation is not None
        return self._send(self._operation)

    def _handle_range(
        self, now: float, entries: tuple[RangeEntry, ...]
    ) -> tuple[list[StoreEffect], ShardLogEvent | None]:
        if self._operation is _Operation.READ_BATCHES:
            self.is_loaded = True
            self._finish_operation()
            return [], Loaded(
                {
                    batch_number(entry.key): decode_batch(entry.value).claims
                    for entry in sorted(entries, key=lambda entry: entry.key)
                }
            )
        head, revision = None, 0
        if entries:
            head, revision = decode_head(entries[0].value), entries[0].mod_revision
        if self._operation is _Operation.READ_HEAD:
            return self._write_takeover_head(head, revision), None
        assert self._transaction is not None and self._proposed_head is not None
        if head is not None and head.write_id == self._proposed_head.write_id:
            return self._finish_transaction(revision)
        if revision == self._transaction.compares[0].mod_revision:
            return self._retry(now, _Operation.TRANSACT), None
        if self.is_loaded:
            self.close()
            return [], Fenced()
        # The delay keeps two members that both rank themselves first from taking the
        # shard over from each other in a tight loop.
        return self._retry(now, _Operation.READ_HEAD), None

    def _write_takeover_head(
        self, head: HeadRecord | None, revision: int
    ) -> list[StoreEffect]:
        return self._transact(
            revision,
            HeadRecord(
                (head.epoch if head else 0) + 1,
                self._member_id,
                head.next_batch if head else 0,
                self._next_write_id(),
            ),
            [],
            (),
        )

    def _transact(
        self,
        revision: int,
        head: HeadRecord,
        puts: list[Put],
        deletes: tuple[str, ...],
    ) -> list[StoreEffect]:
        key = head_key(self._shard)
        self._proposed_head = head
        self._transaction = StoreTransaction(
            0,
            (Compare(key, revision),),
            (Put(key, encode_head(head)), *puts),
            deletes,
        )
        return self._send(_Operation.TRANSACT)

    def _finish_transaction(
        self, revision: int
    ) -> tuple[list[StoreEffect], ShardLogEvent | None]:
        self._head = self._proposed_head
        self._head_revision = revision
        self._transaction = None
        if not self.is_loaded:
            return self._send(_Operation.READ_BATCHES), None
        self._finish_operation()
        return [], Committed()

    def _finish_operation(self) -> None:
        self._operation = None
        self._failures = 0
        self.blocked_since = None

    def _send(self, operation: _Operation) -> list[StoreEffect]:
        self._operation = operation
        self._retry_at = None
        self._operation_id += 1
        match operation:
            case _Operation.READ_BATCHES:
                return [StoreRange(self._operation_id, batch_prefix(self._shard))]
            case _Operation.TRANSACT:
                assert self._transaction is not None
                return [replace(self._transaction, operation_id=self._operation_id)]
            case _:
                return [StoreRange(self._operation_id, head_key(self._shard))]

    def _retry(self, now: float, operation: _Operation) -> list[StoreEffect]:
        self._operation = operation
        self._operation_id += 1
        longest = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._retry_at = now + self._rng.uniform(0, longest)
        return []

    def _next_write_id(self) -> str:
        self._writes += 1
        return f"{self._instance}.{self._writes}"
