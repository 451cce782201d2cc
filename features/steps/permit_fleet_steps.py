"""Steps for a fleet of gateways with permits on a controlled clock."""

from behave import given, then, when
from permit_fleet import Fleet

STEP_S = 0.0005


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
