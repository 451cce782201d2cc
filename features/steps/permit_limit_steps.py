"""Steps for a permit fleet whose upstreams limit the requests they take."""

from behave import then, when
from limit_terms import excess_of

# Each load step ends with this time without new calls.
DRAIN_S = 2.5
AT_ONCE_S = 0.01


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


@then(
    "the limited upstreams of the permit fleet have got {percent:d} % of what they take"
)
def step_used(context, percent):
    fleet = context.fleet
    since = context.limited_at
    seconds = fleet.clock.seconds() - since - DRAIN_S
    got = sum(each >= since for key in context.stated for each in fleet.received[key])
    possible = sum(context.stated.values()) * seconds
    assert got >= percent / 100 * possible, (got, possible)


@when("the upstreams of the permit fleet state no limit any more")
def step_lift(context):
    context.fleet.limit_by_upstream = {}


@when(
    "the permit fleet handles {rate:d} calls a second for {seconds:d} seconds, which "
    "are counted"
)
def step_counted(context, rate, seconds):
    fleet = context.fleet
    fleet.started = fleet.answered = fleet.refused = 0
    context.execute_steps(
        f"When the permit fleet handles {rate} calls a second for {seconds} seconds"
    )


@then("the permit fleet has answered every counted call")
def step_counted_answered(context):
    fleet = context.fleet
    assert fleet.answered == fleet.started > 0, (fleet.answered, fleet.started)


@then("{percent:d} % of the calls that the permit fleet refuses are refused at once")
def step_refused_at_once(context, percent):
    waits = context.fleet.refusal_waits
    assert waits, "no call was refused"
    at_once = sum(each <= AT_ONCE_S for each in waits)
    assert at_once >= percent / 100 * len(waits), (at_once, len(waits))


@when("{count:d} gateways of the permit fleet are cut off from all others")
def step_cut(context, count):
    fleet = context.fleet
    others = [each for each in fleet.gateways if each != fleet.coordinator_id()]
    context.cut_off = others[:count]
    _set_links(fleet, context.cut_off, is_up=False)


@when("no gateway of the permit fleet is cut off any more")
def step_heal(context):
    _set_links(context.fleet, context.cut_off, is_up=True)


def _set_links(fleet, cut_off, *, is_up):
    for member_id in cut_off:
        for other in fleet.gateways:
            if other != member_id:
                fleet.set_link(member_id, other, is_up)
