"""Admits the calls of workspaces by their quotas."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred, fail, succeed

from banyanshelf_core.limit_keeper import ASSUMED_ZONE_MEMBERS
from banyanshelf_core.model import Member, WorkspaceName
from banyanshelf_core.placement.decisions import PlacementRequest
from banyanshelf_core.quota_bank import QuotaBank, QuotaTerms, quotas_of
from banyanshelf_core.quota_batches import QuotaBatches
from banyanshelf_daemon.background import BackgroundTasks, PeriodicTask
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ConfigurationSource,
    QuotaExceededError,
)
from banyanshelf_daemon.quota_exchange import DrawResult, QuotaExchange
from banyanshelf_daemon.quota_keeper import DRY_HOLD_S, QuotaKeeper

TICK_S = 0.1
# A caller waits at most this long for the bank of its zone, which may ask those of
# other zones first.
DRAW_TIMEOUT_S = 0.04
# A bank that had nothing is not asked again for this long. It keeps what it gains
# meanwhile.
REFUSAL_HOLD_S = 0.25
# A late call that is refused in favor of others should not return before this time.
LATE_RETURN_S = 1.0
LOG_PERIOD_S = 1.0

log = Logger("quotas")


class QuotaLimiter:
    """Takes the requests of this gateway's calls from the bank of its zone.

    While the bank is at another gateway, requests are drawn in batches. The other
    arguments are described at :class:`~.quota_keeper.QuotaKeeper`.

    Example:
        ``limiter.admit(request)`` returns None if the call may be placed at once.
        Otherwise, it returns a Deferred, which fails with :class:`QuotaExceededError`
        if the quota of the call's workspace is used up.

    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        configuration: ConfigurationSource,
        terms: QuotaTerms,
        aggregator: Callable[[], Member | None],
        rng: random.Random,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._configuration = configuration
        self._identity = gossip.members.identity
        self._clock: Callable[[], float] = clock or reactor.seconds
        self._exchange = QuotaExchange(reactor, gossip, rng, self._clock)
        self.keeper = QuotaKeeper(
            reactor, gossip, terms, aggregator, self._exchange, rng, self._clock
        )
        self._batches = QuotaBatches()
        # What this gateway grants itself while no bank answers
        self._allotment: QuotaBank | None = None
        self._waiting_by_workspace: dict[WorkspaceName, list[Deferred[None]]] = {}
        self._tasks = BackgroundTasks(reactor)
        self._ticker = PeriodicTask(reactor, self._tick, "quotas")
        self._log_ticker = PeriodicTask(reactor, self._log_refusals, "quota log")
        self._refused: Counter[WorkspaceName] = Counter()
        self.refused_calls = 0

    def start(self) -> None:
        """Subscribe to the configuration and the members; start periodic tasks."""
        self._configuration.on_change(self._on_text)
        active = self._configuration.active()
        if active is not None:
            self._on_text(active)
        self.keeper.start()
        self._ticker.start(TICK_S)
        self._log_ticker.start(LOG_PERIOD_S)

    def stop(self) -> None:
        """Stop the periodic tasks and the draws in progress."""
        self._ticker.stop()
        self._log_ticker.stop()
        self._tasks.stop()
        self.keeper.stop()

    def admit(self, request: PlacementRequest) -> Deferred[None] | None:
        """Take one request of the quota of the call's workspace."""
        name = request.workspace
        if not request.counts_toward_quota or name not in self.keeper.quotas:
            return None
        now = self._clock()
        bank = self.keeper.bank(now)
        if bank is None:
            return self._take_from_batch(now, request)
        if self.keeper.settling_s(now):
            return Deferred.fromCoroutine(self._take_when_settled(request))
        if self._is_late(now, request) and bank.is_scarce(now, name):
            return fail(self._refusal(name, bank.return_in_s(now, name)))
        if bank.take(now, name):
            return None
        if self.keeper.is_dry(now, name):
            return fail(self._refusal(name, bank.return_in_s(now, name)))
        return Deferred.fromCoroutine(self._take_after_loan(name))

    def give_back(self, request: PlacementRequest) -> None:
        """Return the request of a call that was admitted and never sent."""
        name = request.workspace
        if not request.counts_toward_quota or name not in self.keeper.quotas:
            return
        now = self._clock()
        bank = self.keeper.bank(now)
        if bank is not None:
            bank.give_back(now, name)
        else:
            self._batches.give_back(now, name)

    async def _take_when_settled(self, request: PlacementRequest) -> None:
        """Let a call wait until the gateways that have just started have met."""
        while settling_s := self.keeper.settling_s(self._clock()):
            await self._tasks.sleep(min(settling_s, TICK_S))
        await (self.admit(request) or succeed(None))

    async def _take_after_loan(self, name: WorkspaceName) -> None:
        await self.keeper.loan(name)
        now = self._clock()
        bank = self.keeper.bank(now)
        if bank is None:
            raise self._refusal(name, DRY_HOLD_S)
        if not bank.take_again(now, name):
            raise self._refusal(name, bank.return_in_s(now, name))

    # Batches

    def _take_from_batch(
        self, now: float, request: PlacementRequest
    ) -> Deferred[None] | None:
        name = request.workspace
        if self._is_late(now, request) and self._batches.is_scarce(now, name):
            return fail(self._refusal(name, LATE_RETURN_S))
        if self._batches.take(now, name):
            return None
        wait_s = self._batches.refused_for_s(now, name)
        if wait_s:
            return fail(self._refusal(name, wait_s))
        return Deferred.fromCoroutine(self._take_after_draw(request))

    async def _take_after_draw(self, request: PlacementRequest) -> None:
        name = request.workspace
        waiting: Deferred[None] = Deferred()
        if name in self._waiting_by_workspace:
            self._waiting_by_workspace[name].append(waiting)
        else:
            now = self._clock()
            self._start_draw(
                {name: self._batches.wanted(now, name)} | self._batches.wanted_soon(now)
            )
            self._waiting_by_workspace[name].append(waiting)
        await waiting
        now = self._clock()
        if self._batches.take_again(now, name):
            return
        if self.keeper.settling_s(now):
            await self._take_when_settled(request)
            return
        wait_s = self._batches.refused_for_s(now, name)
        if wait_s:
            raise self._refusal(name, wait_s)
        allotment = self._current_allotment(now)
        if not allotment.take(now, name):
            raise self._refusal(name, allotment.return_in_s(now, name))

    def _current_allotment(self, now: float) -> QuotaBank:
        """Return this gateway's own small share, used while no bank answers."""
        if self._allotment is None:
            members = max(self.keeper.zone_members, ASSUMED_ZONE_MEMBERS)
            share = self.keeper.zone_share / members
            self._allotment = self.keeper.new_bank(now, share, has_start=False)
        return self._allotment

    def _start_draw(self, wanted: Mapping[WorkspaceName, int]) -> None:
        """Draw batches, except for workspaces with a draw in progress."""
        waiting = self._waiting_by_workspace
        due = {name: count for name, count in wanted.items() if name not in waiting}
        if due:
            waiting.update({name: [] for name in due})
            self._tasks.spawn(self._draw(due), "draw of quotas")

    async def _draw(self, wanted: dict[WorkspaceName, int]) -> None:
        """Draw batches from the bank of the zone and let the waiting calls go on."""
        try:
            member = self.keeper.bank_member(self._clock())
            expired = self._batches.remove_expired(self._clock())
            result = await self._exchange.draw(
                [member.address], wanted, DRAW_TIMEOUT_S, expired
            )
            if result.grants:
                self._apply_grant(wanted, result)
            elif member.id != self._identity.id:
                self.keeper.note_silent(member)
        finally:
            for name in wanted:
                for waiting in self._waiting_by_workspace.pop(name, []):
                    waiting.callback(None)

    def _apply_grant(
        self, wanted: Mapping[WorkspaceName, int], result: DrawResult
    ) -> None:
        now = self._clock()
        _, grant = result.grants[0]
        if grant.zone:
            self._allotment = None
        is_settling = self.keeper.settling_s(now) > 0
        for name in wanted:
            count = grant.granted.get(name, 0)
            if count:
                expires_at = result.sent_at + grant.valid_s
                self._batches.add(now, name, count, expires_at)
            elif (
                name in grant.waits
                and self._waiting_by_workspace[name]
                and not is_settling
            ):
                # A batch that nobody waits for may have been refused for others' sake.
                wait_s = grant.waits[name]
                self._batches.note_refusal(now, name, REFUSAL_HOLD_S, wait_s)

    # Changes

    def _on_text(self, active: ActiveText) -> None:
        quotas = quotas_of(active.text)
        self.keeper.set_quotas(quotas)
        if self._allotment is not None:
            self._allotment.set_quotas(self._clock(), quotas)

    def _tick(self) -> None:
        now = self._clock()
        if self.keeper.bank(now) is not None:
            self._allotment = None
            self.keeper.borrow_ahead(now)
            return
        renewals = self._batches.renewals(now)
        if renewals:
            self._start_draw(renewals | self._batches.wanted_soon(now))
            return
        expired = self._batches.remove_expired(now)
        if expired:
            self._exchange.give_back(self.keeper.bank_member(now).address, expired)

    @staticmethod
    def _is_late(now: float, request: PlacementRequest) -> bool:
        """Whether a call is past its target.

        While a workspace is over its quota, another call can still be answered in time.
        """
        return request.target <= now

    def _refusal(self, name: WorkspaceName, wait_s: float) -> QuotaExceededError:
        self._refused[name] += 1
        self.refused_calls += 1
        return QuotaExceededError(f"the quota of workspace {name} is used up", wait_s)

    def _log_refusals(self) -> None:
        for name, count in self._refused.items():
            quota = self.keeper.quotas.get(name)
            log.info(
                "workspace {} is over its quota of {} requests a second: {} refused",
                name,
                "?" if quota is None else f"{quota.per_s:g}",
                count,
            )
        self._refused.clear()
