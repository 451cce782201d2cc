"""Steps for the division of a workspace's quota among the banks of zones."""

import random
from collections import Counter

from behave import given, then, when
from quota_terms import IdealQuota, allowed, most_in_window

from banyanshelf_core.quota_bank import Quota, QuotaBank, QuotaTerms

NAME = "franchise-12"
STEP_S = 0.01
TICK_S = 0.1
LOAN_VALID_S = 0.5


class Banks:
    """The banks of some zones, which can reach each other at once or not at all."""

    def __init__(self, zones, quota, seed=1):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.terms = QuotaTerms(zones=zones)
        self.quota = quota
        self.banks = [self.new_bank(0.0) for _ in range(zones)]
        self.ideal = IdealQuota(quota.per_s, quota.burst, self.now)
        self.are_cut = False
        self.sent, self.returns = [], []
        self.asked = self.refused = 0
        self.given_back_share = 0.0
        self.changed_at = self.now
        self.rate = self._arrivals = 0.0

    def new_bank(self, started_at):
        bank = QuotaBank(self.terms, started_at, 1 / self.terms.zones)
        bank.set_quotas(self.now, {NAME: self.quota})
        return bank

    def call(self, zone):
        bank = self.banks[zone]
        self.asked += 1
        is_given_back = self.rng.random() < self.given_back_share
        if not is_given_back:
            self.ideal.take(self.now)
        if not bank.take(self.now, NAME):
            self.borrow(zone, bank.wanted(self.now, NAME))
            if not bank.take_again(self.now, NAME):
                self.refused += 1
                wait_s = bank.return_in_s(self.now, NAME)
                self.returns.append((self.now, self.now + wait_s))
                return
        if is_given_back:
            bank.give_back(self.now, NAME)
        else:
            self.sent.append(self.now)

    def borrow(self, zone, wanted):
        if self.are_cut:
            return
        for other, bank in enumerate(self.banks):
            if other != zone:
                got = bank.lend_to_zone(self.now, NAME, wanted, LOAN_VALID_S)
                self.banks[zone].borrow(self.now, NAME, got, LOAN_VALID_S)

    def run(self, seconds, rate, weights, replace=lambda banks: None):
        self.rate = rate
        for step in range(round(seconds / STEP_S)):
            self._arrivals += rate * STEP_S * self.rng.uniform(0.0, 2.0)
            while self._arrivals >= 1:
                self._arrivals -= 1
                self.call(self.rng.choices(range(len(weights)), weights)[0])
            self.now += STEP_S
            if step % round(TICK_S / STEP_S) == 0:
                for zone, bank in enumerate(self.banks):
                    for wanted in bank.shortages(self.now).values():
                        self.borrow(zone, wanted)
            replace(step)


@given(
    "banks in {zones:d} zones for a quota of {per_s:g} requests a second and a burst "
    "of {burst:g}"
)
def step_banks(context, zones, per_s, burst):
    context.banks = Banks(zones, Quota(per_s, burst))


@when("callers make {rate:g} requests a second for {seconds:g} s, spread {spread} %")
def step_calls(context, rate, seconds, spread):
    weights = [int(each) for each in spread.replace("and", ",").split(",") if each]
    context.banks.run(seconds, rate, weights)


@when("{count:d} requests arrive at once in one zone")
def step_burst(context, count):
    banks = context.banks
    banks.now += 2.0
    banks.refused = 0
    for _ in range(count):
        banks.call(0)


@when(
    "callers make {rate:g} requests a second for {seconds:g} s, of which 9 in 10 are "
    "given back"
)
def step_given_back(context, rate, seconds):
    context.banks.given_back_share = 0.9
    context.banks.run(seconds, rate, [1, 1, 1])


@when(
    "a bank is lost and replaced every 2 s while callers make {rate:g} requests a "
    "second for {seconds:g} s"
)
def step_replaced(context, rate, seconds):
    banks = context.banks
    every = round(2 / STEP_S)

    def replace(step):
        if step % every == 0:
            banks.banks[step // every % 3] = banks.new_bank(banks.now)

    banks.run(seconds, rate, [1, 1, 1], replace)


@when(
    "all banks are lost and replaced at once while callers make {rate:g} requests a "
    "second for {seconds:g} s"
)
def step_all_replaced(context, rate, seconds):
    banks = context.banks
    banks.asked = banks.refused = banks.ideal.refused = 0
    banks.banks = [banks.new_bank(banks.now) for _ in banks.banks]
    banks.run(seconds, rate, [1, 1, 1])


@when(
    "the zones are cut off from each other while callers make {rate:g} requests a "
    "second for {seconds:g} s"
)
def step_cut(context, rate, seconds):
    context.banks.are_cut = True
    context.banks.run(seconds, rate, [1, 1, 1])


@when("the quota is lowered to {per_s:g} requests a second and a burst of {burst:g}")
def step_lowered(context, per_s, burst):
    banks = context.banks
    banks.quota, banks.changed_at = Quota(per_s, burst), banks.now
    for bank in banks.banks:
        bank.set_quotas(banks.now, {NAME: banks.quota})


@then(
    "no more than {percent:g} % are refused beyond what one token bucket would refuse"
)
def step_few_refused(context, percent):
    banks = context.banks
    excess = banks.refused - banks.ideal.refused
    assert excess <= percent / 100 * banks.asked, (excess, banks.asked)


@then("none of these are refused")
def step_none_refused(context):
    assert not context.banks.refused, context.banks.refused


@then("the workspace has never sent more than its quota allows")
def step_kept(context):
    banks = context.banks
    most = most_in_window(banks.sent)
    assert most <= allowed(*banks.quota), (most, allowed(*banks.quota))


@then("the workspace has sent no more than its lower quota allows")
def step_lower_kept(context):
    banks = context.banks
    most = most_in_window(banks.sent, banks.changed_at)
    assert most <= allowed(*banks.quota), (most, allowed(*banks.quota))


@then("the workspace has sent at least {percent:g} % of what its quota allows")
def step_used(context, percent):
    banks = context.banks
    due = banks.quota.per_s * (banks.now - 100.0)
    assert len(banks.sent) >= percent / 100 * due, (len(banks.sent), due)


@then("callers are told to return between 0 and {latest:g} s later, not as a wave")
def step_waits(context, latest):
    returns = context.banks.returns
    assert all(0 <= until - at <= latest for at, until in returns), returns[:9]
    # Those that come together are not more than have been refused in a similar time.
    per_bin = Counter(round(until, 1) for _, until in returns)
    limit = 2 * context.banks.rate * 0.1 + 3
    assert max(per_bin.values()) <= limit, per_bin.most_common(3)
