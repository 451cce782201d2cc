"""In-memory multi-version key space with transactions, leases and an event log."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

Json = dict[str, Any]
MAX_LOGGED_EVENTS = 200_000
MAX_VALUE_BYTES = 1024 * 1024


class StoreRequestError(ValueError):
    """The store rejects an invalid request; the answer has status 400."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its revisions; ``lease`` is 0 without one."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


ABSENT = KeyValue(b"", b"", 0, 0, 0, 0)


class Event(NamedTuple):
    """A change of one key; a deletion carries only the key and its revision."""

    deleted: bool
    entry: KeyValue


class Comparison(NamedTuple):
    """One condition of a transaction."""

    key: bytes
    field: str
    result: str
    wanted: int | bytes


class Put(NamedTuple):
    """Sets a key."""

    key: bytes
    value: bytes
    lease: int = 0


class Range(NamedTuple):
    """Reads a key or the half-open interval up to ``range_end``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


class DeleteRange(NamedTuple):
    """Deletes a key or the half-open interval up to ``range_end``."""

    key: bytes
    range_end: bytes = b""


Operation = Put | Range | DeleteRange
Listener = Callable[[int, list[Event]], None]


def in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Whether a key lies in an etcd-style range."""
    if not range_end:
        return key == start
    return key >= start and (range_end == b"\x00" or key < range_end)


def compare(entry: KeyValue, comparison: Comparison) -> bool:
    """Evaluate one condition; a value comparison on an absent key is false."""
    if comparison.field == "value" and entry.mod_revision == 0:
        return False
    actual: Any = getattr(entry, comparison.field)
    wanted: Any = comparison.wanted
    match comparison.result:
        case "EQUAL":
            return bool(actual == wanted)
        case "GREATER":
            return bool(actual > wanted)
        case "LESS":
            return bool(actual < wanted)
        case "NOT_EQUAL":
            return bool(actual != wanted)
    raise StoreRequestError(f"unknown comparison result {comparison.result!r}")


class Snapshot(NamedTuple):
    """A copy of a key space without its event log."""

    revision: int
    entries_by_key: dict[bytes, KeyValue]
    expiry_by_lease: dict[int, tuple[float, int]]
    next_lease: int


class KeySpace:
    """All keys of the store; each transaction that changes keys takes one revision.

    ``cluster_id`` changes when the key space is restored from a snapshot.
    """

    def __init__(self) -> None:
        self.cluster_id = 1
        self.revision = 1
        self.first_event_revision = 2
        self.listeners: list[Listener] = []
        self._entries_by_key: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []
        self._events: list[Event] = []
        self._expiry_by_lease: dict[int, tuple[float, int]] = {}
        self._next_lease = 7001

    def snapshot(self) -> Snapshot:
        """Return a copy of the current state."""
        return Snapshot(
            self.revision,
            dict(self._entries_by_key),
            dict(self._expiry_by_lease),
            self._next_lease,
        )

    def restore(self, snapshot: Snapshot, now: float) -> None:
        """Return to a former state; the time to live of its leases begins again.

        Revisions and leases are given out again from there on. Watches have to be ended
        before, as they get no event of the change.
        """
        self.cluster_id += 1
        self.revision = snapshot.revision
        # The event after the snapshot is the first that is kept.
        self.first_event_revision = snapshot.revision + 2
        self._events.clear()
        self._entries_by_key = dict(snapshot.entries_by_key)
        self._keys = sorted(self._entries_by_key)
        self._expiry_by_lease = {
            lease: (now + ttl_s, ttl_s)
            for lease, (_, ttl_s) in snapshot.expiry_by_lease.items()
        }
        self._next_lease = snapshot.next_lease

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, key: bytes) -> KeyValue:
        """Return a key, or ``ABSENT``."""
        return self._entries_by_key.get(key, ABSENT)

    def read(self, wanted: Range) -> list[KeyValue]:
        """Return the keys of a range in order."""
        if not wanted.range_end:
            entry = self._entries_by_key.get(wanted.key)
            return [entry] if entry else []
        first = bisect.bisect_left(self._keys, wanted.key)
        if wanted.range_end == b"\x00":
            keys = self._keys[first:]
        else:
            keys = self._keys[first : bisect.bisect_left(self._keys, wanted.range_end)]
        return [self._entries_by_key[key] for key in keys]

    def transact(
        self,
        comparisons: list[Comparison],
        success: list[Operation],
        failure: list[Operation],
    ) -> tuple[bool, list[Any]]:
        """Run one branch at one revision.

        Returns whether the conditions held and one result per operation: the entries
        read, the number deleted, or None for a put.
        """
        succeeded = all(compare(self.get(item.key), item) for item in comparisons)
        operations = success if succeeded else failure
        self._check(operations)
        events: list[Event] = []
        results = [self._apply(item, self.revision + 1, events) for item in operations]
        self._commit(events)
        return succeeded, results

    def _check(self, operations: list[Operation]) -> None:
        puts = [item for item in operations if isinstance(item, Put)]
        if len({item.key for item in puts}) != len(puts):
            raise StoreRequestError("duplicate key given in txn request")
        for item in puts:
            if not item.key:
                raise StoreRequestError("key is not provided")
            if len(item.value) > MAX_VALUE_BYTES:
                raise StoreRequestError("request is too large")
            if item.lease and item.lease not in self._expiry_by_lease:
                raise StoreRequestError("requested lease not found")

    def _apply(self, operation: Operation, revision: int, events: list[Event]) -> Any:
        match operation:
            case Range():
                return self.read(operation)
            case Put(key, value, lease):
                old = self.get(key)
                entry = KeyValue(
                    key,
                    value,
                    old.create_revision or revision,
                    revision,
                    old.version + 1,
                    lease,
                )
                if old is ABSENT:
                    bisect.insort(self._keys, key)
                self._entries_by_key[key] = entry
                events.append(Event(False, entry))
                return None
            case DeleteRange(key, range_end):
                deleted = self.read(Range(key, range_end))
                for entry in deleted:
                    self._remove(entry.key, revision, events)
                return len(deleted)

    def _remove(self, key: bytes, revision: int, events: list[Event]) -> None:
        del self._entries_by_key[key]
        del self._keys[bisect.bisect_left(self._keys, key)]
        events.append(Event(True, KeyValue(key, b"", 0, revision, 0, 0)))

    def _commit(self, events: list[Event]) -> None:
        if not events:
            return
        self.revision += 1
        self._events.extend(events)
        if len(self._events) > MAX_LOGGED_EVENTS:
            del self._events[: MAX_LOGGED_EVENTS // 2]
            self.first_event_revision = self._events[0].entry.mod_revision + 1
        for listener in list(self.listeners):
            listener(self.revision, events)

    def events_since(self, revision: int) -> list[Event]:
        """Return the logged events from a revision on, that one included."""
        first = bisect.bisect_left(
            self._events, revision, key=lambda event: event.entry.mod_revision
        )
        return self._events[first:]

    def grant_lease(self, lease: int, ttl_s: int, now: float) -> int:
        """Create a lease; an id of 0 assigns a new one."""
        if not lease:
            lease = self._next_lease
            self._next_lease += 1
        if lease in self._expiry_by_lease:
            raise StoreRequestError("lease already exists")
        self._expiry_by_lease[lease] = (now + ttl_s, ttl_s)
        return lease

    def keep_alive(self, lease: int, now: float) -> int:
        """Renew a lease and return its time to live, or 0 if it does not exist."""
        if lease not in self._expiry_by_lease:
            return 0
        ttl_s = self._expiry_by_lease[lease][1]
        self._expiry_by_lease[lease] = (now + ttl_s, ttl_s)
        return ttl_s

    def revoke(self, lease: int) -> bool:
        """Revoke a lease and delete its keys; False if it does not exist."""
        if self._expiry_by_lease.pop(lease, None) is None:
            return False
        events: list[Event] = []
        attached = [
            key for key, entry in self._entries_by_key.items() if entry.lease == lease
        ]
        for key in sorted(attached):
            self._remove(key, self.revision + 1, events)
        self._commit(events)
        return True

    def expire_leases(self, now: float) -> None:
        """Revoke the leases whose time to live has passed."""
        for lease, (expiry, _) in list(self._expiry_by_lease.items()):
            if expiry <= now:
                self.revoke(lease)
