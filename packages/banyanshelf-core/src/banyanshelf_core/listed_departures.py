"""Departures that a store knew before it was restored from an older copy."""

from __future__ import annotations

from collections import OrderedDict

from banyanshelf_core.known_departures import (
    is_earlier_start,
    is_same_start,
    keep_newest,
)
from banyanshelf_core.model import Upstream, UpstreamId, UpstreamState


class ListedDepartures:
    """Remembers the upstreams whose entries said that they leave, or were removed.

    The copy from which a store is restored may list such an upstream as live. It stays
    hidden until it starts again, until an upstream whose entry had been removed writes
    it anew, or until the entry has been kept for ``entry_timeout_s``, in seconds: the
    store would have removed the entry of a silent upstream by then.

    Example:
        After ``departures.add(upstream)``, a copy that lists the upstream as live,
        ``departures.note_copied(now, upstream)``, leaves it hidden:
        ``departures.hides(upstream.id)`` is true.

    """

    def __init__(self, entry_timeout_s: float) -> None:
        self.entry_timeout_s = entry_timeout_s
        self._departed_by_id: OrderedDict[UpstreamId, Upstream] = OrderedDict()
        self._hidden_until_by_id: dict[UpstreamId, float] = {}

    def add(self, upstream: Upstream) -> None:
        """Record that an entry says that its upstream leaves, or was removed."""
        self._hidden_until_by_id.pop(upstream.id, None)
        keep_newest(self._departed_by_id, upstream)

    def note_restore(self, now: float) -> None:
        """Let the entries that are hidden time out anew, as they do in the store."""
        for upstream_id in self._hidden_until_by_id:
            self._hidden_until_by_id[upstream_id] = now + self.entry_timeout_s

    def note_copied(self, now: float, upstream: Upstream) -> None:
        """Record an entry that a copy contains."""
        departed = self._departed_by_id.get(upstream.id)
        is_live = upstream.state is UpstreamState.LIVE
        has_departed = departed is not None and (
            is_same_start(departed, upstream) or is_earlier_start(upstream, departed)
        )
        if is_live and has_departed:
            self._hidden_until_by_id[upstream.id] = now + self.entry_timeout_s
        else:
            self.note_written(upstream)

    def note_written(self, upstream: Upstream) -> None:
        """Record an entry that its upstream has written since any restore."""
        if upstream.state is not UpstreamState.LIVE:
            self.add(upstream)
            return
        departed = self._departed_by_id.get(upstream.id)
        if (
            upstream.id in self._hidden_until_by_id
            and departed is not None
            and departed.state is UpstreamState.LEAVING
            and is_same_start(departed, upstream)
        ):
            # An upstream may write all that it wrote since the copy again, in order.
            return
        self._forget(upstream.id)

    def hides(self, upstream_id: UpstreamId) -> bool:
        """Whether an upstream gets no work although its entry says that it is live."""
        return upstream_id in self._hidden_until_by_id

    def expire(self, now: float) -> list[UpstreamId]:
        """Return the upstreams that are no longer hidden, as their time is over."""
        expired = [
            upstream_id
            for upstream_id, until in self._hidden_until_by_id.items()
            if now >= until
        ]
        for upstream_id in expired:
            self._forget(upstream_id)
        return expired

    def _forget(self, upstream_id: UpstreamId) -> None:
        self._hidden_until_by_id.pop(upstream_id, None)
        self._departed_by_id.pop(upstream_id, None)
