"""Typed records of the claim shards and the store effects that read and write them.

Records are msgpack arrays without field names: each claim is written twice, and its
size limits how many claims fit in the store.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus, StoredAnswer
from banyanshelf_core.model import MemberId

SHARD_COUNT = 16


class ClaimState(IntEnum):
    """State of a claim in the store."""

    CLAIMED = 0
    COMPLETED = 1
    UNKNOWN = 2
    RELEASED = 3

    @classmethod
    def from_outcome(cls, outcome: str) -> ClaimState:
        """Convert a reported outcome; unsupported values become ``UNKNOWN``."""
        match outcome:
            case ClaimOutcome.COMPLETED:
                return cls.COMPLETED
            case ClaimOutcome.RELEASED:
                return cls.RELEASED
            case _:
                return cls.UNKNOWN

    @property
    def holder_status(self) -> ClaimStatus:
        """Status for a repeated request of the attempt that holds the claim.

        A request of a released attempt can only be one that was delayed in transit.
        """
        match self:
            case ClaimState.COMPLETED:
                return ClaimStatus.COMPLETED
            case ClaimState.RELEASED:
                return ClaimStatus.UNAVAILABLE
            case _:
                return ClaimStatus.GRANTED


class HeadRecord(msgspec.Struct, frozen=True, array_like=True):
    """Head record of a shard.

    ``epoch`` is the fencing token of the owner; each takeover increments it.
    ``write_id`` identifies the transaction that wrote the record.
    """

    epoch: int
    owner: MemberId
    next_batch: int
    write_id: str


class AnswerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A kept answer in its stored form."""

    status: int
    headers: list[str]
    body: bytes
    body_kept: bool


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one key; a record in a later batch replaces earlier ones.

    ``runner`` is the member whose attempt holds the claim and runs the call.
    """

    key_digest: str
    body_digest: str
    runner: MemberId
    attempt_id: str
    state: ClaimState
    answer: AnswerRecord | None = None

    @property
    def instance(self) -> str:
        """The process instance of the runner."""
        return instance_of(self.attempt_id)


class BatchRecord(msgspec.Struct, frozen=True, array_like=True):
    """The claims and outcomes of one transaction."""

    claims: list[ClaimRecord]


class _RawBatch(msgspec.Struct, frozen=True, array_like=True):
    claims: list[msgspec.Raw]


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(HeadRecord)
_batch_decoder = msgspec.msgpack.Decoder(BatchRecord)


def encode_head(record: HeadRecord) -> bytes:
    """Return the stored form of a shard head."""
    return _encoder.encode(record)


def decode_head(content: bytes) -> HeadRecord:
    """Parse a shard head; raises :class:`msgspec.DecodeError`."""
    return _head_decoder.decode(content)


def encode_claim(record: ClaimRecord) -> bytes:
    """Return the stored form of one claim, for :func:`encode_batch`."""
    return _encoder.encode(record)


def encode_batch(claims: list[bytes]) -> bytes:
    """Return the stored form of a batch of encoded claims."""
    return _encoder.encode(_RawBatch([msgspec.Raw(claim) for claim in claims]))


def decode_batch(content: bytes) -> BatchRecord:
    """Parse a batch; raises :class:`msgspec.DecodeError`."""
    return _batch_decoder.decode(content)


def instance_of(attempt_id: str) -> str:
    """Return the process instance that an attempt id contains."""
    return attempt_id.rpartition(".")[0]


def to_answer_record(answer: StoredAnswer | None) -> AnswerRecord | None:
    """Convert a message's answer to its stored form."""
    if answer is None:
        return None
    return AnswerRecord(answer.status, answer.headers, answer.body, answer.body_kept)


def to_stored_answer(answer: AnswerRecord | None) -> StoredAnswer | None:
    """Convert a stored answer to the form that messages carry."""
    if answer is None:
        return None
    return StoredAnswer(answer.status, answer.headers, answer.body, answer.body_kept)


def head_key(shard: int) -> str:
    """Return the store key of a shard's head."""
    return f"claims/{shard}/head"


def batch_prefix(shard: int) -> str:
    """Return the store prefix of a shard's batches."""
    return f"claims/{shard}/batch/"


def batch_key(shard: int, number: int) -> str:
    """Return the store key of a batch; keys sort by batch number."""
    return f"{batch_prefix(shard)}{number:012}"


def batch_number(key: str) -> int:
    """Return the batch number of a store key."""
    return int(key.rpartition("/")[2])


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction; ``mod_revision`` 0 requires an absent key."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value that a transaction writes."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoreTransaction:
    """Effect: apply all puts and deletes if all compares hold.

    The result carries the same ``operation_id``.
    """

    operation_id: int
    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreRange:
    """Effect: read all entries whose keys start with ``prefix``."""

    operation_id: int
    prefix: str


@dataclass(frozen=True, slots=True)
class RangeEntry:
    """A stored value with the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction; ``succeeded`` is None if its effect is unknown.

    ``revision`` is the mod revision of the keys that a successful transaction put.
    """

    operation_id: int
    succeeded: bool | None
    revision: int = 0


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Result of a range read; ``entries`` is None if the store did not answer."""

    operation_id: int
    entries: tuple[RangeEntry, ...] | None


StoreEffect = StoreTransaction | StoreRange
StoreResult = TransactionResult | RangeResult
