"""Messages between daemons about single calls; see :mod:`.messages` for the others.

They are apart because a gateway that has no cluster of its own needs only these, and
each data class takes a millisecond of its start.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class AnswerSample:
    """How one attempt ended: the service time in microseconds and an ``AnswerKind``."""

    upstream: str
    service_time_us: int
    kind: str


@dataclass(frozen=True, slots=True)
class CrashMark:
    """One crash of an upstream that was running the fingerprinted request."""

    fingerprint: str
    crash_id: str


@dataclass(frozen=True, slots=True)
class CrashClear:
    """The fingerprinted request was answered whole, so its marks are void."""

    fingerprint: str


class ClaimStatus(StrEnum):
    """Answer of a shard owner to a claim request."""

    GRANTED = "granted"
    RUNNING = "running"
    COMPLETED = "completed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"
    NOT_OWNER = "not_owner"


class ClaimOutcome(StrEnum):
    """How a claimed call ended."""

    COMPLETED = "completed"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer kept with a completed claim.

    ``body_kept`` is false if too large.
    """

    status: int
    headers: list[str]
    body: bytes
    body_kept: bool
