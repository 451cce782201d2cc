"""Entry point of the data path: matches requests to routes and starts calls."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from banyanshelf_core.errors import (
    RequestError,
    UpstreamAnswerError,
    UpstreamError,
)
from banyanshelf_core.matching import RequestMatcher, RouteDecision
from banyanshelf_core.model import Outcome, Upstream
from banyanshelf_daemon.call_services import CallServices
from banyanshelf_daemon.claimed_call import ClaimedCall
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.dialect import Dialect, Refusal
from banyanshelf_daemon.exchange import Exchange
from banyanshelf_daemon.http_message import AnswerHead, Request
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ClaimService,
    ConfigurationSource,
    MembershipSource,
    PeerNetwork,
    PermitService,
    UpstreamDirectory,
)
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.running_call import RunningCall
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.upstream_client import UpstreamConnection
from banyanshelf_daemon.upstream_pool import PoolRules

PROBE_TIMEOUT_S = 1.0
# A kept connection may have gone silent without its upstream. After this time the probe
# is sent on a new one, which also shows soon whether the host is down.
KEPT_PROBE_TIMEOUT_S = 0.3
# Retry-After until a configuration text has arrived from the store or a peer.
STARTUP_RETRY_AFTER_S = 1.0


class CallHandler:
    """Serves the calls of all listeners of one daemon.

    Example:
        ``CallerServerFactory(handler, settings, trust_internal_headers=False)`` is the
        factory of the callers' listener.

    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        configuration: ConfigurationSource,
        permits: PermitService,
        claims: ClaimService,
        directory: UpstreamDirectory,
        members: MembershipSource,
        network: PeerNetwork,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
        dialect: Dialect | None = None,
        pool_rules: PoolRules | None = None,
    ) -> None:
        self.reactor = reactor
        self.services = CallServices(
            reactor,
            settings,
            configuration,
            permits,
            claims,
            directory,
            members,
            network,
            rng,
            log,
            metrics,
            dialect,
            pool_rules,
        )
        self._rng = rng
        self._matcher: RequestMatcher | None = None
        self._matcher_text: ActiveText | None = None
        self._calls = 0

    def start(
        self, request: Request, exchange: Exchange, *, trust_internal_headers: bool
    ) -> None:
        """Serve a request; ``exchange.call`` is set while the call is in progress."""
        self._calls += 1
        request_id = self.services.dialect.request_id(request)
        if not request_id:
            request_id = f"{self.services.start_id}-{self._calls:x}"
        active = self.services.active()
        if active is None:
            self._answer_refusal(
                exchange,
                RequestError(503, "this gateway has no configuration text yet"),
                request_id,
                STARTUP_RETRY_AFTER_S,
            )
            return
        try:
            context = self.services.dialect.context(
                request, is_trusted=trust_internal_headers
            )
            matched = self._matcher_for(active).match(
                request.host, request.path, request.method, request.value_by_name
            )
            route = self.services.with_workspace(active, matched, request, context)
            if not route.idempotent:
                _check_key(request, route)
        except RequestError as error:
            retry_after_s = STARTUP_RETRY_AFTER_S if error.status == 503 else None
            self._answer_refusal(exchange, error, request_id, retry_after_s)
            return
        call_type = RunningCall if route.key is None else ClaimedCall
        call = call_type(
            self.services,
            request,
            exchange,
            route,
            active,
            context,
            request_id,
            matched,
        )
        exchange.call = call
        if call.deadline > self.services.stops_at:
            call.end_by_shutdown()
            return
        call.run()

    def refuse_calls_beyond(self, stops_at: float) -> None:
        """Refuse calls whose time limit ends later, in a shutdown."""
        self.services.stops_at = stops_at

    def refused(self, status: int, detail: str) -> None:
        """Count a request that was refused without a call."""
        self.services.metrics.count(f"request.refused.{status}")

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge of a listener with the metrics."""
        self.services.metrics.gauge(name, read)

    def probe(self, upstream: Upstream, *, is_repeated: bool = True) -> Deferred[bool]:
        """Send one health probe; the result is whether a 2xx answer came within 1 s.

        None is sent while the upstream wants no requests, and the result is False. The
        probe budget must have been checked before. With ``is_repeated``, a probe on a
        kept connection may be sent once more on a new one.
        """
        if self.services.paused_for_s(upstream):
            return succeed(False)
        active = self.services.active()
        service = active.text.services.get(upstream.service) if active else None
        path = service.probe_path if service else ""
        if not path:
            path = active.text.measuring.probe_path if active else "/"
        request = f"GET {path} HTTP/1.1\r\nHost: {upstream.address}\r\n\r\n"
        probe = _Probe(
            self.services, upstream, request.encode(), is_repeated=is_repeated
        )
        return probe.result

    def stop(self) -> None:
        """Close idle connections; called after the last call."""
        self.services.stop()

    def _answer_refusal(
        self,
        exchange: Exchange,
        error: RequestError,
        request_id: str,
        retry_after_s: float | None = None,
    ) -> None:
        self.refused(error.status, error.detail)
        self.services.log.event(
            "request refused",
            request_id=request_id,
            status=error.status,
            detail=error.detail,
        )
        exchange.answer(
            self.services.dialect.refusal(
                Refusal(
                    error.status,
                    error.detail,
                    Outcome.NOT_RUN,
                    (
                        "http_request_error"
                        if error.status < 500
                        else "proxy_internal_error"
                    ),
                    retry_after_s,
                    request_id,
                )
            )
        )

    def _matcher_for(self, active: ActiveText) -> RequestMatcher:
        if self._matcher is None or self._matcher_text is not active:
            # With a fixed offset, splits would start at the same part in each version.
            self._matcher = RequestMatcher.from_text(active.text, self._rng.random())
            self._matcher_text = active
        return self._matcher


def _check_key(request: Request, route: RouteDecision) -> None:
    """Check the idempotency key; raises :class:`RequestError` if it is unusable."""
    service = route.service
    if route.key is None:
        if route.require_key:
            raise RequestError(
                400, f"send {service.idempotency_header} with this request"
            )
        return
    if not route.key.strip():
        raise RequestError(400, f"{service.idempotency_header} is empty")
    for name in (service.idempotency_header, service.credential_header):
        lower = name.lower().encode("latin-1")
        if sum(entry[0] == lower for entry in request.headers) > 1:
            raise RequestError(400, f"repeated header {name}")


class _Probe:
    """A health probe, which is sent without a permit.

    On a kept connection it is sent once more, on a new one, if it is not answered soon
    and ``is_repeated``.
    """

    def __init__(
        self,
        services: CallServices,
        upstream: Upstream,
        request: bytes,
        *,
        is_repeated: bool,
    ) -> None:
        self.result: Deferred[bool] = Deferred()
        self._services = services
        self._upstream = upstream
        self._status = 0
        self._is_answered = False
        self._request = request
        self._connection: UpstreamConnection | None = None
        self._waiter: Deferred[UpstreamConnection] | None = None
        self._retry_timer: Any = None
        self._timer = services.reactor.callLater(PROBE_TIMEOUT_S, self._expired)
        self._pool = services.pool_for(upstream)
        connection = self._pool.take_idle_connection()
        if connection is None:
            self._send_on_new_connection()
            return
        self._send(connection)
        if connection.answer_count and is_repeated:
            self._retry_timer = services.reactor.callLater(
                KEPT_PROBE_TIMEOUT_S, self._retry
            )

    def answer_begun(self, head: AnswerHead) -> None:
        """Read the status and what the answer says of its upstream."""
        self._status = head.status
        self._is_answered = True
        if self._services.dialect.answered_by(head) not in (None, self._upstream.id):
            self._status = 0
            return
        self._services.head_received(self._upstream, head)

    def answer_data(self, data: bytes) -> None:
        """Discard a part of the body."""

    def answer_complete(self) -> None:
        """Succeed if the status is 2xx."""
        self._finish(200 <= self._status < 300)

    def answer_failed(self, error: UpstreamError) -> None:
        """Fail the probe; bytes that are no answer still show a sign of life."""
        self._is_answered = isinstance(error, UpstreamAnswerError)
        self._finish(False)

    def _send_on_new_connection(self) -> None:
        self._waiter = self._pool.wait_for_connection()
        self._waiter.addCallback(self._send)
        self._waiter.addErrback(self._refused)

    def _send(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        rules = self._services.dialect.probe_rules()
        connection.send(self._request, self, is_head=False, rules=rules)

    def _retry(self) -> None:
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None
        self._send_on_new_connection()

    def _refused(self, _failure: Failure) -> None:
        self._finish(False)

    def _expired(self) -> None:
        if self._connection is not None:
            self._connection.cancel()
        elif self._waiter is not None:
            self._waiter.cancel()
        self._finish(False)

    def _finish(self, is_alive: bool) -> None:
        for timer in (self._timer, self._retry_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if self.result.called:
            return
        if not self._is_answered:
            self._services.upstream_unanswered(self._upstream.id)
        self.result.callback(is_alive)
