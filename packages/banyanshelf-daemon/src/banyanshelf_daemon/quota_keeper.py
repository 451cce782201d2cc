"""The quota bank of an availability zone, kept by the first-ranked gateway.

In a large zone, that is the aggregator, which places the calls of all gateways and
counts them without further datagrams. In a small zone, the gateways draw batches from
the bank. Banks borrow from those of other zones; see
:mod:`banyanshelf_core.quota_bank`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred

from banyanshelf_core.datagrams import QuotaDraw, QuotaGrant
from banyanshelf_core.limit_keeper import SETTLE_TIME_S
from banyanshelf_core.model import Member, MemberId, WorkspaceName
from banyanshelf_core.quota_bank import Quota, QuotaBank, QuotaTerms
from banyanshelf_core.quota_batches import BATCH_VALID_S
from banyanshelf_core.zone_digest import AGGREGATOR_TIMEOUT_S
from banyanshelf_daemon.background import BackgroundTasks
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.quota_exchange import DrawResult, QuotaExchange

# A call waits at most this long for the banks of other zones.
BORROW_TIMEOUT_S = 0.02
# Borrowed requests that are not used within this time are lost.
LOAN_VALID_S = 0.5
# Banks that had nothing are not asked again for this long.
DRY_HOLD_S = 0.15
# A gateway that has not answered is not asked again for this long. By then, one that
# was lost has been removed from the members.
SILENCE_HOLD_S = 2.0
# Others replace a bank that is silent for this long. One that was paused for as long
# does not use what it had before.
MAX_PAUSE_S = AGGREGATOR_TIMEOUT_S
# Members report every 0.5 s. One that is silent for longer may have another bank.
MEMBER_SILENCE_S = 0.7
# A former bank that is cut off may gain for this long before it notices.
HANDOVER_S = MEMBER_SILENCE_S + 0.1
# A gateway that has heard of others in its zone learns of the rest within this time.
CONTACT_TIME_S = 0.3
# The part of its zone's quotas that a gateway uses if it has never heard from another.
# There may be as many that are cut off from each other.
ISOLATED_SHARE = 1 / 64

log = Logger("quotas")


class QuotaKeeper:
    """Selects the bank of the zone, and has it while this gateway is selected.

    ``aggregator`` returns the aggregator of a large zone, which may be this gateway, or
    None in a small zone. ``clock`` must count the time in which the host was suspended.

    Example:
        ``keeper.bank(now)`` is the bank, or None while another gateway has it.

    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        terms: QuotaTerms,
        aggregator: Callable[[], Member | None],
        exchange: QuotaExchange,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._members = gossip.members
        self._terms = terms
        self._aggregator = aggregator
        self._exchange = exchange
        self._rng = rng
        self._clock = clock
        self._started_at = clock()
        self._settled_at = self._started_at + SETTLE_TIME_S
        self._beat_at = clock()
        self._gave_up_at = -math.inf
        self.quotas: Mapping[WorkspaceName, Quota] = {}
        self._bank: QuotaBank | None = None
        self._ranked: list[Member] = [gossip.members.identity]
        self._silent_until_by_id: dict[MemberId, float] = {}
        self._bank_address_by_zone: dict[str, str] = {}
        self._waiting_by_workspace: dict[WorkspaceName, list[Deferred[None]]] = {}
        self._dry_until: dict[WorkspaceName, float] = {}
        self._tasks = BackgroundTasks(reactor)
        self.borrowed_requests = 0
        self.unanswered_draws = 0
        gossip.on_datagram(QuotaDraw, self._on_draw)

    def start(self) -> None:
        """Subscribe to changes of the members."""
        self._gossip.on_members_change(self._on_members_change)
        self._on_members_change()

    def stop(self) -> None:
        """Cancel the draws in progress."""
        self._tasks.stop()

    @property
    def is_bank(self) -> bool:
        """Whether this gateway has the bank of its zone."""
        return self._bank is not None

    def set_quotas(self, quotas: Mapping[WorkspaceName, Quota]) -> None:
        """Apply the quotas of a new version of the configuration."""
        self.quotas = quotas
        if self._bank is not None:
            self._bank.set_quotas(self._clock(), quotas)

    # Selection

    def bank_member(self, now: float) -> Member:
        """Return the gateway that this one takes for the bank of its zone."""
        for member_id, until in list(self._silent_until_by_id.items()):
            if now >= until:
                del self._silent_until_by_id[member_id]
        own = self._members.identity
        aggregator = self._aggregator()
        candidates = self._ranked if aggregator is None else [aggregator, *self._ranked]
        heard_since = -math.inf
        if aggregator is None:
            heard_since = self._reactor.seconds() - MEMBER_SILENCE_S
        for member in candidates:
            if member.id == own.id:
                return own
            is_heard = self._members.heard_at(member.id) >= heard_since
            if is_heard and member.id not in self._silent_until_by_id:
                return member
        return own

    def note_silent(self, member: Member) -> None:
        """Record that a gateway has not answered a draw."""
        self._silent_until_by_id[member.id] = self._clock() + SILENCE_HOLD_S
        self.unanswered_draws += 1
        log.info("{} did not answer a draw on quotas", member.id)

    def bank(self, now: float) -> QuotaBank | None:
        """Return the bank, after taking it over or giving it up."""
        pause_s, self._beat_at = now - self._beat_at, now
        if self._bank is not None and pause_s > MAX_PAUSE_S:
            log.warning("paused for {:.3f} s; quotas are counted anew", pause_s)
            self._bank = None
        if self.bank_member(now).id != self._members.identity.id:
            if self._bank is not None:
                log.info("another gateway keeps the quotas of the zone now")
                self._bank = None
                if not self.settling_s(now):
                    self._gave_up_at = now
        elif self._bank is None:
            log.info("this gateway keeps the quotas of the zone now")
            # Gateways that have just started settle instead.
            handover_s = HANDOVER_S if now >= self._started_at + SETTLE_TIME_S else 0.0
            # What a bank has at its start, it has once in a window.
            has_start = now >= self._gave_up_at + self._terms.window_s
            self._bank = self.new_bank(
                now + handover_s, self._share(), has_start=has_start
            )
        return self._bank

    def new_bank(
        self, gains_from: float, share: float, *, has_start: bool = True
    ) -> QuotaBank:
        """Return a bank that gains ``share`` of all quotas from ``gains_from``."""
        bank = QuotaBank(self._terms, gains_from, share, has_start=has_start)
        bank.set_quotas(self._clock(), self.quotas)
        return bank

    def settling_s(self, now: float) -> float:
        """Return how long the bank grants nothing yet, in seconds.

        Gateways that start together would each be the bank until they have met.
        """
        return max(0.0, self._settled_at - now)

    @property
    def zone_share(self) -> float:
        """The part of each quota that belongs to one zone."""
        return 1 / max(self._terms.zones, len(self._members.known_zones()))

    @property
    def zone_members(self) -> int:
        """The number of known gateways of the zone, this one included."""
        return len(self._ranked)

    def _share(self) -> float:
        """Return the part of each quota that belongs to this gateway's bank.

        After a partition of the zone, each side has its part of the zone's gateways.
        """
        if self._members.is_isolated:
            return self.zone_share * ISOLATED_SHARE
        heard_since = self._reactor.seconds() - MEMBER_SILENCE_S
        return self.zone_share * self._members.reachable_share(heard_since)

    def _on_members_change(self) -> None:
        zone = self._members.identity.zone
        self._ranked = self._members.ranked_in_zone(f"digest/{zone}")
        if len(self._ranked) > 1:
            contact_end = self._clock() + CONTACT_TIME_S
            self._settled_at = min(self._settled_at, contact_end)

    # Loans of other zones

    def is_dry(self, now: float, name: WorkspaceName) -> bool:
        """Whether no other bank has anything of a workspace, as far as is known."""
        if now < self._dry_until.get(name, now):
            return True
        return not self._other_banks()

    def loan(self, name: WorkspaceName) -> Deferred[None]:
        """Wait until the other banks have been asked for requests of a workspace."""
        waiting: Deferred[None] = Deferred()
        if name in self._waiting_by_workspace:
            self._waiting_by_workspace[name].append(waiting)
            return waiting
        self._waiting_by_workspace[name] = [waiting]
        bank = self._bank
        wanted = 1 if bank is None else bank.wanted(self._clock(), name)
        self._tasks.spawn(self._borrow({name: wanted}), "loan of quotas")
        return waiting

    def borrow_ahead(self, now: float) -> None:
        """Set the share of the bank; borrow for workspaces that will be short."""
        bank = self.bank(now)
        if bank is None:
            return
        bank.set_share(now, self._share())
        short = {
            name: count
            for name, count in bank.shortages(now).items()
            if name not in self._waiting_by_workspace and not self.is_dry(now, name)
        }
        if short and not self.settling_s(now):
            for name in short:
                self._waiting_by_workspace[name] = []
            self._tasks.spawn(self._borrow(short), "loan of quotas")

    def _other_banks(self) -> list[str]:
        """Return one address in each other zone; its gateway knows the bank."""
        addresses = []
        for zone in sorted(self._members.known_zones() - {self._members.identity.zone}):
            address = self._bank_address_by_zone.get(zone)
            if address is None:
                address = self._rng.choice(self._members.active_in_zone(zone)).address
            addresses.append(address)
        return addresses

    async def _borrow(self, wanted: dict[WorkspaceName, int]) -> None:
        """Ask the other banks for requests and let the waiting calls go on."""
        try:
            addresses = self._other_banks()
            result = await self._exchange.draw(addresses, wanted, BORROW_TIMEOUT_S)
            if len(result.grants) < len(addresses):
                self.unanswered_draws += 1
            # The gateway of a zone that has not answered is chosen anew.
            self._bank_address_by_zone = {
                grant.zone: address for address, grant in result.grants if grant.zone
            }
            self._apply_loans(wanted, result)
        finally:
            for name in wanted:
                for waiting in self._waiting_by_workspace.pop(name, []):
                    waiting.callback(None)

    def _apply_loans(
        self, wanted: Mapping[WorkspaceName, int], result: DrawResult
    ) -> None:
        now = self._clock()
        bank = self.bank(now)
        for name in wanted:
            count = sum(grant.granted.get(name, 0) for _, grant in result.grants)
            if not count:
                self._dry_until[name] = now + DRY_HOLD_S
            elif bank is not None:
                left_s = result.sent_at + LOAN_VALID_S - now
                bank.borrow(now, name, count, left_s)
                self.borrowed_requests += count

    # Draws of other gateways

    def _on_draw(self, draw: QuotaDraw, _address: str) -> None:
        now = self._clock()
        bank = self.bank(now)
        if bank is None:
            if not draw.is_forwarded:
                self._exchange.forward(self.bank_member(now).address, draw)
            elif draw.number:
                self._exchange.answer(draw, QuotaGrant(draw.number, "", {}))
            return
        for name, count in draw.returned.items():
            bank.give_back(now, name, count)
        if not draw.number:
            return
        is_own_zone = draw.zone == self._members.identity.zone
        if self.settling_s(now):
            waits = dict.fromkeys(draw.wanted, self.settling_s(now))
            self._answer(draw, {}, waits, 0.0)
        elif is_own_zone:
            self._tasks.spawn(self._grant_to_gateway(bank, draw), "grant of quotas")
        else:
            granted = {
                name: bank.lend_to_zone(now, name, count, LOAN_VALID_S)
                for name, count in draw.wanted.items()
            }
            self._answer(draw, granted, {}, LOAN_VALID_S)

    async def _grant_to_gateway(self, bank: QuotaBank, draw: QuotaDraw) -> None:
        now = self._clock()
        granted = {}
        for name, count in draw.wanted.items():
            granted[name] = bank.grant_to_gateway(now, name, count)
            if granted[name] or self.is_dry(now, name):
                continue
            await self.loan(name)
            now = self._clock()
            granted[name] = bank.grant_to_gateway(now, name, count)
        waits = {
            name: bank.return_in_s(now, name)
            for name, count in granted.items()
            if not count
        }
        self._answer(draw, granted, waits, BATCH_VALID_S)

    def _answer(
        self,
        draw: QuotaDraw,
        granted: Mapping[WorkspaceName, int],
        waits: dict[WorkspaceName, float],
        valid_s: float,
    ) -> None:
        counts = {name: count for name, count in granted.items() if count}
        zone = self._members.identity.zone
        grant = QuotaGrant(draw.number, zone, counts, waits, valid_s)
        self._exchange.answer(draw, grant)
