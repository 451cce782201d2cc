"""Ledger of the permits of one service, kept by its coordinator."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from banyanshelf_core.messages import SlotCount
from banyanshelf_core.model import MemberId, UpstreamId


def counts_of(slot_counts: Iterable[SlotCount]) -> Counter[UpstreamId]:
    """Sum slot counts by upstream; counts below one are ignored."""
    counts: Counter[UpstreamId] = Counter()
    for each in slot_counts:
        if each.count > 0:
            counts[each.upstream] += each.count
    return counts


def slot_counts_of(counts: Counter[UpstreamId]) -> list[SlotCount]:
    """Return the nonzero counts in the form used in messages."""
    return [SlotCount(upstream, count) for upstream, count in counts.items() if count]


@dataclass(slots=True)
class Account:
    """One gateway's permits and waiting calls.

    ``unconfirmed`` lists granted permits that the gateway has not confirmed, oldest
    first. ``arrivals`` holds one time per waiting call, oldest first; ``urgent`` of
    these calls precede those of other gateways. Nothing is granted while
    ``has_reported`` or ``is_linked`` is false.
    """

    held: Counter[UpstreamId] = field(default_factory=Counter)
    unconfirmed: deque[UpstreamId] = field(default_factory=deque)
    granted: int = 0
    recalled: Counter[UpstreamId] = field(default_factory=Counter)
    arrivals: deque[float] = field(default_factory=deque)
    spare: int = 0
    urgent: int = 0
    excluded: frozenset[UpstreamId] = frozenset()
    has_reported: bool = False
    is_linked: bool = True
    is_told_of_contention: bool = False
    last_sent: float = 0.0

    def confirm(self, permits_received: int) -> None:
        """Remove the grants that the gateway has confirmed from ``unconfirmed``."""
        pending = self.granted - permits_received
        while len(self.unconfirmed) > max(0, pending):
            self.unconfirmed.popleft()

    def set_waiting(self, now: float, waiting: int, oldest_wait_us: int) -> None:
        """Set a gateway's number of waiting calls.

        The gateway's count still includes the calls that unconfirmed grants are for.
        """
        actual = max(0, waiting - len(self.unconfirmed))
        while len(self.arrivals) > actual:
            self.arrivals.pop()
        while len(self.arrivals) < actual:
            self.arrivals.append(now)
        if self.arrivals and not self.unconfirmed:
            self.arrivals[0] = now - oldest_wait_us / 1e6


class Ledger:
    """Permits by gateway and upstream, including those of removed members."""

    def __init__(self) -> None:
        self.accounts_by_member: dict[MemberId, Account] = {}
        self.outstanding: Counter[UpstreamId] = Counter()
        self._reserved: list[tuple[float, Counter[UpstreamId]]] = []

    def grant(self, member_id: MemberId, upstream_id: UpstreamId) -> None:
        """Record one granted permit."""
        account = self.accounts_by_member[member_id]
        account.held[upstream_id] += 1
        account.unconfirmed.append(upstream_id)
        account.granted += 1
        self.outstanding[upstream_id] += 1

    def return_permits(
        self, member_id: MemberId, upstream_id: UpstreamId, count: int
    ) -> int:
        """Record returned permits; returns how many of them were on record."""
        account = self.accounts_by_member[member_id]
        count = min(count, account.held[upstream_id])
        if count <= 0:
            return 0
        account.held[upstream_id] -= count
        if not account.held[upstream_id]:
            del account.held[upstream_id]
        if upstream_id in account.recalled:
            account.recalled[upstream_id] -= count
            if account.recalled[upstream_id] <= 0:
                del account.recalled[upstream_id]
        self.outstanding[upstream_id] -= count
        return count

    def revoke_grants(self, member_id: MemberId, upstreams: list[UpstreamId]) -> None:
        """Revoke grants whose message could not be sent."""
        account = self.accounts_by_member[member_id]
        for upstream_id in upstreams:
            if account.unconfirmed:
                account.unconfirmed.pop()
                account.granted -= 1
                self.return_permits(member_id, upstream_id, 1)

    def replace(
        self, member_id: MemberId, held: Counter[UpstreamId], permits_received: int
    ) -> set[UpstreamId]:
        """Replace a gateway's permit counts by those it reported.

        Unconfirmed grants are added to them. Returns the upstreams whose count may have
        changed.
        """
        account = self.accounts_by_member[member_id]
        if account.has_reported:
            account.confirm(permits_received)
        else:
            account.unconfirmed.clear()
            account.granted = permits_received
        held = held + Counter(account.unconfirmed)
        changed = set(account.held) | set(held)
        self.outstanding.subtract(account.held)
        self.outstanding.update(held)
        account.held = held
        account.recalled.clear()
        account.has_reported = True
        return changed

    def assume_held(self, member_id: MemberId, held: Counter[UpstreamId]) -> None:
        """Set the assumed permits of a gateway that has not reported."""
        account = self.accounts_by_member[member_id]
        self.outstanding.subtract(account.held)
        self.outstanding.update(held)
        account.held = held

    def remove(self, member_id: MemberId, reclaim_at: float) -> None:
        """Remove a gateway; its permits stay counted until ``reclaim_at``."""
        account = self.accounts_by_member.pop(member_id)
        self.reserve(account.held, reclaim_at, is_counted=True)

    def reserve(
        self, held: Counter[UpstreamId], reclaim_at: float, *, is_counted: bool = False
    ) -> None:
        """Count the permits of a removed gateway until ``reclaim_at``."""
        if not held:
            return
        if not is_counted:
            self.outstanding.update(held)
        self._reserved.append((reclaim_at, held))

    def reclaim(self, now: float) -> set[UpstreamId]:
        """Free the reserved permits that are due and return their upstreams."""
        due = [held for at, held in self._reserved if at <= now]
        if not due:
            return set()
        self._reserved = [each for each in self._reserved if each[0] > now]
        changed: set[UpstreamId] = set()
        for held in due:
            self.outstanding.subtract(held)
            changed.update(held)
        return changed
