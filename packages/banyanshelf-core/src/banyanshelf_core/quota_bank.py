"""Divides the quotas of workspaces among the availability zones of the fleet.

Each zone has one bank, at one of its gateways. A bank gains a fixed share of each
quota, whatever it hears of the others, so that the fleet keeps the quota while banks
cannot reach each other. Requests that one bank does not need are lent to another one;
the lender does not gain them again before the loan has expired.

Designed for workspaces whose callers move between zones or send many times their usual
rate. One request in a thousand of a workspace below its quota is a refusal too many.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from banyanshelf_core.model import WorkspaceName
from banyanshelf_core.text import OperatorText
from banyanshelf_core.token_bucket import TokenBucket

# Time constant of the average demand.
DEMAND_DECAY_S = 1.0
# A bank keeps what it needs for this long and lends the rest.
RESERVE_S = 0.5
# A bank that has less than it needs for this long borrows from the others.
LOOKAHEAD_S = 0.25
# Shares of the excess that the users allow. The first two are added to the rate and to
# the burst, as the division among the zones is never exact. The third is what the banks
# have at their start, when they do not know what was used before. The rest is for
# batches, and for banks that are replaced within one window.
EXTRA_RATE_SHARE = 0.45
EXTRA_BURST_SHARE = 0.2
START_SHARE = 0.2
# A bank that has lent much may still gain what its share of the quota gives in this
# time.
MIN_CAPACITY_S = 0.25


class Quota(NamedTuple):
    """Requests per second of a workspace, and how many more it may send at once."""

    per_s: float
    burst: float


class QuotaTerms(NamedTuple):
    """How exactly the fleet keeps quotas.

    In any ``window_s``, a workspace sends at most ``per_s * window_s + burst``
    requests, times ``1 + overshoot``, and ``slack`` more. The fleet has gateways in
    ``zones`` availability zones.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
    zones: int = 1

    def excess(self, quota: Quota) -> float:
        """Return the requests in a window that are allowed beyond the quota."""
        in_window = quota.per_s * self.window_s + quota.burst
        return in_window * self.overshoot + self.slack

    def granted(self, quota: Quota) -> Quota:
        """Return what the banks grant, which includes a part of the excess."""
        excess = self.excess(quota)
        return Quota(
            quota.per_s + EXTRA_RATE_SHARE * excess / self.window_s,
            quota.burst + EXTRA_BURST_SHARE * excess,
        )


@dataclass(slots=True)
class _Account:
    # What the banks grant together
    granted: Quota
    bucket: TokenBucket
    demand_per_s: float = 0.0
    demand_at: float = -math.inf
    # The same over a window of the quota
    window_demand_per_s: float = 0.0
    lent: deque[tuple[float, int]] = field(default_factory=deque)
    borrowed: int = 0
    borrowed_until: float = -math.inf
    # When the last refused caller was told to return
    returns_at: float = -math.inf


def quotas_of(text: OperatorText) -> dict[WorkspaceName, Quota]:
    """Return the quotas of the workspaces that have one."""
    return {
        name: Quota(each.requests_per_s, each.burst)
        for name, each in (text.workspaces or {}).items()
        if each.requests_per_s > 0
    }


class QuotaBank:
    """One zone's part of all quotas; times are in seconds.

    ``share`` is the part of each quota that the bank gains from ``gains_from``, which
    may lie ahead. ``has_start`` is false for a bank that must not grant anything at
    once.

    Example:
        If ``bank.take(now, "franchise-12")`` is true, a request may be sent; otherwise,
        ``bank.return_in_s(now, "franchise-12")`` says when its caller should return.

    """

    def __init__(
        self,
        terms: QuotaTerms,
        gains_from: float,
        share: float,
        *,
        has_start: bool = True,
    ) -> None:
        self._terms = terms
        self._gains_from = gains_from
        self._share = share
        self._start_share = START_SHARE if has_start else 0.0
        self._quotas: Mapping[WorkspaceName, Quota] = {}
        self._accounts: dict[WorkspaceName, _Account] = {}

    def set_quotas(self, now: float, quotas: Mapping[WorkspaceName, Quota]) -> None:
        """Apply the quotas of a new version; a higher burst is available at once."""
        self._quotas = quotas
        for name, account in list(self._accounts.items()):
            quota = quotas.get(name)
            if quota is None:
                del self._accounts[name]
                continue
            self._refill(now, account)
            granted = self._terms.granted(quota)
            gained = max(0.0, granted.burst - account.granted.burst) * self._share
            account.bucket.available += gained
            account.granted = granted
            self._refill(now, account)

    def set_share(self, now: float, share: float) -> None:
        """Change the part of each quota that the bank gains from now on."""
        if share == self._share:
            return
        for account in self._accounts.values():
            self._refill(now, account)
        self._share = share
        for account in self._accounts.values():
            self._refill(now, account)

    def take(self, now: float, name: WorkspaceName) -> bool:
        """Take one request; return whether there was one."""
        account = self._account(now, name)
        if account is None:
            return True
        self._note_demand(now, account, 1)
        return _spend(account, 1)

    def is_scarce(self, now: float, name: WorkspaceName) -> bool:
        """Whether callers have asked for all of the quota for some time."""
        account = self._account(now, name)
        return account is not None and self._spare_per_s(now, account) <= 0

    def take_again(self, now: float, name: WorkspaceName) -> bool:
        """Take a request that :meth:`take` has refused and that has waited since."""
        account = self._account(now, name)
        return account is None or _spend(account, 1)

    def return_in_s(self, now: float, name: WorkspaceName) -> float:
        """Return when a caller that is refused now should return, in seconds.

        Each caller gets a time of its own at which the quota has room beyond what new
        callers ask for. If they ask for all of it, that is one window later.
        """
        account = self._account(now, name)
        if account is None:
            return 0.0
        window_s = self._terms.window_s
        spare_per_s = self._spare_per_s(now, account)
        gap_s = min(window_s, 1 / spare_per_s) if spare_per_s > 0 else window_s
        account.returns_at = min(now + window_s, max(now, account.returns_at) + gap_s)
        return account.returns_at - now

    def give_back(self, now: float, name: WorkspaceName, count: int = 1) -> None:
        """Return requests that were taken and never sent."""
        account = self._account(now, name)
        if account is not None:
            capacity = self._capacity(now, account)
            available = account.bucket.available
            account.bucket.available = max(available, min(capacity, available + count))
            self._note_demand(now, account, -count)

    def lend_to_zone(
        self, now: float, name: WorkspaceName, wanted: int, valid_s: float
    ) -> int:
        """Return how many of ``wanted`` requests another zone's bank gets."""
        account = self._account(now, name)
        if account is None:
            return 0
        reserve = RESERVE_S * _demand(now, account)
        surplus = math.floor(max(0.0, account.bucket.available - reserve))
        count = min(wanted, surplus)
        if count:
            account.bucket.available -= count
            account.lent.append((now + valid_s, count))
        return count

    def grant_to_gateway(self, now: float, name: WorkspaceName, wanted: int) -> int:
        """Return how many of ``wanted`` requests a gateway of the zone gets.

        One gateway gets at most half of what is left, so that others get some too.
        """
        account = self._account(now, name)
        if account is None:
            return 0
        self._note_demand(now, account, wanted)
        count = min(wanted, math.ceil(math.floor(_left(account)) / 2))
        _spend(account, count)
        return count

    def borrow(
        self, now: float, name: WorkspaceName, count: int, valid_s: float
    ) -> None:
        """Add requests of another zone's bank, which expire after ``valid_s``."""
        account = self._account(now, name)
        if account is not None and count and valid_s > 0:
            account.borrowed += count
            account.borrowed_until = now + valid_s

    def wanted(self, now: float, name: WorkspaceName) -> int:
        """Return how many requests to borrow for the near future, at least one."""
        account = self._account(now, name)
        if account is None:
            return 0
        needed = RESERVE_S * _demand(now, account)
        return max(1, math.ceil(needed - _left(account)))

    def shortages(self, now: float) -> dict[WorkspaceName, int]:
        """Return how many requests to borrow for the workspaces that will be short."""
        return {
            name: self.wanted(now, name)
            for name, account in list(self._accounts.items())
            if self._is_short(now, account)
        }

    def _is_short(self, now: float, account: _Account) -> bool:
        self._refill(now, account)
        needed = LOOKAHEAD_S * _demand(now, account)
        return _left(account) < needed and needed >= 1

    def _spare_per_s(self, now: float, account: _Account) -> float:
        """Return what the bank gains beyond what is asked for, or less than 0."""
        asked_per_s = _window_demand(now, account, self._terms.window_s)
        return account.granted.per_s * self._share - asked_per_s

    def _note_demand(self, now: float, account: _Account, count: int) -> None:
        window_s = self._terms.window_s
        in_window = _window_demand(now, account, window_s) + count / window_s
        in_decay = _demand(now, account) + count / DEMAND_DECAY_S
        account.window_demand_per_s = max(0.0, in_window)
        account.demand_per_s = max(0.0, in_decay)
        account.demand_at = now

    def _account(self, now: float, name: WorkspaceName) -> _Account | None:
        account = self._accounts.get(name)
        if account is None:
            quota = self._quotas.get(name)
            if quota is None:
                return None
            granted = self._terms.granted(quota)
            per_s = granted.per_s * self._share
            # What the bank would have gained if it had counted from its start.
            start = self._terms.excess(quota) * self._start_share * self._share
            start += per_s * max(0.0, now - self._gains_from)
            account = _Account(granted, TokenBucket(0.0, start, now))
            self._accounts[name] = account
        self._refill(now, account)
        return account

    def _refill(self, now: float, account: _Account) -> None:
        if now >= account.borrowed_until:
            account.borrowed = 0
        has_begun = now >= self._gains_from
        per_s = account.granted.per_s * self._share if has_begun else 0.0
        account.bucket.refill(now, per_s, self._capacity(now, account))

    def _capacity(self, now: float, account: _Account) -> float:
        """Return the most that the bank may have, without what it has lent."""
        while account.lent and account.lent[0][0] <= now:
            account.lent.popleft()
        burst = account.granted.burst
        lent = sum(count for _, count in account.lent)
        # Most of what has been lent is used at once, so that the bank goes on gaining.
        # Without room for one request, it would never grant any.
        least = max(1.0, MIN_CAPACITY_S * account.granted.per_s * self._share)
        return max(least, burst * self._share - lent)


def _demand(now: float, account: _Account) -> float:
    """Return the requests per second that were asked for recently."""
    age_s = now - account.demand_at
    return account.demand_per_s * math.exp(-age_s / DEMAND_DECAY_S)


def _window_demand(now: float, account: _Account, window_s: float) -> float:
    """Return the requests per second that were asked for over about one window."""
    age_s = now - account.demand_at
    return account.window_demand_per_s * math.exp(-age_s / window_s)


def _left(account: _Account) -> float:
    return max(0.0, account.bucket.available) + account.borrowed


def _spend(account: _Account, count: int) -> bool:
    """Spend requests, those that expire first; return whether there were enough."""
    from_borrowed = min(count, account.borrowed)
    if account.bucket.available < count - from_borrowed:
        return False
    account.borrowed -= from_borrowed
    account.bucket.available -= count - from_borrowed
    return True
