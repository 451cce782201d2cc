"""A set with random selection in constant time."""

from __future__ import annotations

import random
from collections.abc import Collection


class RandomSet:
    """Strings with constant-time insertion, removal and uniform random selection."""

    __slots__ = ("_items", "_position_by_item")

    def __init__(self) -> None:
        self._items: list[str] = []
        self._position_by_item: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: str) -> bool:
        return item in self._position_by_item

    def add(self, item: str) -> None:
        """Add an item unless it is present."""
        if item not in self._position_by_item:
            self._position_by_item[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item if it is present."""
        position = self._position_by_item.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._position_by_item[last] = position

    def choose(self, rng: random.Random, excluded: Collection[str]) -> str | None:
        """Return a random item outside ``excluded``, or None if there is none."""
        if not self._items:
            return None
        item = self._items[int(rng.random() * len(self._items))]
        if item not in excluded:
            return item
        allowed = [each for each in self._items if each not in excluded]
        return rng.choice(allowed) if allowed else None
