"""Steps for a fleet of gateways with permits on a simulated clock."""

import json

from behave import given, then, when
from permit_faults import RandomFaults
from permit_fleet import Fleet

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import LoadReport

STEP_S = 0.0005
FAULTS_PER_SECOND = 6
MEMBER_CHANGE_SPACING_S = 8.0


@given(
    "a permit fleet of {gateways:d} gateways and {upstreams:d} upstreams with "
    "{slots:d} slots, seed {seed:d}"
)
def step_fleet(context, gateways, upstreams, slots, seed):
    context.fleet = Fleet(seed, gateways, upstreams, slots)


@given(
    "a permit fleet of {gateways:d} gateways and {upstreams:d} upstreams with "
    "{slots:d} slots, {allowed:d} by the text"
)
def step_capped_fleet(context, gateways, upstreams, slots, allowed):
    text = f"[services.desk]\nslots_per_upstream = {allowed}\n"
    context.fleet = Fleet(6, gateways, upstreams, slots, text)


@then("no upstream of the permit fleet ran more than {limit:d} call at a time")
def step_capped(context, limit):
    assert max(context.fleet.highest.values()) == limit, context.fleet.highest


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


@when("the coordinator of the permit fleet is killed")
def step_kill(context):
    fleet = context.fleet
    context.former = fleet.coordinator_id()
    context.former_epoch = fleet.coordinators()[context.former].epoch
    killed = fleet.gateways.pop(context.former)
    killed.clock.is_dead = True
    for member_id in fleet.gateways:
        fleet.set_link(member_id, context.former, False)
    fleet.clock.callLater(2.0, fleet.set_members, sorted(fleet.gateways))


@when("the coordinator of the permit fleet leaves gracefully")
def step_leave(context):
    fleet = context.fleet
    context.former = fleet.coordinator_id()
    context.former_epoch = fleet.coordinators()[context.former].epoch
    fleet.gateways[context.former].coordination.hand_over()
    fleet.advance(0.1)


@then("another gateway coordinates the permit fleet with a higher epoch")
def step_replaced(context):
    (new_id,) = context.fleet.coordinators()
    assert new_id != context.former
    assert context.fleet.coordinators()[new_id].epoch > context.former_epoch


@then("the gateway that leaves holds no permits in the permit fleet")
def step_holds_nothing(context):
    gateway = context.fleet.gateways[context.former]
    counts = gateway.coordination.holders_by_service["desk"].counts
    assert not counts.idle and not counts.in_use, counts


@then("the highest wait in the permit fleet was below {limit:d} ms")
def step_highest_wait(context, limit):
    highest = max(context.fleet.waits)
    assert 0 < highest < limit / 1e3, highest


@when(
    "the other gateway of the permit fleet ends {count:d} calls in one turn under "
    "contention"
)
def step_end_together(context, count):
    fleet = context.fleet
    (other,) = set(fleet.gateways) - {fleet.coordinator_id()}
    fleet.service_time = lambda upstream_id: 0.5
    for _ in range(count):
        fleet.call(other)
    fleet.advance(0.3)
    fleet.gateways[other].coordination.holders_by_service["desk"].is_contended = True
    fleet.sent.clear()
    fleet.advance(0.25)


@then('the permit fleet has sent {count:d} message of class "{name}" for them')
def step_sent(context, count, name):
    assert context.fleet.sent[name] == count, context.fleet.sent
    assert context.fleet.answered == 4


@when("a call of the permit fleet is cancelled while another one runs")
def step_cancel(context):
    fleet = context.fleet
    fleet.service_time = lambda upstream_id: 0.2
    context.first = fleet.call("gateway-0")
    fleet.advance(0.05)
    cancelled = fleet.call("gateway-0")
    cancelled.deferred.addErrback(lambda failure: None)
    fleet.advance(0.01)
    cancelled.deferred.cancel()
    fleet.advance(0.3)
    assert context.first.permit and not cancelled.permit


@then("the permit fleet then admits one more call")
def step_admits(context):
    context.second = context.fleet.call("gateway-1")
    context.fleet.advance(0.3)
    assert context.second.permit is not None


@then("a second release in the permit fleet changes nothing")
def step_release_twice(context):
    coordination = context.fleet.gateways["gateway-1"].coordination
    counts = coordination.holders_by_service["desk"].counts
    before = (counts.calls, dict(counts.idle), dict(counts.in_use))
    sample = AnswerSample(context.second.permit.upstream.id, 1, "answered")
    coordination.release(context.second.permit, sample)
    assert before == (counts.calls, dict(counts.idle), dict(counts.in_use))


@given(
    "a permit fleet of {gateways:d} gateways and {upstreams:d} upstreams with policy "
    '"{policy}"'
)
def step_baseline_fleet(context, gateways, upstreams, policy):
    text = f'policy = "{policy}"\n[services.desk]\n'
    context.fleet = Fleet(6, gateways, upstreams, 3, text)


@when("{count:d} calls arrive at one gateway of the permit fleet at once")
def step_burst(context, count):
    coordination = context.fleet.gateways["gateway-0"].coordination
    for number in range(len(context.fleet.upstreams) - 1):
        coordination.note_load_report(f"desk-{number}", LoadReport(2, 0, 3))
    for _ in range(count):
        context.fleet.call("gateway-0")


@then('the permit fleet runs {count:d} calls, on "{upstreams}" upstreams')
def step_runs(context, count, upstreams):
    running = +context.fleet.running
    assert sum(running.values()) == count
    assert len(running) == (1 if upstreams == "one" else len(context.fleet.upstreams))


@when("each gateway of the permit fleet starts a call")
def step_one_call_each(context):
    context.fleet.service_time = lambda upstream_id: 1.0
    for member_id in context.fleet.gateways:
        context.fleet.call(member_id)
    context.fleet.advance(0.1)


@then(
    "the coordinator's snapshot in the permit fleet shows {in_use:d} in use and "
    "{granted:d} granted"
)
def step_snapshot(context, in_use, granted):
    fleet = context.fleet
    coordination = fleet.gateways[fleet.coordinator_id()].coordination
    snapshot = json.loads(json.dumps(coordination.snapshot()))["desk"]
    (upstream,) = snapshot["upstreams"].values()
    assert (upstream["in_use"], upstream["granted"]) == (in_use, granted), snapshot
