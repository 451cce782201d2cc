"""Steps for upstreams that limit the requests they take from all gateways."""

from behave import given, then, when
from simulated_limits import CALL_S, LimitedFleet

from banyanshelf_daemon.request_limiter import QUERY_TIMEOUT_S

START_S = 4.0
# A refused call may have asked one keeper that does not answer, and some that do.
REFUSED_AT_ONCE_S = QUERY_TIMEOUT_S + 0.03


@given(
    "{gateways:d} gateways in {zones:d} zones, with {upstreams:d} upstreams whose "
    "requests are counted"
)
def step_fleet(context, gateways, zones, upstreams):
    context.fleet = LimitedFleet(gateways, zones, upstreams)
    context.fleet.settle(START_S)
    context.fleet.learn_work()


@when("{count:d} of the upstreams state a limit of {per_s:g} requests a second")
def step_limit(context, count, per_s):
    context.fleet.limit(count, per_s)


@when("the upstreams state no limit any more")
def step_lift(context):
    context.fleet.lift()


@when("callers make {rate:d} calls a second for {seconds:g} s")
def step_calls(context, rate, seconds):
    context.fleet.start_counting()
    context.fleet.run(seconds, rate)


@when("gateway {number:d} is killed")
def step_kill(context, number):
    context.fleet.stop(f"g{number}")


@when("gateway {number:d} is added")
def step_add(context, number):
    context.fleet.add(f"g{number}")


@when("gateway {number:d} is cut off from all others")
def step_cut(context, number):
    context.fleet.cut_off.add(f"g{number}")


@when("no gateway is cut off any more")
def step_heal(context):
    context.fleet.cut_off.clear()


@when("gateways know nobody at first, as their seeds do not answer")
def step_no_seeds(context):
    context.fleet.seeds = ["g250"]


@when("each gateway is restarted in turn while callers make {rate:d} calls a second")
def step_roll(context, rate):
    fleet = context.fleet
    fleet.start_counting()
    for name in sorted(fleet.sharings):
        fleet.sharings[name].announce_departure()
        fleet.run(0.5, rate)
        fleet.stop(name)
        fleet.run(0.3, rate)
        fleet.add(name)
        fleet.run(0.2, rate)


@when("all gateways are restarted at the same moment")
def step_restart_all(context):
    fleet = context.fleet
    names = sorted(fleet.sharings)
    for name in names:
        fleet.stop(name)
    for name in names:
        fleet.add(name)


@then("no upstream has got more requests than its limit allows")
def step_kept(context):
    fleet = context.fleet
    assert fleet.limited_at, "no upstream has stated a limit"
    assert not fleet.excess_by_upstream(), fleet.excess_by_upstream()


@then("the limited upstreams have got at least {percent:d} % of what they take")
def step_used(context, percent):
    fleet = context.fleet
    got, possible = fleet.use_of_limits()
    assert got >= percent / 100 * possible, (got, possible)


@then("calls are refused at once")
def step_refused(context):
    waits = context.fleet.refusal_waits
    assert waits, "no call was refused"
    assert max(waits) <= REFUSED_AT_ONCE_S, max(waits)


@then("at least {percent:d} % of the calls are answered")
def step_answered(context, percent):
    context.fleet.settle(2 * CALL_S)
    fleet = context.fleet
    share = fleet.answered / (fleet.answered + fleet.refused)
    assert share >= percent / 100, (fleet.answered, fleet.refused)
