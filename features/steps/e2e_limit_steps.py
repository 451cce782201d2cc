"""Steps for backend servers that limit the requests they take from all daemons."""

from behave import given, then
from e2e_call_steps import judge_load
from limit_terms import excess_of


@given('upstreams "{upstreams}" state a limit of {per_s:g} requests a second')
def step_limit(context, upstreams, per_s):
    fleet = context.fleet
    context.limited = upstreams.split()
    context.limit_per_s = per_s
    context.known_by_upstream = {
        name: len(fleet.backend_statistics(name)["limited_at"])
        for name in context.limited
    }
    for name in context.limited:
        fleet.set_behavior(name, request_limit=per_s)
        context.add_cleanup(fleet.set_behavior, name, request_limit=-1.0)


def arrivals(context, upstream):
    """Return the arrivals at an upstream since it has stated its limit."""
    times = context.fleet.backend_statistics(upstream)["limited_at"]
    return times[context.known_by_upstream[upstream] :]


@then("no limited upstream has got more requests than its limit allows")
def step_kept(context):
    for name in context.limited:
        times = arrivals(context, name)
        assert times, f"{name} has got no request"
        excess = excess_of(times, context.limit_per_s, times[0], times[-1])
        assert excess is None, (name, excess)


@then(
    "the limited upstreams together have got at least {percent:d} % of what they take"
)
def step_used(context, percent):
    times = sorted(each for name in context.limited for each in arrivals(context, name))
    possible = (times[-1] - times[0]) * context.limit_per_s * len(context.limited)
    assert len(times) >= percent / 100 * possible, (len(times), possible)


@then("every call under load was answered or refused as not run")
def step_refused(context):
    judge_load(context, {"ok", "not_run"})


@then("no call under load but those of the killed daemon was lost")
def step_lost(context):
    judge_load(context, {"ok", "not_run", "lost"})
