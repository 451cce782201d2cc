"""Steps for the store client against a fake store on a controlled clock."""

from behave import given, then, when
from daemon_group import PREFIX, settings_for
from simulated_store import FakeStore
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from banyanshelf_core.errors import StoreBudgetError, StoreUnavailableError
from banyanshelf_core.store_transactions import Compare, Put, Transaction
from banyanshelf_daemon.store_client import CALL_TIMEOUT_S, StoreClient


def run(context, coroutine):
    """Run a call to its end and keep its result or error."""
    outcome = []
    Deferred.fromCoroutine(coroutine).addBoth(outcome.append)
    for _ in range(int((CALL_TIMEOUT_S + 1) * 100)):
        if outcome:
            break
        context.clock.advance(0.01)
    (context.outcome,) = outcome
    return context.outcome


@given("a store client with {rate:g} calls a second")
def step_client(context, rate):
    context.clock = Clock()
    context.clock.advance(1000.0)
    context.fake_store = FakeStore(context.clock)
    settings = settings_for(1, store_calls_per_second=rate)
    context.client = StoreClient(context.clock, settings, context.fake_store.agent)
    context.events = []
    context.resets = []


@given("the fake store loses the next answer")
def step_lose_answer(context):
    context.fake_store.agent.lose_answers = 1


@given("the fake store refuses connections")
@when("the fake store refuses connections")
def step_refuse(context):
    context.fake_store.interrupt()


@when("the fake store answers again")
def step_answer(context):
    context.fake_store.resume()


@when('the client puts "{value}" at "{key}"')
def step_put(context, value, key):
    run(context, context.client.put(key, value.encode()))


@when('the client replaces "{old}" by "{new}" at "{key}" twice')
def step_replace(context, old, new, key):
    record = run(context, context.client.get(key))
    assert record.value == old.encode()
    transaction = Transaction(
        (Compare(key, record.mod_revision),), (Put(key, new.encode()),), (key,)
    )
    context.transactions = [
        run(context, context.client.transact(transaction)) for _ in range(2)
    ]


@when("the client makes {count:d} calls at once")
def step_calls(context, count):
    context.outcomes = []
    for number in range(count):
        call = Deferred.fromCoroutine(context.client.get(f"key-{number}"))
        call.addBoth(context.outcomes.append)
    context.clock.advance(0.1)


@when("the client watches from the start")
def step_watch(context):
    context.client.watch(
        "members/", 1, context.events.append, lambda: context.resets.append(1)
    )
    context.clock.advance(0.1)


@when('"{key}" is written {count:d} times while the watch is cut')
def step_missed(context, key, count):
    context.fake_store.interrupt()
    for number in range(count):
        context.fake_store.write(PREFIX + key.encode(), str(number).encode())
    context.fake_store.resume()


@when('"{key}" is deleted from the fake store')
def step_delete(context, key):
    context.fake_store.delete(PREFIX + key.encode())


@when("the store drops the revision of the watch")
def step_compacted(context):
    for _, _, response in context.fake_store.watches:
        response.feed(b'{"result": {"canceled": true, "compact_revision": "9"}}\n')


@when("the watch gets bytes that are no JSON")
def step_garbage(context):
    for _, _, response in context.fake_store.watches:
        response.feed(b"{{{ garbage\n")


@when("{seconds:g} seconds pass for the store client")
def step_pass(context, seconds):
    for _ in range(int(seconds * 10)):
        context.clock.advance(0.1)


@then("the store call fails as unavailable and says that a write may have happened")
def step_unavailable(context):
    context.outcome.trap(StoreUnavailableError)
    assert "a write may have happened" in context.outcome.getErrorMessage()


@then("the store call fails as unavailable and says that nothing was sent")
def step_not_sent(context):
    context.outcome.trap(StoreUnavailableError)
    assert "nothing was sent" in context.outcome.getErrorMessage()


@then('the fake store holds "{value}" at "{key}"')
def step_holds(context, value, key):
    run(context, context.client.get(key))
    assert context.outcome.value == value.encode(), context.outcome


@then("the first succeeds and the second reads the new record")
def step_transactions(context):
    first, second = context.transactions
    assert first.succeeded
    assert not second.succeeded
    assert second.reads[0].mod_revision == first.revision


@then("{sent:d} calls reach the store and {refused:d} are refused for the budget")
def step_budget(context, sent, refused):
    errors = [
        each
        for each in context.outcomes
        if hasattr(each, "check") and each.check(StoreBudgetError)
    ]
    assert len(errors) == refused, len(errors)
    assert len(context.fake_store.calls) == sent, len(context.fake_store.calls)


@then("the client counted {count:d} watch")
def step_counted(context, count):
    assert context.client.snapshot()["calls"]["watch"] == count


@then('the watch reported "{values}" and no value twice')
def step_reported(context, values):
    seen = [
        "deleted" if each.deleted else each.record.value.decode()
        for each in context.events
    ]
    assert seen == values.split(" "), seen


@then("the watch reported a reset once and asks no more")
def step_reset(context):
    assert context.resets == [1]
    calls = len(context.fake_store.calls)
    context.clock.advance(60.0)
    assert len(context.fake_store.calls) == calls


@then("the watch was asked for at most {count:d} times")
def step_asked(context, count):
    asked = len(context.fake_store.agent.request_times)
    assert 2 <= asked <= count, asked


@then("nothing is scheduled once the store client has stopped")
def step_clean(context):
    context.client.stop()
    context.clock.advance(0.01)
    pending = context.clock.getDelayedCalls()
    assert not pending, [str(each) for each in pending]
