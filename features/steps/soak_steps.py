"""Steps for short seeded runs of the fault soak."""

from behave import then, when
from soak.checks import timeless_faults_found
from soak.run import play


@when(
    "seed {seed:d} is played for {seconds:g} s with {gateways:d} gateways and "
    "{upstreams:d} upstreams"
)
def step_play(context, seed, seconds, gateways, upstreams):
    context.found = play(seed, seconds, gateways, upstreams, timeless_faults_found)


@when(
    "seed {seed:d} is played for {seconds:g} s with {gateways:d} gateways and "
    "{upstreams:d} upstreams, of which {limited:d} state a limit"
)
def step_play_limited(context, seed, seconds, gateways, upstreams, limited):
    context.found = play(
        seed, seconds, gateways, upstreams, timeless_faults_found, limited
    )


@then("no promise without a time was broken")
def step_kept(context):
    assert not context.found, context.found
