"""Upstreams that get no more work although the store still lists them as live."""

from __future__ import annotations

from collections import OrderedDict

from banyanshelf_core.model import Upstream, UpstreamId

# This limit bounds the memory; the entry that is oldest is dropped first.
MAX_DEPARTURES = 4096


class KnownDepartures:
    """What gateways have heard of departures from the upstreams themselves.

    An upstream that has stated that it leaves gets no more work in that incarnation,
    whatever its entry says. One at whose address another server has answered gets none
    until its entry changes.

    Example:
        After ``departures.add_stated(upstream)``, ``departures.includes(upstream)`` is
        true until an upstream with the same id has another incarnation.

    """

    def __init__(self) -> None:
        self._stated_by_id: OrderedDict[UpstreamId, Upstream] = OrderedDict()
        self._misdirected_by_id: OrderedDict[UpstreamId, Upstream] = OrderedDict()

    def add_stated(self, upstream: Upstream) -> bool:
        """Record that an upstream leaves; return whether that is news."""
        is_news = not self.includes(upstream)
        keep_newest(self._stated_by_id, upstream)
        return is_news

    def add_misdirected(self, upstream: Upstream) -> bool:
        """Record that another server has its address; return whether that is news."""
        is_news = not self.includes(upstream)
        keep_newest(self._misdirected_by_id, upstream)
        return is_news

    def includes(self, upstream: Upstream) -> bool:
        """Whether an upstream gets no more work."""
        stated = self._stated_by_id.get(upstream.id)
        if stated is not None and is_same_start(stated, upstream):
            return True
        return self._misdirected_by_id.get(upstream.id) == upstream


def is_same_start(stated: Upstream, upstream: Upstream) -> bool:
    """Whether both are the same incarnation of an upstream with the same id."""
    if stated.incarnation or upstream.incarnation:
        return stated.incarnation == upstream.incarnation
    # Without a known start, another address tells a new one.
    return stated.address == upstream.address


def is_earlier_start(upstream: Upstream, known: Upstream) -> bool:
    """Whether an upstream is an earlier incarnation of one that is known."""
    return 0 < upstream.incarnation < known.incarnation


def keep_newest(by_id: OrderedDict[UpstreamId, Upstream], upstream: Upstream) -> None:
    """Add an upstream as the newest one, and drop the oldest beyond the limit."""
    by_id.pop(upstream.id, None)
    by_id[upstream.id] = upstream
    if len(by_id) > MAX_DEPARTURES:
        by_id.popitem(last=False)
