"""Operators who apply changes to an in-memory store that loses calls."""

import random

from banyanshelf_core.apply_protocol import (
    Accepted,
    ApplyProtocol,
    ApplyResult,
    BaseVersion,
    Commit,
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


def text_by(name):
    return f'[services.desk]\nhosts = ["{name}.example"]\n'


class Operator:
    """One operator's ``ApplyProtocol``, run step by step."""

    def __init__(self, store, name, base_version=None):
        self.store = store
        self.now = 0.0
        rng = random.Random(3)
        self.protocol = ApplyProtocol(text_by(name), name, name, 0.0, rng, base_version)
        self.effect = self.protocol.start(0.0)

    def step(self):
        if isinstance(self.effect, WaitFor):
            self.now += self.effect.seconds
            self.effect = self.protocol.on_wait_over()
            return
        is_answered, answer = self.store.call(self.effect)
        if is_answered:
            self.effect = self.protocol.on_answer(answer, self.now)
        else:
            self.now += 2.0
            self.effect = self.protocol.on_failure("timeout", self.now)

    def step_to(self, effect_class):
        while not isinstance(self.effect, effect_class):
            self.step()
        return self.effect


class SimulatedOperators:
    """A store with version 1, on which the operators base their changes."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.records = {}
        self.revision = 0
        self.commits = 0
        self.lost_commits = []
        self.is_down = False
        Operator(self, "first").step_to(Accepted)
        self.base_version = BaseVersion(1, self.records[CONFIG_HEAD_KEY].mod_revision)
        self.result = None

    def call(self, effect):
        """Return whether the call was answered, and the answer."""
        if self.is_down:
            return False, None
        match effect:
            case ReadRecord(key):
                return True, self.records.get(key)
            case PutRecord(key, value):
                self._write(key, value)
                return True, None
            case Commit(transaction):
                lost = self.lost_commits.pop(0) if self.lost_commits else ""
                if lost == "request":
                    return False, None
                return lost != "answer", self._commit(transaction)
        raise AssertionError(effect)

    def _write(self, key, value):
        self.revision += 1
        self.records[key] = KeyValue(key, value, self.revision)

    def _commit(self, transaction):
        for key, revision in transaction.compares:
            record = self.records.get(key)
            if (record.mod_revision if record else 0) != revision:
                reads = tuple(self.records.get(key) for key in transaction.reads)
                return TransactionResult(False, self.revision, reads)
        for put in transaction.puts:
            self._write(put.key, put.value)
        self.commits += 1
        return TransactionResult(True, self.revision)

    # Events

    def lose(self, kind, count):
        self.lost_commits = [kind] * count

    def applies(self, name):
        self.result = Operator(self, name, self.base_version).step_to(ApplyResult)

    def at_once(self, *names):
        operators = [Operator(self, name, self.base_version) for name in names]
        running = list(operators)
        while running:
            self.rng.choice(running).step()
            running = [
                each for each in running if not isinstance(each.effect, ApplyResult)
            ]
        results = [each.effect for each in operators]
        (accepted,) = (each for each in operators if isinstance(each.effect, Accepted))
        (refused,) = (each for each in results if isinstance(each, Refused))
        assert refused.first.author == names[operators.index(accepted)]

    def other_before_repeat(self, name, other):
        operator = Operator(self, name, self.base_version)
        operator.step_to(Commit)
        self.lose("request", 1)
        operator.step()
        Operator(self, other).step_to(Accepted)
        self.result = operator.step_to(ApplyResult)

    def late_request(self, name):
        operator = Operator(self, name, self.base_version)
        delayed = operator.step_to(Commit).transaction
        self.lose("request", 1)
        self.result = operator.step_to(ApplyResult)
        self._commit(delayed)

    def store_ends_after_commit(self, name):
        operator = Operator(self, name, self.base_version)
        operator.step_to(Commit)
        self.lose("answer", 1)
        operator.step()
        self.is_down = True
        self.result = operator.step_to(ApplyResult)

    def store_down(self):
        self.is_down = True

    # Checks

    def accepted(self, version):
        assert isinstance(self.result, Accepted), self.result
        assert self.result.version == version

    def refused_for(self, name):
        assert isinstance(self.result, Refused), self.result
        assert self.result.first.author == name
        assert f"--base={self.result.first.version}" in self.result.remedy

    def not_sent(self):
        assert isinstance(self.result, NotSent), self.result

    def unknown_until_resolved_as(self, version):
        assert isinstance(self.result, Unknown), self.result
        assert self.result.apply_id in self.result.command
        record = self.records.get(history_key(version))
        result = resolve(version, self.result.apply_id, record)
        assert isinstance(result, Accepted), result

    def took_effect(self, count):
        assert self.commits == count, self.commits

    def readable(self, name):
        head = decode_record(self.records[CONFIG_HEAD_KEY].value, ConfigHead)
        keys = [part_key(head.digest, index) for index in range(head.parts)]
        parts = [self.records[key].value for key in keys]
        assert join_parts(parts, head.digest) == text_by(name)

    def long_text_is_split_and_checked(self):
        text = "é" * 600_000
        parts, text_digest = split_text(text), digest(text.encode())
        assert [len(part) <= MAX_PART_BYTES for part in parts] == [True] * 3
        assert join_parts(parts, text_digest) == text
        for damaged in (parts[1:], [parts[1], parts[0], parts[2] + b"x"]):
            try:
                join_parts(damaged, text_digest)
            except StoreRecordError:
                continue
            raise AssertionError("a damaged text was accepted")
