"""Model of configuration acceptance and spread: two operators, two members, a store.

Each operator applies up to two changes. A commit that is on its way may take effect at
any time the store is up, or never. Every version that the store has accepted may reach
a member at any time, in any order, from the store or from a peer.

``head`` is the accepted version and ``history`` the change that made each version. An
operator is ``idle`` or ``sent`` (a commit is unresolved); ``told`` has its results. A
member is at a version, or at 0 while it starts.

The ``outage_restart`` variant is a limit of the design and no fault: a process that
starts while the store is down takes the highest version among its peers, which may be
below the one that it had before.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from model.verdicts import CheckedModel, Variant

OPERATORS = (0, 1)
MEMBERS = (0, 1)
CHANGES_PER_OPERATOR = 2

VARIANTS = (
    Variant(""),
    Variant("no_compare", frozenset({"one_success_per_base", "accepted_stays"})),
    Variant("no_read_back", frozenset({"refused_never_applied"})),
    Variant("retry_on_new_base", frozenset({"applied_once"})),
    Variant("adopt_any_version", frozenset({"version_never_decreases"})),
    Variant("first_response_on_restart", frozenset({"version_never_decreases"})),
    Variant("outage_restart", frozenset({"version_never_decreases"})),
)

Change = tuple[int, int]


class Commit(NamedTuple):
    """A transaction on its way."""

    change: Change
    base: int


class Operator(NamedTuple):
    """``number`` counts the operator's changes; ``base`` is the version it saw."""

    phase: str = "idle"
    number: int = 0
    base: int = 0


class State(NamedTuple):
    """Fields of the model; ``told`` holds (change, base, result) of each operator."""

    is_up: bool
    head: int
    history: tuple[Change, ...]
    operators: tuple[Operator, ...]
    commits: frozenset[Commit]
    told: frozenset[tuple[Change, int, str]]
    versions: tuple[int, ...]
    floors: tuple[int, ...]


Step = tuple[str, State]


def build(flag: str, max_version: int) -> Protocol:
    """Return the model; commits stop at ``max_version``."""
    rules = _Rules(flag, max_version)
    initial = State(
        True,
        0,
        (),
        (Operator(),) * len(OPERATORS),
        frozenset(),
        frozenset(),
        (0,) * len(MEMBERS),
        (0,) * len(MEMBERS),
    )
    return Protocol(
        name="configuration",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(rules.steps(state)),
        invariants={
            "version_never_decreases": _version_never_decreases,
            "accepted_stays": _accepted_stays,
            "one_success_per_base": _one_success_per_base,
            "refused_never_applied": _refused_never_applied,
            "applied_once": lambda d: len(set(d["history"])) == len(d["history"]),
        },
    )


def _version_never_decreases(d: dict[str, Any]) -> bool:
    pairs = zip(d["versions"], d["floors"], strict=True)
    return all(version == 0 or version >= floor for version, floor in pairs)


def _accepted_stays(d: dict[str, Any]) -> bool:
    return all(
        len(d["history"]) > base and d["history"][base] == change
        for change, base, result in d["told"]
        if result == "accepted"
    )


def _one_success_per_base(d: dict[str, Any]) -> bool:
    bases = [base for _, base, result in d["told"] if result == "accepted"]
    return len(set(bases)) == len(bases)


def _refused_never_applied(d: dict[str, Any]) -> bool:
    return all(
        change not in d["history"]
        for change, _, result in d["told"]
        if result == "refused"
    )


def _set(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


class _Rules:
    def __init__(self, flag: str, max_version: int) -> None:
        self.flag = flag
        self.max_version = max_version

    def steps(self, state: State) -> Iterator[Step]:
        yield "store goes up or down", state._replace(is_up=not state.is_up)
        if state.is_up:
            for commit in state.commits:
                yield from self._commit_steps(state, commit)
            for index, operator in enumerate(state.operators):
                yield from self._operator_steps(state, index, operator)
        for member in MEMBERS:
            yield from self._member_steps(state, member)

    def _commit_steps(self, state: State, commit: Commit) -> Iterator[Step]:
        if commit.base >= self.max_version:
            return
        if self.flag != "no_compare" and commit.base != state.head:
            return
        history = (
            *state.history[: commit.base],
            commit.change,
            *state.history[commit.base + 1 :],
        )
        yield (
            f"store applies {commit}",
            state._replace(
                head=max(state.head, commit.base + 1),
                history=history,
                commits=state.commits - {commit},
            ),
        )

    def _operator_steps(
        self, state: State, index: int, operator: Operator
    ) -> Iterator[Step]:
        match operator.phase:
            case "idle":
                if operator.number >= CHANGES_PER_OPERATOR:
                    return
                if state.head >= self.max_version:
                    return
                sent = Operator("sent", operator.number, state.head)
                yield f"operator {index} commits", self._send(state, index, sent)
            case "sent":
                yield from self._resolve(state, index, operator)
                # The client ends without a result and tells how to resolve it.
                ended = Operator("idle", operator.number + 1, 0)
                yield (
                    f"operator {index} is told unknown",
                    self._put(state, index, ended),
                )

    def _resolve(self, state: State, index: int, operator: Operator) -> Iterator[Step]:
        """Send the commit again; a failed compare is resolved by the history."""
        change = (index, operator.number)
        if state.head == operator.base:
            if self.flag == "retry_on_new_base":
                return
            yield f"operator {index} repeats", self._send(state, index, operator)
            return
        if self.flag == "retry_on_new_base" and state.head < self.max_version:
            sent = operator._replace(base=state.head)
            yield f"operator {index} retries", self._send(state, index, sent)
            return
        is_own = state.history[operator.base] == change
        result = "accepted" if is_own else "refused"
        yield f"operator {index} is told {result}", self._tell(
            state, index, operator, result
        )
        if self.flag == "no_read_back":
            refused = self._tell(state, index, operator, "refused")
            yield f"operator {index} takes the failed compare as refusal", refused

    def _tell(self, state: State, index: int, operator: Operator, result: str) -> State:
        told = state.told | {((index, operator.number), operator.base, result)}
        ended = Operator("idle", operator.number + 1, 0)
        return self._put(state, index, ended)._replace(told=told)

    def _send(self, state: State, index: int, operator: Operator) -> State:
        commit = Commit((index, operator.number), operator.base)
        after = self._put(state, index, operator)
        return after._replace(commits=state.commits | {commit})

    def _put(self, state: State, index: int, operator: Operator) -> State:
        return state._replace(operators=_set(state.operators, index, operator))

    def _member_steps(self, state: State, member: int) -> Iterator[Step]:
        own = state.versions[member]
        if own == 0:
            yield from self._start_steps(state, member)
            return
        for version in range(1, state.head + 1):
            if version > own or self.flag == "adopt_any_version":
                adopted = self._adopt(state, member, version)
                yield f"member {member} gets version {version}", adopted
        yield f"member {member} restarts", self._restart(state, member)

    def _start_steps(self, state: State, member: int) -> Iterator[Step]:
        """Take the highest version among the answers of the store and the peer."""
        peer = state.versions[1 - member]
        answers = [peer, state.head] if state.is_up else [peer]
        if max(answers) > 0:
            adopted = self._adopt(state, member, max(answers))
            yield f"member {member} starts with the highest answer", adopted
        if self.flag == "first_response_on_restart" and peer > 0:
            adopted = self._adopt(state, member, peer)
            yield f"member {member} starts with its peer's answer", adopted

    def _adopt(self, state: State, member: int, version: int) -> State:
        floor = state.floors[member]
        if not state.is_up and state.versions[member] == 0:
            # Without the store a new process has no proof of what it had before.
            floor = floor if self.flag == "outage_restart" else 0
        # The floor rises one step after the version, or it would hide a decrease.
        return state._replace(
            versions=_set(state.versions, member, version),
            floors=_set(state.floors, member, max(floor, state.versions[member])),
        )

    def _restart(self, state: State, member: int) -> State:
        floor = max(state.floors[member], state.versions[member])
        return state._replace(
            versions=_set(state.versions, member, 0),
            floors=_set(state.floors, member, floor),
        )


MODEL = CheckedModel("configuration", build, VARIANTS, "versions", 3, 2, 2)
