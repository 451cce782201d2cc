"""Steps for the room that zones lend each other."""

import math

from behave import given, step, then, when

from banyanshelf_core.placement.lent_room import (
    LOAN_PERIOD_S,
    Lender,
    Loans,
    RoomNeed,
    ZoneState,
)

SWING_PERIOD_S = 5.0


@given("a zone whose service has {slots:d} slots")
def step_zone(context, slots):
    context.now, context.need, context.slots = 0.0, RoomNeed(), slots


@step("{used:d} slots are in use")
def step_used(context, used):
    step_used_for(context, used, 0.0)


@step("{used:d} slots are in use for {seconds:g} s")
def step_used_for(context, used, seconds):
    for _ in range(max(1, round(seconds / LOAN_PERIOD_S))):
        context.now += LOAN_PERIOD_S
        state = ZoneState(context.slots, used, 0)
        context.need.update(context.now, state.utilization, state.waiting)


@step("{used:d} slots are in use while {waiting:d} calls wait")
def step_waiting(context, used, waiting):
    state = ZoneState(context.slots, used, waiting)
    context.need.update(context.now, state.utilization, state.waiting)


@then("the service is short of room")
def step_short(context):
    assert context.need.is_short


@then("the service has enough room")
def step_enough(context):
    assert not context.need.is_short


@given("a zone whose service has {slots:d} slots, {used:d} of them in use")
def step_lender(context, slots, used):
    context.now, context.lender = 0.0, Lender()
    context.state = ZoneState(slots, used, 0)


@given("{waiting:d} of its own calls waits")
def step_lender_waiting(context, waiting):
    context.state = context.state._replace(waiting=waiting)


@when("{count:d} gateways of other zones ask for room in turn")
def step_ask(context, count):
    context.lent = {}
    # The first round tells the lender how many share the room.
    for _ in range(3):
        for number in range(count):
            ask(context, f"g{number}")
        context.now += LOAN_PERIOD_S


@when("only the first one asks {seconds:g} s later")
def step_ask_again(context, seconds):
    context.now += seconds
    context.lent = {}
    ask(context, "g0")


def ask(context, borrower):
    calls = context.lender.lend(context.now, borrower, context.state, lenders=1)
    context.lent[borrower] = calls


@when("a second gateway asks for room as well")
def step_ask_second(context):
    ask(context, "second")


@then("each of them may send {calls:d} calls")
def step_lent(context, calls):
    assert set(context.lent.values()) == {calls}, context.lent


@then("the second one may send {calls:d} calls")
def step_lent_second(context, calls):
    assert context.lent["second"] == calls, context.lent


@given('a loan of {calls:d} calls by zone "{zone}"')
def step_loan(context, calls, zone):
    context.now, context.loans, context.zone = 0.0, Loans(), zone
    context.loans.record(context.now, zone, calls, {"u1"})


@when('{calls:d} calls go to zone "{zone}"')
def step_take(context, calls, zone):
    for _ in range(calls):
        context.loans.take(context.now, zone)


@when("no answer of the lender comes for {seconds:g} s")
def step_pass(context, seconds):
    context.now += seconds


@then("{calls:d} more calls may go there")
def step_left(context, calls):
    assert context.loans.calls_left(context.now, context.zone) == calls


@given("two zones of {slots:d} slots whose load moves from one to the other every 5 s")
def step_two_zones(context, slots):
    context.slots = slots


@when("they borrow from each other for {seconds:d} s")
def step_borrow(context, seconds):
    """Play zones with 20 to 60 calls each and together at most 80 at 80 slots."""
    needs, lenders = [RoomNeed(), RoomNeed()], [Lender(), Lender()]
    borrowed = [0, 0]
    context.begins, context.unserved = [0, 0], 0
    for tick in range(round(seconds / LOAN_PERIOD_S)):
        now = tick * LOAN_PERIOD_S
        swing = 15 * math.sin(2 * math.pi * now / (2 * SWING_PERIOD_S))
        demand = [30 + swing, 30 - swing]
        states = []
        for zone in (0, 1):
            used = demand[zone] - borrowed[zone] + borrowed[1 - zone]
            waiting = max(0, math.ceil(used - context.slots))
            states.append(ZoneState(context.slots, min(used, context.slots), waiting))
        for zone in (0, 1):
            was_short = needs[zone].is_short
            own, other = states[zone], states[1 - zone]
            is_short = needs[zone].update(now, own.utilization, own.waiting)
            context.begins[zone] += is_short and not was_short
            lent = lenders[1 - zone].lend(now, "other", other, 1) if is_short else 0
            excess = max(0, math.ceil(demand[zone] - context.slots))
            borrowed[zone] = min(excess, borrowed[zone] + lent) if is_short else 0
            if own.waiting and other.slots - other.in_flight >= 8 and tick:
                context.unserved += own.waiting > lent + 1


@then("no call is without a slot though the other zone had 8 free ones")
def step_all_served(context):
    assert not context.unserved, context.unserved


@then("a zone begins to borrow at most {count:d} times")
def step_begins(context, count):
    assert max(context.begins) <= count, context.begins
