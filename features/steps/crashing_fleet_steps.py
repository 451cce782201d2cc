"""Steps for a request that crashes the upstreams that begin to run it."""

from behave import given, then, when
from crashing_fleet import QUARANTINE_S, RESTART_S, CrashingFleet

START_S = 4.0
ROLL_PAUSE_S = 0.2


@given(
    "{gateways:d} gateways in {zones:d} zones and {upstreams:d} upstreams that a "
    "request crashes"
)
def step_fleet(context, gateways, zones, upstreams):
    context.fleet = CrashingFleet(gateways, zones, upstreams)
    context.fleet.advance(START_S, 0)


@given("one datagram in {count:d} between these gateways is lost")
def step_lossy(context, count):
    context.fleet.lost_share = 1 / count


@given("upstreams go silent when they crash")
def step_silent(context):
    context.fleet.goes_silent = True


@given("one gateway has lost its link to one upstream")
def step_lost_link(context):
    # The gateway has connections that it does not know to be lost.
    context.fleet.run(2.0, 0, 40)
    context.fleet.lose_link()


@given("one upstream is frozen")
def step_frozen(context):
    next(iter(context.fleet.servers.values())).mood = "frozen"


@when(
    "callers send the same harmless request {rate:d} times a second for {seconds:g} s, "
    "and others"
)
def step_honest(context, rate, seconds):
    context.fleet.repeat_honest(seconds, b"/unsafe/same", rate)


@then("no harmless request was refused")
def step_no_refusal(context):
    fleet = context.fleet
    assert fleet.honest_statuses and fleet.statuses
    refused = [fleet.honest_statuses.count(503), fleet.statuses.count(503)]
    assert refused == [0, 0], refused


@then("some requests have got no answer of an upstream")
def step_unanswered(context):
    fleet = context.fleet
    assert 504 in fleet.honest_statuses + fleet.statuses


@when("{share:d} % of the upstreams are {mood}")
def step_mood(context, share, mood):
    context.fleet.change_mood(share / 100, mood)


@when(
    "callers send the request {rate:d} times and others {others:d} times a second "
    "for {seconds:g} s"
)
def step_run(context, rate, others, seconds):
    context.fleet.run(seconds, rate, others)


@when("callers send the request {rate:d} times a second until it has crashed {count:d}")
def step_run_until(context, rate, count):
    fleet = context.fleet
    for _ in range(100):
        if len(fleet.crashes) >= count:
            return
        fleet.run(0.1, rate, 20)


@when("{count:d} gateways are restarted one after the other while callers send it")
def step_roll(context, count):
    fleet = context.fleet
    for name in fleet.rng.sample(sorted(fleet.handlers), count):
        fleet.stop(name)
        fleet.run(ROLL_PAUSE_S, 4, 20)
        fleet.add(name)
        fleet.run(ROLL_PAUSE_S, 4, 20)


@when("{count:d} gateways are cut off from the others")
def step_cut(context, count):
    fleet = context.fleet
    fleet.cut_off = set(fleet.rng.sample(sorted(fleet.handlers), count))


@when("the gateways reach each other again")
def step_heal(context):
    context.fleet.cut_off = set()


@when("the upstreams are well again")
def step_well(context):
    context.fleet.heal()
    context.fleet.run(RESTART_S, 0, 20)


@when("{count:d} quarantines have passed while callers send it {rate:d} times a second")
def step_quarantines(context, count, rate):
    context.fleet.run(count * (QUARANTINE_S + 1.0), rate, 0)


@when("the route moves from service to service every {seconds:g} s, {count:d} times")
def step_move(context, seconds, count):
    for number in range(count):
        context.fleet.route_to([("till", "desk")[number % 2]])
        context.fleet.run(seconds, 4, 20)


@given("the route is split between two services")
def step_split(context):
    context.fleet.route_to(["desk", "till"])


@then("the request has reached no more upstreams than the operators allow")
def step_allowed(context):
    fleet = context.fleet
    assert fleet.crashes, "the request has crashed no upstream"
    found = fleet.late_retries(), len(fleet.crashes), len(fleet.arrivals)
    assert fleet.is_within_terms(), found


@then("at most {limit:d} upstreams have crashed under it")
def step_crashes(context, limit):
    assert len(context.fleet.crashes) <= limit, len(context.fleet.crashes)


@then("{share:d} % of the other requests are answered 200")
def step_served(context, share):
    statuses = context.fleet.statuses
    served = sum(each == 200 for each in statuses)
    assert statuses and served >= share / 100 * len(statuses), (served, len(statuses))
