"""Cost of claims: store writes, added wait, CPU time and bytes in the store.

Drives the claim core of a whole group over a fake store in virtual time, without
sockets and codec. Each keyed call is claimed, runs for a while and is completed with a
short answer. CPU time covers runner and owner of a claim, without the fake store.

Example:
    ``python -m banyanshelf_bench.claim_benchmark --rates=1,100,1000 --seed=7``

"""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import NamedTuple

import fire
from hdrh.histogram import HdrHistogram

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus, StoredAnswer
from banyanshelf_core.claims.records import (
    SHARD_COUNT,
    RangeEntry,
    RangeResult,
    StoreRange,
    StoreResult,
    StoreTransaction,
    TransactionResult,
)
from banyanshelf_core.claims.runner import (
    ClaimRunner,
    Decided,
    Recorded,
    RunnerEffect,
    shard_owner_of,
)
from banyanshelf_core.claims.shard_owner import OwnerEffect, ShardOwner
from banyanshelf_core.hashing import digest
from banyanshelf_core.messages import (
    ClaimComplete,
    ClaimCompleteAck,
    ClaimReply,
    ClaimRequest,
    PeerMessage,
)
from banyanshelf_core.model import MemberId, Send

MEMBER_COUNT = 14
STORE_LATENCY_S = 0.003
HOP_LATENCY_S = 0.001
SERVICE_TIME_S = 0.02
WAIT_S = 2.0
RETENTION_S = 86_400.0
ANSWER = StoredAnswer(201, ["Content-Type: application/json"], b"x" * 64, True)
HISTOGRAM_MAX_US = 10_000_000


class Cost(NamedTuple):
    """Figures of one rate of keyed calls; waits are in milliseconds."""

    rate: float
    writes_per_second: float
    most_writes_in_a_second: int
    claims_per_write: float
    wait_p50_ms: float
    wait_p99_ms: float
    refused: int
    cpu_us_per_claim: float
    bytes_per_claim: float


class FleetStore:
    """Fake store with compare-and-swap; counts writes and bytes."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries_by_key: dict[str, RangeEntry] = {}
        self.bytes_by_key: dict[str, int] = {}

    def apply(self, effect: StoreTransaction | StoreRange) -> StoreResult:
        """Carry out an operation."""
        if isinstance(effect, StoreRange):
            entries = self.entries_by_key.values()
            found = [each for each in entries if each.key.startswith(effect.prefix)]
            return RangeResult(effect.operation_id, tuple(found))
        for compare in effect.compares:
            entry = self.entries_by_key.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return TransactionResult(effect.operation_id, False)
        self.revision += 1
        for put in effect.puts:
            entry = RangeEntry(put.key, put.value, self.revision)
            self.entries_by_key[put.key] = entry
            self.bytes_by_key[put.key] = len(put.key) + len(put.value)
        return TransactionResult(effect.operation_id, True, self.revision)


class Fleet:
    """All shard owners and runners on one simulated clock."""

    def __init__(self, rate: float, seed: int) -> None:
        self.rate = rate
        self.rng = Random(seed)
        self.now = 0.0
        self.store = FleetStore()
        self.write_times: list[float] = []
        self.cpu_s = 0.0
        self.claim_count = self.refused = 0
        self.started_at_by_id: dict[str, float] = {}
        self.waits = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._wake_by_part: dict[str, float] = {}
        ids = [f"gateway-{index}" for index in range(MEMBER_COUNT)]
        self.runner_by_id = {each: ClaimRunner(each, "1", 16_384) for each in ids}
        self.owner_by_shard: dict[int, ShardOwner] = {}
        self.member_by_shard: dict[int, MemberId] = {}
        for runner in self.runner_by_id.values():
            runner.set_members(0.0, ids)
        for shard in range(SHARD_COUNT):
            member_id = shard_owner_of(shard, ids) or ids[0]
            owner = ShardOwner(shard, member_id, "1", RETENTION_S, self.rng)
            self.owner_by_shard[shard] = owner
            self.member_by_shard[shard] = member_id
            owner.set_members(0.0, ids)
            self._apply_owner(shard, owner.take_over(0.0))

    def run(self, until: float) -> None:
        """Handle all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def start_calls(self, until: float) -> None:
        """Start calls with exponential gaps until a time."""

        def start() -> None:
            if self.now >= until:
                return
            self._claim()
            self._after(self.rng.expovariate(self.rate), start)

        self._after(self.rng.expovariate(self.rate), start)

    def _claim(self) -> None:
        self.claim_count += 1
        member_id = self.rng.choice(list(self.runner_by_id))
        key = digest(b"key %d" % self.claim_count)
        runner = self.runner_by_id[member_id]
        started = time.process_time()
        attempt_id, effects = runner.claim(self.now, "desk", key, key, WAIT_S)
        self.cpu_s += time.process_time() - started
        self.started_at_by_id[attempt_id] = self.now
        self._apply_runner(member_id, effects)

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), event))

    def _timed_owner(
        self, shard: int, action: Callable[[ShardOwner], list[OwnerEffect]]
    ) -> None:
        started = time.process_time()
        effects = action(self.owner_by_shard[shard])
        self.cpu_s += time.process_time() - started
        self._apply_owner(shard, effects)

    def _timed_runner(
        self, member_id: MemberId, action: Callable[[ClaimRunner], list[RunnerEffect]]
    ) -> None:
        started = time.process_time()
        effects = action(self.runner_by_id[member_id])
        self.cpu_s += time.process_time() - started
        self._apply_runner(member_id, effects)

    def _apply_owner(self, shard: int, effects: Sequence[OwnerEffect]) -> None:
        member_id = self.member_by_shard[shard]
        for effect in effects:
            match effect:
                case Send(to=to, message=message):
                    self._deliver(member_id, to, message)
                case StoreTransaction() | StoreRange():
                    if isinstance(effect, StoreTransaction):
                        self.write_times.append(self.now)
                    result = self.store.apply(effect)
                    answer = partial(self._answer, shard, result)
                    self._after(STORE_LATENCY_S, answer)
        wake = self.owner_by_shard[shard].next_wake()
        self._wake(f"owner {shard}", wake, lambda: self._tick_owner(shard))

    def _answer(self, shard: int, result: StoreResult) -> None:
        self._timed_owner(shard, lambda owner: owner.handle(self.now, result))

    def _tick_owner(self, shard: int) -> None:
        self._timed_owner(shard, lambda owner: owner.tick(self.now))

    def _tick_runner(self, member_id: MemberId) -> None:
        self._timed_runner(member_id, lambda runner: runner.tick(self.now))

    def _apply_runner(
        self, member_id: MemberId, effects: Sequence[RunnerEffect]
    ) -> None:
        for effect in effects:
            match effect:
                case Send(to=to, message=message):
                    self._deliver(member_id, to, message)
                case Decided(attempt_id=attempt_id, status=status):
                    self._decide(member_id, attempt_id, status)
                case Recorded():
                    pass
        wake = self.runner_by_id[member_id].next_wake()
        self._wake(f"runner {member_id}", wake, lambda: self._tick_runner(member_id))

    def _decide(self, member_id: str, attempt_id: str, status: ClaimStatus) -> None:
        waited_s = self.now - self.started_at_by_id.pop(attempt_id)
        if status is not ClaimStatus.GRANTED:
            self.refused += 1
            return
        self.waits.record_value(max(1, int(waited_s * 1e6)))
        self._after(
            SERVICE_TIME_S,
            lambda: self._timed_runner(
                member_id,
                lambda runner: runner.complete(
                    self.now, attempt_id, ClaimOutcome.COMPLETED, ANSWER
                ),
            ),
        )

    def _deliver(self, sender: MemberId, to: MemberId, message: PeerMessage) -> None:
        delay_s = 0.0 if sender == to else HOP_LATENCY_S

        def arrive() -> None:
            match message:
                case ClaimRequest(shard=shard) | ClaimComplete(shard=shard):
                    self._timed_owner(
                        shard,
                        lambda owner: owner.receive(self.now, sender, message),
                    )
                case ClaimReply() | ClaimCompleteAck():
                    self._timed_runner(
                        to, lambda runner: runner.receive(self.now, message)
                    )

        self._after(delay_s, arrive)

    def _wake(self, part: str, wake: float | None, action: Callable[[], None]) -> None:
        """Call a part at its wake time; an earlier call stays planned."""
        if wake is None:
            return
        planned = self._wake_by_part.get(part)
        if planned is not None and planned <= wake:
            return
        self._wake_by_part[part] = wake

        def call() -> None:
            if self._wake_by_part.get(part) == wake:
                del self._wake_by_part[part]
                action()

        self._after(max(0.0, wake - self.now), call)


def measure(rate: float, seconds: float, seed: int) -> Cost:
    """Run a fleet at a rate of keyed calls a second."""
    fleet = Fleet(rate, seed)
    fleet.run(5.0)
    fleet.write_times.clear()
    fleet.cpu_s = 0.0
    fleet.start_calls(5.0 + seconds)
    fleet.run(5.0 + seconds)
    writes = len(fleet.write_times)
    by_second: dict[int, int] = {}
    for at in fleet.write_times:
        by_second[int(at)] = by_second.get(int(at), 0) + 1
    fleet.run(5.0 + seconds + 5.0)
    claims = max(1, fleet.claim_count)
    return Cost(
        rate,
        writes / seconds,
        max(by_second.values(), default=0),
        claims / max(1, writes),
        fleet.waits.get_value_at_percentile(50) / 1000,
        fleet.waits.get_value_at_percentile(99) / 1000,
        fleet.refused,
        fleet.cpu_s / claims * 1e6,
        sum(fleet.store.bytes_by_key.values()) / claims,
    )


def run(
    rates: Sequence[float] = (1, 100, 1000), seconds: float = 20.0, seed: int = 7
) -> None:
    """Print the cost of claims at each rate."""
    each_rate = rates if isinstance(rates, (tuple, list)) else (rates,)
    print(f"seed {seed}, {MEMBER_COUNT} members, store latency {STORE_LATENCY_S} s")
    for rate in each_rate:
        cost = measure(rate, max(seconds, 100 / rate), seed)
        print(
            f"{cost.rate:g} calls/s: {cost.writes_per_second:.1f} writes/s "
            f"(most in a second {cost.most_writes_in_a_second}), "
            f"{cost.claims_per_write:.2f} claims/write, "
            f"wait p50 {cost.wait_p50_ms:.1f} ms p99 {cost.wait_p99_ms:.1f} ms, "
            f"{cost.refused} refused, {cost.cpu_us_per_claim:.0f} us CPU/claim, "
            f"{cost.bytes_per_claim:.0f} bytes/claim",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(run)
