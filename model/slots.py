"""Model of slot grants across a change of the coordinator, at one upstream.

Two gateways and a coordinator per epoch. An earlier coordinator goes on granting, as a
paused one does that returns. A gateway may crash; its calls go on at the upstream until
the call time limit. Messages of one link arrive in order, so a coordinator gets the
holdings of a gateway before its releases.

Without the local share, calls at the upstream never exceed its slots. With it, members
that agree on the membership exceed them by at most the number of slots. This needs a
rule: a gateway starts a call of the local share only while it holds no permit of the
upstream, idle or in use. Otherwise each coordinator change turns one more local call
into a permit (variants ``local_call_beside_idle`` and ``local_call_beside_own``).

The variant ``idle_kept_after_removal`` is a limit of the design: a gateway that was
paused while its permits were reclaimed uses an idle permit before it learns of its
removal.

To merge equal states, messages of a crashed gateway are lost, at most one gateway
crashes, and a coordinator that no live gateway listens to is forgotten.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from model.verdicts import CheckedModel, Variant

GATEWAYS = (0, 1)
SLOTS = 1

_EXCEEDS = frozenset({"calls_within_bound"})
VARIANTS = (
    Variant(""),
    Variant("grant_before_collecting", _EXCEEDS),
    Variant("old_epoch_accepted", _EXCEEDS),
    Variant("silent_member_counts_zero", _EXCEEDS),
    Variant("reclaim_at_removal", _EXCEEDS),
    Variant("idle_kept_after_removal", _EXCEEDS),
)
LOCAL_SHARE_VARIANTS = (
    Variant(""),
    Variant("grant_before_collecting", _EXCEEDS),
    Variant("local_call_beside_own", _EXCEEDS),
    Variant("local_call_beside_idle", _EXCEEDS),
)

UNKNOWN = -1


class Gateway(NamedTuple):
    """Permits of one gateway; ``local`` counts calls of the local share."""

    epoch: int = 0
    idle: int = 0
    in_use: int = 0
    local: int = 0
    is_alone: bool = False
    is_gone: bool = False


class Coordinator(NamedTuple):
    """What one epoch's coordinator knows and has on its way, by gateway.

    ``holdings`` is -1 unless a report is on its way.
    """

    ledger: tuple[int, ...] = (UNKNOWN,) * len(GATEWAYS)
    holdings: tuple[int, ...] = (UNKNOWN,) * len(GATEWAYS)
    grants: tuple[int, ...] = (0,) * len(GATEWAYS)
    releases: tuple[int, ...] = (0,) * len(GATEWAYS)


_FORGOTTEN = Coordinator(ledger=())


class State(NamedTuple):
    """Fields of the model; the epoch of a coordinator is its index plus 1."""

    gateways: tuple[Gateway, ...]
    coordinators: tuple[Coordinator, ...]


Step = tuple[str, State]


def build(flag: str, max_epoch: int, local_share: bool = False) -> Protocol:
    """Return the model; coordinators change up to ``max_epoch``."""
    rules = _Rules(flag, max_epoch, local_share)
    bound = 2 * SLOTS if local_share else SLOTS
    return Protocol(
        name="slots",
        candidate=False,
        fields=State._fields,
        initial=State((Gateway(),) * len(GATEWAYS), ()),
        transitions=lambda state: list(rules.steps(state)),
        invariants={"calls_within_bound": lambda d: _calls(d) <= bound},
    )


def build_with_local_share(flag: str, max_epoch: int) -> Protocol:
    """Return the model in which gateways without a coordinator use a local share."""
    return build(flag, max_epoch, local_share=True)


def _calls(d: dict[str, Any]) -> int:
    return sum(gateway.in_use + gateway.local for gateway in d["gateways"])


def _set(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _add(values: tuple[int, ...], index: int, count: int) -> tuple[int, ...]:
    return _set(values, index, values[index] + count)


class _Rules:
    def __init__(self, flag: str, max_epoch: int, local_share: bool) -> None:
        self.flag = flag
        self.max_epoch = max_epoch
        self.local_share = local_share

    def steps(self, state: State) -> Iterator[Step]:
        if len(state.coordinators) < self.max_epoch:
            coordinators = (*state.coordinators, Coordinator())
            yield "a coordinator starts", state._replace(coordinators=coordinators)
        for epoch, coordinator in enumerate(state.coordinators, 1):
            if coordinator == _FORGOTTEN:
                continue
            for index in GATEWAYS:
                yield from self._grant_steps(state, epoch, coordinator, index)
                yield from self._message_steps(state, epoch, coordinator, index)
        for index, gateway in enumerate(state.gateways):
            yield from self._call_steps(state, index, gateway)
            if self.local_share and not gateway.is_gone:
                yield from self._local_steps(state, index, gateway)

    def _grant_steps(
        self, state: State, epoch: int, coordinator: Coordinator, index: int
    ) -> Iterator[Step]:
        ledger = coordinator.ledger
        is_collected = UNKNOWN not in ledger or self.flag == "grant_before_collecting"
        counted = sum(max(0, count) for count in ledger)
        gateway = state.gateways[index]
        if is_collected and counted < SLOTS and not gateway.is_gone:
            granted = coordinator._replace(
                ledger=_set(ledger, index, max(0, ledger[index]) + 1),
                grants=_add(coordinator.grants, index, 1),
            )
            yield f"{epoch} grants to {index}", self._put(state, epoch, granted)
        if ledger[index] == UNKNOWN:
            # After collect_ms, a silent member counts as holding everything.
            silent = 0 if self.flag == "silent_member_counts_zero" else SLOTS
            after = coordinator._replace(ledger=_set(ledger, index, silent))
            yield f"{epoch} stops waiting for {index}", self._put(state, epoch, after)
        has_calls = gateway.in_use + gateway.local > 0
        may_reclaim = not has_calls or self.flag == "reclaim_at_removal"
        is_removed = gateway.is_gone or self.flag == "idle_kept_after_removal"
        if is_removed and may_reclaim and ledger[index] != 0:
            after = coordinator._replace(ledger=_set(ledger, index, 0))
            yield f"{epoch} reclaims from {index}", self._put(state, epoch, after)

    def _message_steps(
        self, state: State, epoch: int, coordinator: Coordinator, index: int
    ) -> Iterator[Step]:
        gateway = state.gateways[index]
        if not gateway.is_gone and epoch > gateway.epoch:
            yield f"announcement {epoch} reaches {index}", self._announce(
                state, epoch, coordinator, index
            )
        if coordinator.holdings[index] != UNKNOWN:
            after = coordinator._replace(
                ledger=_set(coordinator.ledger, index, coordinator.holdings[index]),
                holdings=_set(coordinator.holdings, index, UNKNOWN),
            )
            yield f"holdings of {index} reach {epoch}", self._put(state, epoch, after)
        elif coordinator.releases[index] and coordinator.ledger[index] > 0:
            after = coordinator._replace(
                ledger=_add(coordinator.ledger, index, -1),
                releases=_add(coordinator.releases, index, -1),
            )
            yield f"release of {index} reaches {epoch}", self._put(state, epoch, after)
        if coordinator.grants[index]:
            after = self._put(
                state,
                epoch,
                coordinator._replace(grants=_add(coordinator.grants, index, -1)),
            )
            is_current = epoch >= gateway.epoch or self.flag == "old_epoch_accepted"
            if is_current and not gateway.is_gone:
                holder = gateway._replace(idle=gateway.idle + 1)
                after = self._put_gateway(after, index, holder)
            yield f"grant of {epoch} reaches {index}", after

    def _announce(
        self, state: State, epoch: int, coordinator: Coordinator, index: int
    ) -> State:
        gateway = state.gateways[index]
        # Calls of the local share become calls on permits of the new epoch.
        in_use = gateway.in_use + gateway.local
        held = gateway.idle + in_use
        reported = coordinator._replace(
            holdings=_set(coordinator.holdings, index, held)
        )
        after = self._put(state, epoch, reported)
        moved = Gateway(epoch, gateway.idle, in_use)
        return self._forget(self._put_gateway(after, index, moved))

    def _forget(self, state: State) -> State:
        """Forget coordinators that no live gateway listens to, and ignored grants."""
        if self.flag == "old_epoch_accepted":
            return state
        live = [each.epoch for each in state.gateways if not each.is_gone]
        coordinators = []
        for epoch, coordinator in enumerate(state.coordinators, 1):
            if epoch < min(live):
                coordinators.append(_FORGOTTEN)
                continue
            grants = tuple(
                count if epoch >= gateway.epoch else 0
                for count, gateway in zip(
                    coordinator.grants, state.gateways, strict=False
                )
            )
            coordinators.append(coordinator._replace(grants=grants))
        return state._replace(coordinators=tuple(coordinators))

    def _call_steps(self, state: State, index: int, gateway: Gateway) -> Iterator[Step]:
        if gateway.idle and not gateway.is_gone:
            calling = gateway._replace(idle=gateway.idle - 1, in_use=gateway.in_use + 1)
            yield f"{index} starts a call", self._put_gateway(state, index, calling)
        if gateway.in_use:
            ended = gateway._replace(in_use=gateway.in_use - 1)
            if gateway.is_gone:
                yield f"call of {index} ends", self._put_gateway(state, index, ended)
            else:
                kept = ended._replace(idle=gateway.idle + 1)
                yield f"{index} keeps a permit", self._put_gateway(state, index, kept)
                yield f"{index} releases a permit", self._release(state, index, ended)
        if gateway.local:
            ended = gateway._replace(local=gateway.local - 1)
            yield f"local call of {index} ends", self._put_gateway(state, index, ended)
        if not any(each.is_gone for each in state.gateways):
            yield f"{index} crashes", self._crash(state, index, gateway)

    def _crash(self, state: State, index: int, gateway: Gateway) -> State:
        gone = gateway._replace(is_gone=True, idle=0, is_alone=False)
        coordinators = tuple(
            (
                each
                if each == _FORGOTTEN
                else each._replace(
                    holdings=_set(each.holdings, index, UNKNOWN),
                    grants=_set(each.grants, index, 0),
                    releases=_set(each.releases, index, 0),
                )
            )
            for each in state.coordinators
        )
        after = state._replace(coordinators=coordinators)
        return self._forget(self._put_gateway(after, index, gone))

    def _local_steps(
        self, state: State, index: int, gateway: Gateway
    ) -> Iterator[Step]:
        turned = gateway._replace(is_alone=not gateway.is_alone)
        yield f"{index} loses or finds its coordinator", self._put_gateway(
            state, index, turned
        )
        # The first members of the upstream's ranking may run one call each.
        is_free = (
            gateway.local == 0
            and (gateway.in_use == 0 or self.flag == "local_call_beside_own")
            and (gateway.idle == 0 or self.flag == "local_call_beside_idle")
        )
        if gateway.is_alone and index < SLOTS and is_free:
            calling = gateway._replace(local=1)
            yield f"{index} starts a local call", self._put_gateway(
                state, index, calling
            )

    def _release(self, state: State, index: int, gateway: Gateway) -> State:
        if state.coordinators[gateway.epoch - 1] == _FORGOTTEN:
            return self._put_gateway(state, index, gateway)
        coordinator = state.coordinators[gateway.epoch - 1]
        released = coordinator._replace(releases=_add(coordinator.releases, index, 1))
        after = self._put(state, gateway.epoch, released)
        return self._put_gateway(after, index, gateway)

    def _put(self, state: State, epoch: int, coordinator: Coordinator) -> State:
        coordinators = _set(state.coordinators, epoch - 1, coordinator)
        return state._replace(coordinators=coordinators)

    def _put_gateway(self, state: State, index: int, gateway: Gateway) -> State:
        return state._replace(gateways=_set(state.gateways, index, gateway))


MODEL = CheckedModel("slots", build, VARIANTS, "epochs", 3, 2, 2)
LOCAL_SHARE_MODEL = CheckedModel(
    "slots with local share",
    build_with_local_share,
    LOCAL_SHARE_VARIANTS,
    "epochs",
    2,
    2,
    2,
)
