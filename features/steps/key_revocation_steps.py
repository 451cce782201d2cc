"""Steps for keys at a gateway that is cut off from the platform's store."""

from behave import given, then, when
from platform_store_steps import MIRROR, STORE, start_gateway

from banyanshelf_core.workspaces import RevocationRule
from banyanshelf_platform.store_client import MirrorStatus

MIRROR_STATUS = {
    "a mirror that has the store": MirrorStatus(False, None, None, 0.2),
    "a mirror without the store": MirrorStatus(True, 1.0, None, 0.2),
    "a mirror that fell silent early": MirrorStatus(False, None, None, 60.0),
}


@given("a gateway that follows it, with {kind} revocation within {limit:g} s")
def step_gateway(context, kind, limit):
    context.rule = RevocationRule(kind == "strict", limit)
    start_gateway(context, lambda excluded: None, context.rule.confirmation_period_s())


@when("the gateway loses the store and has {mirrors}")
def step_lost(context, mirrors):
    context.store.rejected_addresses.add(STORE)
    if mirrors == "no mirror":
        context.store.rejected_addresses.add(MIRROR)
    context.store.mirror_status = MIRROR_STATUS.get(mirrors)
    context.store.cut_watches()


@when("the store answers the gateway again")
def step_back(context):
    context.store.rejected_addresses.clear()
    context.store.mirror_status = None


@then("keys are {result}")
def step_keys(context, result):
    admitted = context.rule.admits_keys(
        context.clock.seconds(), context.view.confirmed_at
    )
    assert admitted == (result == "served"), context.view.confirmed_at
