"""Steps for a platform store that comes back from an older copy of itself."""

from behave import given, then, when
from platform_record_steps import ENTRY
from platform_store_steps import (
    MIRROR,
    advance,
    step_gateway_with_relay,
    write_configuration,
    write_upstream,
)

from banyanshelf_core.replica import StorePosition
from banyanshelf_platform.store_client import MirrorStatus

# Gateways send load updates at least this often.
REPORT_PERIOD_S = 0.5


@given("a gateway that follows a relay that has missed each restore")
def step_gateway_with_outdated_relay(context):
    context.store.outdated_addresses.add(MIRROR)
    step_gateway_with_relay(context)


@when("the store is copied")
def step_copy(context):
    context.store.save_copy()


@when("the store writes configurations {first:d} to {last:d}")
def step_write_configurations(context, first, last):
    for version in range(first, last + 1):
        write_configuration(context, version)


@when("the store is down for {seconds:g} s and comes back from the copy")
def step_restore_after_outage(context, seconds):
    context.store.is_down = True
    context.store.cut_watches()
    advance(context, seconds)
    context.store.restore()
    context.store.is_down = False
    context.calls_at_restore = total_calls(context)


@when("the store comes back from the copy without notice")
def step_restore_unnoticed(context):
    context.store.restore()
    context.calls_at_restore = total_calls(context)


@when("the store comes back from the copy without notice or a new generation")
def step_restore_unnamed(context):
    context.store.restore()
    context.store.generation -= 1
    context.store.cut_watches()
    context.calls_at_restore = total_calls(context)


@when(
    "another gateway reports revision {revision:d} of generation {generation:d} "
    "for {seconds:g} s"
)
def step_report_position(context, revision, generation, seconds):
    for _ in range(round(seconds / REPORT_PERIOD_S)):
        context.view.note_position(StorePosition(generation, revision))
        advance(context, REPORT_PERIOD_S)


@when("the relay reports when the store came back")
def step_relay_reports_restore(context):
    if context.store.mirror_status is not None:
        context.store.mirror_status = MirrorStatus(False, None, 0.0)


@when(
    "generation {generation:d} of the store is reported to have answered another "
    "gateway for {seconds:g} s"
)
def step_report_generation(context, generation, seconds):
    context.directory.note_peer_store_contact(generation, seconds)


@when('the store writes draining upstream "{name}"')
def step_write_draining(context, name):
    write_upstream(context, name, status=ENTRY["status"] | {"state": "draining"})


def total_calls(context):
    return sum(client.calls for client in context.clients.values())


@then("the gateway has made at most {limit:d} calls since the restore")
def step_calls_since_restore(context, limit):
    made = total_calls(context) - context.calls_at_restore
    assert made <= limit, made


@then('the gateway knows upstream "{name}" with the start {born:d}')
def step_known_start(context, name, born):
    found = context.directory.upstreams_by_id("s")[name].incarnation
    assert found == born, found
