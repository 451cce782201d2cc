"""Steps for a gateway's view of the platform's store, on a simulated clock."""

import base64
import copy
import math
import random

import msgspec
from behave import given, then, when
from platform_record_steps import CONFIGURATION, ENTRY
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from banyanshelf_core.errors import StoreUnavailableError
from banyanshelf_core.model import UpstreamState
from banyanshelf_core.replica import StorePosition
from banyanshelf_platform.directory import PlatformDirectory
from banyanshelf_platform.records import RetryRules
from banyanshelf_platform.store_client import (
    STALE_READ_TIMEOUT_S,
    WATCH_TIMEOUT_MARGIN_S,
    Changes,
    HistoryLostError,
    Item,
    MirrorStatus,
    Page,
)
from banyanshelf_platform.store_view import StoreView

STEP_S = 0.05
ANSWER_TIME_S = 0.004
STORE = "127.0.0.9:1"
MIRROR = "127.0.0.8:1"
OTHER_RELAY = "127.0.0.7:1"


def encoded(value):
    return base64.b64encode(msgspec.json.encode(value)).decode()


class FakeStore:
    """The store's items and changes, and the faults that its clients see.

    ``is_down`` rejects all calls, ``rejected_addresses`` those to some addresses. With
    ``is_hanging``, watches hang, and stale reads too unless ``answers_stale_reads``.
    ``generation`` counts the restores from a copy; ``outdated_addresses`` serve the
    state from before the last one.
    """

    def __init__(self, clock):
        self.clock = clock
        self.revision = 0
        self.items = {}
        self.changes = []
        self.oldest_revision = 0
        self.is_down = False
        self.rejected_addresses = set()
        self.waiting = []
        self.is_hanging = False
        self.answers_stale_reads = False
        self.mirror_status = None
        self.generation = 1
        self.copy = None
        self.outdated_addresses = set()
        self.before_restore = None

    def save_copy(self):
        self.copy = (self.revision, dict(self.items))

    def restore(self):
        self.before_restore = copy.copy(self)
        self.before_restore.waiting = []
        self.generation += 1
        self.revision, items = self.copy
        self.items = dict(items)
        self.changes = []
        self.oldest_revision = self.revision

    def write(self, key, value):
        self.revision += 1
        self._change(Item(key, self.revision, value))

    def delete(self, key, notifies_watches=True):
        self.revision += 1
        self._change(Item(key, self.revision, "", True), notifies_watches)

    def _change(self, item, notifies_watches=True):
        if item.deleted:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        self.changes.append(item)
        if notifies_watches and not (self.is_down or self.is_hanging):
            self.answer_watches()

    def answer_watches(self):
        waiting, self.waiting = self.waiting, []
        for result, after in waiting:
            if not result.called:
                result.callback(self.changes_after(after))

    def changes_after(self, after):
        events = [each for each in self.changes if each.revision > after]
        return Changes(events, self.revision, self.mirror_status, self.generation)

    def cut_watches(self):
        waiting, self.waiting = self.waiting, []
        for result, _ in waiting:
            if not result.called:
                result.errback(StoreUnavailableError("cut"))

    def drop_history(self):
        self.oldest_revision = self.revision
        waiting, self.waiting = self.waiting, []
        for result, _ in waiting:
            result.errback(HistoryLostError("dropped"))


class FakeClient:
    """A client of the fake store, at the store's address or at a mirror's."""

    def __init__(self, store, address):
        self._store, self.address = store, address
        self.calls = 0
        self.pages = 0
        self.stale_reads = 0

    @property
    def store(self):
        is_outdated = self.address in self._store.outdated_addresses
        return (is_outdated and self._store.before_restore) or self._store

    def check(self):
        self.calls += 1
        if self.store.is_down or self.address in self.store.rejected_addresses:
            raise StoreUnavailableError("refused")

    async def read_page(self, prefix, after):
        self.check()
        self.pages += 1
        store = self.store
        items = list(store.items.values())
        return Page(items, False, store.revision, store.mirror_status, store.generation)

    async def read_stale_position(self):
        self.check()
        self.stale_reads += 1
        store = self.store
        if store.is_hanging and not store.answers_stale_reads:
            result = Deferred()
            store.clock.callLater(STALE_READ_TIMEOUT_S, self._expire, result)
            return await result
        return Page([], False, store.revision, generation=store.generation)

    async def wait_for_changes(self, prefix, position, wait_s):
        self.check()
        store, revision = self.store, position.revision
        if not store.oldest_revision <= revision <= store.revision:
            # Without a delay, a client that repeats its call at once stops the clock.
            await deferLater(store.clock, ANSWER_TIME_S)
            raise HistoryLostError("dropped")
        if store.revision > revision or wait_s <= 0:
            return store.changes_after(revision)
        result = Deferred()
        store.waiting.append((result, revision))
        store.clock.callLater(wait_s, self._end_wait, result, revision)
        store.clock.callLater(wait_s + WATCH_TIMEOUT_MARGIN_S, self._expire, result)
        return await result

    def _end_wait(self, result, revision):
        if not (result.called or self.store.is_hanging):
            result.callback(self.store.changes_after(revision))

    def _expire(self, result):
        if not result.called:
            result.errback(StoreUnavailableError("no answer in time"))

    def close(self):
        """Do nothing, as no connection is open."""


def write_configuration(context, version):
    record = copy.deepcopy(CONFIGURATION)
    record["version"] = version
    context.store.write("op/config", encoded(record))


def write_upstream(context, name, **changes):
    context.store.write(f"servers/{name}", encoded(ENTRY | changes))


def advance(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)


@given('a store with configuration {version:d} and upstreams "{names}"')
def step_store(context, version, names):
    context.clock = Clock()
    context.clock.advance(1000)
    context.store = FakeStore(context.clock)
    write_configuration(context, version)
    for name in names.split():
        write_upstream(context, name)


@given("a gateway that follows it")
def step_gateway(context):
    start_gateway(context, lambda excluded: None)


@given("a gateway that follows a relay")
def step_gateway_with_relay(context):
    context.relay = MIRROR
    context.store.mirror_status = MirrorStatus()
    start_gateway(
        context, lambda excluded: None if context.relay in excluded else context.relay
    )


@given("a gateway that knows no relay")
def step_gateway_without_relay(context):
    context.relay = None
    start_gateway(
        context, lambda excluded: None if context.relay in excluded else context.relay
    )


def start_gateway(context, select_relay, confirmation_period_s=math.inf):
    context.clients = {}

    def connect(_reactor, address):
        client = context.clients[address] = FakeClient(context.store, address)
        return client

    context.view = StoreView(
        context.clock,
        STORE,
        random.Random(4),
        lambda: [MIRROR],
        connect,
        connect,
        select_relay,
        confirmation_period_s,
    )
    context.directory = PlatformDirectory(
        context.clock, context.view, lambda: RetryRules(0.2, 1)
    )
    context.view.start()
    advance(context, 0.5)


@when(
    'the store writes configuration {version:d} and removes upstream "{name}"',
)
def step_write_and_remove(context, version, name):
    write_configuration(context, version)
    context.store.delete(f"servers/{name}")


@when("the store writes configuration {version:d}")
def step_write(context, version):
    write_configuration(context, version)


@when('the store writes "{value}" under the configuration\'s key')
def step_write_damaged(context, value):
    context.store.write("op/config", value)


@when("the store writes {count:d} upstreams within {seconds:g} s")
def step_write_many(context, count, seconds):
    context.calls_before = context.clients[STORE].calls
    for number in range(count):
        write_upstream(context, f"i-new-{number}")
        advance(context, seconds / count)


@when('the store writes upstreams "{names}"')
def step_write_upstreams(context, names):
    for name in names.split():
        write_upstream(context, name)


@when('the store writes upstreams "{names}" with a new address')
def step_write_anew(context, names):
    for name in names.split():
        write_upstream(context, name, address="127.0.0.7:80")


@when('the store removes upstream "{name}"')
def step_remove(context, name):
    context.store.delete(f"servers/{name}")


@when('the store drops its history and removes upstream "{name}" without notice')
def step_drop(context, name):
    context.store.delete(f"servers/{name}", notifies_watches=False)
    context.store.drop_history()


@when(
    "the gateway's watch and stale reads hang while the store writes configuration "
    "{version:d}"
)
def step_hanging_reads(context, version):
    context.store.is_hanging = True
    write_configuration(context, version)


@when("only the gateway's watch hangs while the store writes configuration {version:d}")
def step_hanging_watch(context, version):
    context.store.answers_stale_reads = True
    step_hanging_reads(context, version)


@when("nothing changes in the store for {seconds:g} s")
def step_no_changes(context, seconds):
    client = context.clients[STORE]
    context.calls_before, context.stale_before = client.calls, client.stale_reads
    advance(context, seconds)


@when("the store and all mirrors are down for {seconds:g} s")
def step_all_down(context, seconds):
    context.store.is_down = True
    context.store.cut_watches()
    step_no_changes(context, seconds)


@when("the store and all mirrors answer again")
def step_all_back(context):
    context.store.is_down = False


@then("the gateway's calls have cost at most {limit:g} full reads")
def step_cost(context, limit):
    client = context.clients[STORE]
    stale = client.stale_reads - context.stale_before
    full = client.calls - context.calls_before - stale
    # A read that may be stale costs a tenth of a full read.
    assert full + stale / 10 <= limit, (full, stale)


@when("another gateway reports the store's revision")
def step_report_revision(context):
    store = context.store
    context.view.note_position(StorePosition(store.generation, store.revision))


@when("the store rejects the gateway's calls")
def step_store_rejects(context):
    context.store.rejected_addresses.add(STORE)
    context.store.cut_watches()


@given("a gateway that may follow either of two relays")
def step_two_relays(context):
    context.store.mirror_status = MirrorStatus()
    relays = (MIRROR, OTHER_RELAY)
    start_gateway(
        context,
        lambda excluded: next((each for each in relays if each not in excluded), None),
    )


@when("the relay rejects the gateway's calls")
def step_relay_rejects(context):
    context.store.rejected_addresses.add(MIRROR)
    context.store.cut_watches()


@when("the gateway is partitioned from the relay and the store for {seconds:g} s")
def step_partition(context, seconds):
    context.store.rejected_addresses |= {MIRROR, STORE}
    context.store.cut_watches()
    advance(context, seconds)


@when("the relay is reachable again")
def step_relay_reachable(context):
    context.store.rejected_addresses.discard(MIRROR)


@when("the store is down and other gateways have lost it")
def step_lost_by_all(context):
    context.store.rejected_addresses.add(STORE)
    context.store.mirror_status = MirrorStatus(True, 1.0)


@when("a gateway starts that finds their mirrors")
def step_start_in_outage(context):
    start_gateway(context, lambda excluded: None)


@when("the relay reports that it has lost the store")
def step_relay_lost(context):
    context.store.mirror_status = MirrorStatus(True, 0.0)
    context.store.answer_watches()


@when(
    "the relay reports that it lost the store {lost:g} s ago and reached it again "
    "{back:g} s ago"
)
def step_relay_back(context, lost, back):
    context.store.mirror_status = MirrorStatus(False, lost, back)


@when("another relay is selected for the gateway")
def step_other_relay(context):
    context.relay = OTHER_RELAY
    context.view.reselect_relay()


@when(
    'the store is down for {seconds:g} s and the entries of upstreams "{names}" expire'
)
@when('the store is down for {seconds:g} s and the entries of upstreams "" expire')
def step_down(context, seconds, names=""):
    context.store.is_down = True
    context.store.cut_watches()
    advance(context, seconds)
    for name in names.split():
        context.store.delete(f"servers/{name}")
    context.store.is_down = False
    advance(context, 0.5)


@when("another gateway reports that the store has answered it for {seconds:g} s")
def step_report_contact(context, seconds):
    generation = context.view.replica.position.generation
    context.directory.note_peer_store_contact(generation, seconds)


@when('upstream "{name}" states that it leaves')
def step_stated_leaving(context, name):
    context.directory.report_leaving(name, "draining")


@when('another gateway hears that upstream "{name}" leaves')
def step_peer_leaving(context, name):
    listed = context.directory.upstreams_by_id("s")
    context.directory.note_peer_leaving(listed[name])


@when('the store writes upstream "{name}" with {count:d} slots')
def step_write_slots(context, name, count):
    information = ENTRY["information"] | {"slots": count}
    write_upstream(context, name, information=information)


@when('the store writes upstream "{name}" with the start {born:d}')
def step_write_start(context, name, born):
    write_upstream(context, name, born=born)


@when('another server answers at the address of "{name}"')
def step_misdirected(context, name):
    context.directory.report_leaving(name, "another instance answered")


@when("{seconds:g} s passes")
@when("{seconds:g} s pass by")
def step_pass(context, seconds):
    advance(context, seconds)


def used(context):
    upstreams = context.directory.upstreams_by_id("s").values()
    return " ".join(
        sorted(each.id for each in upstreams if each.state is UpstreamState.LIVE)
    )


@then('the gateway has configuration {version:d} and uses "{names}"')
def step_has(context, version, names):
    active = context.directory.active()
    assert (active.version, used(context)) == (version, names), (
        active.version,
        used(context),
    )


@then("the gateway has configuration {version:d} and has read a mirror")
def step_has_mirror(context, version):
    assert context.directory.active().version == version
    assert context.clients[MIRROR].calls


@then("the gateway has made at most {count:d} calls")
def step_calls(context, count):
    made = context.clients[STORE].calls - context.calls_before
    assert 0 < made <= count, made


@then("the gateway has made no call to the store")
def step_no_calls(context):
    assert context.clients[STORE].calls == 0


@then("the gateway has called the other relay")
def step_asked_other(context):
    assert context.clients[OTHER_RELAY].calls


@then("the mirrors have been read in full once")
def step_pages(context):
    assert context.clients[MIRROR].pages == 1, context.clients[MIRROR].pages
