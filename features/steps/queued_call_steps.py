"""Steps for one call that is placed by the queue of an idle zone."""

from behave import given, then, when
from scarce_room import SERVICE, ScarceRoom
from twisted.internet.defer import fail
from twisted.internet.task import deferLater

from banyanshelf_core.placement.decisions import PlacementRequest
from banyanshelf_core.placement.room import service_rate
from banyanshelf_core.request_limit import StatedLimit
from banyanshelf_daemon.call_queue import REVIEW_PERIOD_S
from banyanshelf_daemon.interfaces import NotAdmittedError

TARGET_S = 0.5


def _zone_with_failure(context, place_once):
    context.zone = zone = ScarceRoom([], seed=1, upstreams=4)
    place = zone.placer.place

    def fail_once(*_args):
        zone.placer.place = place
        return place_once()

    zone.placer.place = fail_once


def _raise():
    raise RuntimeError("the socket is closed")


@given("an idle zone where the next placement fails at once")
def step_fails_at_once(context):
    _zone_with_failure(context, _raise)


@given("an idle zone where the next placement fails after a moment")
def step_fails_later(context):
    later_s = REVIEW_PERIOD_S / 2
    _zone_with_failure(context, lambda: deferLater(context.zone.clock, later_s, _raise))


@given("an idle zone where the next placement finds the request limits used up")
def step_limits_used_up(context):
    error = NotAdmittedError("the request limits are used up", 0.05)
    _zone_with_failure(context, lambda: fail(error))


@when('a "{name}" caller asks with {left_s:g} s left')
def step_ask(context, name, left_s):
    zone = context.zone
    now = zone.clock.seconds()
    request = PlacementRequest(name, now + TARGET_S, now + left_s)
    context.result = zone.queues.place(SERVICE, zone.selector, request)
    context.outcomes = []
    context.result.addBoth(context.outcomes.append)


@then("the caller gets room at the next review")
def step_placed(context):
    context.zone.clock.advance(REVIEW_PERIOD_S)
    [reservation] = context.outcomes
    assert reservation.found.upstream.id


@then('the caller is refused with "{reason}"')
def step_refused(context, reason):
    context.zone.clock.advance(REVIEW_PERIOD_S)
    [failure] = context.outcomes
    assert failure.value.reason == reason, failure


@given("{count:d} idle upstreams that state a limit of {limit:g} requests per second")
def step_stated_limits(context, count, limit):
    context.zone = zone = ScarceRoom([], seed=1, upstreams=count)
    for load in zone.selector.loads_by_id.values():
        load.note_limit(StatedLimit(limit, 0.0))


@when("their limits are not used up")
def step_limits_left(context):
    assert not any(
        each.is_limited(0.0) for each in context.zone.selector.loads_by_id.values()
    )


@when("their limits are used up")
def step_limits_used(context):
    for load in context.zone.selector.loads_by_id.values():
        load.limited_until = 0.5


@then("the service rate is {expected:g} calls per second")
def step_service_rate(context, expected):
    found = service_rate(0.0, context.zone.selector, 0.1)
    assert abs(found - expected) < 1e-9, found
