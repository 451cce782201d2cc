"""Effects that permit decisions return, other than messages."""

from __future__ import annotations

from dataclasses import dataclass

from banyanshelf_core.model import Broadcast, CallId, Send, UpstreamId


@dataclass(frozen=True, slots=True)
class Assign:
    """A call may run on an upstream; ``epoch_number`` is 0 for the local share."""

    call_id: CallId
    upstream: UpstreamId
    epoch_number: int
    reason: str
    candidates: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """A call gets no permit and was not run."""

    call_id: CallId
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe an upstream and report the result to the coordinator.

    With ``is_repeated``, the probe may be sent once more on another connection.
    """

    upstream: UpstreamId
    is_repeated: bool = True


Effect = Send | Broadcast | Assign | Refuse | Probe
HolderEffect = Send | Assign | Refuse
CoordinatorEffect = Send | Broadcast | Probe
