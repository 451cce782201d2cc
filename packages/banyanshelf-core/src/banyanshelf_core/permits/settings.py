"""Settings of the permit decisions for one service."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class HolderSettings(NamedTuple):
    """Settings of one service's holder, in seconds."""

    queue_limit: int = 512
    caller_weights: Mapping[str, int] = {}
    time_limit_s: float = 2.0
    ramp_s: float = 5.0
    eject_after_failures: int = 3


class CoordinatorSettings(NamedTuple):
    """Settings of one service's coordinator, in seconds."""

    time_limit_s: float = 2.0
    ramp_s: float = 5.0
    eject_after_failures: int = 3
    probe_share: float = 0.005
    probe_cost_s: float = 0.006
