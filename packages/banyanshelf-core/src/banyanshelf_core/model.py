"""Value types that the modules of the core share."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from banyanshelf_core.messages import PeerMessage

MemberId = str
UpstreamId = str
ServiceName = str
WorkspaceName = str
CallId = int


class Epoch(NamedTuple):
    """Fencing token of a service's coordinator; the highest epoch is in force.

    Example:
        ``Epoch(2, "gateway-a") > Epoch(1, "gateway-z")``

    """

    number: int
    member_id: MemberId


NO_EPOCH = Epoch(0, "")


class Member(NamedTuple):
    """Identity of a gateway daemon in the group."""

    id: MemberId
    address: str
    zone: str
    incarnation: int


class UpstreamState(enum.StrEnum):
    """Whether an upstream may receive new work; only a live one may.

    An upstream is evacuated while its availability zone is.
    """

    LIVE = "live"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


class Upstream(NamedTuple):
    """Host list entry of one backend server of a service.

    ``incarnation`` increases with each start under the same id; 0 means unknown.
    ``cold_ms`` is how long the server stays slow after its start, counted from the time
    at which the host list gave this value.
    """

    id: UpstreamId
    service: ServiceName
    address: str
    zone: str
    slots: int
    state: UpstreamState = UpstreamState.LIVE
    incarnation: int = 0
    cold_ms: int = 0


class LoadReport(NamedTuple):
    """Load report of an upstream, which is part of an answer.

    ``running`` and ``waiting`` count its calls from all gateways. ``pace`` is the
    current service time as a multiple of the normal one.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class Outcome(enum.StrEnum):
    """Whether the request of an error answer was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AnswerKind(enum.StrEnum):
    """How an attempt at an upstream ended."""

    ANSWERED = "answered"
    ERROR = "error"
    SHED = "shed"
    REFUSED = "refused"
    CUT = "cut"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: deliver a message to one member."""

    to: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Broadcast:
    """Effect: deliver a message to every other live member."""

    message: PeerMessage
