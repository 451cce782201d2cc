"""Steps for shedding calls by their expected wait."""

import random

from behave import given, then, when

from banyanshelf_core.admission import WaitingCall
from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import Upstream
from banyanshelf_core.permits.effects import Refuse
from banyanshelf_core.permits.holder import HolderSettings, PermitHolder

SLOTS = 3
START_S = 100.0


@given(
    "a permit holder in a group of {members:d} with {slots:d} slots and calls of "
    "{milliseconds:d} ms",
)
def step_holder(context, members, slots, milliseconds):
    context.holder = PermitHolder(
        random.Random(3), "desk", ("gateway-1", "Huye"), HolderSettings()
    )
    upstreams = [
        Upstream(f"desk-{number}", "desk", "127.0.0.1:1", "Huye", SLOTS)
        for number in range(slots // SLOTS)
    ]
    context.holder.local.set_members(f"gateway-{each + 1}" for each in range(members))
    context.holder.set_upstreams(START_S, {each.id: each for each in upstreams})
    for upstream in upstreams:
        sample = AnswerSample(upstream.id, milliseconds * 1000, "answered")
        context.holder.local.take_sample(START_S, sample)
    context.holder.on_link(START_S, is_up=True)
    context.holder.tick(START_S)


@when("{count:d} calls with {seconds:d} seconds left arrive before any permit")
def step_arrive(context, count, seconds):
    context.shed = [
        number
        for number in range(count)
        for effect in context.holder.acquire(
            START_S, WaitingCall(number, "", 0, START_S, START_S + seconds)
        )
        if isinstance(effect, Refuse)
    ]


@then("none of the arrived calls is shed")
def step_none_shed(context):
    assert context.shed == [], context.shed


@then("the arrived calls after the first {count:d} are shed")
def step_rest_shed(context, count):
    assert context.shed[0] == count, context.shed[:3]


@when("{seconds:f} seconds pass without a permit")
def step_pass(context, seconds):
    context.effects = context.holder.tick(START_S + seconds)


@then('the waiting call is refused because of "{reason}"')
def step_refused_in_time(context, reason):
    assert [each.reason for each in context.effects] == [reason], context.effects
