"""Content digests and rendezvous hashing."""

from collections.abc import Iterable
from hashlib import sha256

import xxhash


def digest(content: bytes) -> str:
    """Return the SHA-256 digest of ``content`` in hexadecimal."""
    return sha256(content).hexdigest()


def rank_members(key: str, member_ids: Iterable[str]) -> list[str]:
    """Rank members by rendezvous hashing for ``key``, the preferred one first.

    Removing a member leaves the relative order of the others unchanged, so only the
    roles of that member are reassigned.

    Example:
        ``rank_members("service/desk", ["a", "b", "c"])[0]`` coordinates the service.

    """
    return sorted(
        member_ids,
        key=lambda member_id: (
            xxhash.xxh3_64_intdigest(f"{key}\x00{member_id}".encode()),
            member_id,
        ),
        reverse=True,
    )


def shard_of(key_digest: str, shard_count: int) -> int:
    """Return the number of the claim shard that a key digest belongs to."""
    return xxhash.xxh3_64_intdigest(key_digest.encode()) % shard_count
