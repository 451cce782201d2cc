"""Steps for a platform store that comes back from an older copy of itself."""

from behave import then, when
from platform_store_steps import advance, write_configuration


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


def total_calls(context):
    return sum(client.calls for client in context.clients.values())


@then("the gateway has made at most {limit:d} calls since the restore")
def step_calls_since_restore(context, limit):
    made = total_calls(context) - context.calls_at_restore
    assert made <= limit, made
