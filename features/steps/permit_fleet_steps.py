"""Steps for a fleet of gateways with permits on a controlled clock."""

from behave import given, then, when
from permit_faults import RandomFaults
from permit_fleet import Fleet

STEP_S = 0.0005
FAULTS_PER_SECOND = 6
MEMBER_CHANGE_SPACING_S = 8.0


@given(
    "a permit fleet of {gateways:d} gateways and {upstreams:d} upstreams with "
    "{slots:d} slots, seed {seed:d}"
)
def step_fleet(context, gateways, upstreams, slots, seed):
    context.fleet = Fleet(seed, gateways, upstreams, slots)


@when("the permit fleet handles {rate:d} calls a second for {seconds:d} seconds")
def step_load(context, rate, seconds):
    fleet = context.fleet
    member_ids = sorted(fleet.gateways)
    for _ in range(round(seconds / STEP_S)):
        fleet.clock.advance(STEP_S)
        while fleet.rng.random() < rate * STEP_S / (1 + rate * STEP_S):
            fleet.call(fleet.rng.choice(member_ids))
    fleet.advance(2.5)


@then("the permit fleet has answered every call")
def step_answered(context):
    fleet = context.fleet
    assert fleet.answered == fleet.started > 0, (fleet.answered, fleet.started)
    assert not fleet.waiting and not fleet.refused


@then("no upstream of the permit fleet ran more calls than its slots")
def step_limit(context):
    for upstream_id, highest in context.fleet.highest.items():
        assert highest <= context.fleet.upstreams[upstream_id].slots, highest


@when(
    "random faults hit the permit fleet at {calls:d} calls a second for "
    "{seconds:d} seconds"
)
def step_faults(context, calls, seconds):
    context.faults = RandomFaults(context.fleet, calls, MEMBER_CHANGE_SPACING_S)
    context.faults.run(seconds, FAULTS_PER_SECOND)
    assert sum(context.faults.counts.values()) > 10, context.faults.counts


@when(
    "the permit fleet runs for {seconds:d} seconds without faults and then without "
    "calls"
)
def step_quiet(context, seconds):
    context.faults.run(seconds, 0)
    context.faults.rate = 0
    context.faults.run(4, 0)


@then("every call of the permit fleet was assigned or refused")
def step_all_ended(context):
    fleet = context.fleet
    assert not fleet.waiting, fleet.waiting
    assert fleet.answered + fleet.refused == fleet.started
    assert fleet.answered > fleet.started / 3, (fleet.answered, fleet.started)


@then("the coordinator of the permit fleet counts exactly what the gateways hold")
def step_exact(context):
    context.faults.check_ledger()
