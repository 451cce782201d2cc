"""What gateways tell each other in datagrams."""

from __future__ import annotations

import msgspec

from banyanshelf_core.model import MemberId, ServiceName, UpstreamId

# Running calls, waiting calls, slots and pace in percent.
ReportRow = tuple[int, int, int, int]


# Number of a call, its ``AnswerKind`` and its service time in microseconds.
EndedCall = tuple[int, str, int]


class LoadUpdate(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Calls in progress, ended calls and load reports of one gateway.

    ``counts`` holds the calls in progress of every upstream whose count has changed,
    or of all if ``is_full_snapshot``. ``results`` are pairs of upstream and ``AnswerKind``.
    ``reports`` are the load reports by upstream.
    ``revision`` is the newest revision of the store that the sender knows, and
    ``uninterrupted_s`` for how long the store has answered it without an interruption.
    ``ended`` are the ends of calls that the receiver placed; if ``is_full_snapshot``,
    ``placed`` are the numbers of all such calls that are still in progress.
    """

    sender: MemberId
    counts: dict[UpstreamId, int]
    results: list[tuple[UpstreamId, str]]
    reports: dict[UpstreamId, ReportRow]
    revision: int
    is_full_snapshot: bool = False
    uninterrupted_s: float = 0.0
    ended_calls: list[EndedCall] = []
    placed_calls: list[int] = []


MemberRow = tuple[str, str, str, int, float]


class Greeting(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Introduces the sender.

    A row holds the fields of ``Member`` and the member's capacity. ``members`` are some
    that the sender knows, told to those that want them. ``wants_answer`` is false in an
    answer.
    """

    sender: MemberRow
    members: list[MemberRow]
    wants_answer: bool
    revision: int
    wants_members: bool = False


class CrashNotice(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A request that crashed an upstream, or that was found harmless.

    A gateway knows few members of other zones; these pass the news on in their zone,
    once.
    """

    sender: MemberId
    fingerprint: str
    crash_id: str
    is_forwarded: bool = False


class ZoneDigest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """What an aggregator has heard from the gateways of its zone.

    ``counts`` are the calls in progress of all these gateways together, for upstreams
    whose count has changed and, in turn, for all others. ``members`` are told in turn,
    too. ``results`` are those of :class:`LoadUpdate`. ``revision`` and ``uninterrupted_s`` are
    the greatest that the aggregator has heard.
    """

    sender: MemberId
    counts: dict[UpstreamId, int]
    results: list[tuple[UpstreamId, str]]
    members: list[MemberRow]
    revision: int
    uninterrupted_s: float = 0.0


class PlacementQuery(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks the aggregator to place a call; times are left from now, in seconds."""

    sender: MemberId
    number: int
    service: ServiceName
    work_class: str
    target_s: float
    deadline_s: float
    excluded: list[UpstreamId]
    only_idle: bool
    priority: int


class PlacementReply(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Answers :class:`PlacementQuery`.

    Without ``is_decided`` the sender places the call itself. Otherwise ``upstream`` is
    empty for a refusal, which ``reason`` and ``retry_after_s`` explain. ``basis`` holds
    the figures of the decision for the log.
    """

    number: int
    is_decided: bool
    upstream: UpstreamId = ""
    reason: str = ""
    retry_after_s: float = 0.0
    candidates: int = 0
    hedge_after_s: float | None = None
    basis: dict[str, float] = {}


class LateCallNotice(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Tells that the answer of a placed call is expected after its target."""

    number: int


class ProbeRequest(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """Asks the receiver to send health questions on behalf of the aggregator."""

    sender: MemberId
    upstreams: list[UpstreamId]


Datagram = (
    LoadUpdate
    | Greeting
    | CrashNotice
    | ZoneDigest
    | PlacementQuery
    | PlacementReply
    | LateCallNotice
    | ProbeRequest
)
