"""Steps for fleets of gateways that keep the quotas of workspaces."""

from behave import given, then, when
from quota_fleet import QuotaFleet
from quota_terms import allowed, most_in_window


@given(
    "{gateways:d} gateways in {zones:d} zones with {workspaces:d} workspaces of "
    "{per_s:d} requests a second"
)
def step_fleet(context, gateways, zones, workspaces, per_s):
    context.fleet = QuotaFleet(gateways, zones, workspaces, per_s)


@when("each workspace makes {rate:g} requests a second for {seconds:g} s")
def step_all(context, rate, seconds):
    context.fleet.run(seconds, dict.fromkeys(context.fleet.names, rate))


@when(
    "one workspace makes {most:g} requests a second and the others {rate:g} for "
    "{seconds:g} s"
)
def step_hot(context, most, rate, seconds):
    fleet = context.fleet
    hot = fleet.names[0]
    fleet.run(seconds, dict.fromkeys(fleet.names, rate) | {hot: most})


@when("all callers move to zone {number:d}")
def step_move(context, number):
    context.fleet.callers_in = context.fleet.zones[number]


@when("the gateways that keep the quotas are killed")
def step_kill(context):
    fleet = context.fleet
    keepers = fleet.keepers()
    assert len(keepers) == len(fleet.zones), keepers
    for name in keepers:
        fleet.stop(name)


@when("the gateways that keep the quotas are cut off")
def step_cut(context):
    fleet = context.fleet
    fleet.cut_off |= set(fleet.keepers())


@when("a tenth of the datagrams is lost")
def step_loss(context):
    context.fleet.lost_share = 0.1


@when("all gateways are restarted at once")
def step_restart(context):
    for name in list(context.fleet.sharings):
        context.fleet.restart(name, 1.0)


@when("half of the calls are past their target")
def step_late(context):
    context.fleet.late_share = 0.5


@when("all gateways are paused for {seconds:g} s")
def step_pause(context, seconds):
    context.fleet.paused_s += seconds


@then("no gateway has more than its share of a start")
def step_start_only(context):
    fleet = context.fleet
    fleet.sent.clear()
    for name in list(fleet.sharings):
        for _ in range(50):
            fleet.call(name, fleet.names[0])
    fleet.settle(0.01)
    # A quarter of the excess that the users allow
    start = (allowed(fleet.per_s, fleet.per_s) - fleet.per_s * 6) / 4
    assert len(fleet.sent[fleet.names[0]]) <= start, len(fleet.sent[fleet.names[0]])


@then("no workspace has sent more than its quota allows")
def step_kept(context):
    fleet = context.fleet
    limit = allowed(fleet.per_s, fleet.per_s)
    most = {name: most_in_window(times) for name, times in fleet.sent.items()}
    assert max(most.values()) <= limit, (most, limit)


@then("that workspace has sent at least {percent:g} % of what its quota allows")
def step_used(context, percent):
    fleet = context.fleet
    times = fleet.sent[fleet.names[0]]
    since = fleet.counted_from
    due = fleet.per_s * (fleet.reactor.seconds() - since)
    got = sum(each >= since for each in times)
    assert got >= percent / 100 * due, (got, due)


@then("no request is refused")
def step_none_refused(context):
    fleet = context.fleet
    assert not fleet.over_quota, fleet.over_quota
    assert not fleet.otherwise_refused, fleet.otherwise_refused


@then("no request of the other workspaces is refused")
def step_others_served(context):
    others = set(context.fleet.over_quota) - {context.fleet.names[0]}
    assert not others, context.fleet.over_quota


@then("requests over the quota are refused within {seconds:g} s")
def step_at_once(context, seconds):
    waits = context.fleet.refusal_waits
    assert waits and max(waits) <= seconds, max(waits, default=None)


@then("there were fewer than {count:d} datagrams of quotas a second")
def step_datagrams(context, count):
    fleet = context.fleet
    seconds = fleet.reactor.seconds() - fleet.counted_from
    assert fleet.quota_datagrams < count * seconds, fleet.quota_datagrams / seconds


@then("at most {percent:g} % of what it has sent was past its target")
def step_few_late(context, percent):
    fleet = context.fleet
    name = fleet.names[0]
    sent = sum(each >= fleet.counted_from for each in fleet.sent[name])
    late = fleet.late_sent[name]
    assert late <= percent / 100 * sent, (late, sent)
