"""Steps for upstreams that state that they leave or want no requests."""

from behave import given, then, when
from stating_fleet import StatingFleet

START_S = 4.0


@given(
    "{gateways:d} gateways in {zones:d} zones and {upstreams:d} upstreams that say "
    "what they want"
)
def step_fleet(context, gateways, zones, upstreams):
    context.fleet = StatingFleet(gateways, zones, upstreams)
    context.fleet.settle(START_S)


@when("{share:d} % of the upstreams begin to leave")
def step_leave(context, share):
    context.fleet.leave(share / 100)


@when("{share:d} % of the upstreams want no requests for {seconds:g} s")
def step_pause(context, share, seconds):
    context.fleet.pause(share / 100, seconds)


@when("the upstreams are started again under their ids")
def step_restart(context):
    context.fleet.restart_upstreams()


@when("{count:d} of these gateways are cut off from the others")
def step_cut(context, count):
    fleet = context.fleet
    fleet.cut_off = set(fleet.rng.sample(sorted(fleet.sharings), count))


@when("callers make {rate:d} calls to them a second for {seconds:g} s")
def step_run(context, rate, seconds):
    fleet = context.fleet
    fleet.answered = fleet.turned_away = fleet.refused = 0
    fleet.refusals = []
    fleet.run(seconds, rate)


@then("no gateway sends more than is allowed to upstreams that have told it")
def step_kept(context):
    fleet = context.fleet
    assert fleet.left_at or fleet.pauses, "no upstream has said anything"
    late, excess = fleet.late_at_leaving(), fleet.excess_in_pauses()
    assert not late, (len(late), late[:3])
    assert not excess, (len(excess), excess[:3])


@then("{share:d} % of these calls are answered")
def step_answered(context, share):
    fleet = context.fleet
    total = fleet.answered + fleet.turned_away + fleet.refused
    found = fleet.answered, fleet.turned_away, fleet.refused
    assert fleet.answered >= share / 100 * total, found


@then("refused callers are told to return {least:g} to {most:g} s later, at many times")
def step_told(context, least, most):
    waits = [round(each.retry_after_s, 3) for each in context.fleet.refusals]
    assert waits, "no call was refused"
    assert min(waits) >= least and max(waits) <= most, (min(waits), max(waits))
    assert len(set(waits)) > len(waits) / 2, sorted(waits)[:20]
