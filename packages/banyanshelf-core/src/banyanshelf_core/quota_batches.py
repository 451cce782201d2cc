"""Batches of requests that a gateway has drawn from the bank of its zone.

Designed for zones whose gateways place their calls themselves: a batch lasts for some
hundred milliseconds, so that few calls wait for the bank.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banyanshelf_core.model import WorkspaceName
from banyanshelf_core.quota_bank import DEMAND_DECAY_S

# A batch covers the demand of this time, so that all batches together fit into the
# excess that is allowed: they are not part of the bank's burst.
BATCH_S = 0.25
BATCH_VALID_S = 1.0
# A batch is renewed when it lasts for less than this time.
RENEWAL_S = 0.1
# After a refusal by the bank, a workspace is taken to be over its quota for this long.
SCARCE_TIME_S = 1.0
# What is left of a batch is returned to the bank within this time after its end. Later,
# after a pause, the bank may be another one.
RETURN_TIME_S = 0.5


@dataclass(slots=True)
class _Batch:
    left: int = 0
    expires_at: float = -math.inf
    demand_per_s: float = 0.0
    demand_at: float = -math.inf
    # Until then, the bank had nothing, and callers are told to return at that time.
    refused_until: float = -math.inf
    returns_at: float = -math.inf
    # Until then, callers may be asking for more than the quota.
    scarce_until: float = -math.inf


class QuotaBatches:
    """The batches of one gateway; times are in seconds.

    Example:
        ``batches.take(now, "franchise-12")`` is true if a request may be sent.

    """

    def __init__(self) -> None:
        self._batch_by_workspace: dict[WorkspaceName, _Batch] = {}

    def take(self, now: float, name: WorkspaceName) -> bool:
        """Take one request of a valid batch; return whether there was one."""
        batch = self._batch_by_workspace.setdefault(name, _Batch())
        batch.demand_per_s = _demand(now, batch) + 1 / DEMAND_DECAY_S
        batch.demand_at = now
        return self.take_again(now, name)

    def is_scarce(self, now: float, name: WorkspaceName) -> bool:
        """Whether the bank has had nothing for a workspace recently."""
        batch = self._batch_by_workspace.get(name)
        return batch is not None and now < batch.scarce_until

    def take_again(self, now: float, name: WorkspaceName) -> bool:
        """Take a request that :meth:`take` has refused and that has waited since."""
        batch = self._batch_by_workspace[name]
        if now >= batch.expires_at or not batch.left:
            return False
        batch.left -= 1
        return True

    def add(
        self, now: float, name: WorkspaceName, count: int, expires_at: float
    ) -> None:
        """Add what the bank has granted; the rest of a valid batch keeps its end."""
        batch = self._batch_by_workspace.setdefault(name, _Batch())
        left = self._left(now, batch)
        if left:
            expires_at = min(batch.expires_at, expires_at)
        batch.left, batch.expires_at = left + count, expires_at
        batch.refused_until = -math.inf

    def give_back(self, now: float, name: WorkspaceName) -> None:
        """Return a request that was taken and never sent."""
        batch = self._batch_by_workspace.get(name)
        if batch is not None and now < batch.expires_at:
            batch.left += 1

    def note_refusal(
        self, now: float, name: WorkspaceName, hold_s: float, wait_s: float
    ) -> None:
        """Record that the bank has nothing; ask it again after ``hold_s``."""
        batch = self._batch_by_workspace.setdefault(name, _Batch())
        batch.refused_until = now + hold_s
        batch.scarce_until = now + SCARCE_TIME_S
        batch.returns_at = now + wait_s

    def refused_for_s(self, now: float, name: WorkspaceName) -> float:
        """Return when to return, in seconds, or 0.0 if the bank can be asked."""
        batch = self._batch_by_workspace.get(name)
        if batch is None or now >= batch.refused_until:
            return 0.0
        return max(batch.returns_at - now, batch.refused_until - now)

    def wanted(self, now: float, name: WorkspaceName) -> int:
        """Return the size of the next batch, at least one request."""
        batch = self._batch_by_workspace.get(name)
        if batch is None:
            return 1
        return max(1, math.ceil(BATCH_S * _demand(now, batch)) - self._left(now, batch))

    def wanted_soon(self, now: float) -> dict[WorkspaceName, int]:
        """Return the batches that are worth drawing along with another one."""
        return {
            name: self.wanted(now, name)
            for name, batch in self._batch_by_workspace.items()
            if now >= batch.refused_until
            and not self._left(now, batch)
            and BATCH_VALID_S * _demand(now, batch) >= 1
        }

    def renewals(self, now: float) -> dict[WorkspaceName, int]:
        """Return the sizes of the batches that are to be drawn before they run out."""
        return {
            name: self.wanted(now, name)
            for name, batch in self._batch_by_workspace.items()
            if now >= batch.refused_until
            and (needed := RENEWAL_S * _demand(now, batch)) >= 1
            and self._left(now, batch) < needed
        }

    def remove_expired(self, now: float) -> dict[WorkspaceName, int]:
        """Remove the expired batches; return what can be returned of them."""
        returned = {}
        for name, batch in self._batch_by_workspace.items():
            if not batch.left or now < batch.expires_at:
                continue
            if now < batch.expires_at + RETURN_TIME_S:
                returned[name] = batch.left
            batch.left = 0
        return returned

    def _left(self, now: float, batch: _Batch) -> int:
        return batch.left if now < batch.expires_at else 0


def _demand(now: float, batch: _Batch) -> float:
    age_s = now - batch.demand_at
    return batch.demand_per_s * math.exp(-age_s / DEMAND_DECAY_S)
