"""Steps for availability zones that the platform's operators evacuate."""

from behave import given, then, when
from platform_record_steps import ENTRY
from platform_store_steps import write_upstream

from banyanshelf_bench.control import wait_until
from banyanshelf_bench.deployments import UMUJYI
from banyanshelf_core.model import UpstreamState


@given('the store lists upstream "{name}" in zone "{zone}"')
def step_other_zone(context, name, zone):
    write_upstream(context, name, information=ENTRY["information"] | {"zone": zone})


@when('the store evacuates zone "{zone}"')
def step_evacuate(context, zone):
    context.store.write(f"op/evacuate/{zone}", "e30=")


@when('the store takes back zone "{zone}"')
def step_take_back(context, zone):
    context.store.delete(f"op/evacuate/{zone}")


@then('only the upstreams "{names}" get requests')
def step_live(context, names):
    found = context.directory.upstreams_by_id("s").values()
    live = [each.id for each in found if each.state is UpstreamState.LIVE]
    assert sorted(live) == names.split(), found


@when('an operator commits a text that evacuates the zone of upstream "{name}"')
def step_commit_evacuation(context, name):
    [zone] = [each.zone for each in context.fleet.shape.backends if each.id == name]
    context.fleet.commit(f'evacuated_zones = ["{zone}"]\n{UMUJYI.operators_text()}')


@then('new work starts at upstream "{name}" within {limit:d} seconds')
def step_new_work(context, name, limit):
    before = context.fleet.backend_statistics(name)["started"]
    wait_until(
        lambda: context.fleet.backend_statistics(name)["started"] > before,
        f"new work at {name}",
        limit,
    )
