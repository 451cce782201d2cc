"""Steps that run the state machines with a fixed seed."""

from behave import then, when
from fuzz.run import MACHINES, run_machine

MACHINE_BY_NAME = {"claim": "claims", "configuration": "configuration"}


@when(
    "the {name} machine runs {count:d} examples of {steps:d} steps with seed {seed:d}"
)
def step_run_machine(context, name, count, steps, seed):
    context.fault = None
    try:
        run_machine(MACHINES[MACHINE_BY_NAME[name]], seed, count, steps)
    except AssertionError as error:
        context.fault = error


@then("the {name} oracle has found no fault")
def step_no_fault(context, name):
    notes = "\n".join(getattr(context.fault, "__notes__", []))
    assert context.fault is None, f"{name}: {context.fault}\n{notes}"
