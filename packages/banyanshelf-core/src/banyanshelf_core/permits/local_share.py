"""The share of an upstream that a gateway may use without a coordinator."""

from collections.abc import Collection, Iterable

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


def local_limit_share(
    member_ids: Iterable[MemberId],
    members: Collection[MemberId],
    upstream: UpstreamId,
    slots: int,
) -> float:
    """Return the part of an upstream's request limit that some members may use.

    The members with a local share of the upstream have equal parts of its limit.

    Example:
        ``local_limit_share(members, members, "desk-1", 3)`` is 1.0.

    """
    sharing = rank_members(f"upstream/{upstream}", members)[:slots]
    return sum(each in sharing for each in member_ids) / max(1, len(sharing))
