"""Selects the gateway that decides which requests a limited upstream gets.

Each upstream has one keeper among the gateways of its zone, the first by rendezvous
hashing. Gateways whose views differ ask different ones for a while; each gateway that
is asked passes the question on to the keeper that it knows itself.
"""

from __future__ import annotations

from collections.abc import Collection

from banyanshelf_core.gossip import GossipMembers
from banyanshelf_core.hashing import rank_members
from banyanshelf_core.model import Member, MemberId, UpstreamId

# A gateway that has started learns of the others within this time and decides nothing
# before.
SETTLE_TIME_S = 1.0
# Of a gateway that has seeds and was never answered, the number of others is unknown.
ASSUMED_ZONE_MEMBERS = 8


class KeeperSelector:
    """The keepers of the upstreams' limits, as one gateway knows them.

    Example:
        ``selector.select("u1", "zone-a")`` is the member to ask about upstream ``u1``
        of ``zone-a``, which may be this gateway.

    """

    def __init__(self, members: GossipMembers, started_at: float) -> None:
        self._members = members
        self._settled_at = started_at + SETTLE_TIME_S
        self._keeper_by_upstream: dict[UpstreamId, Member] = {}

    def select(
        self, upstream_id: UpstreamId, zone: str, silent: Collection[MemberId] = ()
    ) -> Member:
        """Return the member to ask about an upstream in ``zone``.

        In the own zone that is the keeper. In another one it is any member that is not
        ``silent``, as only some are known; it passes the question on. A zone without
        known gateways has one keeper in each other zone.
        """
        keeper = self._keeper_by_upstream.get(upstream_id)
        if keeper is not None and keeper.id not in silent:
            return keeper
        members = self._members.active_in_zone(zone)
        if zone == self._members.identity.zone:
            silent = ()
        elif not members:
            members = self._members.active_in_zone(self._members.identity.zone)
            silent = ()
        by_id = {each.id: each for each in members}
        candidates = [each for each in by_id if each not in silent] or list(by_id)
        keeper = by_id[rank_members(f"limit/{upstream_id}", candidates)[0]]
        self._keeper_by_upstream[upstream_id] = keeper
        return keeper

    def members_changed(self) -> None:
        """Select all keepers anew."""
        self._keeper_by_upstream.clear()

    def settling_s(self, now: float) -> float:
        """Return how long this gateway decides nothing yet, in seconds."""
        return max(0.0, self._settled_at - now)

    def share(self, zone: str) -> float:
        """Return the share of a limit that this gateway may use as its keeper.

        After a partition each side has a keeper, whose share is the side's part of the
        zone's gateways, so that all sides together keep the limit.
        """
        members = self._members
        if members.is_isolated:
            return 1 / ASSUMED_ZONE_MEMBERS
        share = members.reachable_share()
        if zone != members.identity.zone:
            share /= len(members.known_zones())
        return share
