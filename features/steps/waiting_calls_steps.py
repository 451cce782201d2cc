"""Steps for calls that wait for room at the upstreams of one zone."""

import math
from bisect import bisect_left

from behave import given, then, when
from scarce_room import FULL_FACTOR, SLOTS, SLOW_PACE, SLOW_SHARE, Group, ScarceRoom

UPSTREAMS = 5
WORK_S = 0.15
TARGET_S = 0.5
WAVE_S = 6.0
WAVE_SWING = 0.55
MEAN_RATE = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_PACE
# Calls per second that the upstreams end at their best
ROOM_PER_S = UPSTREAMS * max(SLOTS - 1, SLOTS / FULL_FACTOR) * MEAN_RATE / WORK_S


def _add(context, name, rate, **options):
    groups = getattr(context, "make_groups", [])
    context.make_groups = [*groups, lambda: Group(name, rate, **options)]


def _play(context, *, waits):
    groups = [make() for make in context.make_groups]
    zone = ScarceRoom(groups, context.seed, UPSTREAMS, waits)
    return zone.play(context.seconds), {each.label: each for each in groups}


@given('"{name}" callers ask for {load:g} times the room in waves')
def step_waves(context, name, load):
    def rate(now):
        return load * ROOM_PER_S * (1 + WAVE_SWING * math.sin(now * math.tau / WAVE_S))

    _add(context, name, rate)


@given('"{name}" callers ask for {load:g} times the room')
def step_constant(context, name, load):
    _add(context, name, lambda now: load * ROOM_PER_S)


@given('"{name}" callers of priority {priority:d} ask for {load:g} times the room')
def step_priority(context, name, priority, load):
    _add(context, name, lambda now: load * ROOM_PER_S, priority=priority)


@given("callers of {count:d} workspaces ask for {load:g} times the room together")
def step_workspaces(context, count, load):
    context.hot_from, context.hot_factor = math.inf, 1.0
    usual = load * ROOM_PER_S / count

    def rate_of(number):
        def rate(now):
            is_hot = number == 0 and now >= context.hot_from
            return usual * (context.hot_factor if is_hot else 1.0)

        return rate

    for number in range(count):
        _add(context, "order", rate_of(number), workspace=f"w{number}")


@given("from {start:g} s on, the first workspace asks for {factor:g} times its usual")
def step_hot(context, start, factor):
    context.hot_from, context.hot_factor = start, factor


@when("calls are played for {seconds:g} s with seed {seed:d}")
def step_play(context, seconds, seed):
    context.seconds, context.seed = seconds, seed
    context.room, context.groups = _play(context, waits=True)


@then('more of the "{name}" callers are answered in time than without a queue')
def step_more_in_time(context, name):
    _, context.without = _play(context, waits=False)
    before, after = context.without[name], context.groups[name]
    assert after.share("in_time") > before.share("in_time"), (before, after)


@then('fewer of the "{name}" callers are refused than without a queue')
def step_fewer_refused(context, name):
    before, after = context.without[name], context.groups[name]
    assert after.share("refused") < before.share("refused"), (before, after)


@then('at least {part:d} in 10 of the "{name}" callers are answered in time')
def step_in_time(context, part, name):
    group = context.groups[name]
    assert group.share("in_time") >= part / 10, group


@then("at least {part:d} in 10 callers of the other workspaces are answered in time")
def step_others_in_time(context, part):
    for name, group in context.groups.items():
        assert name == "w0" or group.share("in_time") >= part / 10, context.groups


@then("each of the callers are served at least a quarter as often as all")
def step_not_starved(context):
    groups = context.groups.values()
    served = sum(each.count["in_time"] + each.count["late"] for each in groups)
    overall = served / sum(each.count["asked"] for each in groups)
    for group in groups:
        assert group.share("in_time", "late") >= overall / 4, context.groups


@then("no tenth of a second has more returns than half a second has room for")
def step_no_wave(context):
    times = sorted(return_at for _, return_at, _ in context.room.returns)
    most = max(bisect_left(times, at + 0.1) - i for i, at in enumerate(times))
    assert most <= 0.5 * ROOM_PER_S, most


@then("every refused caller is asked back within a third of its time")
def step_return_in_time(context):
    assert context.room.returns
    for refused_at, return_at, deadline in context.room.returns:
        # The shortest Retry-After is 20 ms, however little time is left.
        assert return_at - refused_at <= max(0.02, (deadline - refused_at) / 3) + 1e-9


@then("no caller waits longer than its target before it is refused")
def step_refused_early(context):
    assert 0 < context.room.longest_refused_wait_s <= TARGET_S
