"""Interfaces between the daemon's components.

Each component depends on the others only through these protocols, so that tests can
replace them with small fakes.
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
from banyanshelf_core.model import (
    Member,
    MemberId,
    ServiceName,
    Upstream,
    UpstreamId,
    WorkspaceName,
)
from banyanshelf_core.text import OperatorText

if TYPE_CHECKING:
    from banyanshelf_core.messages import PeerMessage

MessageT = TypeVar("MessageT")


class NotAdmittedError(BanyanshelfError):
    """The call got no permit; its request was not run."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(f"{reason}; try again in {retry_after_s:.1f} s")
        self.reason = reason
        self.retry_after_s = retry_after_s


class QuotaExceededError(NotAdmittedError):
    """The quota of the call's workspace is used up; its request was not run."""


class PermitRequest(NamedTuple):
    """A request for a permit.

    ``deadline`` is a time of the reactor clock, in seconds.
    ``excluded`` holds upstreams that earlier attempts of the same call have used.
    With ``only_idle``, which hedged attempts use, the request fails at once unless
    there is idle capacity. Calls of one ``work_class`` take a similar time. ``target``
    is the time, on the same clock as ``deadline``, until which an answer is useful; 0
    means that there is none. A ``priority`` of 0 is the highest. ``on_late`` is called,
    possibly several times, while the answer is expected after the target. ``workspace``
    is empty if the request belongs to none; ``counts_toward_quota`` is true for the
    first permit of a call.
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
    workspace: WorkspaceName = ""
    counts_toward_quota: bool = False


class Permit(NamedTuple):
    """Permission to run one call in one slot of an upstream.

    ``reason`` and ``candidates`` are logged with the decision. ``epoch_number`` is 0
    for a permit from the local share. ``number`` is unique at this gateway.
    ``hedge_after_s`` is the proposed hedge delay; None leaves it to the retry policy.
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
    """Result of a claim; ``answer`` is set for ``ClaimStatus.COMPLETED`` only."""

    status: ClaimStatus
    attempt_id: str
    answer: StoredAnswer | None = None


class ActiveText(NamedTuple):
    """The configuration text that is active at this daemon."""

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
        """Wait for a permit; fails with :class:`NotAdmittedError`.

        Cancelling the Deferred leaves the queue.
        """

    def release(self, permit: Permit, sample: AnswerSample) -> None:
        """Release a permit with the result of its attempt."""


class ProbeSender(Protocol):
    """Sends one health probe."""

    def __call__(
        self, upstream: Upstream, *, is_repeated: bool = True
    ) -> Deferred[bool]:
        """Return whether the upstream is healthy.

        With ``is_repeated``, the probe may be sent once more on another connection.
        """


class ClaimService(Protocol):
    """Claims idempotency keys across all gateways."""

    def claim(
        self,
        service_name: ServiceName,
        key_digest: str,
        body_digest: str,
        wait_s: float,
    ) -> Deferred[ClaimDecision]:
        """Claim a key; never fails, but may return ``ClaimStatus.UNAVAILABLE``."""

    def complete(
        self,
        attempt_id: str,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> Deferred[None]:
        """Record the outcome of a granted attempt.

        The result fires once the outcome is stored.
        """


class ConfigurationSource(Protocol):
    """The active configuration text."""

    def active(self) -> ActiveText | None:
        """Return the active text, or None before the first one has arrived."""

    def on_change(self, handler: Callable[[ActiveText], None]) -> None:
        """Call ``handler`` with each newly adopted version."""


class MembershipSource(Protocol):
    """The gateways that this daemon considers live."""

    def members_by_id(self) -> Mapping[MemberId, Member]:
        """Return the live members, including this daemon."""

    def on_members_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of the set of live members."""

    def on_self_removed(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` when the other members have removed this daemon.

        The handler must give up all roles. All handlers have returned before the next
        message is handled or sent.
        """


class UpstreamDirectory(Protocol):
    """The upstreams of each service: the host list updated by direct observations."""

    def upstreams_by_id(
        self, service_name: ServiceName
    ) -> Mapping[UpstreamId, Upstream]:
        """Return the known upstreams of a service, including leaving ones."""

    def report_leaving(self, upstream_id: UpstreamId, reason: str) -> None:
        """Broadcast to all members that the upstream is leaving."""

    def on_upstreams_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of any service's upstreams."""


class PeerNetwork(Protocol):
    """Links to the other daemons."""

    def send(self, member_id: MemberId, message: PeerMessage) -> bool:
        """Send a message; return False and open a link if none is up."""

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
    """The links as the cluster component sets them up; others use ``PeerNetwork``."""

    @property
    def identity(self) -> Member:
        """This daemon's identity, which later ``Hello`` messages carry."""

    def set_identity(self, identity: Member) -> None:
        """Set the identity that later ``Hello`` messages carry."""

    def set_budget(self, bytes_per_second: int) -> None:
        """Set the limit of control traffic on each link, in bytes per second."""

    def update_members(
        self,
        live: Mapping[MemberId, Member],
        removed: Mapping[MemberId, Member],
    ) -> None:
        """Set the members to keep links to, and the removed members."""
