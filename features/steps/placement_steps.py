"""Steps for the placement of calls.

An event is a word with arguments; the function ``on_<word>`` handles it. The first
letter of an upstream's ID is its zone.
"""

import random

from behave import given, then, when
from placement_load import GATEWAYS, SLOTS, UPSTREAMS, WORK_S, ZoneLoad

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import AnswerKind, LoadReport, Upstream, UpstreamState
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.decisions import (
    Placed,
    PlacementRequest,
    Refused,
    RunningAttempt,
)
from banyanshelf_core.placement.pace_model import PaceModel
from banyanshelf_core.placement.work_estimate import WorkEstimate

START_S = 100.0
REPEATS = 40


def learn_paces(model):
    rng = random.Random(1)
    rate = 1.0
    for _ in range(2000):
        previous = rate
        if rng.random() < 0.2:
            rate = 0.25 if rng.random() < 0.35 else 1.0
        model.add_sample(rate, previous, 0.06)


@given('a placement in zone "{zone}" with upstreams "{names}" of {slots:d} slots')
def step_placement(context, zone, names, slots):
    context.now = START_S
    context.selector = PlacementSelector(random.Random(3), zone)
    context.upstreams = {
        name: Upstream(name, "desk", "127.0.0.1:1", name[0], slots)
        for name in names.split()
    }
    context.selector.set_upstreams(context.now, context.upstreams)
    context.progress = 0.0


@given("calls that take {milliseconds:d} ms")
def step_calls(context, milliseconds):
    for _ in range(30):
        context.selector.estimate.add_sample(
            "/", milliseconds / 1000, nearly_full=False
        )


@when('the placement sees "{events}"')
def step_events(context, events):
    for word, *arguments in (event.split() for event in events.split("; ")):
        globals()[f"on_{word}"](context, *arguments)


def on_report(context, name, running, pace):
    report = LoadReport(int(running), 0, 3, float(pace))
    context.selector.note_report(context.now, name, report)


def on_learn(context, _what):
    learn_paces(context.selector.pace)


def on_wait(context, seconds):
    context.now += float(seconds)


def on_others(context, member, name, count):
    context.selector.set_member_counts(member, {name: int(count)})


def on_forget(context):
    context.selector.forget_members({})


def on_begin(context, name):
    context.progress = context.selector.start_call(context.now, name)


def on_end(context, name):
    context.now += 0.06
    sample = AnswerSample(name, 60_000, AnswerKind.ANSWERED)
    context.selector.end_call(context.now, "/", context.progress, sample)


def on_remove(context, name):
    del context.upstreams[name]
    context.selector.set_upstreams(context.now, context.upstreams)


def on_fail(context, name, kind):
    context.selector.note_result(context.now, name, AnswerKind(kind))


def on_ok(context, name):
    context.selector.note_result(context.now, name, AnswerKind.ANSWERED)


def on_healthy(context, name):
    context.selector.note_probe_success(context.now, name)


def on_leave(context, name):
    replace(context, name, state=UpstreamState.LEAVING)


def on_evacuate(context, name):
    replace(context, name, state=UpstreamState.EVACUATED)


def on_return(context, name):
    replace(context, name, state=UpstreamState.LIVE)


def on_cold(context, name, milliseconds):
    replace(context, name, cold_ms=int(milliseconds))


def replace(context, name, **changes):
    context.upstreams = dict(context.upstreams)
    context.upstreams[name] = context.upstreams[name]._replace(**changes)
    context.selector.set_upstreams(context.now, context.upstreams)


def on_restart(context, name):
    upstream = context.upstreams[name]
    context.upstreams[name] = upstream._replace(incarnation=upstream.incarnation + 1)
    context.selector.set_upstreams(context.now, context.upstreams)


def choose(context, left_ms, **options):
    target = context.now + left_ms / 1000
    request = PlacementRequest("/", target, target, **options)
    return context.selector.choose(context.now, request)


def chosen(context, left_ms, **options):
    found = [choose(context, left_ms, **options) for _ in range(REPEATS)]
    refused = [each for each in found if isinstance(each, Refused)]
    assert not refused, refused
    return " ".join(sorted({each.upstream.id for each in found}))


@given("calls of a class without any answer yet")
def step_unknown(context):
    context.selector.estimate = WorkEstimate()


@then('a call with {left:d} ms left goes to "{names}"')
@then('calls with {left:d} ms left go to "{names}"')
def step_chosen(context, left, names):
    found = chosen(context, left)
    assert found == names, found


@then('calls with {left:d} ms left and fresh reports only go to "{names}"')
def step_chosen_fresh(context, left, names):
    found = chosen(context, left, max_remote_report_age_s=0.05)
    assert found == names, found


@then('a second attempt with {left:d} ms left goes to "{names}"')
def step_second(context, left, names):
    found = chosen(context, left, only_idle=True)
    assert found == names, found


@then("a second attempt with {left:d} ms left is refused")
def step_second_refused(context, left):
    found = choose(context, left, only_idle=True)
    assert isinstance(found, Refused), found


@then(
    'a call to "{name}" with a target of {target:d} ms and a deadline of '
    "{deadline:d} ms, "
    "begun {seconds:g} s ago, needs a second attempt: {expected}"
)
def step_needs_second(context, name, target, deadline, seconds, expected):
    begun = context.now - seconds
    found = context.selector.needs_second_attempt(
        context.now,
        RunningAttempt(
            name,
            "/",
            context.progress,
            begun + target / 1000,
            begun + deadline / 1000,
        ),
    )
    assert found == (expected == "yes"), found


def second_after_target(context, late_ms, left_ms):
    request = PlacementRequest(
        "/",
        context.now - late_ms / 1000,
        context.now + left_ms / 1000,
        only_idle=True,
    )
    return context.selector.choose(context.now, request)


@then(
    "a second attempt {late:d} ms after its target with {left:d} ms left goes to "
    '"{names}"'
)
def step_second_late(context, late, left, names):
    found = [second_after_target(context, late, left) for _ in range(REPEATS)]
    assert all(isinstance(each, Placed) for each in found), found
    assert {each.upstream.id for each in found} == set(names.split())


@then("a second attempt {late:d} ms after its target with {left:d} ms left is refused")
def step_second_too_late(context, late, left):
    found = second_after_target(context, late, left)
    assert isinstance(found, Refused), found


@then("a call with {left:d} ms left is refused")
def step_refused(context, left):
    found = choose(context, left)
    assert isinstance(found, Refused), found


@then("a call with {left:d} ms left is refused within a third of the time")
def step_refused_soon(context, left):
    found = choose(context, left)
    assert isinstance(found, Refused), found
    assert 0 < found.retry_after_s < 1, found


@then('{count:d} calls are expected at "{name}"')
def step_in_flight(context, count, name):
    found = context.selector.loads_by_id[name].in_flight(context.now)
    assert abs(found - count) < 0.01, found


@then("a call with {left:d} ms left is expected to take {low:d} to {high:d} ms")
def step_expected(context, left, low, high):
    found = choose(context, left)
    assert isinstance(found, Placed), found
    assert low <= found.expected_s * 1000 <= high, found


@then(
    "{work:d} ms of work at a rate of {rate:g} reported {age:g} s ago "
    "take {low:d} to {high:d} ms"
)
def step_forecast(context, work, rate, age, low, high):
    model = PaceModel()
    learn_paces(model)
    found = model.service_s(work / 1000, rate, age) * 1000
    assert low <= found <= high, found


@then(
    "of calls at {use:g} of the capacity, the placement answers {gain:g} more in time "
    "than random choice"
)
def step_load(context, use, gain):
    calls_per_s = use * UPSTREAMS * SLOTS / WORK_S
    assert GATEWAYS > 1
    shares = [
        ZoneLoad(7, is_random).play(20, calls_per_s) for is_random in (False, True)
    ]
    assert shares[0] >= shares[1] + gain, shares


@then(
    "of callers that retry at {use:g} of the capacity, {gain:g} more are answered "
    "in time if their waits are inferred"
)
def step_retries(context, use, gain):
    calls_per_s = use * UPSTREAMS * SLOTS / WORK_S
    shares = [
        ZoneLoad(7, False, retry=True, infers_waits=infers).play(20, calls_per_s)
        for infers in (True, False)
    ]
    assert shares[0] >= shares[1] + gain, shares


@then('a call with {left:d} ms left takes at {bound} {limit:d} ms at "{name}"')
def step_time_at(context, left, bound, limit, name):
    target = context.now + left / 1000
    found_ms = 1000 * context.selector.expected_s(
        context.now,
        context.selector.loads_by_id[name],
        PlacementRequest("/", target, target),
    )
    assert (found_ms <= limit) if bound == "most" else (found_ms >= limit), found_ms
