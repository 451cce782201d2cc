"""Contracts between the daemon's tasks.

Each task depends on the others only through these protocols, so that it can be tested
with a small fake in place of its neighbours.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol, TypeVar

from twisted.internet.defer import Deferred

from banyanshelf_core.call_messages import (
    AnswerSample,
    ClaimOutcome,
    ClaimStatus,
    StoredAnswer,
)
from banyanshelf_core.errors import BanyanshelfError
from banyanshelf_core.model import Member, MemberId, ServiceName, Upstream, UpstreamId
from banyanshelf_core.text import OperatorText

if TYPE_CHECKING:
    from banyanshelf_core.messages import PeerMessage

MessageT = TypeVar("MessageT")


class NotAdmittedError(BanyanshelfError):
    """A call that got no permit; the request was not run."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(f"{reason}; try again in {retry_after_s:.1f} s")
        self.reason = reason
        self.retry_after_s = retry_after_s


class PermitRequest(NamedTuple):
    """What a call needs to be admitted.

    ``deadline`` is in seconds of the reactor clock.
    ``excluded`` holds upstreams that earlier attempts of the same call have used.
    ``only_idle`` fails at once unless a permit is idle at this gateway (for hedges).
    ``work_class`` names calls that take a similar time. ``target`` is the time, on the
    same clock as ``deadline``, until which an answer is useful; 0 is none. A
    ``priority`` of 0 is the highest. ``on_late`` is called, more than once if need be,
    while the answer is expected after the target.
    """

    request_id: str
    caller_service: str
    depth: int
    deadline: float
    idempotent: bool
    excluded: frozenset[UpstreamId] = frozenset()
    only_idle: bool = False
    work_class: str = ""
    target: float = 0.0
    priority: int = 0
    on_late: Callable[[], None] | None = None


class Permit(NamedTuple):
    """The right to run one call on one slot of an upstream.

    ``reason`` and ``candidates`` go into the decision log. ``epoch_number`` is 0 for a
    permit from the local share. ``number`` is unique at this gateway. A second attempt
    is worthwhile after ``hedge_after_s``; None leaves that to the retry policy.
    ``basis`` holds further figures of the decision for the log.
    """

    upstream: Upstream
    epoch_number: int
    reason: str
    candidates: int
    number: int = 0
    hedge_after_s: float | None = None
    basis: Mapping[str, float] = {}


class ClaimDecision(NamedTuple):
    """Answer to a claim; ``answer`` is set for ``ClaimStatus.COMPLETED`` only."""

    status: ClaimStatus
    attempt_id: str
    answer: StoredAnswer | None = None


class ActiveText(NamedTuple):
    """The operators' text in effect at this daemon."""

    version: int
    digest: str
    text: OperatorText


class PermitService(Protocol):
    """Admits calls to upstreams."""

    def acquire(
        self,
        service_name: ServiceName,
        request: PermitRequest,
    ) -> Deferred[Permit]:
        """Wait for a permit; cancelling the Deferred gives up the place in the queue.

        Fails with :class:`NotAdmittedError`.
        """

    def release(self, permit: Permit, sample: AnswerSample) -> None:
        """Give a permit back with the result of its attempt."""


class ClaimService(Protocol):
    """Claims idempotency keys, fleet-wide."""

    def claim(
        self,
        service_name: ServiceName,
        key_digest: str,
        body_digest: str,
        wait_s: float,
    ) -> Deferred[ClaimDecision]:
        """Claim a key; never fails, but may decide ``ClaimStatus.UNAVAILABLE``."""

    def complete(
        self,
        attempt_id: str,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> Deferred[None]:
        """Record how a granted attempt ended.

        Fires once it is recorded in the store.
        """


class ConfigurationSource(Protocol):
    """The operators' text in effect."""

    def active(self) -> ActiveText | None:
        """Return the text in effect, or None before the first one has arrived."""

    def on_change(self, handler: Callable[[ActiveText], None]) -> None:
        """Call ``handler`` for each newly adopted version."""


class MembershipSource(Protocol):
    """The gateways that are live from this daemon's point of view."""

    def members_by_id(self) -> Mapping[MemberId, Member]:
        """Return the live members, this daemon included."""

    def on_members_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of the live members."""

    def on_self_removed(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` when the others have removed this daemon.

        All roles must be dropped. The handlers have run before another message is
        handled or sent.
        """


class UpstreamDirectory(Protocol):
    """The upstreams of each service: the host list with first-hand notices applied."""

    def upstreams_by_id(
        self, service_name: ServiceName
    ) -> Mapping[UpstreamId, Upstream]:
        """Return the known upstreams of a service, leaving ones included."""

    def report_leaving(self, upstream_id: UpstreamId, reason: str) -> None:
        """Tell every member that the upstream signalled that it is leaving."""

    def on_upstreams_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of any service's upstreams."""


class PeerNetwork(Protocol):
    """Links to the other daemons."""

    def send(self, member_id: MemberId, message: PeerMessage) -> bool:
        """Send a message; returns False if no link is up (a link is then opened)."""

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every other live member."""

    def subscribe(
        self,
        message_class: type[Any],
        handler: Callable[[MemberId, Any], None],
    ) -> None:
        """Call ``handler(sender, message)`` for each received message of a class."""

    def on_link_change(self, handler: Callable[[MemberId, bool], None]) -> None:
        """Call ``handler(member_id, is_up)`` when a link comes up or goes down."""


class ClusterNetwork(PeerNetwork, Protocol):
    """What the cluster task sets on the links; other tasks use ``PeerNetwork``."""

    @property
    def identity(self) -> Member:
        """This daemon as later ``Hello`` messages introduce it."""

    def set_identity(self, identity: Member) -> None:
        """Set the incarnation that later ``Hello`` messages carry."""

    def set_budget(self, bytes_per_second: int) -> None:
        """Set the control bytes per second of each link."""

    def update_members(
        self,
        live: Mapping[MemberId, Member],
        removed: Mapping[MemberId, Member],
    ) -> None:
        """Set the members to keep links to, and those that were removed."""
