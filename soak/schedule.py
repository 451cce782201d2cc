"""Draws the faults of a run from its seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from soak.proxy import Direction

# The time before the first fault, for calls on all gateways.
QUIET_START_S = 2.0
MEAN_GAP_S = 1.2
SHORTEST_FAULT_S = 0.3
LONGEST_FAULT_S = 4.0
# Some evacuations outlast the bound of 5 s within which gateways learn of them.
LONGEST_EVACUATION_S = 9.0


@dataclass(frozen=True, slots=True)
class KillGateway:
    """SIGKILL; the process is started again after ``down_s``."""

    gateway: int
    down_s: float


@dataclass(frozen=True, slots=True)
class PauseGateway:
    """SIGSTOP for some time."""

    gateway: int
    for_s: float


@dataclass(frozen=True, slots=True)
class StopGateway:
    """SIGTERM; the process is started again once it has ended."""

    gateway: int


@dataclass(frozen=True, slots=True)
class HangUpGateway:
    """SIGHUP without a changed file."""

    gateway: int


@dataclass(frozen=True, slots=True)
class StepClock:
    """The time of day of a gateway jumps and jumps back."""

    gateway: int
    by_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class KillUpstream:
    """SIGKILL; another instance takes its place after ``down_s``."""

    upstream: int
    down_s: float


@dataclass(frozen=True, slots=True)
class PauseUpstream:
    """SIGSTOP for some time."""

    upstream: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplaceUpstream:
    """A planned replacement: it drains, and another instance takes its place."""

    upstream: int


@dataclass(frozen=True, slots=True)
class HarmLink:
    """A link is slow or drops bytes for some time; its state is restored then."""

    link: str
    delay_s: float
    dropped: Direction
    for_s: float


@dataclass(frozen=True, slots=True)
class ResetLink:
    """All connections of a link are cut."""

    link: str


@dataclass(frozen=True, slots=True)
class HarmStore:
    """The store is down or slow for some time, or drops its history."""

    is_down: bool
    delay_s: float
    drops_history: bool
    for_s: float


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """A new version adds a route and removes the one that the last version added."""


@dataclass(frozen=True, slots=True)
class EvacuateZone:
    """A zone is evacuated for some time."""

    zone: str
    for_s: float


Fault = (
    KillGateway
    | PauseGateway
    | StopGateway
    | HangUpGateway
    | StepClock
    | KillUpstream
    | PauseUpstream
    | ReplaceUpstream
    | HarmLink
    | ResetLink
    | HarmStore
    | ChangeConfiguration
    | EvacuateZone
)


@dataclass(frozen=True, slots=True)
class Planned:
    """A fault and its time, in seconds from the start of the calls."""

    at: float
    fault: Fault


def draw_schedule(
    rng: random.Random, seconds: float, gateways: int, upstreams: int
) -> list[Planned]:
    """Return the faults of a run; they come in series and overlap."""
    links = [f"store-{number}" for number in range(gateways)]
    links += [f"upstream-{number}" for number in range(upstreams)]
    planned: list[Planned] = []
    at = QUIET_START_S
    while at < seconds:
        series = rng.choice((1, 1, 1, 2, 3))
        for _ in range(series):
            fault = _draw_fault(rng, gateways, upstreams, links)
            planned.append(Planned(at + rng.uniform(0.0, 0.3), fault))
        at += rng.expovariate(1 / MEAN_GAP_S)
    return sorted(planned, key=lambda each: each.at)


def draw_evacuations(
    rng: random.Random, seconds: float, zones: Sequence[str]
) -> list[Planned]:
    """Return evacuations that do not overlap; at most one zone is empty.

    They have a random source of their own, as older seeds must give the same faults.
    """
    planned: list[Planned] = []
    at = rng.uniform(QUIET_START_S, LONGEST_EVACUATION_S)
    while at < seconds:
        for_s = rng.uniform(SHORTEST_FAULT_S, LONGEST_EVACUATION_S)
        planned.append(Planned(at, EvacuateZone(rng.choice(zones), for_s)))
        at += for_s + rng.uniform(SHORTEST_FAULT_S, LONGEST_EVACUATION_S)
    return planned


def _draw_fault(
    rng: random.Random, gateways: int, upstreams: int, links: list[str]
) -> Fault:
    for_s = rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
    gateway, upstream = rng.randrange(gateways), rng.randrange(upstreams)
    match rng.randrange(12):
        case 0:
            return KillGateway(gateway, rng.uniform(0.1, 2.0))
        case 1:
            return PauseGateway(gateway, for_s)
        case 2:
            return StopGateway(gateway)
        case 3:
            return HangUpGateway(gateway)
        case 4:
            return StepClock(gateway, rng.choice((-30.0, -2.0, 2.0, 3600.0)), for_s)
        case 5:
            return KillUpstream(upstream, rng.uniform(0.1, 2.0))
        case 6:
            return PauseUpstream(upstream, for_s)
        case 7:
            return ReplaceUpstream(upstream)
        case 8:
            return HarmLink(
                rng.choice(links),
                rng.choice((0.0, 0.02, 0.3)),
                rng.choice(list(Direction)),
                for_s,
            )
        case 9:
            return ResetLink(rng.choice(links))
        case 10:
            kind = rng.randrange(3)
            return HarmStore(kind == 0, 0.3 if kind == 1 else 0.0, kind == 2, for_s)
        case _:
            return ChangeConfiguration()
