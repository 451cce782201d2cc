"""Several claim owners and runners over a fake store and network in virtual time.

Every message and every store operation waits until it is delivered, lost or repeated by
the caller, so that any order of events can be produced. The oracle records what ran and
what each caller was told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus, StoredAnswer
from banyanshelf_core.claims.records import (
    RangeEntry,
    RangeResult,
    StoreEffect,
    StoreRange,
    StoreResult,
    StoreTransaction,
    TransactionResult,
    batch_prefix,
)
from banyanshelf_core.claims.runner import (
    ClaimRunner,
    Decided,
    Recorded,
    RunnerEffect,
    shard_owner_of,
)
from banyanshelf_core.claims.shard_owner import OwnerEffect, ShardOwner
from banyanshelf_core.hashing import shard_of
from banyanshelf_core.messages import (
    ClaimComplete,
    ClaimCompleteAck,
    ClaimReply,
    ClaimRequest,
    PeerMessage,
)
from banyanshelf_core.model import Send

ANSWER = StoredAnswer(201, ["Content-Type: text/plain"], b"paid", True)


class FakeStore:
    """Key-value store with compare-and-swap on modification revisions."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries_by_key: dict[str, RangeEntry] = {}
        self.write_count = 0
        self.restores = 0
        self._saved: tuple[int, dict[str, RangeEntry]] = (0, {})

    def save(self) -> None:
        """Keep a copy of the current state."""
        self._saved = (self.revision, dict(self.entries_by_key))

    def restore(self) -> None:
        """Return to the copy; revisions are given out again from there on."""
        self.restores += 1
        self.revision, entries = self._saved
        self.entries_by_key = dict(entries)

    def apply(self, effect: StoreEffect) -> StoreResult:
        """Carry out an operation and return its result."""
        match effect:
            case StoreRange(operation_id=operation_id, prefix=prefix):
                entries = self.entries_by_key.items()
                found = [entry for key, entry in entries if key.startswith(prefix)]
                return RangeResult(operation_id, tuple(found))
            case StoreTransaction(operation_id=operation_id):
                return self._transact(operation_id, effect)

    def _transact(
        self, operation_id: int, transaction: StoreTransaction
    ) -> TransactionResult:
        for compare in transaction.compares:
            entry = self.entries_by_key.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return TransactionResult(operation_id, False)
        self.revision += 1
        self.write_count += 1
        for put in transaction.puts:
            entry = RangeEntry(put.key, put.value, self.revision)
            self.entries_by_key[put.key] = entry
        for key in transaction.deletes:
            self.entries_by_key.pop(key, None)
        return TransactionResult(operation_id, True, self.revision)

    def batch_count(self, shard: int) -> int:
        """Return the number of stored batches of a shard."""
        prefix = batch_prefix(shard)
        return sum(key.startswith(prefix) for key in self.entries_by_key)


def unknown_result(effect: StoreEffect) -> StoreResult:
    """Return the result of an operation whose answer was lost."""
    if isinstance(effect, StoreRange):
        return RangeResult(effect.operation_id, None)
    return TransactionResult(effect.operation_id, None)


@dataclass
class Call:
    """One caller's request, as the oracle sees it."""

    attempt_id: str
    member_id: str
    key: str
    body: str
    told: ClaimStatus | None = None
    answer: StoredAnswer | None = None
    runs: int = 0
    ran_at: float = 0.0
    outcome: ClaimOutcome | None = None
    finished_at: float = 0.0
    is_recorded: bool = False


@dataclass
class Process:
    """One daemon process with the owner of the world's shard and a runner."""

    member_id: str
    instance: str
    owner: ShardOwner
    runner: ClaimRunner
    view: frozenset[str] = frozenset()
    is_paused: bool = False
    is_alive: bool = True
    # Restores of the store that the process has noticed.
    restores: int = 0


@dataclass
class StoreOperation:
    """An operation on its way; ``process`` may have crashed since.

    ``result`` is set when the store has carried it out and the answer is on its way.
    """

    process: Process
    effect: StoreEffect
    result: StoreResult | None = None


@dataclass
class Envelope:
    """A message on its way to a member."""

    to: str
    sender: str
    message: PeerMessage


@dataclass
class ClaimWorld:
    """Processes by member id, with everything that is on its way between them."""

    member_ids: Sequence[str]
    retention_s: float = 1000.0
    seed: int = 1
    now: float = 0.0
    store: FakeStore = field(default_factory=FakeStore)
    operations: list[StoreOperation] = field(default_factory=list)
    messages: list[Envelope] = field(default_factory=list)
    calls_by_id: dict[str, Call] = field(default_factory=dict)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    is_store_up: bool = True

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.instances = 0
        self.process_by_id: dict[str, Process] = {}
        for member_id in self.member_ids:
            self.process_by_id[member_id] = self.new_process(member_id)

    def new_process(self, member_id: str) -> Process:
        """Make a process with an instance id of its own."""
        self.instances += 1
        instance = f"i{self.instances}"
        owner = ShardOwner(self.shard, member_id, instance, self.retention_s, self.rng)
        runner = ClaimRunner(member_id, instance, 16_384)
        return Process(
            member_id,
            f"{member_id}.{instance}",
            owner,
            runner,
            restores=self.store.restores,
        )

    @property
    def shard(self) -> int:
        """The one shard that all keys of this world fall into."""
        return shard_of("key-0", 16)

    def keys(self, count: int) -> list[str]:
        """Return different keys of the world's shard."""
        keys = (f"key-{number}" for number in range(10_000))
        found = [key for key in keys if shard_of(key, 16) == self.shard]
        return found[:count]

    # --- membership and faults

    def set_view(self, member_id: str, view: Iterable[str]) -> None:
        """Give one process its view of the live members."""
        process = self.process_by_id[member_id]
        process.view = frozenset(view)
        if not process.is_paused:
            self._apply_view(process)

    def _apply_view(self, process: Process) -> None:
        first = shard_owner_of(self.shard, process.view)
        owner = process.owner
        effects: list[OwnerEffect] = []
        if first != process.member_id and not owner.is_idle:
            effects.extend(owner.relinquish())
        if first == process.member_id and owner.is_idle:
            effects.extend(owner.take_over(self.now))
        effects.extend(owner.set_members(self.now, process.view))
        self.apply(process, effects)
        self.apply(process, process.runner.set_members(self.now, process.view))

    def pause(self, member_id: str) -> None:
        """Stop a process; messages and results for it wait."""
        self.process_by_id[member_id].is_paused = True

    def resume(self, member_id: str) -> None:
        """Let a paused process run again."""
        process = self.process_by_id[member_id]
        process.is_paused = False
        self._apply_view(process)
        self.tick_process(process)

    def crash(self, member_id: str) -> None:
        """Replace a process by a new one; operations on their way go on."""
        former = self.process_by_id[member_id]
        former.is_alive = False
        process = self.new_process(member_id)
        self.process_by_id[member_id] = process
        self.set_view(member_id, former.view)

    # --- time and delivery

    def advance(self, seconds: float) -> None:
        """Let time pass and call every process that has something due."""
        self.now += seconds
        for process in list(self.process_by_id.values()):
            if not process.is_paused:
                self.tick_process(process)

    def tick_process(self, process: Process) -> None:
        """Call a process's timers if they are due."""
        for component in (process.owner, process.runner):
            wake = component.next_wake()
            if wake is not None and wake <= self.now:
                self.apply(process, component.tick(self.now))
                wake = component.next_wake()
                assert wake is None or wake > self.now, "timer does not make progress"

    def next_wake(self) -> float | None:
        """Return the time of the earliest timer of a running process."""
        times = [
            wake
            for process in self.process_by_id.values()
            if not process.is_paused
            for wake in (process.owner.next_wake(), process.runner.next_wake())
            if wake is not None
        ]
        return min(times, default=None)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message, and leave a copy on its way if ``keep`` is set."""
        envelope = self.messages[index]
        process = self.process_by_id[envelope.to]
        if process.is_paused:
            return
        if not keep:
            del self.messages[index]
        match envelope.message:
            case ClaimRequest() | ClaimComplete() as message:
                sender = envelope.sender
                self.apply(process, process.owner.receive(self.now, sender, message))
            case ClaimReply() | ClaimCompleteAck() as message:
                self.apply(process, process.runner.receive(self.now, message))

    def lose_message(self, index: int) -> None:
        """Drop a message."""
        del self.messages[index]

    def apply_operation(self, index: int) -> None:
        """Carry out a store operation and answer it unless its process is paused."""
        operation = self.operations[index]
        if operation.result is None and self.is_store_up:
            operation.result = self.store.apply(operation.effect)
        if operation.result is not None and not operation.process.is_paused:
            del self.operations[index]
            self._answer(operation, operation.result)

    def lose_answer(self, index: int) -> None:
        """Carry out a store operation whose answer is lost."""
        operation = self.operations[index]
        if self.is_store_up and not operation.process.is_paused:
            del self.operations[index]
            if operation.result is None:
                self.store.apply(operation.effect)
            self._answer(operation, unknown_result(operation.effect))

    def lose_operation(self, index: int) -> None:
        """Drop a store operation; the process learns nothing."""
        if not self.operations[index].process.is_paused:
            operation = self.operations.pop(index)
            self._answer(operation, unknown_result(operation.effect))

    def time_out_operation(self, index: int) -> None:
        """Tell the process that there is no answer while the operation goes on."""
        operation = self.operations[index]
        if not operation.process.is_paused:
            result = unknown_result(operation.effect)
            self._answer(operation, result)

    def _answer(self, operation: StoreOperation, result: StoreResult) -> None:
        process = operation.process
        if process.is_alive:
            if process.restores != self.store.restores:
                process.restores = self.store.restores
                self.apply(process, process.owner.on_store_restored(self.now))
            self.apply(process, process.owner.handle(self.now, result))

    def settle(self, seconds: float = 0.0) -> None:
        """Deliver everything in order, and let ``seconds`` pass on the way."""
        until = self.now + seconds
        while True:
            while self._deliver_one():
                pass
            wake = self.next_wake()
            if wake is None or wake > until:
                break
            self.advance(max(0.0, wake - self.now))
        self.now = until

    def _deliver_one(self) -> bool:
        for index, operation in enumerate(self.operations):
            if not operation.process.is_paused:
                if self.is_store_up or operation.result is not None:
                    self.apply_operation(index)
                else:
                    self.lose_operation(index)
                return True
        for index, envelope in enumerate(self.messages):
            if not self.process_by_id[envelope.to].is_paused:
                self.deliver(index)
                return True
        return False

    # --- calls

    def claim(self, member_id: str, key: str, body: str, wait_s: float) -> Call:
        """Start a call at a gateway."""
        process = self.process_by_id[member_id]
        attempt_id, effects = process.runner.claim(self.now, "desk", key, body, wait_s)
        call = Call(attempt_id, member_id, key, body)
        self.calls_by_id[attempt_id] = call
        self.apply(process, effects)
        return call

    def finish(self, call: Call, outcome: ClaimOutcome) -> None:
        """Report how a granted call ended."""
        process = self.process_by_id[call.member_id]
        if outcome is ClaimOutcome.RELEASED:
            # The upstream stated that it did not run the call.
            call.runs -= 1
            self.runs_by_key[call.key] -= 1
        call.outcome = outcome
        call.finished_at = self.now
        answer = ANSWER if outcome is ClaimOutcome.COMPLETED else None
        effects = process.runner.complete(self.now, call.attempt_id, outcome, answer)
        self.apply(process, effects)

    def apply(
        self, process: Process, effects: Iterable[OwnerEffect | RunnerEffect]
    ) -> None:
        """Carry out the effects of a process."""
        for effect in effects:
            match effect:
                case Send(to=to, message=message):
                    self.messages.append(Envelope(to, process.member_id, message))
                case StoreTransaction() | StoreRange():
                    self.operations.append(StoreOperation(process, effect))
                case Decided():
                    self._decide(effect)
                case Recorded(attempt_id=attempt_id):
                    self.calls_by_id[attempt_id].is_recorded = True

    def _decide(self, decided: Decided) -> None:
        call = self.calls_by_id[decided.attempt_id]
        assert call.told is None, f"{call} decided twice"
        call.told = decided.status
        call.answer = decided.answer
        if decided.status is ClaimStatus.GRANTED:
            call.runs += 1
            call.ran_at = self.now
            self.runs_by_key[call.key] += 1
