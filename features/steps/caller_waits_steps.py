"""Steps for the estimate of how long retrying callers have waited."""

import random

from behave import given, then, when

from banyanshelf_core.caller_waits import CallerWaitEstimator

ROUTE = ("desk", "/orders/")


@given("{count:d} first attempts with {low:d} to {high:d} ms left")
def step_first_attempts(context, count, low, high):
    context.rng = random.Random(5)
    context.waits = CallerWaitEstimator()
    context.found = [
        context.waits.waited_s(ROUTE, context.rng.uniform(low, high) / 1000)
        for _ in range(count)
    ]


@when("{count:d} calls arrive with {left:d} ms left")
def step_calls_arrive(context, count, left):
    for _ in range(count):
        context.waits.waited_s(ROUTE, left / 1000)


@when("calls arrive on {count:d} other routes")
def step_other_routes(context, count):
    for number in range(count):
        context.waits.waited_s(("desk", f"/{number}/"), 1.0)


@then("none of them has waited")
def step_none(context):
    assert not any(context.found), context.found


@then("a caller with {left:d} ms left has waited {low:d} to {high:d} ms")
def step_waited(context, left, low, high):
    waited_s = context.waits.waited_s(ROUTE, left / 1000)
    assert low <= waited_s * 1000 <= high, waited_s
