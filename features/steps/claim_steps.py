"""Steps for claim owners and runners in the simulation of the claim fuzzer."""

from behave import given, then, when
from fuzz.claim_world import ANSWER, ClaimWorld

from banyanshelf_core.call_messages import ClaimOutcome
from banyanshelf_core.claims.runner import shard_owner_of


def set_views(context, names):
    context.view = names
    for name in names:
        context.world.set_view(name, names)


def owner_id(context):
    return shard_owner_of(context.world.shard, context.view)


def write_index(context):
    (index,) = range(len(context.world.operations))
    return index


@given('claim members "a", "b" and "c" that agree on the membership')
def step_members(context):
    context.world = ClaimWorld("abc")
    context.calls = []
    set_views(context, "abc")
    context.world.settle(0.1)


@given("a claim retention of {seconds:d} s")
def step_retention(context, seconds):
    for process in context.world.process_by_id.values():
        process.owner.retention_s = seconds


@when('"{name}" claims key {key:d} with body "{body}" for {wait:f} s')
def step_claim(context, name, key, body, wait):
    world = context.world
    context.calls.append(world.claim(name, world.keys(2)[key], body, wait))


@when("the claim messages arrive without store results")
def step_messages_only(context):
    while context.world.messages:
        context.world.deliver(0)


@when("the claim messages arrive twice without store results")
def step_messages_twice(context):
    for index in range(len(context.world.messages)):
        context.world.deliver(index, keep=True)
    step_messages_only(context)


@when("the store applies the write, all claim messages are lost")
def step_grant_lost(context):
    context.world.apply_operation(write_index(context))
    context.world.messages.clear()


@when("{seconds:f} s pass in the claim simulation")
def step_settle(context, seconds):
    context.world.settle(seconds)


@when("{seconds:f} s pass without any delivery")
def step_advance(context, seconds):
    context.world.advance(seconds)


@when('claim {number:d} ends as "{outcome}"')
def step_finish(context, number, outcome):
    context.world.finish(context.calls[number - 1], ClaimOutcome(outcome))


@when('the claim members agree on "b" and "c"')
def step_without_a(context):
    set_views(context, "bc")


@when('the claim members agree on "a", "b" and "c"')
def step_all_members(context):
    set_views(context, "abc")


@when('claim member "{name}" restarts')
def step_restart(context, name):
    context.world.crash(name)


@when("the claim store is saved")
def step_save_store(context):
    context.world.store.save()


@when("the claim store is restored")
def step_restore_store(context):
    context.world.store.restore()


@when("the owner of the claim shard crashes")
def step_crash_owner(context):
    context.world.crash(owner_id(context))


@when("the owner of the claim shard is paused")
def step_pause(context):
    context.paused = owner_id(context)
    context.world.pause(context.paused)


@when("the other claim members continue without it for {seconds:f} s")
def step_without_paused(context, seconds):
    set_views(context, context.view.replace(context.paused, ""))
    context.world.settle(seconds)


@when("the paused claim member returns")
def step_return(context):
    context.world.resume(context.paused)


@when("the owner of the claim shard hands it over")
def step_hand_over(context):
    world = context.world
    process = world.process_by_id[owner_id(context)]
    world.apply(process, process.owner.hand_over(world.now))


@when("the store applies the write, answer lost")
def step_answer_lost(context):
    context.world.lose_answer(write_index(context))


@when("the store loses the write")
def step_write_lost(context):
    context.world.lose_operation(write_index(context))


@when("the store applies the write after a timeout")
def step_write_late(context):
    index = write_index(context)
    context.world.time_out_operation(index)
    context.world.apply_operation(index)


@when("the claim store goes down")
def step_store_down(context):
    context.world.is_store_up = False


@then("claim {number:d} is undecided")
def step_undecided(context, number):
    assert context.calls[number - 1].told is None, context.calls


@then('claim {number:d} gets the status "{status}"')
def step_status(context, number, status):
    assert context.calls[number - 1].told == status, context.calls


@then("claim {number:d} has the answer of claim 1")
def step_answer(context, number):
    assert context.calls[number - 1].answer == ANSWER


@then("claim {number:d} is recorded")
def step_recorded(context, number):
    assert context.calls[number - 1].is_recorded


@then("claim {number:d} is not recorded")
def step_not_recorded(context, number):
    assert not context.calls[number - 1].is_recorded


@then("key {key:d} has {count:d} run")
@then("key {key:d} has {count:d} runs")
def step_runs(context, key, count):
    runs = context.world.runs_by_key[context.world.keys(2)[key]]
    assert runs == count, runs


def owner_count(context):
    processes = context.world.process_by_id.values()
    return sum(process.owner.is_loaded for process in processes)


@then("the returned claim member has given up the shard")
def step_given_up(context):
    assert not context.world.process_by_id[context.paused].owner.is_loaded
    assert owner_count(context) == 1


@then("no claim member owns the shard")
def step_no_owner(context):
    assert owner_count(context) == 0


@then("the claim shard has {count:d} batch")
def step_batches(context, count):
    assert context.world.store.batch_count(context.world.shard) == count


@then("the claim shard has at most {count:d} batches")
def step_at_most_batches(context, count):
    assert context.world.store.batch_count(context.world.shard) <= count


@when("claims of {count:d} keys follow each other every {interval:f} s")
def step_claim_series(context, count, interval):
    world = context.world
    owner = world.process_by_id[owner_id(context)].owner
    context.counts = []
    for key in world.keys(count):
        context.calls.append(world.claim("a", key, "x", 2.0))
        for _ in range(4):
            world.settle(interval / 4)
            context.counts.append((world.now, owner.transaction_count))
    world.settle(1.0)


@then("the claim shard has started at most {limit:d} transactions in any second")
def step_rate(context, limit):
    for begin, before in context.counts:
        in_window = [
            count - before for now, count in context.counts if begin <= now < begin + 1
        ]
        assert max(in_window) <= limit, (begin, max(in_window))
    assert context.counts[-1][1] > limit


@then('every claim gets the status "{status}"')
def step_all_statuses(context, status):
    assert all(call.told == status for call in context.calls)
