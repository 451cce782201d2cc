"""Marks permits in use that must be returned when their calls end."""

from __future__ import annotations

from collections import Counter

from banyanshelf_core.model import UpstreamId


class ReturnMarks:
    """Counts of the permits in use that are for single use or recalled.

    The permits of one upstream are interchangeable, so counts are sufficient.
    """

    __slots__ = ("_recalled", "_single_use")

    def __init__(self) -> None:
        self._single_use: Counter[UpstreamId] = Counter()
        self._recalled: Counter[UpstreamId] = Counter()

    def add_single_use(self, upstream_id: UpstreamId) -> None:
        """Mark one permit for single use."""
        self._single_use[upstream_id] += 1

    def recall(self, upstream_id: UpstreamId, count: int, in_use: int) -> None:
        """Mark permits in use as recalled, except for those for single use.

        Permits for single use are returned in any case.
        """
        most = in_use - self._single_use[upstream_id]
        marked = min(most, self._recalled[upstream_id] + count)
        if marked > 0:
            self._recalled[upstream_id] = marked

    def forget_recalls(self) -> None:
        """Drop the recalls of an earlier session."""
        self._recalled.clear()

    def consume_mark(self, upstream_id: UpstreamId) -> bool:
        """Return whether a permit must be returned after its call; removes one mark."""
        for marks in (self._single_use, self._recalled):
            count = marks.get(upstream_id, 0) if marks else 0
            if count > 1:
                marks[upstream_id] = count - 1
                return True
            if count:
                del marks[upstream_id]
                return True
        return False
