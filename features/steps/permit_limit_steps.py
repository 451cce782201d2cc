"""Steps for a permit fleet whose upstreams limit the requests they take."""

from behave import then, when
from limit_terms import excess_of


@when(
    "{count:d} upstreams of the permit fleet state a limit of {per_s:g} requests a "
    "second"
)
def step_limit(context, count, per_s):
    fleet = context.fleet
    context.limited_at = fleet.clock.seconds()
    fleet.limit_by_upstream = dict.fromkeys(sorted(fleet.upstreams)[:count], per_s)
    context.stated = dict(fleet.limit_by_upstream)


@then("no upstream of the permit fleet has got more requests than its limit allows")
def step_kept(context):
    fleet = context.fleet
    excess_by_upstream = {
        upstream_id: excess
        for upstream_id, per_s in context.stated.items()
        if (
            excess := excess_of(
                fleet.received[upstream_id],
                per_s,
                context.limited_at,
                fleet.clock.seconds(),
            )
        )
    }
    assert not excess_by_upstream, excess_by_upstream
