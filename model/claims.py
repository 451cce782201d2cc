"""Model of claims in fenced shards: one key, two owners, two attempts.

Messages between runners and owners are never consumed: once sent, they may be delivered
any number of times, in any order or never. Every owner may take the shard over at any
time, so ownership lapses and membership disagreement need no model of their own; a
paused process is one that takes no step. Store writes on their way outlive the process
that sent them.

The state of the store is the head (revision, last write) and the claim of the key. A
write compares the revision. A write that is lost, and one that is sent again, need no
step: a write on its way may be applied at any time or never. A crash of an owner and
a lapsed ownership are the same step, because both forget everything.

An owner is ``idle``, ``pending`` (a takeover or a batch is unresolved) or ``ready``.
An attempt is ``waiting``, ``granted``, ``running``, ``completed``, ``not_run`` (told to
the caller) or ``crashed``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from model.verdicts import CheckedModel, Variant

ATTEMPTS = (0, 1)

VARIANTS = (
    Variant(""),
    Variant("no_fencing", frozenset({"runs_at_most_once"})),
    Variant("no_read_back", frozenset({"runs_at_most_once"})),
    Variant("grant_before_commit", frozenset({"runs_at_most_once"})),
    Variant("unknown_claimed_again", frozenset({"runs_at_most_once"})),
    Variant(
        "late_grant_not_dropped",
        frozenset({"runs_at_most_once", "not_run_never_runs"}),
    ),
)


class Write(NamedTuple):
    """A transaction; ``claim`` is None for a takeover.

    At most one write takes effect at each revision, so the tuple serves as write id.
    """

    owner: int
    compared: int
    claim: tuple[str, int] | None


class Owner(NamedTuple):
    """``claim`` is the key's state as the owner knows it, ahead of the store.

    ``is_answered`` is set while the positive answer to the pending write is on its way.
    """

    phase: str = "idle"
    revision: int = 0
    claim: tuple[str, int] = ("none", 0)
    write: Write | None = None
    is_answered: bool = False


class State(NamedTuple):
    """Fields of the model; one entry per owner or attempt in the tuples."""

    revision: int
    writer: Write | None
    claim: tuple[str, int]
    owners: tuple[Owner, ...]
    writes: frozenset[Write]
    attempts: tuple[str, ...]
    has_run: tuple[int, ...]
    granted: tuple[bool, ...]


Step = tuple[str, State]


def build(flag: str, max_revision: int) -> Protocol:
    """Return the model; writes stop at ``max_revision``."""
    rules = _Rules(flag, max_revision)
    initial = State(
        0,
        None,
        ("none", 0),
        (Owner(), Owner()),
        frozenset(),
        ("waiting",) * len(ATTEMPTS),
        (0,) * len(ATTEMPTS),
        (False,) * len(ATTEMPTS),
    )
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(rules.steps(state)),
        invariants={
            "runs_at_most_once": lambda d: sum(d["has_run"]) <= 1,
            "not_run_never_runs": _not_run_never_runs,
        },
    )


def _not_run_never_runs(d: dict[str, Any]) -> bool:
    pairs = zip(d["attempts"], d["has_run"], strict=True)
    return all(not run for state, run in pairs if state.startswith("not_run"))


def _set(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


class _Rules:
    def __init__(self, flag: str, max_revision: int) -> None:
        self.flag = flag
        self.max_revision = max_revision

    def steps(self, state: State) -> Iterator[Step]:
        for attempt in ATTEMPTS:
            yield from self._attempt_steps(state, attempt)
        for index, owner in enumerate(state.owners):
            yield from self._owner_steps(state, index, owner)
        for write in state.writes:
            yield from self._store_steps(state, write)

    def _attempt_steps(self, state: State, attempt: int) -> Iterator[Step]:
        def to(phase: str, runs: int = 0) -> State:
            return state._replace(
                attempts=_set(state.attempts, attempt, phase),
                has_run=_set(state.has_run, attempt, state.has_run[attempt] + runs),
            )

        match state.attempts[attempt]:
            case "waiting":
                if state.granted[attempt]:
                    yield f"grant reaches {attempt}", to("granted")
                yield f"{attempt} gives up, caller told not_run", to("not_run")
            case "granted":
                yield f"{attempt} runs", to("running", 1)
                # The upstream states that it did not run the call.
                yield f"{attempt} is refused, caller told not_run", to("not_run")
                yield f"{attempt} crashes before it runs", to("crashed")
            case "running":
                yield f"{attempt} completes", to("completed")
            case "not_run" if self.flag == "late_grant_not_dropped":
                if state.granted[attempt]:
                    yield f"late grant reaches {attempt}", to("not_run, running", 1)

    def _owner_steps(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        match owner.phase:
            case "idle":
                if state.revision < self.max_revision:
                    write = Write(index, state.revision, None)
                    after = self._send(state, index, owner, write)
                    yield f"owner {index} takes over", after
                return
            case "ready":
                yield from self._ready_steps(state, index, owner)
            case "pending":
                if owner.is_answered:
                    after = self._commit(state, index, owner)
                    yield f"owner {index} gets its answer", after
                read_back = self._read_back(state, index, owner)
                yield f"owner {index} reads back", read_back
        yield f"owner {index} drops", self._put(state, index, Owner())

    def _ready_steps(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        phase, holder = owner.claim
        for attempt in ATTEMPTS:
            is_holder = phase != "none" and holder == attempt
            is_free = phase == "none" or (phase == "released" and not is_holder)
            if self.flag == "unknown_claimed_again":
                is_free |= phase == "unknown" and not is_holder
            if is_free:
                change = ("claimed", attempt)
                yield from self._change(state, index, owner, change)
            elif is_holder and phase in ("claimed", "unknown"):
                if not state.granted[attempt]:
                    yield f"owner {index} repeats grant {attempt}", self._grant(
                        state, attempt
                    )
                match state.attempts[attempt]:
                    case "completed":
                        change = ("completed", attempt)
                        yield from self._change(state, index, owner, change)
                    case "not_run":
                        change = ("released", attempt)
                        yield from self._change(state, index, owner, change)
        if phase == "claimed":
            # The runner left the membership, or the owner believes that it did.
            yield from self._change(state, index, owner, ("unknown", holder))

    def _change(
        self, state: State, index: int, owner: Owner, claim: tuple[str, int]
    ) -> Iterator[Step]:
        if state.revision >= self.max_revision:
            return
        write = Write(index, owner.revision, claim)
        after = self._send(state, index, owner, write)
        if self.flag == "grant_before_commit" and claim[0] == "claimed":
            after = self._grant(after, claim[1])
        yield f"owner {index} writes {claim}", after

    def _store_steps(self, state: State, write: Write) -> Iterator[Step]:
        if not self._can_apply(write, state.revision):
            return
        if state.revision >= self.max_revision:
            return
        others = state.writes - {write}
        revision = state.revision + 1
        # Writes that can never take effect are forgotten to merge equal states.
        others = frozenset(each for each in others if self._can_apply(each, revision))
        applied = state._replace(
            revision=revision,
            writer=write,
            claim=write.claim or state.claim,
            writes=others,
        )
        owner = state.owners[write.owner]
        if owner.write == write:
            answered = owner._replace(is_answered=True)
            applied = self._put(applied, write.owner, answered)
        yield f"store applies {write}", applied

    def _can_apply(self, write: Write, revision: int) -> bool:
        if self.flag == "no_fencing" and write.claim is not None:
            return True
        return write.compared == revision

    def _read_back(self, state: State, index: int, owner: Owner) -> State:
        write = owner.write
        assert write is not None
        if self.flag == "no_read_back" or state.writer == write:
            return self._commit(state, index, owner)
        if state.revision == write.compared:
            return state
        return self._put(state, index, Owner())

    def _commit(self, state: State, index: int, owner: Owner) -> State:
        write = owner.write
        assert write is not None
        # After a takeover the batches are read.
        claim = write.claim or state.claim
        after = self._put(
            state, index, Owner("ready", write.compared + 1, claim, None, False)
        )
        if write.claim and write.claim[0] == "claimed":
            after = self._grant(after, write.claim[1])
        return after

    def _send(self, state: State, index: int, owner: Owner, write: Write) -> State:
        waiting = Owner("pending", owner.revision, owner.claim, write, False)
        after = self._put(state, index, waiting)
        return after._replace(writes=state.writes | {write})

    def _grant(self, state: State, attempt: int) -> State:
        return state._replace(granted=_set(state.granted, attempt, True))

    def _put(self, state: State, index: int, owner: Owner) -> State:
        return state._replace(owners=_set(state.owners, index, owner))


MODEL = CheckedModel("claims", build, VARIANTS, "store writes", 6, 4, 4)
