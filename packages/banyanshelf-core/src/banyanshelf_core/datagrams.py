"""Datagrams that gateways send each other.

The types bound each value: a count or a time beyond its bounds makes the whole
datagram malformed, as a gateway that kept such a value would act on it for long.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from banyanshelf_core.model import (
    AnswerKind,
    MemberId,
    ServiceName,
    UpstreamId,
    WorkspaceName,
)
from banyanshelf_core.replica import StorePosition

# No time in a datagram is longer, in seconds; the bounds also exclude NaN.
MAX_SECONDS = 1e9

Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)]
# Negative for a time that has passed.
SecondsFromNow = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]

# Load report: running calls, waiting calls, slots, and pace in percent.
ReportRow = tuple[Count, Count, Count, Count]

# A stated request limit, in requests per second or None, and the age of the statement.
RequestsPerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
LimitRow = tuple[RequestsPerSecond | None, Seconds]

# A call's number, how it ended and its service time in microseconds.
EndedCall = tuple[int, AnswerKind, Count]


class LoadUpdate(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Calls in progress, ended calls and load reports of one gateway.

    ``counts`` holds the calls in progress at each upstream whose count has changed, or
    at all upstreams if ``is_full_snapshot``. ``results`` are pairs of upstream and
    ``AnswerKind``. ``reports`` are the load reports by upstream. ``revision`` and
    ``generation`` are the newest position in the store's history that the sender knows,
    and ``uninterrupted_s`` is how long the store has answered the sender in that
    generation without interruption. ``ended_calls`` are ended calls that the receiver
    had placed. If ``is_full_snapshot``, ``placed_calls`` are the numbers of all such
    calls that are still in progress. ``limits`` are request limits that upstreams have
    stated.
    """

    sender: MemberId
    counts: dict[UpstreamId, Count]
    results: list[tuple[UpstreamId, str]]
    reports: dict[UpstreamId, ReportRow]
    revision: int
    is_full_snapshot: bool = False
    uninterrupted_s: Seconds = 0.0
    ended_calls: list[EndedCall] = []
    placed_calls: list[int] = []
    limits: dict[UpstreamId, LimitRow] = {}
    generation: Count = 0

    @property
    def position(self) -> StorePosition:
        """The newest position in the store's history that the sender knows."""
        return StorePosition(self.generation, self.revision)


# Any unit; the bounds exclude NaN, by which members cannot be ranked.
Capacity = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
MemberRow = tuple[str, str, str, int, Capacity]


class Greeting(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Announces the sender to another gateway.

    A row holds the fields of ``Member`` and the member's capacity. ``members`` are some
    of the members that the sender knows, for a receiver that asked with
    ``wants_members``. ``wants_answer`` is false in an answer.
    """

    sender: MemberRow
    members: list[MemberRow]
    wants_answer: bool
    revision: int
    wants_members: bool = False


class CrashNotice(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A request that crashed an upstream, or that was found harmless.

    A gateway knows only a few members of other zones; these forward the notice once
    within their zone. ``crash_id`` is empty if the request was found harmless;
    ``cleared_ids`` are then the crashes that do not count.
    """

    sender: MemberId
    fingerprint: str
    crash_id: str
    is_forwarded: bool = False
    upstream: UpstreamId = ""
    cleared_ids: list[str] = []


class ZoneDigest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Load data that an aggregator has received from the gateways of its zone.

    ``counts`` are the total calls in progress of these gateways, for the upstreams
    whose count has changed and for the others in rotation. ``members`` rotate as well.
    ``results`` are those of :class:`LoadUpdate`. ``revision`` and ``generation`` are
    the newest position that the aggregator has received, and ``uninterrupted_s`` the
    longest time in that generation. ``limits`` are those of :class:`LoadUpdate`; the
    unchanged ones rotate.
    """

    sender: MemberId
    counts: dict[UpstreamId, Count]
    results: list[tuple[UpstreamId, str]]
    members: list[MemberRow]
    revision: int
    uninterrupted_s: Seconds = 0.0
    limits: dict[UpstreamId, LimitRow] = {}
    generation: Count = 0

    @property
    def position(self) -> StorePosition:
        """The newest position in the store's history that the aggregator knows."""
        return StorePosition(self.generation, self.revision)


class PlacementQuery(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks the aggregator to place a call; times are in seconds from now."""

    sender: MemberId
    number: int
    service: ServiceName
    work_class: str
    target_s: SecondsFromNow
    deadline_s: SecondsFromNow
    excluded: list[UpstreamId]
    only_idle: bool
    priority: int
    workspace: WorkspaceName = ""
    counts_toward_quota: bool = False


class PlacementReply(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Answers :class:`PlacementQuery`.

    If ``is_decided`` is false, the gateway that asked places the call itself.
    Otherwise, an empty ``upstream`` is a refusal, which ``reason`` and
    ``retry_after_s`` explain. ``basis`` holds the values that decided, for the log.
    ``is_over_quota`` marks a refusal for the quota of the call's workspace.
    """

    number: int
    is_decided: bool
    upstream: UpstreamId = ""
    reason: str = ""
    retry_after_s: Seconds = 0.0
    candidates: int = 0
    hedge_after_s: SecondsFromNow | None = None
    basis: dict[str, float] = {}
    is_over_quota: bool = False


class LateCallNotice(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Says that the response to a placed call is expected after its target."""

    number: int


class ProbeRequest(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """Asks the receiver to probe upstreams on behalf of the aggregator."""

    sender: MemberId
    upstreams: list[UpstreamId]


class LimitQuery(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Asks the keeper of an upstream's limit for one request.

    ``limit`` is what the sender knows; with ``is_cold``, it is that of a cold upstream.
    A gateway that is not the keeper forwards the query once; the answer goes to
    ``reply_to``.
    """

    reply_to: str
    number: int
    upstream: UpstreamId
    limit: LimitRow
    is_probe: bool
    is_forwarded: bool = False
    is_cold: bool = False


class LimitReply(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Answers :class:`LimitQuery`.

    The request may be sent if ``wait_s`` is 0; otherwise none is available for this
    long. After a granted request, ``next_s`` says when there is another one.
    """

    number: int
    wait_s: Seconds
    next_s: Seconds = 0.0


class DepartureNotice(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Says that the sender is shutting down and gives up what it does for others."""

    sender: MemberId
    incarnation: int


# Fingerprint, id of the crash, upstream, age in seconds, and whether it is cleared.
CrashDigestRow = tuple[str, str, UpstreamId, Seconds, bool]


class CrashDigest(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Repeats crashes that the sender knows of, as a notice can be lost.

    The receiver returns the rows that it knows to be cleared, and with
    ``wants_answer`` also the most important crashes that it knows of.
    """

    sender: MemberId
    rows: list[CrashDigestRow]
    wants_answer: bool


class UpstreamStatement(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """What an upstream has said of itself in an answer to the sender.

    It concerns one incarnation: that the upstream is leaving, that it wants no requests
    for ``pause_s``, or that it is cold for ``cold_s``.
    """

    sender: MemberId
    service: ServiceName
    upstream: UpstreamId
    incarnation: int
    is_leaving: bool
    pause_s: Seconds = 0.0
    cold_s: Seconds = 0.0


class WaitingNotice(msgspec.Struct, array_like=True, tag=20, frozen=True):
    """Says that the aggregator has queued calls of the receiver, and still has them.

    It is repeated while they wait; a gateway that hears nothing more of a call places
    it itself.
    """

    sender: MemberId
    numbers: list[int]


class PlacementWithdrawal(msgspec.Struct, array_like=True, tag=21, frozen=True):
    """Says that the sender needs no placement of this call any more."""

    sender: MemberId
    number: int


Counts = dict[WorkspaceName, Count]


class QuotaDraw(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Asks the bank of a zone for requests of workspaces' quotas.

    ``wanted`` and ``returned`` are counts by workspace; the latter were granted earlier
    and were not used. A gateway that is not the bank forwards the draw once; the answer
    goes to ``reply_to``. A ``number`` of 0 needs no answer.
    """

    reply_to: str
    zone: str
    number: Count
    wanted: Counts
    returned: Counts = {}
    is_forwarded: bool = False


class QuotaGrant(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """Answers :class:`QuotaDraw`.

    ``granted`` may be used for ``valid_s`` from the time of the draw. ``waits`` holds
    when callers of the other workspaces should return, in seconds. ``zone`` is that of
    the bank; it is empty if the gateway that was asked knows no bank.
    """

    number: int
    zone: str
    granted: Counts
    waits: dict[WorkspaceName, Seconds] = {}
    valid_s: Seconds = 0.0


class RoomQuery(msgspec.Struct, array_like=True, tag=24, frozen=True):
    """Asks another zone for room for calls of ``services``.

    A gateway that places no calls forwards the query once to the one that places its
    calls; the answer goes to ``reply_to``.
    """

    reply_to: str
    sender: MemberId
    services: list[ServiceName]
    is_forwarded: bool = False


class RoomOffer(msgspec.Struct, array_like=True, tag=25, frozen=True):
    """Answers :class:`RoomQuery` for the zone of the sender.

    ``calls_by_service`` is how many calls the receiver may send until the next answer,
    and ``reports`` are the loads of upstreams that have room.
    """

    zone: str
    calls_by_service: dict[ServiceName, Count]
    reports: dict[UpstreamId, ReportRow] = {}


Datagram = (
    LoadUpdate
    | Greeting
    | CrashNotice
    | ZoneDigest
    | PlacementQuery
    | PlacementReply
    | LateCallNotice
    | ProbeRequest
    | LimitQuery
    | LimitReply
    | DepartureNotice
    | CrashDigest
    | UpstreamStatement
    | RoomQuery
    | RoomOffer
    | WaitingNotice
    | PlacementWithdrawal
    | QuotaDraw
    | QuotaGrant
)
