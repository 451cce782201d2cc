"""Steps for the operators' side of a change, against a store in memory."""

import random

from behave import given, then, when

from banyanshelf_core.apply_protocol import (
    Accepted,
    ApplyProtocol,
    ApplyResult,
    Commit,
    HeadSeen,
    NotSent,
    PutRecord,
    ReadRecord,
    Refused,
    Unknown,
    WaitFor,
    resolve,
)
from banyanshelf_core.errors import StoreRecordError
from banyanshelf_core.hashing import digest
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    MAX_PART_BYTES,
    ConfigHead,
    decode_record,
    history_key,
    join_parts,
    part_key,
    split_text,
)
from banyanshelf_core.store_transactions import KeyValue, TransactionResult


class MemoryStore:
    """Store that can drop requests or answers of commits."""

    def __init__(self):
        self.records = {}
        self.revision = 0
        self.lost_commits = []
        self.lose_all = False
        self.commits_in_effect = 0

    def read(self, key):
        """Return a record."""
        return self.records.get(key)

    def write(self, key, value):
        """Write a record."""
        self.records[key] = KeyValue(key, value, self.revision)

    def commit(self, transaction):
        """Run a transaction."""
        for compare in transaction.compares:
            record = self.read(compare.key)
            if (record.mod_revision if record else 0) != compare.mod_revision:
                reads = tuple(self.read(key) for key in transaction.reads)
                return TransactionResult(False, self.revision, reads)
        self.revision += 1
        for put in transaction.puts:
            self.write(put.key, put.value)
        self.commits_in_effect += 1
        return TransactionResult(True, self.revision)

    def run(self, effect):
        """Run an effect; returns whether it was answered, and the answer."""
        if self.lose_all:
            return False, None
        match effect:
            case ReadRecord(key):
                return True, self.read(key)
            case PutRecord(key, value):
                self.revision += 1
                self.write(key, value)
                return True, None
            case Commit(transaction):
                lost = self.lost_commits.pop(0) if self.lost_commits else ""
                if lost == "request":
                    return False, None
                answer = self.commit(transaction)
                return lost != "answer", answer
        raise AssertionError(effect)


class Operator:
    """Runs an ``ApplyProtocol`` step by step."""

    def __init__(self, context, name, text, seen=None):
        self.store = context.store
        self.now = 0.0
        self.protocol = ApplyProtocol(
            text, name, f"apply-{name}-{len(text)}", 0.0, random.Random(3), seen
        )
        self.effect = self.protocol.start(0.0)

    @property
    def is_done(self):
        """Whether the result is known."""
        return isinstance(self.effect, ApplyResult)

    def step(self):
        """Run the next effect."""
        if isinstance(self.effect, WaitFor):
            self.now += self.effect.seconds
            self.effect = self.protocol.waited()
            return
        is_answered, answer = self.store.run(self.effect)
        if is_answered:
            self.effect = self.protocol.answered(answer, self.now)
        else:
            self.now += 2.0
            self.effect = self.protocol.failed("timeout", self.now)

    def finish(self):
        """Run to the result."""
        while not self.is_done:
            self.step()
        return self.effect


def text_by(name):
    return f'[services.desk]\nhosts = ["{name}.example"]\n'


@given("an operators' store with a version applied by {name}")
def step_store(context, name):
    context.store = MemoryStore()
    context.operators = {}
    assert isinstance(Operator(context, name, text_by(name)).finish(), Accepted)
    head = context.store.read(CONFIG_HEAD_KEY)
    context.seen = HeadSeen(1, head.mod_revision)


@given("the store loses the {kind} of the next {count:d} commits")
def step_lose(context, kind, count):
    context.store.lost_commits = [kind] * count


@when("{name} applies a change")
def step_applies(context, name):
    operator = Operator(context, name, text_by(name), context.seen)
    context.operators[name] = operator
    context.result = operator.finish()


@when("{first} and {second} apply a change at the same moment with seed {seed:d}")
def step_both(context, first, second, seed):
    rng = random.Random(seed)
    for name in (first, second):
        operator = Operator(context, name, text_by(name), context.seen)
        context.operators[name] = operator
    running = list(context.operators.values())
    while running:
        operator = rng.choice(running)
        operator.step()
        running = [each for each in running if not each.is_done]


@when("the commit of {name} is lost and {other} applies a change before the repeat")
def step_between(context, name, other):
    operator = Operator(context, name, text_by(name), context.seen)
    while not isinstance(operator.effect, Commit):
        operator.step()
    context.store.lost_commits = ["request"]
    operator.step()
    assert isinstance(Operator(context, other, text_by(other)).finish(), Accepted)
    context.result = operator.finish()


@when("the store stops answering after the commit of {name} took effect")
def step_gone(context, name):
    operator = Operator(context, name, text_by(name), context.seen)
    while not isinstance(operator.effect, Commit):
        operator.step()
    context.store.lost_commits = ["answer"]
    operator.step()
    context.store.lose_all = True
    context.result = operator.finish()


@when("{name} applies a change while the store does not answer")
def step_down(context, name):
    context.store.lose_all = True
    step_applies(context, name)


@then("the change is accepted as version {version:d}")
def step_accepted(context, version):
    assert isinstance(context.result, Accepted), context.result
    assert context.result.version == version


@then("the change is refused since {name} came first, with a way to merge")
def step_refused(context, name):
    assert isinstance(context.result, Refused), context.result
    assert context.result.first.author == name
    assert f"--base={context.result.first.version}" in context.result.remedy


@then("exactly one of them is accepted and the other is told who came first")
def step_one(context):
    results = {name: each.effect for name, each in context.operators.items()}
    accepted = [name for name, each in results.items() if isinstance(each, Accepted)]
    refused = [each for each in results.values() if isinstance(each, Refused)]
    assert len(accepted) == len(refused) == 1, results
    assert refused[0].first.author == accepted[0]


@then("{count:d} commits took effect in all")
def step_commits(context, count):
    assert context.store.commits_in_effect == count, context.store.commits_in_effect


@then("the result is unknown with a command that finds out")
def step_unknown(context):
    assert isinstance(context.result, Unknown), context.result
    assert context.result.apply_id in context.result.command


@then("the command finds that version {version:d} was accepted")
def step_resolved(context, version):
    history = context.store.read(history_key(version))
    result = resolve(version, context.result.apply_id, history)
    assert isinstance(result, Accepted), result


@then("nothing was sent and the result says so")
def step_not_sent(context):
    assert isinstance(context.result, NotSent), context.result


@then("the members can read the text of {name} from the store")
def step_readable(context, name):
    head = decode_record(context.store.read(CONFIG_HEAD_KEY).value, ConfigHead)
    keys = [part_key(head.digest, index) for index in range(head.parts)]
    parts = [context.store.read(key).value for key in keys]
    assert join_parts(parts, head.digest) == text_by(name)


@when("a text of {size:d} bytes with wide characters is split and joined")
def step_split(context, size):
    context.long_text = "é" * (size // 2)
    context.parts = split_text(context.long_text)
    context.text_digest = digest(context.long_text.encode())


@then("{count:d} parts within the size limit give the same text")
def step_joined(context, count):
    assert len(context.parts) == count
    assert all(len(part) <= MAX_PART_BYTES for part in context.parts)
    assert join_parts(context.parts, context.text_digest) == context.long_text


@then("a lost or swapped part is refused")
def step_damaged(context):
    for parts in (context.parts[1:], [*context.parts[1:], context.parts[0] + b"x"]):
        try:
            join_parts(parts, context.text_digest)
        except StoreRecordError:
            continue
        raise AssertionError("a damaged text was accepted")


@when("the first request of {name} arrives only after its repeat")
def step_late_request(context, name):
    operator = Operator(context, name, text_by(name), context.seen)
    while not isinstance(operator.effect, Commit):
        operator.step()
    delayed = operator.effect.transaction
    context.store.lost_commits = ["request"]
    context.result = operator.finish()
    context.store.commit(delayed)
