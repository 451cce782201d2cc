"""Steps for the claim tasks of several daemons on a simulated clock."""

import random

from behave import given, then, when
from fuzz.claim_world import FakeStore
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from banyanshelf_core.call_messages import ClaimOutcome
from banyanshelf_core.claims.records import (
    Compare,
    Put,
    StoreRange,
    StoreTransaction,
)
from banyanshelf_core.errors import StoreBudgetError, StoreUnavailableError
from banyanshelf_core.hashing import digest
from banyanshelf_core.model import Member
from banyanshelf_daemon.claim_service import ClaimTask, TransactionOutcome
from banyanshelf_daemon.settings import Settings

FAILURES = {
    "unavailable": StoreUnavailableError("no answer"),
    "budget": StoreBudgetError("no calls left"),
}


class DelayedClaimStore:
    """ClaimStore with a latency of 3 ms on the in-memory store of the fuzz tests."""

    def __init__(self, clock):
        self.clock = clock
        self.store = FakeStore()
        self.failure = None

    def answer(self, effect, convert):
        if self.failure is not None:
            return fail(self.failure)
        result = Deferred()
        answer = convert(self.store.apply(effect))
        self.clock.callLater(0.003, result.callback, answer)
        return result

    def transact(self, compares, puts, deletes):
        effect = StoreTransaction(
            0,
            tuple(Compare(*each) for each in compares),
            tuple(Put(*each) for each in puts),
            tuple(deletes),
        )
        return self.answer(
            effect, lambda each: TransactionOutcome(each.succeeded, each.revision)
        )

    def get_range(self, prefix):
        return self.answer(
            StoreRange(0, prefix),
            lambda result: [
                (each.key, each.value, each.mod_revision) for each in result.entries
            ],
        )


class FakeCluster:
    """Fake membership, links and configuration that all claim tasks share."""

    def __init__(self):
        self.clock = Clock()
        self.store = DelayedClaimStore(self.clock)
        self.members = {}
        self.tasks = {}
        self.links = {}
        self.handlers = {}
        self.member_handlers = []

    def members_by_id(self):
        return self.members

    def on_members_change(self, handler):
        self.member_handlers.append(handler)

    def active(self):
        return None

    def on_change(self, handler):
        pass


class FakePeerNetwork:
    """PeerNetwork of one daemon with a latency of 1 ms."""

    def __init__(self, daemons, member_id):
        self.daemons = daemons
        self.member_id = member_id
        self.is_cut = False

    def send(self, to, message):
        if self.is_cut:
            return False
        assert to != self.member_id, "a message to itself went through the network"
        handler = self.daemons.handlers[to, type(message)]
        self.daemons.clock.callLater(0.001, handler, self.member_id, message)
        return True

    def subscribe(self, message_class, handler):
        self.daemons.handlers[self.member_id, message_class] = handler


def settings(member_id):
    listeners = ("listen", "service_listen", "peer_listen", "operator_listen")
    return Settings(
        member_id=member_id,
        zone="Huye",
        store_url="http://127.0.0.1:1",
        host_list_url="http://127.0.0.1:2",
        **{name: f"127.0.0.1:{10 + index}" for index, name in enumerate(listeners)},
    )


def new_task(daemons, name):
    daemons.links[name] = FakePeerNetwork(daemons, name)
    rng = random.Random(name)
    return ClaimTask(
        daemons.clock,
        settings(name),
        daemons,
        daemons,
        daemons.links[name],
        daemons.store,
        rng,
    )


@given("{count:d} daemons with claim tasks on one clock")
def step_daemons(context, count):
    daemons = context.daemons = FakeCluster()
    names = [f"gateway-{number}" for number in range(1, count + 1)]
    daemons.members = {name: Member(name, "127.0.0.1:1", "Huye", 1) for name in names}
    for name in names:
        daemons.tasks[name] = new_task(daemons, name)
    for task in daemons.tasks.values():
        task.start()
    context.decisions = []
    context.results = []
    context.key_count = 0
    pass_time(context, 0.5)


def pass_time(context, seconds):
    context.daemons.clock.pump([0.001] * round(seconds * 1000))


def claim(context, task, key):
    decision = task.claim("desk", digest(key.encode()), "body", 2.0)
    decision.addErrback(lambda _: None)
    context.decisions.append(decision)
    context.results.append((task, decision))


@when("each daemon claims {count:d} keys")
def step_claim_keys(context, count):
    for task in context.daemons.tasks.values():
        for _ in range(count):
            context.key_count += 1
            claim(context, task, f"key {context.key_count}")


@when('each daemon claims the key "{key}"')
def step_claim_key(context, key):
    context.decisions = []
    for task in context.daemons.tasks.values():
        claim(context, task, key)


@when("{seconds:f} s pass for the claim tasks")
def step_pass_time(context, seconds):
    pass_time(context, seconds)


@when("all granted claims of the tasks are completed")
def step_complete(context):
    context.recorded = [
        task.complete(decision.result.attempt_id, ClaimOutcome.COMPLETED, None)
        for task, decision in context.results
    ]


@when("all waiting claims of the tasks are cancelled")
def step_cancel(context):
    for decision in context.decisions:
        decision.cancel()


@when('the claim store of the tasks fails with "{failure}"')
def step_store_fails(context, failure):
    context.daemons.store.failure = FAILURES[failure]


@when("the claim store of the tasks works again")
def step_store_works(context):
    context.daemons.store.failure = None


@when("daemon 1 claims the key {key:w}")
def step_claim_at_first(context, key):
    context.decisions = []
    claim(context, context.daemons.tasks["gateway-1"], key)


@when("daemon 1 is restarted with the same seed")
def step_restart(context):
    daemons = context.daemons
    daemons.links["gateway-1"].is_cut = True
    daemons.tasks["gateway-1"] = new_task(daemons, "gateway-1")
    daemons.tasks["gateway-1"].start()


@when("daemon 1 hands its claim shards over")
def step_hand_over(context):
    context.handed_over = context.daemons.tasks["gateway-1"].hand_over()


@when("daemon 1 leaves the membership of the claim tasks")
def step_leave(context):
    del context.daemons.members["gateway-1"]
    for handler in context.daemons.member_handlers:
        handler()


@then("daemon 1 has handed over")
def step_handed_over(context):
    assert context.handed_over.called


def statuses(context):
    results = [getattr(each, "result", None) for each in context.decisions]
    return [getattr(each, "status", None) for each in results]


@then('all claims of the tasks are decided as "{status}"')
def step_all_decided(context, status):
    assert set(statuses(context)) == {status}, statuses(context)


@then('{count:d} claim of the tasks is decided as "{status}"')
@then('{count:d} claims of the tasks are decided as "{status}"')
def step_decided(context, count, status):
    assert statuses(context).count(status) == count, statuses(context)


@then("the daemons own {count:d} claim shards together")
def step_shards(context, count):
    snapshots = [task.snapshot() for task in context.daemons.tasks.values()]
    owned = [
        shard["shard"]
        for snapshot in snapshots
        for shard in snapshot["shards"]
        if shard["owned"]
    ]
    assert sorted(owned) == list(range(count)), owned


@then("all outcomes of the tasks are recorded")
def step_recorded(context):
    assert context.recorded
    assert all(each.called for each in context.recorded)


@then("every claim task is drained")
def step_drained(context):
    assert all(
        task.wait_until_drained().called for task in context.daemons.tasks.values()
    )
