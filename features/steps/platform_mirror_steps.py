"""Steps for the mirror of the store that a gateway serves to others."""

import base64
import random
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from twisted.internet.task import Clock

from banyanshelf_core.errors import StoreUnavailableError
from banyanshelf_core.replica import StoredItem, StorePosition
from banyanshelf_platform.store_client import (
    MIRROR_ENCODING,
    Changes,
    Page,
    _decode,
    _StoreResponse,
)
from banyanshelf_platform.store_mirror import StoreMirror
from banyanshelf_platform.store_view import StoreView, deliver_to_all


class FakeExchange:
    """Records the answers; ``call`` is set while a watch is open."""

    def __init__(self):
        self.answers = []
        self.call = None

    def answer(self, answer):
        self.answers.append(answer)


def start_mirror(context):
    context.clock = Clock()
    context.view = StoreView(
        context.clock, "127.0.0.1:1", random.Random(1), list, lambda *_: None
    )
    context.mirror = StoreMirror(context.clock, context.view)
    context.exchange = FakeExchange()


@given("a mirror that has not read the store yet")
def step_unread(context):
    start_mirror(context)


@given("a mirror of the store at revision {revision:d}")
def step_mirror(context, revision):
    start_mirror(context)
    item = StoredItem("op/config", 1, "e30=")
    context.view.replica.load([item], StorePosition(1, revision))


@when("the mirror's gateway loses the store")
def step_lose(context):
    context.view._mark_store_lost(StoreUnavailableError("refused"))


@when("another gateway watches for changes after {revision:d}")
def step_watch(context, revision):
    target = f"/-/kv-watch?prefix=&after={revision}&waitMs=9000"
    request_read(context, "/-/kv-watch", target)


@when("another gateway reads all items")
def step_range(context):
    request_read(context, "/-/kv-range", "/-/kv-range?prefix=")


def request_read(context, path, target, headers=None):
    request = SimpleNamespace(
        path=path, target=target.encode(), value_by_name=headers or {}
    )
    context.mirror.start(request, context.exchange, trust_internal_headers=False)


@when("a change at revision {revision:d} arrives")
def step_change(context, revision):
    change = StoredItem("servers/i-1", revision, "e30=")
    replica = context.view.replica
    position = StorePosition(replica.position.generation, revision)
    deliver_to_all(context.view._handlers, replica.apply([change], position))


@then("the watch stays open")
@then("the read stays open")
def step_waits(context):
    assert not context.exchange.answers


@then("the answer to the watch has no change and reports the store as lost")
def step_store_lost(context):
    check_changes(context, 0, True)


@then("the answer to the watch has {count:d} change and reports the store as available")
def step_store_available(context, count):
    check_changes(context, count, False)


def check_changes(context, count, is_away):
    [answer] = context.exchange.answers
    changes = msgspec.json.decode(answer.body, type=Changes)
    assert (len(changes.events), changes.mirror.is_away) == (count, is_away), changes


@then("the watch is answered with 410")
def step_gone(context):
    assert [answer.status for answer in context.exchange.answers] == [410]


@given("a mirror of a store with {count:d} entries at revision {revision:d}")
def step_long_mirror(context, count, revision):
    start_mirror(context)
    value = base64.b64encode(b'{"address":"10.0.0.1:8080","status":"ready"}').decode()
    items = [StoredItem(f"servers/i-{n:08x}", n + 1, value) for n in range(count)]
    context.view.replica.load(items, StorePosition(1, revision))


@when("{count:d} other gateways read all items within a moment")
def step_many_ranges(context, count):
    headers = {b"accept-encoding": MIRROR_ENCODING.encode()}
    context.view.confirmed_at = context.clock.seconds()
    for _ in range(count):
        # The status in each answer has other ages.
        context.clock.advance(0.001)
        request_read(context, "/-/kv-range", "/-/kv-range?prefix=", headers)


@then("each of them decodes {count:d} items")
def step_decoded(context, count):
    for answer in context.exchange.answers:
        page = _decode(_StoreResponse(answer.body, 1, is_compressed=True), Page)
        assert len(page.items) == count, len(page.items)
        assert page.mirror.confirmed_ago_s > 0, page.mirror


@then("the replica was encoded once, to less than a quarter of its length")
def step_encoded_once(context):
    answers = context.exchange.answers
    page = _decode(_StoreResponse(answers[0].body, 1, is_compressed=True), Page)
    assert 4 * len(answers[0].body) < len(msgspec.json.encode(page))
    assert context.mirror.answers.encoded == 1, context.mirror.answers.encoded


@then("its answer without its last {count:d} bytes is refused")
def step_cut(context, count):
    [answer] = context.exchange.answers
    try:
        _decode(_StoreResponse(answer.body[:-count], 1, is_compressed=True), Page)
    except StoreUnavailableError:
        return
    raise AssertionError("a part of a replica was taken for all of it")


@then("the read is answered with {count:d} items")
@then("the read is answered with {count:d} item")
def step_items(context, count):
    [answer] = context.exchange.answers
    assert len(msgspec.json.decode(answer.body, type=Page).items) == count
