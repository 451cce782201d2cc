"""The share of an upstream that a gateway may use without a coordinator."""

from collections.abc import Iterable

from banyanshelf_core.hashing import rank_members
from banyanshelf_core.model import MemberId, UpstreamId


def local_share(
    member_id: MemberId,
    members: Iterable[MemberId],
    upstream: UpstreamId,
    slots: int,
) -> int:
    """Return how many concurrent calls a member may run at an upstream: 1 or 0.

    The first ``slots`` members by rendezvous rank may run one call each, so that all
    gateways together run at most ``slots`` calls at the upstream.
    """
    return int(member_id in rank_members(f"upstream/{upstream}", members)[:slots])
