"""State machine that drives claim owners and runners through random faults.

Oracle:

- two runs of one key, neither of which the upstream declared as not run, are apart by
  at least the retention time;
- a caller that was told anything but GRANTED has no run, and is told once;
- COMPLETED follows a completed run of the same key and body and carries its answer,
  CONFLICT another body of the key, UNKNOWN another attempt for the key;
- an outcome that is reported as recorded is in the store;
- after all faults have ended, every call is decided, every outcome is recorded and a
  new key is granted.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus
from banyanshelf_core.claims.records import ClaimState, batch_prefix, decode_batch
from fuzz.claim_world import ANSWER, Call, ClaimWorld

MEMBERS = ("a", "b", "c")
RETENTION_S = 60.0
LONGEST_WAIT_S = 3.0

indexes = st.integers(0, 7)
member_ids = st.sampled_from(MEMBERS)
views = st.sets(member_ids, min_size=1)


class ClaimMachine(RuleBasedStateMachine):
    """Random calls, deliveries, losses, pauses, crashes, outages and memberships."""

    def __init__(self) -> None:
        super().__init__()
        self.world = ClaimWorld(MEMBERS, RETENTION_S)
        self.keys = self.world.keys(3)
        for member_id in MEMBERS:
            self.world.set_view(member_id, MEMBERS)
        self.checked_records: set[str] = set()

    # --- calls

    @rule(
        member_id=member_ids,
        key=st.integers(0, 1),
        body=st.sampled_from(["body-1", "body-1", "body-2"]),
        wait_s=st.sampled_from([0.2, 1.0, LONGEST_WAIT_S]),
    )
    def claim(self, member_id: str, key: int, body: str, wait_s: float) -> None:
        """Start a call."""
        if not self.world.process_by_id[member_id].is_paused:
            self.world.claim(member_id, self.keys[key], body, wait_s)

    @rule(key=st.integers(0, 1))
    def claim_everywhere(self, key: int) -> None:
        """Start a call with one key at every member that can act."""
        for member_id in MEMBERS:
            self.claim(member_id, key, "body-1", LONGEST_WAIT_S)

    @rule(index=indexes, outcome=st.sampled_from(list(ClaimOutcome)))
    def finish(self, index: int, outcome: ClaimOutcome) -> None:
        """End a granted call."""
        running = self.running_calls()
        if running:
            self.world.finish(running[index % len(running)], outcome)

    def running_calls(self) -> list[Call]:
        """Return the granted calls of processes that can act."""
        return [
            call
            for call in self.world.calls_by_id.values()
            if call.told is ClaimStatus.GRANTED
            and call.outcome is None
            and self.is_instance_alive(call)
            and not self.world.process_by_id[call.member_id].is_paused
        ]

    def is_instance_alive(self, call: Call) -> bool:
        """Whether the process that made a call has not crashed."""
        instance = call.attempt_id.rpartition(".")[0]
        return instance == self.world.process_by_id[call.member_id].instance

    # --- delivery

    @rule(index=indexes, keep=st.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a message out of order, possibly once more later."""
        if self.world.messages:
            self.world.deliver(index % len(self.world.messages), keep=keep)

    @rule(index=indexes)
    def lose_message(self, index: int) -> None:
        """Lose a message."""
        if self.world.messages:
            self.world.lose_message(index % len(self.world.messages))

    @rule(
        index=indexes,
        fate=st.sampled_from(
            [
                ClaimWorld.apply_operation,
                ClaimWorld.apply_operation,
                ClaimWorld.lose_answer,
                ClaimWorld.lose_operation,
                ClaimWorld.time_out_operation,
            ]
        ),
    )
    def end_operation(self, index: int, fate: object) -> None:
        """Carry out, lose or delay a store operation."""
        if self.world.operations and callable(fate):
            fate(self.world, index % len(self.world.operations))

    @rule(seconds=st.sampled_from([0.0, 0.0, 0.5, 2.5]))
    def settle(self, seconds: float) -> None:
        """Deliver everything in order."""
        self.world.settle(seconds)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.4, 1.0, 30.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass while everything on its way stays there."""
        self.world.advance(seconds)

    # --- faults

    @rule(member_id=member_ids, view=views)
    def change_view(self, member_id: str, view: set[str]) -> None:
        """Give one member a view that others need not share."""
        self.world.set_view(member_id, view)

    @rule()
    def split(self) -> None:
        """Let every member believe that it is alone and owns the shard."""
        for member_id in MEMBERS:
            self.world.set_view(member_id, [member_id])

    @rule()
    def join(self) -> None:
        """Let the members agree again."""
        for member_id in MEMBERS:
            self.world.set_view(member_id, MEMBERS)

    @rule(member_id=member_ids)
    def pause_or_resume(self, member_id: str) -> None:
        """Pause a process, or let it run again."""
        if self.world.process_by_id[member_id].is_paused:
            self.world.resume(member_id)
        else:
            self.world.pause(member_id)

    @rule(member_id=member_ids)
    def crash(self, member_id: str) -> None:
        """Restart a process under its member id."""
        self.world.crash(member_id)

    @rule()
    def turn_store(self) -> None:
        """Start or end a store outage."""
        self.world.is_store_up = not self.world.is_store_up

    # --- oracle

    @invariant()
    def key_runs_at_most_once(self) -> None:
        """Compare the runs of each key."""
        ran_at_by_key: dict[str, list[float]] = {}
        for call in self.world.calls_by_id.values():
            assert call.runs in (0, 1)
            if call.runs:
                ran_at_by_key.setdefault(call.key, []).append(call.ran_at)
        for key, times in ran_at_by_key.items():
            times.sort()
            for earlier, later in zip(times, times[1:], strict=False):
                # A grant is used at most the caller's wait after its commit.
                apart_s = later - earlier
                assert apart_s >= RETENTION_S - LONGEST_WAIT_S, f"{key} ran twice"

    @invariant()
    def callers_are_told_the_truth(self) -> None:
        """Compare what callers were told with what happened."""
        calls = self.world.calls_by_id.values()
        for call in calls:
            others = [
                other for other in calls if other.key == call.key and other != call
            ]
            match call.told:
                case ClaimStatus.GRANTED | None:
                    continue
                case ClaimStatus.COMPLETED:
                    assert call.answer == ANSWER
                    assert any(
                        other.outcome is ClaimOutcome.COMPLETED
                        and other.body == call.body
                        for other in others
                    ), f"{call} has no completed run"
                case ClaimStatus.CONFLICT:
                    assert any(other.body != call.body for other in others)
                case ClaimStatus.UNKNOWN | ClaimStatus.RUNNING:
                    assert others, f"{call} has no other attempt"
            assert call.runs == 0

    @invariant()
    def recorded_outcomes_are_stored(self) -> None:
        """Look up each newly recorded outcome in the store."""
        for call in self.world.calls_by_id.values():
            if (
                call.is_recorded
                and call.outcome is not None
                and call.attempt_id not in self.checked_records
            ):
                self.checked_records.add(call.attempt_id)
                # A lost runner's claim expires; others may use its key by then.
                is_young = self.world.now < call.ran_at + RETENTION_S
                assert not is_young or self.is_stored(call), f"{call} is not stored"

    def is_stored(self, call: Call) -> bool:
        """Whether the store holds the outcome of a call.

        A claim of the next attempt may replace a release in the same batch.
        """
        assert call.outcome is not None
        prefix = batch_prefix(self.world.shard)
        claims = [
            claim
            for key, entry in sorted(self.world.store.entries_by_key.items())
            if key.startswith(prefix)
            for claim in decode_batch(entry.value).claims
            if claim.key_digest == call.key
        ]
        if call.outcome is ClaimOutcome.RELEASED and claims:
            last = claims[-1]
            if last.attempt_id != call.attempt_id:
                return True
        state = ClaimState.from_outcome(call.outcome)
        return any(
            claim.attempt_id == call.attempt_id and claim.state is state
            for claim in claims
        )

    def teardown(self) -> None:
        """End all faults and check that everything recovers."""
        self.world.is_store_up = True
        for member_id in MEMBERS:
            if self.world.process_by_id[member_id].is_paused:
                self.world.resume(member_id)
        for member_id in MEMBERS:
            self.world.set_view(member_id, MEMBERS)
        for call in self.running_calls():
            self.world.finish(call, ClaimOutcome.COMPLETED)
        self.world.settle(15.0)
        fresh = self.world.claim("a", self.keys[2], "body-1", 2.0)
        self.world.settle(3.0)
        self.key_runs_at_most_once()
        self.callers_are_told_the_truth()
        self.recorded_outcomes_are_stored()
        assert fresh.told is ClaimStatus.GRANTED, f"{fresh} after recovery"
        for call in self.world.calls_by_id.values():
            if not self.is_instance_alive(call) or call is fresh:
                continue
            assert call.told is not None, f"{call} is undecided"
            assert call.outcome is None or call.is_recorded, f"{call} is not recorded"
