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
    """State of one member; a higher incarnation overrides a lower one."""

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
    """Failure detector probe with piggybacked updates and the version in effect.

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

    An ack with sequence 0 answers no ping; it carries a part of the member list.
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
    """Announces the version in effect at the sender."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Asks for the text if the receiver has a version above ``above_version``."""

    above_version: int


@dataclass(frozen=True, slots=True)
class ConfigText:
    """An accepted text; ``digest`` is the SHA-256 digest of ``text`` in UTF-8."""

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
    """Announces a new coordinator, which asks every member for its holdings."""

    service_name: str
    epoch_number: int
    epoch_member: str


class GrantTerms(StrEnum):
    """What a gateway may do with granted permits.

    A single-use permit is released when its call ends. A trial permit is a single-use
    permit for an idempotent call.
    """

    REUSABLE = "reusable"
    SINGLE_USE = "single_use"
    TRIAL = "trial"


@dataclass(frozen=True, slots=True)
class Holdings:
    """The permits that a gateway holds for a service.

    ``permits_received`` counts the permits granted to the sender in this epoch, from
    which the coordinator derives which of its grants are still in flight.
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
    """Permits granted to a gateway, with the age of the coordinator's oldest waiter.

    ``terms`` is a ``GrantTerms`` value. A grant without permits only updates the age.
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
    """Permits returned, the calls still waiting, and how recent attempts ended."""

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
    """Asks a gateway to return up to ``count`` permits.

    With an empty ``upstream``, only idle permits are returned. With an upstream,
    permits in use are returned as well, when their calls end.
    """

    service_name: str
    epoch_number: int
    epoch_member: str
    count: int
    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """State of an upstream as ``origin`` observed it; an ``UpstreamState`` value.

    A notice replaces an earlier one about the same upstream if its sequence is higher.
    """

    upstream: str
    state: str
    sequence: int
    origin: str


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the owner of a shard for the right to run the call of a key.

    ``wait_ms`` is how long the sender waits for a reply.
    """

    shard: int
    service_name: str
    key_digest: str
    body_digest: str
    attempt_id: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim request: a ``ClaimStatus`` value.

    If the status is ``completed``, ``answer`` is the stored answer of the call.
    """

    attempt_id: str
    status: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimComplete:
    """Reports the outcome of a granted attempt, a ``ClaimOutcome`` value."""

    shard: int
    key_digest: str
    body_digest: str
    attempt_id: str
    outcome: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimCompleteAck:
    """Confirms that the outcome of an attempt is recorded in the store."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Leaving:
    """Announces a planned stop of the sender.

    Its roles move to other members immediately, and its permits are returned.
    """

    incarnation: int
    roles: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RequestLimitNotice:
    """Announces a change of the request limit that an upstream states.

    ``micro_per_s`` is in millionths of a request per second, for all gateways together;
    a negative value means that the upstream states no limit any more.
    """

    upstream: str
    micro_per_s: int
    age_us: int


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
    | RequestLimitNotice
)
