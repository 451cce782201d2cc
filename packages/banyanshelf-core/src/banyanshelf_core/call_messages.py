"""Messages between daemons about single calls; see :mod:`.messages` for the others.

They have a module of their own because a gateway without a cluster needs only these,
and defining a data class adds a millisecond to the start.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class AnswerSample:
    """Result of one attempt: service time in microseconds and an ``AnswerKind``."""

    upstream: str
    service_time_us: int
    kind: str


@dataclass(frozen=True, slots=True)
class CrashMark:
    """One crash of an upstream while it ran the request with this fingerprint."""

    fingerprint: str
    crash_id: str
    upstream: str = ""
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class CrashClear:
    """The request was run to its end, so that these crashes do not count.

    Without ``crash_ids``, all crashes that the receiver knows do not count.
    """

    fingerprint: str
    crash_ids: list[str] = field(default_factory=list)


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
    """A complete answer stored with a completed claim.

    ``body_kept`` is false if the body was too large to store.
    """

    status: int
    headers: list[str]
    body: bytes
    body_kept: bool
