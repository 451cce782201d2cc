"""Places one call: asks for load reports of other zones and for requests of limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, fail, succeed

from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.decisions import Placed, PlacementRequest, Refused
from banyanshelf_daemon.health_questions import HealthProber
from banyanshelf_daemon.interfaces import NotAdmittedError
from banyanshelf_daemon.request_limiter import RequestLimiter

# Load reports are not shared between zones, so an upstream of a remote zone is probed
# before it gets a call unless its report is recent: at most this often per call, with
# this maximum age of the report, and with this timeout of a probe.
MAX_REMOTE_PROBES = 2
MAX_REMOTE_REPORT_AGE_S = 0.05
REMOTE_PROBE_TIMEOUT_S = 0.015
# Limits that are asked for one call; a caller does not wait for more.
MAX_LIMIT_QUERIES = 8

ChoosePlacement = Callable[[float, PlacementRequest], Placed | Refused]


class Reservation(NamedTuple):
    """A placed call, counted at its upstream with ``PlacementSelector.start_call``."""

    found: Placed
    progress_s: float


class CallPlacer:
    """Places calls at upstreams that take them now, or refuses them.

    Example:
        ``placer.place(selector, request)`` fires with a :class:`Reservation` or fails
        with :class:`NotAdmittedError`.

    """

    def __init__(
        self, reactor: Any, prober: HealthProber, limiter: RequestLimiter
    ) -> None:
        self._reactor = reactor
        self._prober = prober
        self._limiter = limiter

    def place(
        self,
        selector: PlacementSelector,
        request: PlacementRequest,
        choose: ChoosePlacement | None = None,
    ) -> Deferred[Reservation]:
        """Place a call; most need no query and are placed at once.

        ``choose`` replaces the selector's own choice.
        """
        choose = choose or selector.choose
        found = choose(self._reactor.seconds(), request)
        if not isinstance(found, Placed):
            return fail(NotAdmittedError(found.reason, found.retry_after_s))
        if found.request_limit is None and not _is_report_missing(found):
            return succeed(self._reserve(selector, found))
        return Deferred.fromCoroutine(
            self._place_after_queries(selector, request, choose)
        )

    async def _place_after_queries(
        self,
        selector: PlacementSelector,
        request: PlacementRequest,
        choose: ChoosePlacement,
    ) -> Reservation:
        probes = queries = 0
        while True:
            if probes == MAX_REMOTE_PROBES:
                request = request._replace(
                    max_remote_report_age_s=MAX_REMOTE_REPORT_AGE_S
                )
            found = choose(self._reactor.seconds(), request)
            if not isinstance(found, Placed):
                raise NotAdmittedError(found.reason, found.retry_after_s)
            if found.request_limit is not None:
                reservation = self._reserve(selector, found)
                wait_s = await self._take(selector, found)
                if not wait_s:
                    return reservation
                queries += 1
                if queries == MAX_LIMIT_QUERIES:
                    reason = "the request limits of the upstreams are used up"
                    raise NotAdmittedError(reason, wait_s)
            elif _is_report_missing(found) and probes < MAX_REMOTE_PROBES:
                probes += 1
                await self._probe(selector, found)
            else:
                return self._reserve(selector, found)

    def _reserve(self, selector: PlacementSelector, found: Placed) -> Reservation:
        now = self._reactor.seconds()
        return Reservation(found, selector.start_call(now, found.upstream.id))

    async def _take(self, selector: PlacementSelector, found: Placed) -> float:
        """Take a request of the limit, or withdraw the call if there is none."""
        upstream_id = found.upstream.id
        is_taken = False
        try:
            wait_s = await self._limiter.take(selector.loads_by_id[upstream_id])
            is_taken = not wait_s
        finally:
            if not is_taken:
                selector.withdraw_call(self._reactor.seconds(), found)
        return wait_s

    def _probe(self, selector: PlacementSelector, found: Placed) -> Deferred[None]:
        """Probe an upstream for its load, and wait for the answer for a short time."""
        done: Deferred[None] = Deferred()
        timer = self._reactor.callLater(
            REMOTE_PROBE_TIMEOUT_S, lambda: done.called or done.callback(None)
        )

        def answered(_result: object) -> None:
            if not done.called:
                timer.cancel()
                done.callback(None)

        self._prober.probe_upstream(selector, found.upstream).addBoth(answered)
        return done


def _is_report_missing(found: Placed) -> bool:
    """Whether the load of an upstream in another zone is not known well enough."""
    is_old = found.report_age_s > MAX_REMOTE_REPORT_AGE_S
    return is_old and not (found.is_same_zone or found.is_lent)
