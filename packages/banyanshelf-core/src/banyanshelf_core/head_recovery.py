"""Brings the store's head record up to date after a restore from a snapshot."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from banyanshelf_core.store_records import ConfigHead

# Older heads than those of the last versions are not expected in a snapshot.
MAX_KNOWN_HEADS = 64


class HeadRecovery:
    """Decides which head a store should have that was restored to an older one.

    The version in effect is written again. Operators may have applied a text to the
    restored store meanwhile. A lower version stays without effect, as always. One that
    equals the version in effect is committed once more under the next version:
    otherwise, daemons that start later would adopt another text than those that run.

    Example:
        ``recovery.note(head)`` for each head that the store has told, and
        ``recovery.missing_head(head, version, digest)`` with the one that it tells now.

    """

    def __init__(self) -> None:
        self._head_by_apply_id: OrderedDict[str, ConfigHead] = OrderedDict()

    def note(self, head: ConfigHead) -> None:
        """Record a head of the store."""
        self._head_by_apply_id.pop(head.apply_id, None)
        self._head_by_apply_id[head.apply_id] = head
        if len(self._head_by_apply_id) > MAX_KNOWN_HEADS:
            self._head_by_apply_id.popitem(last=False)

    def missing_head(
        self, head: ConfigHead | None, version: int, digest: str
    ) -> ConfigHead | None:
        """Return the head to commit in place of ``head``, or None if there is none.

        ``version`` and ``digest`` are those of the text in effect.
        """
        if head is None or head.version < version:
            return self._head_of(version, digest)
        if head.version == version and head.digest != digest:
            return msgspec.structs.replace(head, version=version + 1)
        return None

    def is_known(self, head: ConfigHead) -> bool:
        """Whether the store has told this head before."""
        return head.apply_id in self._head_by_apply_id

    def _head_of(self, version: int, digest: str) -> ConfigHead | None:
        for head in self._head_by_apply_id.values():
            if (head.version, head.digest) == (version, digest):
                return head
        return None
