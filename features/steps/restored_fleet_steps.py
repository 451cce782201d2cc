"""Steps for fleets of gateways whose store comes back from an older copy."""

import random

from behave import given, then, when
from platform_store_steps import write_configuration, write_upstream
from restored_fleet import RestoredFleet

# The platform's store takes this many reads a second.
STORE_READS_PER_S = 2000
# A configuration takes effect within this time.
CONFIGURATION_S = 2.0


@given("a fleet of {gateways:d} gateways in {zones:d} zones, and 20 upstreams")
def step_fleet(context, gateways, zones):
    fleet = context.fleet = RestoredFleet(gateways, zones, random.Random(5))
    context.store = fleet.store
    write_configuration(context, 3)
    for number in range(20):
        write_upstream(context, f"i-{number}")
    fleet.advance(3, 0)


@given("the fleet loses one datagram in {count:d}")
def step_lossy(context, count):
    context.fleet.lost_share = 1 / count


@when("upstream 19 leaves and configurations 4 to 8 follow after the store is copied")
def step_changes(context):
    context.store.save_copy()
    for version in range(4, 9):
        write_configuration(context, version)
    context.store.delete("servers/i-19")
    context.fleet.advance(2, 0)


@when("{count:d} gateways are cut off while the store {restore}")
def step_restore(context, count, restore):
    fleet, store = context.fleet, context.store
    fleet.cut(f"g{number}" for number in range(1, count + 1))
    fleet.calls_by_second.clear()
    if "away" in restore:
        store.is_down = True
        store.cut_watches()
        fleet.advance(1.5, 0)
    store.restore()
    store.is_down = False
    write_configuration(context, 8)
    fleet.advance(1, 0)


@when("gateways restart and join, and those that were cut off return")
def step_churn(context):
    fleet = context.fleet
    last = len(fleet.gateway_by_name)
    fleet.restart_gateway(f"g{last}")
    fleet.add(f"g{last + 1}")
    fleet.advance(1, 0)
    fleet.cut(())
    fleet.advance(2, 0)
    # The store removes the entry of an upstream that is silent.
    context.store.delete("servers/i-19")
    fleet.advance(1, 0)


@when("configuration 9 is written and upstream 18 leaves")
def step_change(context):
    write_configuration(context, 9)
    context.store.delete("servers/i-18")
    context.fleet.advance(CONFIGURATION_S, 0)


@then("every gateway has configuration {version:d} and uses upstreams 0 to {last:d}")
def step_all(context, version, last):
    expected = (version, {f"i-{number}" for number in range(last + 1)})
    wrong = {
        name: (gateway.version(), sorted(gateway.used() ^ expected[1]))
        for name, gateway in context.fleet.gateway_by_name.items()
        if (gateway.version(), gateway.used()) != expected
    }
    assert not wrong, wrong


@then("every gateway that was not cut off uses upstreams 0 to {last:d}")
def step_connected(context, last):
    expected = {f"i-{number}" for number in range(last + 1)}
    wrong = {
        name: sorted(gateway.used() ^ expected)
        for name, gateway in context.fleet.gateway_by_name.items()
        if name not in context.fleet.cut_off and gateway.used() != expected
    }
    assert not wrong, wrong


@then("the fleet has not exceeded the store's rate of reads")
def step_calls(context):
    most = max(context.fleet.calls_by_second.values())
    assert most <= STORE_READS_PER_S, most
