"""Steps for a gateway's copy of the store, as other gateways read it."""

import random
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from twisted.internet.task import Clock

from banyanshelf_core.errors import StoreUnavailableError
from banyanshelf_core.replica import StoredItem
from banyanshelf_platform.store_client import Changes, Page
from banyanshelf_platform.store_mirror import StoreMirror
from banyanshelf_platform.store_view import StoreView


class FakeExchange:
    """Keeps the answer; ``call`` is set while one is waited for."""

    def __init__(self):
        self.answers = []
        self.call = None

    def answer(self, answer):
        self.answers.append(answer)


def start_copy(context):
    context.clock = Clock()
    context.view = StoreView(
        context.clock, "127.0.0.1:1", random.Random(1), list, lambda *_: None
    )
    context.mirror = StoreMirror(context.clock, context.view)
    context.exchange = FakeExchange()


@given("a copy of the store that is not read yet")
def step_unread(context):
    start_copy(context)


@given("a copy of the store at revision {revision:d}")
def step_copy(context, revision):
    start_copy(context)
    context.view.replica.load([StoredItem("op/config", 1, "e30=")], revision)


@when("the copy's gateway loses the store")
def step_lose(context):
    context.view._mark_store_lost(StoreUnavailableError("refused"))


@when("a watch after {revision:d} is asked for")
def step_watch(context, revision):
    target = f"/-/kv-watch?prefix=&after={revision}&waitMs=9000"
    ask(context, "/-/kv-watch", target)


@when("all items are asked for")
def step_range(context):
    ask(context, "/-/kv-range", "/-/kv-range?prefix=")


def ask(context, path, target):
    request = SimpleNamespace(path=path, target=target.encode())
    context.mirror.start(request, context.exchange, trust_internal_headers=False)


@when("the copy changes at revision {revision:d}")
def step_change(context, revision):
    change = StoredItem("servers/i-1", revision, "e30=")
    context.view._notify_handlers(context.view.replica.apply([change], revision))


@then("the watch waits")
@then("the reader waits")
def step_waits(context):
    assert not context.exchange.answers


@then("the watch is answered with no change by a copy that is away")
def step_away(context):
    check_changes(context, 0, True)


@then("the watch is answered with {count:d} change by a copy that is up to date")
def step_up_to_date(context, count):
    check_changes(context, count, False)


def check_changes(context, count, is_away):
    [answer] = context.exchange.answers
    changes = msgspec.json.decode(answer.body, type=Changes)
    assert (len(changes.events), changes.mirror.is_away) == (count, is_away), changes


@then("the watch is answered with 410")
def step_gone(context):
    assert [answer.status for answer in context.exchange.answers] == [410]


@then("the reader gets {count:d} item")
def step_items(context, count):
    [answer] = context.exchange.answers
    assert len(msgspec.json.decode(answer.body, type=Page).items) == count
