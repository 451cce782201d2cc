"""Compare-and-swap transactions of the store, independent of their encoding."""

from __future__ import annotations

from typing import NamedTuple


class KeyValue(NamedTuple):
    """A stored record; ``mod_revision`` grows with each write of the key."""

    key: str
    value: bytes
    mod_revision: int


class Compare(NamedTuple):
    """Condition that a key was last written at ``mod_revision``; 0 means absent."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """A write; ``lease`` of 0 means that the record has no lease."""

    key: str
    value: bytes
    lease: int = 0


class Transaction(NamedTuple):
    """Writes that take effect atomically if every condition holds.

    Otherwise the keys in ``reads`` are read, atomically with the check.
    """

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    reads: tuple[str, ...] = ()
    deletes: tuple[str, ...] = ()


class TransactionResult(NamedTuple):
    """Whether the writes took effect, and the records read if they did not.

    ``reads`` has one entry per key of the transaction's ``reads``, None if absent.
    """

    succeeded: bool
    revision: int
    reads: tuple[KeyValue | None, ...] = ()
