"""Queues of calls that wait for room, at the gateway that places a zone's calls."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.python.failure import Failure

from banyanshelf_core.model import ServiceName
from banyanshelf_core.placement.choice import (
    NO_UPSTREAM_RETRY_AFTER_S,
    PlacementSelector,
)
from banyanshelf_core.placement.decisions import Placed, PlacementRequest, Refused
from banyanshelf_core.placement.room import (
    expected_here_s,
    find_room,
    find_room_elsewhere,
    is_full,
    is_served_here,
    service_rate,
)
from banyanshelf_core.placement.waiting_calls import (
    NO_TURN_REASON,
    WaitingCall,
    WaitingCalls,
    services_with_queue,
)
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.call_placer import CallPlacer, ChoosePlacement, Reservation
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ConfigurationSource,
    NotAdmittedError,
)
from banyanshelf_daemon.metrics import Metrics, escape_metric_name
from banyanshelf_daemon.service_loads import ServiceLoads

# Room that frees up at this gateway is used at once; this is how soon it notices the
# room that calls of other gateways leave, and calls that have lost their prospect.
REVIEW_PERIOD_S = 0.02
# The service rate is estimated again after this time, in which it changes little.
RATE_PERIOD_S = 0.05
# Other zones are considered for a call when it arrives, and again if it would be late.
# Their upstreams are asked for their load first, which takes a request.
MAX_TRIES_ELSEWHERE = 2
# With room only at upstreams that are too slow for so many calls, the others wait too.
MAX_MISFITS = 4
# Weight of a call's expected work in the mean over the calls of a service.
WORK_WEIGHT = 0.05

# The configuration has dropped the service while calls waited for it.
NOT_SERVED = Refused("service not served", NO_UPSTREAM_RETRY_AFTER_S)
# An unexpected error while a call is placed; the log has its traceback.
PLACEMENT_FAILED = Refused("placement failed", NO_UPSTREAM_RETRY_AFTER_S)

log = Logger("queue")


class _ServiceQueue:
    """The calls that wait for one service, and what each of them waits on."""

    def __init__(self, name: ServiceName, rng: random.Random) -> None:
        self.metric = f"queue.{escape_metric_name(name)}"
        self.calls = WaitingCalls(rng)
        self.waiting_by_call: dict[WaitingCall, Deferred[Reservation]] = {}
        self.work_s = 0.0
        self.per_s = 0.0
        self.is_serving_soon = False
        self.rated_at = -math.inf

    def note_work(self, work_s: float) -> None:
        """Update the mean expected work of the calls."""
        if not self.work_s:
            self.work_s = work_s
        self.work_s += WORK_WEIGHT * (work_s - self.work_s)


class CallQueues:
    """Places calls when room frees up, in the order of :class:`FairOrder`.

    There is one queue per service and zone, at the gateway that places the calls of
    all: one that saw a part of the demand could not tell when a call has its turn.

    Example:
        ``queues.place(service_name, selector, request)`` fires with a
        :class:`Reservation` or fails with :class:`NotAdmittedError`; cancelling it
        withdraws the call.

    """

    def __init__(
        self,
        reactor: Any,
        placer: CallPlacer,
        loads: ServiceLoads,
        configuration: ConfigurationSource,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._placer = placer
        self._loads = loads
        self._configuration = configuration
        self._rng = rng
        self._metrics = metrics
        self._active: ActiveText | None = None
        self._enabled: set[ServiceName] = set()
        self._queue_by_service: dict[ServiceName, _ServiceQueue] = {}
        self._review_task = PeriodicTask(reactor, self._review_all, "call queue")
        metrics.gauge("queue.waiting", self.waiting_count)

    def stop(self) -> None:
        """Stop the periodic task."""
        self._review_task.stop()

    def is_enabled(self, service_name: ServiceName) -> bool:
        """Whether the calls of a service wait for room."""
        return self.is_used() and service_name in self._enabled

    def is_used(self) -> bool:
        """Whether the calls of any service wait for room."""
        active = self._configuration.active()
        if active is not self._active:
            self._active = active
            self._enabled = (
                set() if active is None else services_with_queue(active.text)
            )
        return bool(self._enabled)

    def waiting_count(self) -> int:
        """Return the number of calls that wait at this gateway."""
        return sum(len(each.calls) for each in self._queue_by_service.values())

    def waiting_for(self, service_name: ServiceName) -> int:
        """Return the number of calls that wait at this gateway for one service."""
        queue = self._queue_by_service.get(service_name)
        return 0 if queue is None else len(queue.calls)

    def place(
        self,
        service_name: ServiceName,
        selector: PlacementSelector,
        request: PlacementRequest,
    ) -> Deferred[Reservation]:
        """Place a call at once, let it wait for room or refuse it."""
        queue = self._queue_by_service.get(service_name)
        if queue is None:
            queue = _ServiceQueue(service_name, self._rng)
            self._queue_by_service[service_name] = queue
        if request.only_idle:
            if len(queue.calls):
                return fail(NotAdmittedError("other calls wait for room", 0.0))
            return self._placer.place(selector, request)
        now = self._reactor.seconds()
        if not is_served_here(now, selector, request):
            return self._placer.place(selector, request)
        call = queue.calls.add(now, request)
        result: Deferred[Reservation] = Deferred(
            lambda _deferred: self._withdraw(queue, call)
        )
        queue.waiting_by_call[call] = result
        queue.note_work(
            selector.estimate.expected_work_s(request.work_class, request.target - now)
        )
        if len(queue.calls) > 1:
            self._serve(queue, selector)
        else:
            self._place_now(queue, selector, call, may_be_late=False)
        if call in queue.calls and not self._review_task.is_running:
            self._review_task.start(REVIEW_PERIOD_S)
        return result

    def room_freed(self, service_name: ServiceName) -> None:
        """Give the room that a call has left to the next one."""
        queue = self._queue_by_service.get(service_name)
        if queue is not None and len(queue.calls) and not queue.is_serving_soon:
            # Ends of calls arrive in batches, whose room is given away in one go.
            queue.is_serving_soon = True
            self._reactor.callLater(0, self._serve_service, service_name)

    def _serve_service(self, service_name: ServiceName) -> None:
        queue = self._queue_by_service.get(service_name)
        selector = self._loads.selector_by_service.get(service_name)
        if queue is not None and selector is not None:
            queue.is_serving_soon = False
            self._serve(queue, selector)

    def _review_all(self) -> None:
        for name, queue in list(self._queue_by_service.items()):
            selector = self._loads.selector_by_service.get(name)
            if selector is None:
                del self._queue_by_service[name]
                for call in list(queue.waiting_by_call):
                    self._refuse(queue, call, NOT_SERVED)
            elif len(queue.calls):
                self._serve(queue, selector)
                self._review(queue, selector)
        if not self.waiting_count():
            self._review_task.stop()

    def _rate(self, queue: _ServiceQueue, selector: PlacementSelector) -> float:
        """Return the calls per second for which this queue can count on room."""
        now = self._reactor.seconds()
        if now >= queue.rated_at + RATE_PERIOD_S:
            queue.rated_at = now
            queue.per_s = service_rate(now, selector, queue.work_s)
        return queue.per_s

    def _serve(self, queue: _ServiceQueue, selector: PlacementSelector) -> None:
        """Place waiting calls while there is room."""
        now = self._reactor.seconds()
        if is_full(now, selector):
            return
        turns = queue.calls.turns(
            now, self._rate(queue, selector), _service_time(now, selector)
        )
        in_time = set(turns.in_time)
        # A call without a prospect of a turn still gets room that is free now.
        hopeless = [call for call, _ in turns.refused]
        misfits = 0
        for call in [*turns.in_time, *turns.late, *hopeless]:
            if call.is_held or call not in queue.calls:
                continue
            may_be_late = call not in in_time
            if not self._place_now(queue, selector, call, may_be_late=may_be_late):
                misfits += 1
            if misfits == MAX_MISFITS or is_full(now, selector):
                return

    def _place_now(
        self,
        queue: _ServiceQueue,
        selector: PlacementSelector,
        call: WaitingCall,
        *,
        may_be_late: bool,
    ) -> bool:
        """Place a call in the local zone if there is room for it."""
        now = self._reactor.seconds()
        first = find_room(now, selector, call.request, may_be_late=may_be_late)
        if first is None:
            return False

        known = [first]

        def choose(at: float, request: PlacementRequest) -> Placed | Refused:
            if known:
                return known.pop()
            found = find_room(at, selector, request, may_be_late=may_be_late)
            return found or Refused(NO_TURN_REASON, 0.0)

        self._try(queue, selector, call, choose)
        return True

    def _review(self, queue: _ServiceQueue, selector: PlacementSelector) -> None:
        """Look for room elsewhere for calls that are not in time here, or refuse."""
        now = self._reactor.seconds()
        per_s = self._rate(queue, selector)
        service_s = _service_time(now, selector)
        turns = queue.calls.turns(now, per_s, service_s)
        # Each loan may serve calls that have found no room before.
        has_loan = selector.loans.has_calls_left(now)
        for place, call in enumerate([*turns.in_time, *turns.late]):
            most_tries = 1 if place < len(turns.in_time) else MAX_TRIES_ELSEWHERE
            if call.tries_elsewhere < most_tries or has_loan:
                self._try_elsewhere(queue, selector, call, _wait_s(place, per_s))
        places = len(turns.in_time) + len(turns.late)
        for call, refused in turns.refused:
            if call.tries_elsewhere < MAX_TRIES_ELSEWHERE or has_loan:
                self._try_elsewhere(queue, selector, call, _wait_s(places, per_s))
            if not call.is_held:
                self._refuse(queue, call, refused)

    def _try_elsewhere(
        self,
        queue: _ServiceQueue,
        selector: PlacementSelector,
        call: WaitingCall,
        wait_s: float,
    ) -> None:
        """Place a call in another zone if it is much more likely to be in time."""
        if call.is_held or call not in queue.calls:
            return
        now = self._reactor.seconds()
        call.tries_elsewhere += 1
        local_s = expected_here_s(now, selector, call.request, wait_s)

        def choose(at: float, request: PlacementRequest) -> Placed | Refused:
            return find_room_elsewhere(at, selector, request, local_s=local_s)

        if isinstance(choose(now, call.request), Placed):
            self._try(queue, selector, call, choose)

    def _try(
        self,
        queue: _ServiceQueue,
        selector: PlacementSelector,
        call: WaitingCall,
        choose: ChoosePlacement,
    ) -> None:
        """Place a call at the upstream that ``choose`` returns."""
        call.is_held = True
        pending: Deferred[Reservation] = maybeDeferred(
            self._placer.place, selector, call.request, choose
        )
        pending.addCallbacks(
            lambda reservation: self._placed(queue, selector, call, reservation),
            lambda failure: self._not_placed(queue, call, failure),
        )
        pending.addErrback(
            lambda failure: log.error("queue failed: {}", failure.getTraceback())
        )

    def _placed(
        self,
        queue: _ServiceQueue,
        selector: PlacementSelector,
        call: WaitingCall,
        reservation: Reservation,
    ) -> None:
        now = self._reactor.seconds()
        result = queue.waiting_by_call.pop(call, None)
        if result is None:
            # The call was withdrawn while its placement was tried.
            selector.withdraw_call(now, reservation.found)
            return
        queue.calls.remove(now, call, is_served=True)
        priority = call.request.priority
        self._metrics.count(f"{queue.metric}.placed.{priority}")
        self._metrics.timing(f"{queue.metric}.wait", (now - call.arrived) * 1000)
        result.callback(reservation)

    def _not_placed(
        self, queue: _ServiceQueue, call: WaitingCall, failure: Failure
    ) -> None:
        call.is_held = False
        if failure.check(NotAdmittedError):
            # The room was taken or limits are used up: the call waits for its turn, and
            # the next review refuses it if it has none in time.
            return
        log.error("cannot place a queued call: {}", failure.getTraceback())
        self._refuse(queue, call, PLACEMENT_FAILED)

    def _refuse(
        self, queue: _ServiceQueue, call: WaitingCall, refused: Refused
    ) -> None:
        result = queue.waiting_by_call.pop(call, None)
        if result is None:
            return
        now = self._reactor.seconds()
        queue.calls.remove(now, call, is_served=False)
        self._metrics.count(f"{queue.metric}.refused.{call.request.priority}")
        log.info(
            "refused a call of priority {} of workspace {!r} after {:.0f} ms in the "
            "queue, {} calls wait: {}",
            call.request.priority,
            call.request.workspace,
            (now - call.arrived) * 1000,
            len(queue.calls),
            refused.reason,
        )
        result.errback(NotAdmittedError(refused.reason, refused.retry_after_s))

    def _withdraw(self, queue: _ServiceQueue, call: WaitingCall) -> None:
        if queue.waiting_by_call.pop(call, None) is not None:
            queue.calls.remove(self._reactor.seconds(), call, is_served=False)
            self._metrics.count(f"{queue.metric}.withdrawn.{call.request.priority}")


def _wait_s(ahead: int, per_s: float) -> float:
    return (ahead + 1) / per_s if per_s > 0 else math.inf


def _service_time(
    now: float, selector: PlacementSelector
) -> Callable[[PlacementRequest], float]:
    """Return the service time of calls at an upstream of normal speed.

    Calls wait for such an upstream, as the speed of each one changes quickly.
    """
    known: dict[str, float] = {}

    def service_s(request: PlacementRequest) -> float:
        found = known.get(request.work_class)
        if found is None:
            work_s = selector.estimate.expected_work_s(
                request.work_class, request.target - now
            )
            found = selector.pace.service_s(work_s, 1.0, 0.0)
            known[request.work_class] = found
        return found

    return service_s
