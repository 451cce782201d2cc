"""Settings of one service for permit decisions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class HolderSettings(NamedTuple):
    """Settings of one service's permit holder; times are in seconds."""

    queue_limit: int = 512
    caller_weights: Mapping[str, int] = {}
    time_limit_s: float = 2.0
    ramp_s: float = 5.0
    eject_after_failures: int = 3


class CoordinatorSettings(NamedTuple):
    """Settings of one service's coordinator; times are in seconds."""

    time_limit_s: float = 2.0
    ramp_s: float = 5.0
    eject_after_failures: int = 3
    probe_share: float = 0.005
    probe_cost_s: float = 0.006
