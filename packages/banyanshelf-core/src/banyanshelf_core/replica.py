"""A gateway's copy of a key-value store, ordered by the store's revision."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

# A gateway that was away for more changes reads everything again.
MAX_KEPT_CHANGES = 4096


class StoredItem(NamedTuple):
    """One key as it was written or deleted at ``revision``; ``value`` is as stored."""

    key: str
    revision: int
    value: str
    deleted: bool = False


class Replica:
    """All items under the prefixes that a gateway follows.

    Nothing ever goes back: a reading or a change that is older than what is known
    changes nothing, wherever it comes from.

    Example:
        ``replica.load(items, 12)`` and ``replica.apply(changes, 15)`` return the items
        that differ from before, deleted ones included.

    """

    def __init__(self) -> None:
        self.revision = 0
        self.items_by_key: dict[str, StoredItem] = {}
        self._changes: deque[StoredItem] = deque(maxlen=MAX_KEPT_CHANGES)
        self._complete_since = 0

    def load(self, items: Iterable[StoredItem], revision: int) -> list[StoredItem]:
        """Take over a complete reading; returns what differs from before."""
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
            # A page may be older than a change that a later page already shows.
            if key not in found_by_key and known.revision <= revision
        ]
        self._take(changed)
        self._changes.clear()
        self._complete_since = self.revision = revision
        return changed

    def apply(self, changes: Iterable[StoredItem], revision: int) -> list[StoredItem]:
        """Take over changes up to a revision; returns those that were news."""
        fresh = [
            change
            for change in changes
            if change.revision > self._revision_of(change.key)
            and (not change.deleted or change.key in self.items_by_key)
        ]
        self._take(fresh)
        self.revision = max(self.revision, revision)
        return fresh

    def changes_after(self, revision: int) -> list[StoredItem] | None:
        """Return the changes after a revision, or None if they are not all known."""
        if revision < self._complete_since:
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

    def _take(self, changes: Iterable[StoredItem]) -> None:
        for change in changes:
            self._changes.append(change)
            if change.deleted:
                self.items_by_key.pop(change.key, None)
            else:
                self.items_by_key[change.key] = change
