"""The operators' side of a configuration change, without I/O.

The text is uploaded in content-addressed parts and committed with one compare-and-swap
transaction. The transaction carries an apply id, so that a lost answer can be resolved
by sending the same transaction again: if its condition fails, the history record of the
version holds the apply id of the change that took effect.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from banyanshelf_core.backoff import Backoff
from banyanshelf_core.errors import StoreRecordError
from banyanshelf_core.hashing import digest as digest_of
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    ConfigHead,
    decode_record,
    encode_record,
    history_key,
    part_key,
    split_text,
)
from banyanshelf_core.store_transactions import (
    Compare,
    KeyValue,
    Put,
    Transaction,
    TransactionResult,
)

APPLY_TIMEOUT_S = 30.0
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class BaseVersion(NamedTuple):
    """The accepted version that the operator's change is based on.

    ``mod_revision`` is that of its head record. Both fields are 0 if no version had
    been accepted.
    """

    version: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Effect: read one record of the store."""

    key: str


@dataclass(frozen=True, slots=True)
class PutRecord:
    """Effect: write one record."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Commit:
    """Effect: run a transaction."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Effect: call :meth:`ApplyProtocol.on_wait_over` after some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """Result: the text is accepted as this version.

    ``was_in_effect`` is true if it already was before this change.
    """

    version: int
    digest: str
    was_in_effect: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Result: conflict with an earlier change; this one did not take effect."""

    first: ConfigHead
    based_on: int
    remedy: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """Result: the store was not reachable before the commit, so nothing changed."""

    reason: str
    remedy: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Result: the commit may have taken effect; ``command`` resolves which it is."""

    version: int
    apply_id: str
    command: str


ApplyResult = Accepted | Refused | NotSent | Unknown
ApplyEffect = ReadRecord | PutRecord | Commit | WaitFor | ApplyResult
StoreAnswer = KeyValue | None | TransactionResult


class ApplyProtocol:
    """Applies one text at most once.

    Run the effect that each call returns and report its end with :meth:`on_answer` or
    :meth:`on_failure`, until the effect is an ``ApplyResult``. ``apply_id`` must be
    unique to this change. Without ``base_version``, the change is based on the version
    that the store has when it is read first.
    """

    def __init__(
        self,
        text: str,
        author: str,
        apply_id: str,
        wall_time: float,
        rng: random.Random,
        base_version: BaseVersion | None = None,
    ) -> None:
        self._digest = digest_of(text.encode())
        self._parts: Sequence[bytes] = split_text(text)
        self._author = author
        self._apply_id = apply_id
        self._wall_time = wall_time
        self._base_version = base_version
        self._backoff = Backoff(rng, INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._effect: ApplyEffect = ReadRecord(CONFIG_HEAD_KEY)
        self._uploaded_count = 0
        self._is_commit_sent = False
        self._deadline = 0.0

    def start(self, now: float) -> ApplyEffect:
        """Return the first effect."""
        self._deadline = now + APPLY_TIMEOUT_S
        return self._effect

    def on_answer(self, answer: StoreAnswer, now: float) -> ApplyEffect:
        """Handle the store's answer to the last effect and return the next one."""
        self._backoff.reset()
        match self._effect:
            case ReadRecord(key) if key == CONFIG_HEAD_KEY:
                return self._set_effect(self._on_head(answer))
            case ReadRecord():
                return self._set_effect(self._on_history(answer))
            case PutRecord():
                self._uploaded_count += 1
                return self._set_effect(self._upload_or_commit())
            case Commit():
                return self._set_effect(self._on_commit(answer))
        return self._effect

    def on_failure(self, reason: str, now: float) -> ApplyEffect:
        """Handle a call that got no answer and may have taken effect."""
        if isinstance(self._effect, ApplyResult):
            return self._effect
        if now < self._deadline:
            return WaitFor(self._backoff.next_delay())
        if self._is_commit_sent:
            return self._set_effect(self._unknown())
        return self._set_effect(
            NotSent(reason, "nothing was changed; apply again when the store is up")
        )

    def on_wait_over(self) -> ApplyEffect:
        """Return the effect to repeat after a :class:`WaitFor`."""
        return self._effect

    def _set_effect(self, effect: ApplyEffect) -> ApplyEffect:
        self._effect = effect
        self._is_commit_sent = self._is_commit_sent or isinstance(effect, Commit)
        return effect

    @property
    def _version(self) -> int:
        return (self._base_version.version if self._base_version else 0) + 1

    def _on_head(self, answer: StoreAnswer) -> ApplyEffect:
        record = answer if isinstance(answer, KeyValue) else None
        head = decode_record(record.value, ConfigHead) if record else None
        revision = record.mod_revision if record else 0
        if self._base_version is None:
            self._base_version = BaseVersion(head.version if head else 0, revision)
        if head is not None and head.digest == self._digest:
            return Accepted(head.version, head.digest, was_in_effect=True)
        if revision != self._base_version.mod_revision:
            if head is None:
                raise StoreRecordError(
                    f"version {self._base_version.version} is gone from the store; "
                    "restore the store or apply without a base version",
                )
            return self._refused(head)
        return self._upload_or_commit()

    def _upload_or_commit(self) -> ApplyEffect:
        if self._uploaded_count < len(self._parts):
            key = part_key(self._digest, self._uploaded_count)
            return PutRecord(key, self._parts[self._uploaded_count])
        return Commit(self._transaction())

    def _transaction(self) -> Transaction:
        """Return the commit transaction, which is identical for every retry."""
        head = ConfigHead(
            version=self._version,
            digest=self._digest,
            parts=len(self._parts),
            apply_id=self._apply_id,
            author=self._author,
            time=self._wall_time,
        )
        value = encode_record(head)
        history = history_key(self._version)
        revision = self._base_version.mod_revision if self._base_version else 0
        return Transaction(
            (Compare(CONFIG_HEAD_KEY, revision), Compare(history, 0)),
            (Put(CONFIG_HEAD_KEY, value), Put(history, value)),
            (history, CONFIG_HEAD_KEY),
        )

    def _on_commit(self, answer: StoreAnswer) -> ApplyEffect:
        if not isinstance(answer, TransactionResult):
            return self._unknown()
        if answer.succeeded:
            return Accepted(self._version, self._digest)
        history = answer.reads[0] if answer.reads else None
        if history is None:
            return ReadRecord(history_key(self._version))
        return self._on_history(history)

    def _on_history(self, answer: StoreAnswer) -> ApplyEffect:
        if not isinstance(answer, KeyValue):
            return self._unknown()
        first = decode_record(answer.value, ConfigHead)
        if first.apply_id == self._apply_id:
            return Accepted(first.version, first.digest)
        return self._refused(first)

    def _refused(self, first: ConfigHead) -> Refused:
        based_on = self._base_version.version if self._base_version else 0
        return Refused(
            first,
            based_on,
            f"version {first.version} by {first.author} came first; read it with "
            f"`banyanshelf show --version={first.version}`, merge your change into "
            f"it and apply the result with --base={first.version}",
        )

    def _unknown(self) -> Unknown:
        return Unknown(
            self._version,
            self._apply_id,
            f"banyanshelf resolve --version={self._version} "
            f"--apply-id={self._apply_id}",
        )


def resolve(version: int, apply_id: str, history: KeyValue | None) -> ApplyResult:
    """Resolve a commit of unknown outcome by the history record of its version.

    Without a record the commit has not taken effect so far. A request that is still in
    flight may take effect later, unless another change takes the version first.
    """
    if history is None:
        return NotSent(
            f"no version {version} exists",
            "if the store answers, apply again; the earlier request can only take "
            "effect in place of the new one, never in addition",
        )
    first = decode_record(history.value, ConfigHead)
    if first.apply_id == apply_id:
        return Accepted(first.version, first.digest)
    return Refused(
        first,
        version - 1,
        f"version {first.version} by {first.author} came first; merge and apply again",
    )
