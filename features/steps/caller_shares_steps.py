"""Steps for the weighted shares of caller services across all gateways."""

import random

from behave import given, then, when

from banyanshelf_core.admission import AdmissionQueue, WaitingCall
from banyanshelf_core.messages import Acquire, Grant, Holdings, Release, SlotCount
from banyanshelf_core.model import Epoch, Send, Upstream
from banyanshelf_core.permits.coordinator import CoordinatorSettings, SlotCoordinator

START_S = 100.0
EPOCH = Epoch(1, "g1")
NO_PERMITS_RECEIVED = 0


@given('a service of 1 slot whose only permit is in use at "{holder}"')
def step_service(context, holder):
    upstream = Upstream("desk-1", "desk", "127.0.0.1:1", "Huye", 1)
    context.coordinator = SlotCoordinator(
        START_S,
        random.Random(5),
        "desk",
        EPOCH,
        {"g1": "Huye", "g2": "Huye"},
        {upstream.id: upstream},
        CoordinatorSettings(),
    )
    for member_id in ("g1", "g2"):
        in_use = [SlotCount(upstream.id, 1)] if member_id == holder else []
        context.coordinator.on_message(
            START_S,
            member_id,
            Holdings("desk", *EPOCH, in_use, [], 0, NO_PERMITS_RECEIVED),
        )


@when(
    '"{member_id}" waits with {waiting:d} calls for {wait_ms:d} ms, of which '
    "{urgent:d} are urgent"
)
def step_waits(context, member_id, waiting, wait_ms, urgent):
    demand = Acquire(
        "desk", *EPOCH, waiting, wait_ms * 1000, NO_PERMITS_RECEIVED, 0, [], urgent
    )
    context.coordinator.on_message(START_S, member_id, demand)


@when('the permit in use at "{member_id}" is returned')
def step_comes_back(context, member_id):
    release = Release(
        "desk",
        *EPOCH,
        [SlotCount("desk-1", 1)],
        5,
        900_000,
        [],
        NO_PERMITS_RECEIVED,
        0,
        [],
    )
    context.effects = context.coordinator.on_message(START_S, member_id, release)


@then('the next permit is granted to "{member_id}"')
def step_granted(context, member_id):
    receivers = [
        effect.to
        for effect in context.effects
        if isinstance(effect, Send)
        and isinstance(effect.message, Grant)
        and effect.message.permits
    ]
    assert receivers == [member_id], context.effects


@given('an admission queue with {rush:d} calls of "rush" and {quiet:d} of "lookups"')
def step_queue(context, rush, quiet):
    context.queue = AdmissionQueue(512, {})
    callers = ["rush"] * rush + ["lookups"] * quiet
    for number, caller in enumerate(callers):
        context.queue.add(WaitingCall(number, caller, 0, START_S, START_S + 2))


@given('{lookups:d} calls of "lookups" and {rush:d} of "rush" in use')
def step_in_use(context, lookups, rush):
    context.queue.in_use_by_caller.update({"lookups": lookups, "rush": rush})


@then("{urgent:d} calls of the admission queue are urgent")
def step_urgent(context, urgent):
    assert context.queue.urgent_count() == urgent, context.queue.urgent_count()
