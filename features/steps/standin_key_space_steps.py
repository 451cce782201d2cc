"""Steps for the key space of the store stand-in."""

import random

from behave import given, then, when

from banyanshelf_standins.key_space import (
    ABSENT,
    Comparison,
    DeleteRange,
    KeySpace,
    Put,
    Range,
)

ALL_KEYS = Range(b"\x00", b"\x00")


@given("an empty key space")
def step_empty(context):
    context.keys = KeySpace()
    context.now = 0.0


@when('two transactions put key "{key}" if its revision is 0')
def step_two_transactions(context, key):
    condition = [Comparison(key.encode(), "mod_revision", "EQUAL", 0)]
    context.held = [
        context.keys.transact(condition, [Put(key.encode(), value)], [])[0]
        for value in (b"first", b"second")
    ]


@then("the first takes effect and the second does not")
def step_one_held(context):
    assert context.held == [True, False]


@then('key "{key}" has version {version:d}')
def step_version(context, key, version):
    assert context.keys.get(key.encode()).version == version


@when('one transaction puts keys "{names}"')
def step_put_many(context, names):
    context.before = context.keys.revision
    puts = [Put(name.encode(), b"x") for name in names.split(",")]
    context.keys.transact([], puts, [])


@then("the revision has increased by {count:d}")
def step_revision(context, count):
    assert context.keys.revision == context.before + count


@then('keys "{names}" have the same revision')
def step_same_revision(context, names):
    entries = [context.keys.get(name.encode()) for name in names.split(",")]
    assert {entry.mod_revision for entry in entries} == {context.keys.revision}


@when('key "{key}" is put under a lease of {ttl:d} s')
def step_lease(context, key, ttl):
    context.lease = context.keys.grant_lease(0, ttl, context.now)
    context.keys.transact([], [Put(key.encode(), b"x", context.lease)], [])


@when("{first:d} s pass with a renewal and {second:d} s without")
def step_renew(context, first, second):
    context.now += first
    assert context.keys.keep_alive(context.lease, context.now) > 0
    context.now += second
    context.keys.expire_leases(context.now)


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.now += seconds
    context.keys.expire_leases(context.now)


@then('key "{key}" exists')
def step_exists(context, key):
    assert context.keys.get(key.encode()) is not ABSENT


@then('key "{key}" is gone')
def step_gone(context, key):
    assert context.keys.get(key.encode()) is ABSENT


@then('the last event is a deletion of "{key}"')
def step_deletion(context, key):
    event = context.keys.events_since(0)[-1]
    assert event.deleted and event.entry.key == key.encode()


@when("{count:d} random operations with seed {seed:d} run on it and on a dictionary")
def step_random(context, count, seed):
    source = random.Random(seed)
    context.expected = {}
    for number in range(count):
        key, value = b"%02d" % source.randrange(40), b"%d" % number
        if source.random() < 0.7:
            context.keys.transact([], [Put(key, value)], [])
            context.expected[key] = value
        else:
            end = b"%02d" % source.randrange(40) if source.random() < 0.3 else b""
            context.keys.transact([], [DeleteRange(key, end)], [])
            for name in list(context.expected):
                if name == key if not end else key <= name < end:
                    del context.expected[name]


@then("both hold the same keys in order")
def step_same_keys(context):
    entries = context.keys.read(ALL_KEYS)
    seen = [(entry.key, entry.value) for entry in entries]
    assert seen == sorted(context.expected.items())


@then("the events replayed from the start give the same keys")
def step_replay(context):
    replayed = {}
    for event in context.keys.events_since(0):
        if event.deleted:
            del replayed[event.entry.key]
        else:
            replayed[event.entry.key] = event.entry.value
    assert replayed == context.expected
