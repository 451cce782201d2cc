"""Bounds the memory of the requests that a process holds for its callers.

Many callers may send large requests at the same time, and some stop before the end and
keep their connections open. The bound covers what has been received of all requests,
whole or in part, and the connections themselves.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from banyanshelf_core.errors import RequestMemoryError

# A request of this size or less may use all of the memory, a longer one only the share
# below: calls without large bodies are served while large ones use up their part.
SHORT_REQUEST_BYTES = 64 * 1024
LONG_REQUESTS_SHARE = 15 / 16
# A request that is received more slowly than this may be displaced when memory is
# short. Slower callers are served while it is not.
PROGRESS_BYTES = 64 * 1024
PROGRESS_TIMEOUT_S = 1.0


class Holding:
    """The memory of one caller's connection and its requests.

    ``owner`` is not used here; it identifies the holdings that are displaced.
    """

    __slots__ = ("is_receiving", "owner", "progressed_at", "progressed_size", "size")

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.size = 0
        self.is_receiving = False
        self.progressed_at = 0.0
        self.progressed_size = 0


class RequestMemory:
    """Grants memory to holdings up to ``capacity_bytes``.

    When it is used up, requests that have stopped arriving are displaced, the one that
    has been silent longest first. A request that has arrived completely also displaces
    those that are still arriving. A request that cannot be admitted in either way is
    refused.

    Example:
        ``displaced = memory.resize(holding, size, now, is_receiving=True)`` records
        what a connection holds; the owners of ``displaced`` must refuse their requests.
        ``memory.release(holding)`` ends the holding.

    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.refused_count = 0
        self.displaced_count = 0
        # Holdings that are receiving a request; the least recent progress comes first.
        self._receiving: OrderedDict[Holding, None] = OrderedDict()

    def resize(
        self, holding: Holding, size: int, now: float, *, is_receiving: bool
    ) -> list[Holding]:
        """Set the size of a holding in bytes and return the holdings it displaces.

        Displaced holdings are released. Raises :class:`RequestMemoryError`, and changes
        nothing, if the holding would grow beyond what is left.
        """
        growth = size - holding.size
        displaced: list[Holding] = []
        if growth > 0:
            excess = self.held_bytes + growth - self._limit(size)
            if excess > 0:
                displaced = self._find_displaced(
                    holding, excess, now, is_whole=not is_receiving
                )
        self.held_bytes += growth
        holding.size = size
        self._note_progress(holding, now, is_receiving=is_receiving)
        for each in displaced:
            self.release(each)
        self.displaced_count += len(displaced)
        return displaced

    def release(self, holding: Holding) -> None:
        """Return all memory of a holding; has no effect the second time."""
        self.held_bytes -= holding.size
        holding.size = 0
        holding.is_receiving = False
        self._receiving.pop(holding, None)

    def _limit(self, size: int) -> float:
        if size <= SHORT_REQUEST_BYTES:
            return self.capacity_bytes
        return LONG_REQUESTS_SHARE * self.capacity_bytes

    def _find_displaced(
        self, holding: Holding, excess: float, now: float, *, is_whole: bool
    ) -> list[Holding]:
        displaced: list[Holding] = []
        for each in self._receiving:
            is_stalled = now - each.progressed_at >= PROGRESS_TIMEOUT_S
            if not (is_whole or is_stalled):
                break
            if each is not holding:
                displaced.append(each)
                excess -= each.size
                if excess <= 0:
                    return displaced
        self.refused_count += 1
        raise RequestMemoryError(
            "the memory for requests is used up; send the request again later"
        )

    def _note_progress(
        self, holding: Holding, now: float, *, is_receiving: bool
    ) -> None:
        if not is_receiving:
            holding.is_receiving = False
            self._receiving.pop(holding, None)
            return
        has_begun = not holding.is_receiving
        if has_begun or holding.size - holding.progressed_size >= PROGRESS_BYTES:
            holding.is_receiving = True
            holding.progressed_at = now
            holding.progressed_size = holding.size
            self._receiving[holding] = None
            self._receiving.move_to_end(holding)
