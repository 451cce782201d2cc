"""Fenced access of one shard owner to the shard's head and batches.

Cases that decide the design:

- *Lost answer.* A transaction whose answer was lost may have taken effect, or may take
  effect later. The head is read back. If it carries the transaction's ``write_id``, the
  transaction took effect. If the head is unchanged, the identical transaction is sent
  again: the compare lets only one of the two copies take effect, and either has the
  same content. The transaction is never replaced by another one before it is resolved.
- *Own batch read back.* A repeated transaction fails when the first copy took effect. A
  failed compare is therefore no proof of a new owner; the head's ``write_id`` is.
- *Takeover during a transaction in flight.* The takeover changes the head's revision. A
  transaction of the former owner that the store receives later fails; one that it
  received earlier is in the batches, which are read after the takeover.
- *Overtaken before the read back.* When the head names a later write by somebody else,
  it stays unknown here whether the transaction took effect. Nothing is told; the new
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

# Full jitter between retries keeps the daemons from calling a recovering store at once.
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class Loaded:
    """The shard was taken over; claims are in the order of their batches."""

    claims_by_batch: dict[int, list[ClaimRecord]]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction in flight took effect."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Another owner has taken the shard over."""


ShardLogEvent = Loaded | Committed | Fenced


class _Operation(Enum):
    READ_HEAD = auto()
    READ_BACK = auto()
    READ_BATCHES = auto()
    TRANSACT = auto()


class ShardLog:
    """Takeover, group commits and lost answers of one shard.

    ``instance`` must differ between processes that use one member id, so that write ids
    are unique.
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
        self._written_head: HeadRecord | None = None

    @property
    def is_open(self) -> bool:
        """Whether the shard is being taken over or owned."""
        return self._operation is not None or self.is_loaded

    @property
    def can_write(self) -> bool:
        """Whether the shard is loaded and no transaction is unresolved."""
        return self.is_loaded and self._operation is None

    @property
    def epoch(self) -> int:
        """Epoch of the head that this owner wrote last; 0 if none."""
        return self._head.epoch if self._head and self.is_loaded else 0

    @property
    def next_batch(self) -> int:
        """Number that the next batch gets."""
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

        Without claims only the head is written, which still proves the ownership.
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
        """Take a result from the store."""
        if result.operation_id != self._operation_id or self._operation is None:
            return [], None
        match result:
            case TransactionResult(succeeded=None):
                return self._retry(now, _Operation.READ_BACK), None
            case TransactionResult(succeeded=False):
                return self._send(_Operation.READ_BACK), None
            case TransactionResult(revision=revision):
                return self._transaction_done(revision)
            case RangeResult(entries=None):
                return self._retry(now, self._operation), None
            case RangeResult(entries=entries):
                assert entries is not None
                return self._range_done(now, entries)

    def tick(self, now: float) -> list[StoreEffect]:
        """Send a retry that is due."""
        if self._retry_at is None or now < self._retry_at:
            return []
        assert self._operation is not None
        return self._send(self._operation)

    def _range_done(
        self, now: float, entries: tuple[RangeEntry, ...]
    ) -> tuple[list[StoreEffect], ShardLogEvent | None]:
        if self._operation is _Operation.READ_BATCHES:
            self.is_loaded = True
            self._finish()
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
            return self._swap_head(head, revision), None
        assert self._transaction is not None and self._written_head is not None
        if head is not None and head.write_id == self._written_head.write_id:
            return self._transaction_done(revision)
        if revision == self._transaction.compares[0].mod_revision:
            return self._retry(now, _Operation.TRANSACT), None
        if self.is_loaded:
            self.close()
            return [], Fenced()
        # Two members that both rank themselves first would swap the head in turns
        # without a pause.
        return self._retry(now, _Operation.READ_HEAD), None

    def _swap_head(self, head: HeadRecord | None, revision: int) -> list[StoreEffect]:
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
        self._written_head = head
        self._transaction = StoreTransaction(
            0,
            (Compare(key, revision),),
            (Put(key, encode_head(head)), *puts),
            deletes,
        )
        return self._send(_Operation.TRANSACT)

    def _transaction_done(
        self, revision: int
    ) -> tuple[list[StoreEffect], ShardLogEvent | None]:
        self._head = self._written_head
        self._head_revision = revision
        self._transaction = None
        if not self.is_loaded:
            return self._send(_Operation.READ_BATCHES), None
        self._finish()
        return [], Committed()

    def _finish(self) -> None:
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
