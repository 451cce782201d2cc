"""Steps that run scripts of events and checks on simulated parts of the system.

A script is a comma-separated list of method names of the simulation, with spaces in
place of underscores. Arguments follow a colon: ``pause: 3 1.5, run: 10``.
"""

from behave import given, then, when
from simulated_configuration import SimulatedConfiguration
from simulated_daemons import SimulatedDaemons
from simulated_group import SimulatedGroup
from simulated_links import SimulatedLinks
from simulated_operators import SimulatedOperators
from simulated_store_client import SimulatedStoreClient

SIMULATIONS = {
    "group": SimulatedGroup,
    "keeper": SimulatedConfiguration,
    "operators": SimulatedOperators,
    "daemons": SimulatedDaemons,
    "links": SimulatedLinks,
    "store client": SimulatedStoreClient,
}


def run_script(subject, script):
    for line in script.split(", "):
        name, _, arguments = line.partition(":")
        method = getattr(subject, name.strip().replace(" ", "_"))
        method(
            *(each if each.isalpha() else number(each) for each in arguments.split())
        )


def number(argument):
    try:
        return float(argument) if "." in argument else int(argument)
    except ValueError:
        return argument


@given('simulated {kind} with "{arguments}"')
def step_simulation(context, kind, arguments):
    context.simulation = SIMULATIONS[kind](
        *(number(each) for each in arguments.split())
    )


@when('the simulation goes through "{script}"')
@then('the simulation ends with "{script}"')
def step_script(context, script):
    run_script(context.simulation, script)
