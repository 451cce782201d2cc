"""Dependencies and connection pools shared by all calls of a daemon."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from typing import Any

from banyanshelf_core.caller_waits import CallerWaitEstimator
from banyanshelf_core.errors import RequestError, RequestLimitError, RetryAfterError
from banyanshelf_core.matching import RouteDecision
from banyanshelf_core.model import Upstream, UpstreamId
from banyanshelf_core.retry import RetryPolicy
from banyanshelf_core.retry_after import (
    MAX_RETURN_SPREAD,
    UpstreamPauses,
    parse_retry_after,
)
from banyanshelf_core.text import Protection, Service
from banyanshelf_core.workspaces import WorkspaceKeys
from banyanshelf_daemon.crash_sharing import CrashSharing
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.dialect import CallContext, Dialect, NativeDialect
from banyanshelf_daemon.http_message import Answer, AnswerHead, Request
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ClaimService,
    ConfigurationSource,
    MembershipSource,
    PeerNetwork,
    PermitService,
    UpstreamDirectory,
)
from banyanshelf_daemon.metrics import Metrics, escape_metric_name
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.upstream_pool import PoolRules, UpstreamPool

# A single refused connection may be a restart. REFUSALS_BEFORE_NOTICE of them within
# this time mean that the upstream is leaving.
REFUSAL_WINDOW_S = 2.0
REFUSALS_BEFORE_NOTICE = 2
POOL_SWEEP_INTERVAL_S = 10.0
# An upstream whose load report is newer has not gone silent. Under overload, this saves
# a health check for each call that expires.
RECENT_REPORT_S = 0.2


class ServiceState:
    """Retry policy and metric names of one service for one version of its settings."""

    def __init__(self, name: str, service: Service) -> None:
        self.service = service
        self.policy = RetryPolicy(service)
        metric = escape_metric_name(name)
        self.count_metric = f"call.{metric}.count"
        self.time_metric = f"call.{metric}.time"
        self.added_metric = f"call.{metric}.added"
        self.status_metric = f"call.{metric}.status."
        self.attempt_metric = f"attempt.{metric}."
        self.retry_metric = f"retry.{metric}"
        self.hedge_metric = f"hedge.{metric}"
        self.name_bytes = name.encode()


class CallServices:
    """What calls need: other components, connection pools and crash records."""

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
        self._pool_rules = pool_rules or PoolRules()
        self.dialect = dialect or NativeDialect()
        self.now: Callable[[], float] = reactor.seconds
        # Calls that may last longer are refused.
        self.stops_at = math.inf
        self.permits = permits
        self.claims = claims
        self.log = log
        self.metrics = metrics
        self.start_id = f"{rng.getrandbits(48):012x}"
        self.caller_waits = CallerWaitEstimator()
        self.crashes = CrashSharing(
            reactor,
            settings.member_id,
            self.start_id,
            self._protection,
            network,
            log,
            metrics,
        )
        self._configuration = configuration
        self._directory = directory
        self._members = members
        self._state_by_service: dict[str, ServiceState] = {}
        self._pool_by_upstream: dict[UpstreamId, UpstreamPool] = {}
        self._refusals_by_upstream: dict[UpstreamId, list[float]] = {}
        self._note_load_report = getattr(permits, "note_load_report", None)
        self._note_cold = getattr(permits, "note_cold", None)
        self._note_pause = getattr(permits, "note_pause", None)
        self._pauses = UpstreamPauses()
        self._rng = rng
        self._unix_time = time.time
        self._note_request_limit = getattr(permits, "note_request_limit", None)
        self._check_health = getattr(permits, "check_health", None)
        self._heard_at = getattr(permits, "heard_at", None)
        self._sweep_call: Any = None
        # Whether a key that was taken away some time ago would be refused by now
        self.are_keys_current: Callable[[], bool] = lambda: True
        self._keys: WorkspaceKeys | None = None
        self._keys_text: ActiveText | None = None
        directory.on_upstreams_change(self._drop_unknown_pools)

    def active(self) -> ActiveText | None:
        """Return the active configuration text."""
        return self._configuration.active()

    def with_workspace(
        self,
        active: ActiveText,
        route: RouteDecision,
        request: Request,
        context: CallContext,
    ) -> RouteDecision:
        """Return the route with the workspace of the request, by the active text.

        Raises :class:`RequestError` with 401 if the request needs a key and its own is
        unknown, and with 503 if its key may have been taken away since.
        """
        if self._keys is None or self._keys_text is not active:
            self._keys = WorkspaceKeys.from_text(active.text)
            self._keys_text = active
        if context.is_backend_server:
            return self._keys.assign(route, context.workspace)
        route = self._keys.admit(route, self.dialect.workspace_key(request))
        if route.workspace and not self.are_keys_current():
            raise RequestError(
                503, "this gateway cannot tell whether the key is still valid"
            )
        return route

    def state_for(self, service_name: str, service: Service) -> ServiceState:
        """Return the state of a service; changed settings start a new retry budget."""
        state = self._state_by_service.get(service_name)
        if state is None or state.service is not service:
            if state is not None and state.service == service:
                state.service = service
                return state
            state = self._state_by_service[service_name] = ServiceState(
                service_name, service
            )
        return state

    def pool_for(self, upstream: Upstream) -> UpstreamPool:
        """Return the connection pool of an upstream."""
        pool = self._pool_by_upstream.get(upstream.id)
        if pool is None or pool.upstream.address != upstream.address:
            if pool is not None:
                pool.close_idle()
            pool = self._pool_by_upstream[upstream.id] = UpstreamPool(
                self.reactor,
                upstream,
                lambda: self._connection_share(upstream.service),
                self._connection_event,
                self._pool_rules,
            )
            if self._sweep_call is None:
                self._sweep_call = self.reactor.callLater(
                    POOL_SWEEP_INTERVAL_S, self._sweep
                )
        return pool

    def attempt_cut(
        self, upstream_id: UpstreamId, fingerprint: str, request_id: str
    ) -> None:
        """Handle a connection that was closed before its answer was complete."""
        self.metrics.count("signal.cut")
        self.crashes.record_cut(upstream_id, fingerprint, request_id)

    def attempt_silent(
        self, upstream: Upstream, fingerprint: str, request_id: str, sent_at: float
    ) -> None:
        """Handle a request that was sent and got no byte of an answer in time.

        A health check shows whether the upstream is merely slow.
        """
        if self.now() - self._last_heard_at(upstream.id) < RECENT_REPORT_S:
            return
        self.crashes.record_silence(upstream, fingerprint, request_id, sent_at)
        if self._check_health is not None:
            self._check_health(upstream)

    def upstream_unanswered(self, upstream_id: UpstreamId) -> None:
        """Handle a connection attempt or a health check without any answer."""
        heard_at = self._last_heard_at(upstream_id)
        self.crashes.record_unanswered_check(upstream_id, heard_at)

    def _last_heard_at(self, upstream_id: UpstreamId) -> float:
        if self._heard_at is None:
            return -math.inf
        return float(self._heard_at(upstream_id))

    def head_received(self, upstream: Upstream, head: AnswerHead) -> None:
        """Read what the head of an answer to a call or a probe says of its upstream.

        ``upstream`` is the one that the request was sent to. If it has been started
        again since, the answer says nothing of its present incarnation.
        """
        upstream_id = upstream.id
        listed = self._directory.upstreams_by_id(upstream.service).get(upstream_id)
        if listed is not None and listed.incarnation != upstream.incarnation:
            self.metrics.count("signal.outdated")
            return
        if self.dialect.is_misdirected(head):
            self.metrics.count("signal.misdirected")
            self._directory.report_leaving(upstream_id, "another instance answered")
            return
        self.crashes.guard.record_upstream_answer(upstream_id)
        self._note_limit(upstream_id, head)
        self._note_load(upstream_id, head)
        self._read_pause(upstream, head)
        self._read_cold(upstream, head)
        if self.dialect.is_draining(head):
            self.metrics.count("signal.draining")
            self._directory.report_leaving(upstream_id, "draining")

    def _note_load(self, upstream_id: UpstreamId, head: AnswerHead) -> None:
        if self._note_load_report is None:
            return
        report = self.dialect.load_report(head)
        if report is not None:
            self._note_load_report(upstream_id, report)

    def _read_pause(self, upstream: Upstream, head: AnswerHead) -> None:
        pause_s = self.retry_after_s(head, upstream.id)
        if not pause_s:
            return
        self.metrics.count("signal.paused")
        self._pauses.note(upstream, self.now() + pause_s)
        if self._note_pause is not None:
            self._note_pause(upstream, pause_s)

    def _read_cold(self, upstream: Upstream, head: AnswerHead) -> None:
        cold_s = self.dialect.cold_s(head)
        if cold_s is not None and self._note_cold is not None:
            self._note_cold(upstream, cold_s)

    def paused_for_s(self, upstream: Upstream) -> float:
        """Return for how long an upstream has asked this gateway for no requests."""
        return max(0.0, self._pauses.until(upstream) - self.now())

    def spread_return_s(self, wait_s: float) -> float:
        """Return when a caller may return, so that not all do as a pause ends."""
        return wait_s * (1 + self._rng.uniform(0.0, MAX_RETURN_SPREAD))

    def retry_after_s(
        self, head: Answer | AnswerHead, upstream_id: UpstreamId
    ) -> float | None:
        """Return the readable ``Retry-After`` of a refusal, in seconds."""
        value = self.dialect.retry_after(head)
        if value is None:
            return None
        try:
            return parse_retry_after(value, self._unix_time())
        except RetryAfterError as error:
            self.metrics.count("signal.malformed_retry_after")
            self.log.warning(
                "retry-after ignored", upstream=upstream_id, detail=str(error)
            )
            return None

    def _note_limit(self, upstream_id: UpstreamId, head: AnswerHead) -> None:
        if self._note_request_limit is None:
            return
        try:
            limit = self.dialect.request_limit(head)
        except RequestLimitError as error:
            self.metrics.count("signal.malformed_limit")
            self.log.warning(
                "request limit ignored", upstream=upstream_id, detail=str(error)
            )
            return
        # An error answer may come from a part of the server that states no limits.
        if limit is not None or head.status < 500:
            self._note_request_limit(upstream_id, limit)

    def stop(self) -> None:
        """Close idle connections and cancel the pool timer."""
        if self._sweep_call is not None:
            self._sweep_call.cancel()
            self._sweep_call = None
        for pool in self._pool_by_upstream.values():
            pool.close_idle()

    def _connection_share(self, service_name: str) -> int:
        active = self.active()
        service = active.text.services.get(service_name) if active else None
        total = service.connections_per_upstream if service else 1
        return max(1, total // max(1, len(self._members.members_by_id())))

    def _connection_event(self, upstream_id: UpstreamId, kind: str) -> None:
        if kind == "connected":
            self._refusals_by_upstream.pop(upstream_id, None)
            return
        self.metrics.count(f"signal.{kind}")
        if kind == "surplus":
            self.log.event("surplus bytes", upstream=upstream_id)
            return
        self.crashes.record_cut(upstream_id)
        if kind == "closed":
            return
        self.upstream_unanswered(upstream_id)
        now = self.now()
        times = self._refusals_by_upstream.setdefault(upstream_id, [])
        times[:] = [time for time in times if now - time <= REFUSAL_WINDOW_S]
        times.append(now)
        if len(times) >= REFUSALS_BEFORE_NOTICE:
            del self._refusals_by_upstream[upstream_id]
            self.log.event("upstream_refuses", upstream=upstream_id)
            self._directory.report_leaving(upstream_id, "connections refused")

    def _protection(self) -> Protection:
        active = self.active()
        return active.text.protection if active else Protection()

    def _drop_unknown_pools(self) -> None:
        active = self.active()
        if active is None:
            return
        known = {
            upstream_id
            for name in active.text.services
            for upstream_id in self._directory.upstreams_by_id(name)
        }
        for upstream_id in [
            each for each in self._pool_by_upstream if each not in known
        ]:
            self._pool_by_upstream.pop(upstream_id).close_idle()
            self._refusals_by_upstream.pop(upstream_id, None)

    def _sweep(self) -> None:
        self._sweep_call = None
        now = self.now()
        for pool in self._pool_by_upstream.values():
            pool.close_idle(now)
        if self._pool_by_upstream:
            self._sweep_call = self.reactor.callLater(
                POOL_SWEEP_INTERVAL_S, self._sweep
            )
