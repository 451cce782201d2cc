"""Steps for upstreams that limit the requests they take from all gateways."""

from behave import given, then, when
from simulated_limits import LimitedFleet

START_S = 4.0


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


@when("callers make {rate:d} calls a second for {seconds:g} s")
def step_calls(context, rate, seconds):
    fleet = context.fleet
    fleet.answered = fleet.refused = 0
    fleet.refusal_waits = []
    context.run_from, context.run_s = fleet.reactor.seconds(), seconds
    fleet.run(seconds, rate)


@then("no upstream has got more requests than its limit allows")
def step_kept(context):
    fleet = context.fleet
    assert fleet.limited_at, "no upstream has stated a limit"
    assert not fleet.excess_by_upstream(), fleet.excess_by_upstream()
