"""A gateway's replica of the key-value store, ordered by the store's revision."""

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


class Replica:
    """All items under the prefixes that a gateway watches.

    Revisions never decrease: a snapshot or a change that is older than the known state
    is ignored, whatever its source.

    Example:
        ``replica.load(items, 12)`` and ``replica.apply(changes, 15)`` return the items
        that differ from before, deleted ones included.

    """

    def __init__(self) -> None:
        self.revision = 0
        self.items_by_key: dict[str, StoredItem] = {}
        self._changes: deque[StoredItem] = deque(maxlen=MAX_KEPT_CHANGES)
        self._changes_since_revision = 0

    def load(self, items: Iterable[StoredItem], revision: int) -> list[StoredItem]:
        """Replace the items by a snapshot; returns the items that changed."""
        if revision < self.revision:
            return []
        found_by_key = {item.key: item for item in items}
        changed = [
            item
            for key, item in found_by_key.items()
            if self._revision_of(key) < item.revision
        ]
        changed += [
            StoredItem(key, revision, "", True)
            for key, known in self.items_by_key.items()
            # A page of the snapshot may be older than a change that is already known.
            if key not in found_by_key and known.revision <= revision
        ]
        self._record_changes(changed)
        self._changes.clear()
        self._changes_since_revision = self.revision = revision
        return changed

    def apply(self, changes: Iterable[StoredItem], revision: int) -> list[StoredItem]:
        """Apply changes up to a revision; returns those that had an effect."""
        applied = [
            change
            for change in changes
            if change.revision > self._revision_of(change.key)
            and (not change.deleted or change.key in self.items_by_key)
        ]
        self._record_changes(applied)
        self.revision = max(self.revision, revision)
        return applied

    def changes_after(self, revision: int) -> list[StoredItem] | None:
        """Return the changes after a revision, or None if not all of them are kept."""
        if revision < self._changes_since_revision:
            return None
        if (
            len(self._changes) == MAX_KEPT_CHANGES
            and revision < self._changes[0].revision
        ):
            return None
        return [change for change in self._changes if change.revision > revision]

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
