"""Messages between daemons, one data class each.

``banyanshelf_wire`` maps them by name to the structs of ``peer.thrift``; a field added
here must be added there.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from banyanshelf_core.call_messages import (
    AnswerSample,
    CrashClear,
    CrashMark,
    StoredAnswer,
)


class MemberStatus(StrEnum):
    """What a membership update says about a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    REMOVED = "removed"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """News about one member; a higher incarnation overrides a lower one."""

    id: str
    address: str
    zone: str
    incarnation: int
    status: str


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link in each direction.

    ``receiver`` is the member that the sender expects at the other end; any other
    member closes the link.
    """

    id: str
    address: str
    zone: str
    incarnation: int
    protocol_version: int
    receiver: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Liveness probe with piggybacked membership updates and the version in force.

    ``needs_members`` asks for the list of all live members.
    """

    sequence: int
    updates: list[MemberUpdate]
    config_version: int
    config_digest: str
    needs_members: bool


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a ping; ``subject`` is the member that was found alive.

    An answer with sequence 0 carries updates only.
    """

    sequence: int
    subject: str
    updates: list[MemberUpdate]
    config_version: int
    config_digest: str


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping ``subject`` on the sender's behalf."""

    sequence: int
    subject: str
    updates: list[MemberUpdate]


@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """Announces the version in force at the sender."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Asks for the text if the receiver has a version above ``above_version``."""

    above_version: int


@dataclass(frozen=True, slots=True)
class ConfigText:
    """A whole accepted text; ``digest`` is the SHA-256 digest of ``text`` in UTF-8."""

    version: int
    digest: str
    text: str


@dataclass(frozen=True, slots=True)
class SlotCount:
    """A number of slots of one upstream."""

    upstream: str
    count: int


@dataclass(frozen=True, slots=True)
class CoordinatorAnnounce:
    """A new coordinator asks every member for its holdings."""

    service_name: str
    epoch_number: int
    epoch_member: str


class GrantTerms(StrEnum):
    """What a gateway may do with granted permits.

    A permit for single use goes back when its call ends. A trial is for single use by
    an idempotent call.
    """

    REUSABLE = "reusable"
    SINGLE_USE = "single_use"
    TRIAL = "trial"


@dataclass(frozen=True, slots=True)
class Holdings:
    """The permits that a gateway holds for a service.

    ``permits_received`` counts the permits granted to the sender in this epoch; the
    coordinator tells by it which of its grants are still on their way.
    """

    service_name: str
    epoch_number: int
    epoch_member: str
    in_use: list[SlotCount]
    idle: list[SlotCount]
    waiting: int
    permits_received: int


@dataclass(frozen=True, slots=True)
class Acquire:
    """Calls that wait for a permit; replaces the sender's previous count.

    ``spare`` asks for idle permits ahead of demand. ``excluded`` holds upstreams that
    no waiting call can use. ``urgent`` counts the waiting calls of caller services that
    use less than their share.
    """

    service_name: str
    epoch_number: int
    epoch_member: str
    waiting: int
    oldest_wait_us: int
    permits_received: int
    spare: int
    excluded: list[str]
    urgent: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Permits handed to a gateway, with the age of the coordinator's oldest waiter.

    ``terms`` is a ``GrantTerms`` value. A grant without permits only refreshes the age.
    """

    service_name: str
    epoch_number: int
    epoch_member: str
    permits: list[SlotCount]
    reuse_after_us: int
    contended: bool
    terms: str


@dataclass(frozen=True, slots=True)
class Release:
    """Permits handed back, the calls still waiting, and how recent attempts ended."""

    service_name: str
    epoch_number: int
    epoch_member: str
    permits: list[SlotCount]
    waiting: int
    oldest_wait_us: int
    samples: list[AnswerSample]
    permits_received: int
    spare: int
    excluded: list[str]
    urgent: int = 0


@dataclass(frozen=True, slots=True)
class Recall:
    """Asks a gateway to hand back up to ``count`` permits.

    With an empty ``upstream``, only idle ones. With an upstream, permits in use are
    handed back as well, when their calls end.
    """

    service_name: str
    epoch_number: int
    epoch_member: str
    count: int
    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """A first-hand signal about an upstream: an ``UpstreamState`` value.

    A notice replaces an earlier one about the same upstream when its sequence is
    higher.
    """

    upstream: str
    state: str
    sequence: int
    origin: str


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the owner of a shard for the right to run a keyed call once."""

    shard: int
    service_name: str
    key_digest: str
    body_digest: str
    attempt_id: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer to a claim request.

    A ``ClaimStatus`` value and, if completed, the answer.
    """

    attempt_id: str
    status: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimComplete:
    """Reports how a granted attempt ended: a ``ClaimOutcome`` value."""

    shard: int
    key_digest: str
    body_digest: str
    attempt_id: str
    outcome: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimCompleteAck:
    """The outcome is recorded in the store; the runner may forget the attempt."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender stops on purpose.

    Its roles move at once, its permits are handed back.
    """

    incarnation: int
    roles: list[str] = field(default_factory=list)


PeerMessage = (
    Hello
    | Ping
    | Ack
    | PingRequest
    | ConfigNotice
    | ConfigFetch
    | ConfigText
    | CoordinatorAnnounce
    | Holdings
    | Acquire
    | Grant
    | Release
    | Recall
    | UpstreamNotice
    | CrashMark
    | CrashClear
    | ClaimRequest
    | ClaimReply
    | ClaimComplete
    | ClaimCompleteAck
    | Leaving
)
