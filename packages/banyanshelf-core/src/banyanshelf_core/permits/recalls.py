"""Recalls permits from the gateways."""

from __future__ import annotations

from banyanshelf_core.messages import Recall
from banyanshelf_core.model import Epoch, MemberId, Send, ServiceName, UpstreamId
from banyanshelf_core.permits.effects import CoordinatorEffect
from banyanshelf_core.permits.ledger import Ledger


class Recalls:
    """Recalls of one coordinator; each permit is recalled once per session."""

    def __init__(self, service_name: ServiceName, epoch: Epoch, ledger: Ledger) -> None:
        self._service_name = service_name
        self._epoch = epoch
        self._ledger = ledger

    def recall_idle(self) -> list[CoordinatorEffect]:
        """Recall the idle permits of gateways not yet notified of contention."""
        effects: list[CoordinatorEffect] = []
        for member_id, account in self._ledger.accounts_by_member.items():
            is_open = account.is_linked and account.has_reported
            if is_open and account.held and not account.is_told_of_contention:
                account.is_told_of_contention = True
                count = sum(account.held.values())
                effects.append(self._message(member_id, count, ""))
        return effects

    def recall_above(
        self, upstream_id: UpstreamId, limit: int
    ) -> list[CoordinatorEffect]:
        """Recall an upstream's permits above a limit, including those in use."""
        effects: list[CoordinatorEffect] = []
        excess = self._ledger.outstanding[upstream_id] - limit
        for member_id, account in self._ledger.accounts_by_member.items():
            if excess <= 0:
                break
            if not account.is_linked or not account.held[upstream_id]:
                continue
            recalled = account.recalled[upstream_id]
            excess -= recalled
            count = min(excess, account.held[upstream_id] - recalled)
            if count > 0:
                account.recalled[upstream_id] += count
                excess -= count
                effects.append(self._message(member_id, count, upstream_id))
        return effects

    def _message(
        self, member_id: MemberId, count: int, upstream_id: UpstreamId
    ) -> Send:
        return Send(
            member_id, Recall(self._service_name, *self._epoch, count, upstream_id)
        )
