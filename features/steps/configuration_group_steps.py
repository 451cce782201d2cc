"""Steps for the spread of configuration versions: core code on a simulated clock."""

import random

from behave import given, then, when
from simulated_group import SimulatedGroup, digest_of, text_of

from banyanshelf_core.configuration import ConfigurationKeeper
from banyanshelf_core.messages import ConfigFetch, ConfigNotice, ConfigText
from banyanshelf_core.model import Send


@given("a configuration group of {size:d} members with seed {seed:d} and version 1")
def step_group(context, size, seed):
    context.group = group = SimulatedGroup(size, seed)
    group.run_for(2)
    group.apply()
    group.run_for(5)


@when("the operators apply the next version")
def step_apply(context):
    context.group.apply()


@when("{count:d} versions are applied during random faults and store outages")
def step_random_run(context, count):
    group = context.group
    group.loss = 0.05
    group.latency = (0.001, 0.15)
    for _ in range(count):
        group.store_up = group.rng.random() < 0.6
        group.apply()
        member_id = group.rng.choice(group.ids)
        if member_id not in group.processes:
            group.start(member_id)
        elif group.rng.random() < 0.5 and len(group.processes) > len(group.ids) // 2:
            group.kill(member_id)
        else:
            group.pause(member_id, group.rng.uniform(0.2, 6.0))
        side = set(group.rng.sample(group.ids, 2))
        group.blocked = lambda a, b, side=side: (a in side) != (b in side)
        group.run_for(group.rng.uniform(0.5, 4.0))
        group.blocked = lambda a, b: False
    group.loss = 0.0
    group.store_up = True
    group.apply()


@when('only "{member_id}" sees the next version before the store goes down')
def step_one_sees(context, member_id):
    group = context.group
    group.version += 1
    process = group.processes[member_id]
    version = group.version
    text = (version, digest_of(version), text_of(version), group.now)
    group.run(process, process.keeper.store_text(*text))
    group.store_up = False


@when("every member starts again within {seconds:d} seconds while the store is down")
def step_rolling(context, seconds):
    group = context.group
    group.store_up = False
    for member_id in group.ids:
        group.kill(member_id)
        group.start(member_id)
        group.run_for(seconds / len(group.ids))


@then("every member of the group has version {version:d} in effect")
def step_version(context, version):
    found = {key: each.keeper.version for key, each in context.group.processes.items()}
    assert set(found.values()) == {version}, found


@then("every member of the group has the newest version after settling")
def step_newest(context):
    context.group.run_for(60)
    step_version(context, context.group.version)


@then("no version ever went back at any member")
def step_monotonic(context):
    for process in context.group.processes.values():
        assert process.versions == sorted(set(process.versions)), process.versions


# One keeper by itself


@given("a configuration keeper with peers {names}")
def step_keeper(context, names):
    context.now = 100.0
    context.keeper = ConfigurationKeeper(random.Random(1))
    peers = [each.strip('"') for each in names.split(", ")]
    context.effects = context.keeper.set_peers(peers, context.now)


@when("{seconds:g} seconds pass for the keeper")
def step_pass(context, seconds):
    context.now += seconds
    context.effects = context.keeper.tick(context.now)


def receive(context, sender, message):
    context.effects = context.keeper.receive(sender, message, context.now)


@when('the keeper hears that "{sender}" has version {version:d}')
def step_notice(context, sender, version):
    receive(context, sender, ConfigNotice(version, digest_of(version)))


@when('"{sender}" sends the keeper version {version:d}')
def step_text(context, sender, version):
    receive(context, sender, ConfigText(version, digest_of(version), text_of(version)))


@when('"{sender}" sends the keeper version {version:d} with other content')
def step_wrong_text(context, sender, version):
    receive(context, sender, ConfigText(version, digest_of(version), text_of(0)))


@when('"{sender}" fetches from the keeper above version {version:d}')
def step_fetch(context, sender, version):
    receive(context, sender, ConfigFetch(version))


@when("the keeper reads version {version:d} from the store")
def step_store(context, version):
    text = (version, digest_of(version), text_of(version))
    context.effects = context.keeper.store_text(*text, context.now)


@when("the keeper learns that the store is empty")
def step_store_empty(context):
    context.effects = context.keeper.store_empty(context.now)


@then("the keeper has version {version:d} in effect")
def step_in_effect(context, version):
    assert context.keeper.version == version, context.keeper.version
    assert context.keeper.digest == (digest_of(version) if version else "")


@then('the keeper asks "{name}" for the text')
def step_asks(context, name):
    asked = [
        each.to
        for each in context.effects
        if isinstance(each, Send) and isinstance(each.message, ConfigFetch)
    ]
    assert asked == [name], context.effects


@then('the keeper answers "{sender}" with version {version:d} and no text')
def step_answers(context, sender, version):
    notice = ConfigNotice(version, digest_of(version))
    assert context.effects == [Send(sender, notice)], context.effects


@then("the keeper notifies {count:d} members")
def step_notifies(context, count):
    notified = [
        each.to
        for each in context.effects
        if isinstance(each, Send) and isinstance(each.message, ConfigNotice)
    ]
    assert len(set(notified)) == len(notified) == count, context.effects


@then('the keeper remembers that "{name}" offered version {version:d}')
def step_offers(context, name, version):
    offers = context.keeper.offers
    assert offers.get(version, {}).get(name) == digest_of(version), offers
