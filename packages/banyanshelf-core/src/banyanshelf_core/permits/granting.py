"""Grants free slots to the gateways that have waiting calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from banyanshelf_core.messages import Grant
from banyanshelf_core.model import Epoch, MemberId, Send, ServiceName, UpstreamId
from banyanshelf_core.permits.effects import CoordinatorEffect
from banyanshelf_core.permits.ledger import Account, Ledger, slot_counts_of
from banyanshelf_core.permits.recalls import Recalls
from banyanshelf_core.permits.slot_choice import REUSABLE, SlotSelector

# Contention is kept up for this long after it ends, so that brief changes do not make
# gateways return idle permits and request them again.
CONTENTION_HOLD_S = 0.1
# Gateways with waiting calls treat the coordinator as unreachable if it sends nothing
# for a few of these intervals.
KEEPALIVE_INTERVAL_S = 0.1
# Spare permits are granted only while more than this share of the upstreams has a free
# slot.
SPARE_RESERVE_SHARE = 0.1


class GrantScheduler:
    """Decides the grants of one coordinator, normally the oldest waiting call first."""

    def __init__(
        self,
        service_name: ServiceName,
        epoch: Epoch,
        ledger: Ledger,
        selector: SlotSelector,
        zones_by_member: Mapping[MemberId, str],
    ) -> None:
        self._service_name = service_name
        self._epoch = epoch
        self._ledger = ledger
        self._selector = selector
        self._contended_until = 0.0
        self.zones_by_member = zones_by_member
        self.recalls = Recalls(service_name, epoch, ledger)

    def refresh(self, now: float, member_id: MemberId, account: Account) -> Send:
        """Return a grant without permits that carries the oldest call's wait."""
        return self._grant_message(now, member_id, account, Counter(), REUSABLE)

    def refresh_waiting(self, now: float) -> list[CoordinatorEffect]:
        """Return keepalives for gateways with waiting calls and no recent message."""
        return [
            self.refresh(now, member_id, account)
            for member_id, account in self._ledger.accounts_by_member.items()
            if account.arrivals
            and account.is_linked
            and now - account.last_sent >= KEEPALIVE_INTERVAL_S
        ]

    def serve(self, now: float) -> list[CoordinatorEffect]:
        """Grant free slots to waiting calls, then to requests for spare permits."""
        waiting: dict[MemberId, Account] = {}
        spare_requesters: list[MemberId] = []
        queue_length = 0
        for member_id, account in self._ledger.accounts_by_member.items():
            if not (account.has_reported and account.is_linked):
                continue
            if account.arrivals:
                waiting[member_id] = account
                queue_length += len(account.arrivals)
            if account.spare:
                spare_requesters.append(member_id)
        grants: dict[tuple[MemberId, str], Counter[UpstreamId]] = {}
        while waiting:
            if len(waiting) == 1:
                member_id = next(iter(waiting))
            else:
                member_id = min(waiting, key=lambda each: _sort_key(waiting[each]))
            account = waiting[member_id]
            picked = self._selector.pick(
                now,
                self.zones_by_member[member_id],
                account.excluded,
                queue_length,
            )
            if picked is None:
                del waiting[member_id]
                continue
            upstream_id, terms = picked
            account.arrivals.popleft()
            account.urgent = max(0, account.urgent - 1)
            queue_length -= 1
            if not account.arrivals:
                del waiting[member_id]
            self._record(now, grants, member_id, upstream_id, terms)
        effects: list[CoordinatorEffect] = []
        if queue_length:
            self._contended_until = now + CONTENTION_HOLD_S
            effects += self.recalls.recall_idle()
        elif now >= self._contended_until:
            self._serve_spare(now, spare_requesters, grants)
        for (member_id, terms), counts in grants.items():
            account = self._ledger.accounts_by_member[member_id]
            effects.append(self._grant_message(now, member_id, account, counts, terms))
        return effects

    def _serve_spare(
        self,
        now: float,
        spare_requesters: list[MemberId],
        grants: dict[tuple[MemberId, str], Counter[UpstreamId]],
    ) -> None:
        for member_id in spare_requesters:
            account = self._ledger.accounts_by_member[member_id]
            while account.spare > 0 and self._selector.has_reserve(SPARE_RESERVE_SHARE):
                zone = self.zones_by_member[member_id]
                upstream_id = self._selector.pick_fast(zone, account.excluded)
                if upstream_id is None:
                    break
                account.spare -= 1
                self._record(now, grants, member_id, upstream_id, REUSABLE)
            account.spare = 0

    def _record(
        self,
        now: float,
        grants: dict[tuple[MemberId, str], Counter[UpstreamId]],
        member_id: MemberId,
        upstream_id: UpstreamId,
        terms: str,
    ) -> None:
        self._ledger.grant(member_id, upstream_id)
        self._selector.take_request(now, upstream_id)
        self._selector.update(now, upstream_id)
        grants.setdefault((member_id, terms), Counter())[upstream_id] += 1

    def _grant_message(
        self,
        now: float,
        member_id: MemberId,
        account: Account,
        counts: Counter[UpstreamId],
        terms: str,
    ) -> Send:
        account.last_sent = now
        oldest = min(
            (
                each.arrivals[0]
                for each in self._ledger.accounts_by_member.values()
                if each.arrivals
            ),
            default=now,
        )
        is_contended = now < self._contended_until
        account.is_told_of_contention = is_contended
        return Send(
            member_id,
            Grant(
                self._service_name,
                *self._epoch,
                slot_counts_of(counts),
                int((now - oldest) * 1e6),
                is_contended,
                terms,
            ),
        )


def _sort_key(account: Account) -> tuple[bool, float]:
    """Return the sort key: gateways with urgent calls first, then the oldest call."""
    return account.urgent == 0, account.arrivals[0]
