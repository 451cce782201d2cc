"""Steps that run the state machines with a fixed seed."""

from behave import then, when
from fuzz.claim_machine import ClaimMachine
from fuzz.run import run_machine


@when("the claim machine runs {count:d} examples of {steps:d} steps with seed {seed:d}")
def step_run_claims(context, count, steps, seed):
    context.fault = None
    try:
        run_machine(ClaimMachine, seed, count, steps)
    except AssertionError as error:
        context.fault = error


@then("the claim oracle has found no fault")
def step_no_fault(context):
    notes = "\n".join(getattr(context.fault, "__notes__", []))
    assert context.fault is None, f"{context.fault}\n{notes}"
