"""Placement of calls by the aggregator of a large zone: client and server side.

A placement takes one query datagram and one reply datagram. Without a reply, the
gateway places the call itself from its own load data, so that the loss of an aggregator
costs only a short timeout.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.datagrams import (
    EndedCall,
    LateCallNotice,
    PlacementQuery,
    PlacementReply,
)
from banyanshelf_core.errors import BanyanshelfError
from banyanshelf_core.model import (
    AnswerKind,
    Member,
    MemberId,
    ServiceName,
    UpstreamId,
)
from banyanshelf_core.placement.decisions import PlacementRequest
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.interfaces import (
    NotAdmittedError,
    Permit,
    QuotaExceededError,
)

# Within a zone a reply takes about 1 ms, and up to 30 ms more if upstreams of a remote
# zone are probed first.
PLACEMENT_TIMEOUT_S = 0.06
# A call of this age that its gateway no longer lists as in progress has ended, and the
# datagram about its end was lost. Younger calls may not be listed yet.
UNLISTED_CALL_TIMEOUT_S = 0.1

log = Logger("placement")


class NoPlacementError(BanyanshelfError):
    """The aggregator made no decision; the gateway must place the call itself."""


class PlacementClient:
    """Sends placement queries of this gateway to an aggregator."""

    def __init__(self, reactor: Any, gossip: GossipLink) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._pending_by_number: dict[int, Deferred[PlacementReply]] = {}
        self._handle_late_reply: Callable[[int], None] = lambda number: None
        gossip.on_datagram(PlacementReply, self._on_reply)

    def on_late_answer(self, handler: Callable[[int], None]) -> None:
        """Call ``handler`` with the number of a call whose placement came too late."""
        self._handle_late_reply = handler

    def request_placement(
        self,
        aggregator: Member,
        number: int,
        service_name: ServiceName,
        placement_request: PlacementRequest,
    ) -> Deferred[PlacementReply]:
        """Request a placement; fails with :class:`NoPlacementError`."""
        now = self._reactor.seconds()
        self._gossip.send_to(
            [aggregator.address],
            PlacementQuery(
                self._gossip.members.identity.id,
                number,
                service_name,
                placement_request.work_class,
                placement_request.target - now,
                placement_request.deadline - now,
                list(placement_request.excluded),
                placement_request.only_idle,
                placement_request.priority,
                placement_request.workspace,
                placement_request.counts_toward_quota,
            ),
        )
        result: Deferred[PlacementReply] = Deferred()
        self._pending_by_number[number] = result
        timer = self._reactor.callLater(PLACEMENT_TIMEOUT_S, self._expire, number)

        def finished(found: PlacementReply | Failure) -> PlacementReply | Failure:
            self._pending_by_number.pop(number, None)
            if timer.active():
                timer.cancel()
            return found

        return result.addBoth(finished)

    def _on_reply(self, answer: PlacementReply, _address: str) -> None:
        waiting = self._pending_by_number.get(answer.number)
        if waiting is None:
            if answer.upstream:
                self._handle_late_reply(answer.number)
        elif answer.is_decided:
            waiting.callback(answer)
        else:
            waiting.errback(
                NoPlacementError("the aggregator does not know the service")
            )

    def _expire(self, number: int) -> None:
        waiting = self._pending_by_number.get(number)
        if waiting is not None:
            log.info(
                "aggregator did not answer a placement query within {} s",
                PLACEMENT_TIMEOUT_S,
            )
            waiting.errback(NoPlacementError("the aggregator did not answer in time"))


class _PeerCall(NamedTuple):
    permit: Permit
    placed_at: float


class PlacementServer:
    """Places calls for other gateways and releases their permits when they end.

    ``place`` places a call or fails with :class:`NotAdmittedError`; it returns None for
    an unknown service. ``release`` releases the permit of a call that has ended.
    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        place: Callable[
            [ServiceName, PlacementRequest, Callable[[], None]],
            Deferred[Permit] | None,
        ],
        release: Callable[[Permit, AnswerSample], None],
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._place = place
        self._release = release
        self._placed_by_sender: dict[MemberId, dict[int, _PeerCall]] = {}
        gossip.on_datagram(PlacementQuery, self._on_query)

    def retain_senders(self, senders: Iterable[MemberId]) -> None:
        """End the calls of gateways other than ``senders``, which have left."""
        departed = set(self._placed_by_sender) - set(senders)
        for sender in departed:
            for number in list(self._placed_by_sender[sender]):
                self._end(sender, number, AnswerKind.CANCELLED, 0)

    def apply_call_ends(
        self, sender: MemberId, ended: Iterable[EndedCall], placed: set[int] | None
    ) -> None:
        """End calls; see :class:`~banyanshelf_daemon.load_sharing.PlacedCalls`."""
        for number, kind, service_time_us in ended:
            self._end(sender, number, kind, service_time_us)
        if placed is None:
            return
        latest = self._reactor.seconds() - UNLISTED_CALL_TIMEOUT_S
        for number, call in list(self._placed_by_sender.get(sender, {}).items()):
            if number not in placed and call.placed_at < latest:
                self._end(sender, number, AnswerKind.CANCELLED, 0)

    def _on_query(self, query: PlacementQuery, address: str) -> None:
        now = self._reactor.seconds()
        placement_request = PlacementRequest(
            query.work_class,
            now + query.target_s,
            now + query.deadline_s,
            query.excluded,
            query.only_idle,
            query.priority,
            workspace=query.workspace,
            counts_toward_quota=query.counts_toward_quota,
        )
        number = query.number

        def notify_late() -> None:
            self._gossip.send_to([address], LateCallNotice(number))

        pending = self._place(query.service, placement_request, notify_late)
        if pending is None:
            self._gossip.send_to([address], PlacementReply(number, False))
            return
        pending.addCallback(self._placed, query, address)
        pending.addErrback(self._refused, number, address)

    def _placed(self, permit: Permit, query: PlacementQuery, address: str) -> None:
        calls = self._placed_by_sender.setdefault(query.sender, {})
        calls[query.number] = _PeerCall(permit, self._reactor.seconds())
        answer = PlacementReply(
            query.number,
            True,
            permit.upstream.id,
            permit.reason,
            0.0,
            permit.candidates,
            permit.hedge_after_s,
            dict(permit.basis),
        )
        self._gossip.send_to([address], answer)

    def _refused(self, failure: Failure, number: int, address: str) -> None:
        failure.trap(NotAdmittedError)
        error = failure.value
        answer = PlacementReply(
            number,
            True,
            "",
            error.reason,
            error.retry_after_s,
            is_over_quota=isinstance(error, QuotaExceededError),
        )
        self._gossip.send_to([address], answer)

    def _end(
        self, sender: MemberId, number: int, kind: AnswerKind, service_time_us: int
    ) -> None:
        calls = self._placed_by_sender.get(sender, {})
        call = calls.pop(number, None)
        if call is None:
            return
        if not calls:
            del self._placed_by_sender[sender]
        upstream_id: UpstreamId = call.permit.upstream.id
        self._release(call.permit, AnswerSample(upstream_id, service_time_us, kind))
