"""Coordinator of one service: grants slot permits to the gateways."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from banyanshelf_core.messages import (
    Acquire,
    CoordinatorAnnounce,
    Grant,
    Holdings,
    Release,
)
from banyanshelf_core.model import (
    Broadcast,
    Epoch,
    MemberId,
    Send,
    ServiceName,
    Upstream,
    UpstreamId,
)
from banyanshelf_core.permits.effects import CoordinatorEffect, Probe
from banyanshelf_core.permits.granting import GrantScheduler
from banyanshelf_core.permits.ledger import (
    Account,
    Ledger,
    counts_of,
)
from banyanshelf_core.permits.limit_gate import LimitGate
from banyanshelf_core.permits.local_share import local_limit_share, local_share
from banyanshelf_core.permits.settings import CoordinatorSettings
from banyanshelf_core.permits.slot_choice import SlotSelector
from banyanshelf_core.probe_budget import ProbeBudget
from banyanshelf_core.request_limit import StatedLimit
from banyanshelf_core.upstream_health import UpstreamHealth

COLLECTION_TIMEOUT_S = 0.3
# A gateway that has no configuration text yet drops announcements. Repeating them keeps
# it from staying on its local share.
ANNOUNCE_INTERVAL_S = 0.5
# Interval for updating medians, ramps and ejections; a refresh of 400 upstreams takes
# 1.3 ms.
REFRESH_INTERVAL_S = 0.25


class SlotCoordinator:
    """Keeps the exact slot ledger of one service and grants its permits.

    The methods return the effects to execute. Messages of other epochs are ignored.
    """

    def __init__(
        self,
        now: float,
        rng: random.Random,
        service_name: ServiceName,
        epoch: Epoch,
        zones_by_member: Mapping[MemberId, str],
        upstreams_by_id: Mapping[UpstreamId, Upstream],
        settings: CoordinatorSettings,
        recently_removed: Mapping[MemberId, float] | None = None,
    ) -> None:
        self.service_name = service_name
        self.epoch = epoch
        self.settings = settings
        self.health = UpstreamHealth(
            settings.time_limit_s, settings.ramp_s, settings.eject_after_failures
        )
        self.budget = ProbeBudget(now, settings.probe_share)
        self.ledger = Ledger()
        self._zones_by_member = dict(zones_by_member)
        self._limits = LimitGate(self._share_of_limit)
        self._limit_shares: dict[UpstreamId, float] = {}
        self._selector = SlotSelector(
            rng, self.health, self.ledger.outstanding, self._limits
        )
        self._scheduler = GrantScheduler(
            service_name, epoch, self.ledger, self._selector, self._zones_by_member
        )
        self._probe_started_by_id: dict[UpstreamId, float] = {}
        self._refreshed_at = now
        self._collecting_until: float | None = now + COLLECTION_TIMEOUT_S
        self._repeat_announce_at = now + ANNOUNCE_INTERVAL_S
        for member_id in zones_by_member:
            self.ledger.accounts_by_member[member_id] = Account()
        self.health.set_upstreams(now, upstreams_by_id)
        self._selector.rebuild(now)
        for member_id, removed_at in (recently_removed or {}).items():
            self.ledger.reserve(
                self._local_share_of(member_id), removed_at + settings.time_limit_s
            )

    def start(self) -> list[CoordinatorEffect]:
        """Announce the epoch to all members, including this one."""
        announce = self._announce()
        return [Broadcast(announce), Send(self.epoch.member_id, announce)]

    def apply(self, settings: CoordinatorSettings) -> None:
        """Apply the settings of a new configuration text."""
        self.settings = settings
        self.budget.share = settings.probe_share
        self.health.apply(
            settings.time_limit_s, settings.ramp_s, settings.eject_after_failures
        )

    @property
    def is_collecting(self) -> bool:
        """Whether grants are held back until the members report their holdings."""
        return self._collecting_until is not None

    def on_message(
        self, now: float, sender: MemberId, message: Holdings | Acquire | Release
    ) -> list[CoordinatorEffect]:
        """Handle a gateway's message."""
        account = self.ledger.accounts_by_member.get(sender)
        is_current = (message.epoch_number, message.epoch_member) == self.epoch
        if account is None or not is_current:
            return []
        match message:
            case Acquire():
                self._update_demand(now, account, message)
            case Release():
                for each in message.permits:
                    if self.ledger.return_permits(sender, each.upstream, each.count):
                        self._selector.update(now, each.upstream)
                recalls = self._record_samples(now, message)
                self._update_demand(now, account, message)
                return recalls + self._serve(now)
            case Holdings():
                held = counts_of([*message.in_use, *message.idle])
                changed = self.ledger.replace(sender, held, message.permits_received)
                account.set_waiting(now, message.waiting, 0)
                for upstream_id in changed:
                    self._selector.update(now, upstream_id)
                self._end_collecting_if_complete(now)
                effects = self._recall_excess(now, changed) + self._serve(now)
                if account.last_sent < now:
                    # The gateway may have timed out waiting for a message; answer it.
                    effects.append(self._scheduler.refresh(now, sender, account))
                return effects
        return self._serve(now)

    def on_link(
        self, now: float, member_id: MemberId, *, is_up: bool
    ) -> list[CoordinatorEffect]:
        """Start or end a session with a gateway.

        While the link is down, the gateway's permits stay counted. After it is up
        again, nothing is granted until the gateway has reported its holdings.
        """
        account = self.ledger.accounts_by_member.get(member_id)
        if account is None:
            return []
        account.is_linked = is_up
        self._limit_shares.clear()
        account.has_reported = False
        account.arrivals.clear()
        account.is_told_of_contention = False
        return [Send(member_id, self._announce())] if is_up else []

    def on_unsent(
        self, now: float, member_id: MemberId, grant: Grant
    ) -> list[CoordinatorEffect]:
        """Revoke a grant that could not be sent because the link was down."""
        account = self.ledger.accounts_by_member.get(member_id)
        if account is None:
            return []
        account.is_linked = False
        self._limit_shares.clear()
        account.has_reported = False
        account.arrivals.clear()
        counts = counts_of(grant.permits)
        self.ledger.revoke_grants(member_id, list(counts.elements()))
        for upstream_id in counts:
            self._selector.update(now, upstream_id)
        return []

    def set_members(
        self, now: float, zones_by_member: Mapping[MemberId, str]
    ) -> list[CoordinatorEffect]:
        """Replace the live members.

        The permits of removed members are reclaimed after the service's time limit.
        """
        effects: list[CoordinatorEffect] = []
        accounts = self.ledger.accounts_by_member
        for member_id in [each for each in accounts if each not in zones_by_member]:
            self.ledger.remove(member_id, now + self.settings.time_limit_s)
        for member_id in zones_by_member:
            if member_id not in accounts:
                accounts[member_id] = Account()
                effects.append(Send(member_id, self._announce()))
        self._zones_by_member = dict(zones_by_member)
        self._scheduler.zones_by_member = self._zones_by_member
        self._limit_shares.clear()
        self._end_collecting_if_complete(now)
        return effects + self._serve(now)

    def set_upstreams(
        self, now: float, upstreams_by_id: Mapping[UpstreamId, Upstream]
    ) -> list[CoordinatorEffect]:
        """Replace the upstreams and recall the permits above their new limits."""
        self.health.set_upstreams(now, upstreams_by_id)
        self.health.refresh(now)
        self._limits.retain(upstreams_by_id)
        self._limit_shares.clear()
        self._selector.rebuild(now)
        upstream_ids = set(self.ledger.outstanding) | set(upstreams_by_id)
        return self._recall_excess(now, upstream_ids) + self._serve(now)

    def note_request_limit(
        self, now: float, upstream_id: UpstreamId, stated: StatedLimit
    ) -> list[CoordinatorEffect]:
        """Apply what an upstream states; permits that could be used again return."""
        if upstream_id not in self.health.records_by_id:
            return []
        if not self._limits.note(upstream_id, stated):
            return []
        self._selector.update(now, upstream_id)
        if stated.per_s is None:
            return self._serve(now)
        return self._scheduler.recalls.recall_above(upstream_id, 0)

    def on_probe_result(
        self, now: float, upstream_id: UpstreamId, *, succeeded: bool
    ) -> list[CoordinatorEffect]:
        """Readmit a probed upstream, or eject it again for longer."""
        started = self._probe_started_by_id.pop(upstream_id, None)
        if started is None:
            return []
        self.ledger.outstanding[upstream_id] -= 1
        excess_s = now - started - self.settings.probe_cost_s
        if excess_s > 0:
            self.budget.spend(now, upstream_id, excess_s)
        record = self.health.records_by_id.get(upstream_id)
        if record is not None:
            if not succeeded:
                self.health.eject(now, upstream_id)
            elif record.ejected_until is not None:
                self.health.readmit(now, upstream_id, probed=True)
        self._selector.update(now, upstream_id)
        return self._serve(now)

    def tick(self, now: float) -> list[CoordinatorEffect]:
        """Run timed work; to be called about every 25 ms."""
        effects: list[CoordinatorEffect] = []
        if self._collecting_until is not None and now >= self._collecting_until:
            self._assume_missing_holdings()
            self._collecting_until = None
            self._selector.rebuild(now)
        for upstream_id in self.ledger.reclaim(now):
            self._selector.update(now, upstream_id)
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self.health.refresh(now)
            effects += self._end_ejections(now)
            effects += self._recheck_limits(now)
            self._selector.rebuild(now)
        self._selector.update_limited(now)
        effects += self._announce_to_unreported(now)
        return effects + self._serve(now) + self._scheduler.refresh_waiting(now)

    def _announce_to_unreported(self, now: float) -> list[CoordinatorEffect]:
        if now < self._repeat_announce_at:
            return []
        self._repeat_announce_at = now + ANNOUNCE_INTERVAL_S
        return [
            Send(member_id, self._announce())
            for member_id, account in self.ledger.accounts_by_member.items()
            if not account.has_reported
        ]

    def waiting_count(self) -> int:
        """Return the total number of calls waiting at the gateways."""
        return sum(
            len(each.arrivals) for each in self.ledger.accounts_by_member.values()
        )

    def _recall_excess(
        self, now: float, upstream_ids: Iterable[UpstreamId]
    ) -> list[CoordinatorEffect]:
        effects: list[CoordinatorEffect] = []
        for upstream_id in upstream_ids:
            limit = self.health.usable_slots(now, upstream_id)
            effects += self._scheduler.recalls.recall_above(upstream_id, limit)
        return effects

    def _serve(self, now: float) -> list[CoordinatorEffect]:
        return [] if self.is_collecting else self._scheduler.serve(now)

    def _announce(self) -> CoordinatorAnnounce:
        return CoordinatorAnnounce(self.service_name, *self.epoch)

    def _update_demand(
        self, now: float, account: Account, message: Acquire | Release
    ) -> None:
        account.confirm(message.permits_received)
        account.set_waiting(now, message.waiting, message.oldest_wait_us)
        account.spare = message.spare
        account.urgent = max(0, message.urgent - len(account.unconfirmed))
        account.excluded = frozenset(message.excluded)

    def _record_samples(self, now: float, message: Release) -> list[CoordinatorEffect]:
        effects: list[CoordinatorEffect] = []
        for sample in message.samples:
            is_worse = self.health.record(
                now, sample.upstream, sample.service_time_us, sample.kind
            )
            if is_worse:
                effects += self._scheduler.recalls.recall_above(sample.upstream, 0)
            self._selector.update(now, sample.upstream)
        return effects

    def _end_collecting_if_complete(self, now: float) -> None:
        if self._collecting_until is not None and all(
            each.has_reported for each in self.ledger.accounts_by_member.values()
        ):
            self._collecting_until = None

    def _assume_missing_holdings(self) -> None:
        for member_id, account in self.ledger.accounts_by_member.items():
            if not account.has_reported and not account.held:
                self.ledger.assume_held(member_id, self._local_share_of(member_id))

    def _share_of_limit(self, upstream_id: UpstreamId) -> float:
        """Return the part of a limit that is not used by gateways without a link."""
        share = self._limit_shares.get(upstream_id)
        if share is None:
            accounts = self.ledger.accounts_by_member
            unlinked = [each for each in accounts if not accounts[each].is_linked]
            slots = self.health.records_by_id[upstream_id].upstream.slots
            share = 1 - local_limit_share(unlinked, accounts, upstream_id, slots)
            self._limit_shares[upstream_id] = share
        return share

    def _local_share_of(self, member_id: MemberId) -> Counter[UpstreamId]:
        members = {*self._zones_by_member, member_id}
        return Counter(
            {
                upstream_id: 1
                for upstream_id, record in self.health.records_by_id.items()
                if local_share(member_id, members, upstream_id, record.upstream.slots)
            }
        )

    def _end_ejections(self, now: float) -> list[CoordinatorEffect]:
        effects: list[CoordinatorEffect] = []
        cost_s = self.settings.probe_cost_s
        for upstream_id, record in self.health.records_by_id.items():
            until = record.ejected_until
            if until is None or now < until or upstream_id in self._probe_started_by_id:
                continue
            slots = record.upstream.slots
            if not self.budget.covers(now, upstream_id, slots, cost_s):
                self.health.readmit(now, upstream_id, probed=False)
            elif self.ledger.outstanding[upstream_id] < slots:
                effects += self._probe(now, upstream_id)
        return effects

    def _recheck_limits(self, now: float) -> list[CoordinatorEffect]:
        """Probe limited upstreams of which nothing was heard for a while."""
        effects: list[CoordinatorEffect] = []
        for upstream_id in self._limits.unheard(now):
            record = self.health.records_by_id[upstream_id]
            is_busy = upstream_id in self._probe_started_by_id
            if record.ejected_until is None and not is_busy:
                effects += self._probe(now, upstream_id)
        return effects

    def _probe(self, now: float, upstream_id: UpstreamId) -> list[CoordinatorEffect]:
        """Start a health probe, which takes a slot and a request of the limit."""
        if not self._limits.take(now, upstream_id, is_probe=True):
            return []
        self.budget.spend(now, upstream_id, self.settings.probe_cost_s)
        self._probe_started_by_id[upstream_id] = now
        self.ledger.outstanding[upstream_id] += 1
        return [Probe(upstream_id, is_repeated=self._limits.per_s(upstream_id) is None)]
