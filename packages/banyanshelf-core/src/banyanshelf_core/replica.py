"""A gateway's replica of the key-value store, ordered by the store's history."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

# A reader that has missed more changes than this must load everything again.
MAX_KEPT_CHANGES = 4096


class StoredItem(NamedTuple):
    """One key as written or deleted at ``revision``; ``value`` is the stored text."""

    key: str
    revision: int
    value: str
    deleted: bool = False


class StorePosition(NamedTuple):
    """A place in the history of the store.

    Each restore of the store from a copy begins a generation, in which revisions
    continue from that of the copy. Positions are ordered by generation, then revision;
    revisions of different generations cannot be compared.
    """

    generation: int
    revision: int


ORIGIN = StorePosition(0, 0)


class Replica:
    """All items under the prefixes that a gateway watches.

    The position never decreases: a snapshot or a change that is older than the known
    state is ignored, whatever its source. Only a snapshot begins a new generation.

    Example:
        ``replica.load(items, StorePosition(1, 12))`` and
        ``replica.apply(changes, StorePosition(1, 15))`` return the items that differ
        from before, deleted ones included.

    """

    def __init__(self) -> None:
        self.position = ORIGIN
        self.items_by_key: dict[str, StoredItem] = {}
        self._changes: deque[StoredItem] = deque(maxlen=MAX_KEPT_CHANGES)
        self._first_position = ORIGIN

    @property
    def revision(self) -> int:
        """The revision within the current generation; 0 before the first snapshot."""
        return self.position.revision

    def load(
        self, items: Iterable[StoredItem], position: StorePosition
    ) -> list[StoredItem]:
        """Replace the items by a snapshot; returns the items that changed."""
        if position < self.position:
            return []
        is_restored = position.generation > self.position.generation
        found_by_key = {item.key: item for item in items}
        changed = [
            item
            for key, item in found_by_key.items()
            if self._is_news(item, is_restored=is_restored)
        ]
        changed += [
            StoredItem(key, position.revision, "", True)
            for key, known in self.items_by_key.items()
            # A page of the snapshot may be older than a change that is already known.
            if key not in found_by_key
            and (is_restored or known.revision <= position.revision)
        ]
        self._record_changes(changed)
        if is_restored:
            self.items_by_key = found_by_key
        self._changes.clear()
        self._first_position = self.position = position
        return changed

    def apply(
        self, changes: Iterable[StoredItem], position: StorePosition
    ) -> list[StoredItem]:
        """Apply changes up to a position; returns those that had an effect.

        Changes of another generation than the replica's have none.
        """
        if position.generation != self.position.generation:
            return []
        applied = [
            change
            for change in changes
            if change.revision > self._revision_of(change.key)
            and (not change.deleted or change.key in self.items_by_key)
        ]
        self._record_changes(applied)
        self.position = max(self.position, position)
        return applied

    def changes_after(self, position: StorePosition) -> list[StoredItem] | None:
        """Return the changes after a position, or None if not all of them are kept."""
        if (
            position.generation != self.position.generation
            or position < self._first_position
        ):
            return None
        if (
            len(self._changes) == MAX_KEPT_CHANGES
            and position.revision < self._changes[0].revision
        ):
            return None
        return [
            change for change in self._changes if change.revision > position.revision
        ]

    def _is_news(self, item: StoredItem, *, is_restored: bool) -> bool:
        if is_restored:
            return self.items_by_key.get(item.key) != item
        return self._revision_of(item.key) < item.revision

    def _revision_of(self, key: str) -> int:
        known = self.items_by_key.get(key)
        return known.revision if known is not None else 0

    def _record_changes(self, changes: Iterable[StoredItem]) -> None:
        for change in changes:
            self._changes.append(change)
            if change.deleted:
                self.items_by_key.pop(change.key, None)
            else:
                self.items_by_key[change.key] = change
