"""Placement of calls by the aggregator of a large zone: client and server side.

A placement takes one query datagram and one reply datagram. Without a reply, the
gateway places the call itself from its own load data, so that the loss of an aggregator
costs only a short timeout.

The aggregator may queue a call until there is room. It says so in a notice, which it
repeats while the call waits; a gateway that hears nothing more places the call itself.
A gateway that needs no placement any more withdraws its call.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.datagrams import (
    EndedCall,
    LateCallNotice,
    PlacementQuery,
    PlacementReply,
    PlacementWithdrawal,
    WaitingNotice,
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
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.interfaces import (
    NotAdmittedError,
    Permit,
    QuotaExceededError,
)
from banyanshelf_daemon.reply_timer import ReplyTimer

# Within a zone a reply takes about 1 ms, and up to 30 ms more if upstreams of a remote
# zone are probed first.
PLACEMENT_TIMEOUT_S = 0.06
# Notices about calls that wait at the aggregator are repeated after this time.
WAITING_NOTICE_PERIOD_S = 0.04
# Numbers of calls in one notice, so that it fits into one datagram.
CALLS_PER_NOTICE = 100
# Two notices may be lost before the aggregator is taken to have lost a waiting call.
WAITING_TIMEOUT_S = 0.13
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
        self._timer_by_number: dict[int, ReplyTimer] = {}
        self._handle_late_reply: Callable[[int], None] = lambda number: None
        gossip.on_datagram(PlacementReply, self._on_reply)
        gossip.on_datagram(WaitingNotice, self._on_waiting)

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
        """Request a placement; fails with :class:`NoPlacementError`.

        Cancelling the Deferred withdraws the call.
        """
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
        result: Deferred[PlacementReply] = Deferred(
            lambda _deferred: self._withdraw(aggregator, number)
        )
        self._pending_by_number[number] = result
        timer = ReplyTimer(
            self._reactor,
            PLACEMENT_TIMEOUT_S,
            lambda: self._expire(aggregator, number),
        )
        self._timer_by_number[number] = timer

        def finished(found: PlacementReply | Failure) -> PlacementReply | Failure:
            self._pending_by_number.pop(number, None)
            del self._timer_by_number[number]
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

    def _on_waiting(self, notice: WaitingNotice, _address: str) -> None:
        for number in notice.numbers:
            timer = self._timer_by_number.get(number)
            if timer is not None:
                timer.restart(WAITING_TIMEOUT_S)

    def _withdraw(self, aggregator: Member, number: int) -> None:
        own_id = self._gossip.members.identity.id
        self._gossip.send_to([aggregator.address], PlacementWithdrawal(own_id, number))

    def _expire(self, aggregator: Member, number: int) -> None:
        waiting = self._pending_by_number.get(number)
        if waiting is not None:
            log.info(
                "aggregator {} has not answered a placement query in time; "
                "placing the call here",
                aggregator.id,
            )
            self._withdraw(aggregator, number)
            waiting.errback(NoPlacementError("the aggregator did not answer in time"))


class _PeerCall(NamedTuple):
    permit: Permit
    request: PlacementRequest
    placed_at: float


class _WaitingPeerCall(NamedTuple):
    pending: Deferred[Permit]
    address: str


class PlacementServer:
    """Places calls for other gateways and releases their permits when they end.

    ``place`` places a call, possibly after a wait, or fails with
    :class:`NotAdmittedError`; it returns None for an unknown service. ``release``
    releases the permit of a call that has ended. ``give_back_quota`` is called for a
    call that was placed and never sent. ``is_queue_used`` returns whether the
    calls of a service may wait.
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
        is_queue_used: Callable[[ServiceName], bool],
        give_back_quota: Callable[[PlacementRequest], None],
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._place = place
        self._is_queue_used = is_queue_used
        self._release = release
        self._give_back_quota = give_back_quota
        self._placed_by_sender: dict[MemberId, dict[int, _PeerCall]] = {}
        self._waiting_by_sender: dict[MemberId, dict[int, _WaitingPeerCall]] = {}
        self._notice_task = PeriodicTask(reactor, self._repeat_notices, "wait notices")
        gossip.on_datagram(PlacementQuery, self._on_query)
        gossip.on_datagram(PlacementWithdrawal, self._on_withdrawal)

    def stop(self) -> None:
        """Stop the periodic task."""
        self._notice_task.stop()

    def retain_senders(self, senders: Iterable[MemberId]) -> None:
        """End the calls of gateways other than ``senders``, which have left."""
        retained = set(senders)
        for sender in self._waiting_by_sender.keys() - retained:
            for number in list(self._waiting_by_sender[sender]):
                self._on_withdrawal(PlacementWithdrawal(sender, number), "")
        for sender in self._placed_by_sender.keys() - retained:
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
        if self._is_duplicate(query):
            log.info("ignoring a repeated placement query of {}", query.sender)
            return
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
        waiting = self._waiting_by_sender.setdefault(query.sender, {})
        waiting[number] = _WaitingPeerCall(pending, address)
        pending.addBoth(self._wait_over, query)
        pending.addCallback(self._placed, query, placement_request, address)
        pending.addErrback(self._refused, number, address)
        # A Deferred that waits for another one counts as called.
        is_waiting = number in self._waiting_by_sender.get(query.sender, {})
        if is_waiting and self._is_queue_used(query.service):
            self._gossip.send_to([address], self._notice([number]))
            if not self._notice_task.is_running:
                self._notice_task.start(WAITING_NOTICE_PERIOD_S)

    def _is_duplicate(self, query: PlacementQuery) -> bool:
        """Whether the network has delivered a query twice."""
        return query.number in self._waiting_by_sender.get(
            query.sender, {}
        ) or query.number in self._placed_by_sender.get(query.sender, {})

    def _notice(self, numbers: list[int]) -> WaitingNotice:
        return WaitingNotice(self._gossip.members.identity.id, numbers)

    def _repeat_notices(self) -> None:
        if not self._waiting_by_sender:
            self._notice_task.stop()
        for calls in self._waiting_by_sender.values():
            address = next(iter(calls.values())).address
            numbers = list(calls)
            for begin in range(0, len(numbers), CALLS_PER_NOTICE):
                notice = self._notice(numbers[begin : begin + CALLS_PER_NOTICE])
                self._gossip.send_to([address], notice)

    def _wait_over(self, result: Any, query: PlacementQuery) -> Any:
        calls = self._waiting_by_sender.get(query.sender, {})
        if calls.pop(query.number, None) is not None and not calls:
            del self._waiting_by_sender[query.sender]
        return result

    def _on_withdrawal(self, withdrawal: PlacementWithdrawal, _address: str) -> None:
        calls = self._waiting_by_sender.get(withdrawal.sender, {})
        call = calls.get(withdrawal.number)
        if call is not None:
            call.pending.cancel()
            return
        placed = self._placed_by_sender.get(withdrawal.sender, {})
        unsent = placed.get(withdrawal.number)
        if unsent is not None:
            self._end(withdrawal.sender, withdrawal.number, AnswerKind.CANCELLED, 0)
            self._give_back_quota(unsent.request)

    def _placed(
        self,
        permit: Permit,
        query: PlacementQuery,
        request: PlacementRequest,
        address: str,
    ) -> None:
        calls = self._placed_by_sender.setdefault(query.sender, {})
        calls[query.number] = _PeerCall(permit, request, self._reactor.seconds())
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
        if failure.check(CancelledError):
            return
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
