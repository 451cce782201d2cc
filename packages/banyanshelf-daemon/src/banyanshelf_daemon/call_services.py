"""What the calls of one daemon share."""

from __future__ import annotations

import random
import re
from collections.abc import Callable
from typing import Any

from banyanshelf_core.crash_guard import CrashGuard
from banyanshelf_core.errors import RequestError
from banyanshelf_core.messages import CrashClear, CrashMark
from banyanshelf_core.model import Broadcast, MemberId, Upstream, UpstreamId
from banyanshelf_core.retry import RetryPolicy
from banyanshelf_core.text import Protection, Service
from banyanshelf_daemon.decision_log import DecisionLog
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
from banyanshelf_daemon.metrics import Metrics, metric_name
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.upstream_pool import UpstreamPool

# One refused connection may be a restart; further ones within this time are a signal.
REFUSAL_WINDOW_S = 2.0
REFUSALS_BEFORE_NOTICE = 2
POOL_SWEEP_INTERVAL_S = 10.0

_LOAD_REPORT = re.compile(rb"\s*in_flight=(\d{1,6})\s*,\s*slots=(\d{1,6})\s*")


class ServiceState:
    """Retry rules and metric names of one service under one version of the text."""

    def __init__(self, name: str, service: Service) -> None:
        self.service = service
        self.policy = RetryPolicy(service)
        metric = metric_name(name)
        self.count_metric = f"call.{metric}.count"
        self.time_metric = f"call.{metric}.time"
        self.added_metric = f"call.{metric}.added"
        self.status_metric = f"call.{metric}.status."
        self.attempt_metric = f"attempt.{metric}."
        self.retry_metric = f"retry.{metric}"
        self.hedge_metric = f"hedge.{metric}"
        self.name_bytes = name.encode()


class CallServices:
    """Neighbours, connections and protective state of the data path."""

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
    ) -> None:
        self.reactor = reactor
        self.now: Callable[[], float] = reactor.seconds
        self.permits = permits
        self.claims = claims
        self.log = log
        self.metrics = metrics
        self.start_id = f"{rng.getrandbits(48):012x}"
        self.crash_guard = CrashGuard(settings.member_id, self.start_id)
        self._configuration = configuration
        self._directory = directory
        self._members = members
        self._network = network
        self._state_by_service: dict[str, ServiceState] = {}
        self._pool_by_upstream: dict[UpstreamId, UpstreamPool] = {}
        self._refusals_by_upstream: dict[UpstreamId, list[float]] = {}
        self._note_load_report = getattr(permits, "note_load_report", None)
        self._sweep_call: Any = None
        network.subscribe(CrashMark, self._receive_mark)
        network.subscribe(CrashClear, self._receive_clear)
        directory.on_upstreams_change(self._drop_unknown_pools)

    def active(self) -> ActiveText | None:
        """Return the text in effect."""
        return self._configuration.active()

    def state_for(self, service_name: str, service: Service) -> ServiceState:
        """Return the state of a service; a changed text gives it a new budget."""
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
        """Return the connections to an upstream."""
        pool = self._pool_by_upstream.get(upstream.id)
        if pool is None or pool.upstream.address != upstream.address:
            if pool is not None:
                pool.close_idle()
            pool = self._pool_by_upstream[upstream.id] = UpstreamPool(
                self.reactor,
                upstream,
                lambda: self._connection_share(upstream.service),
                self._connection_event,
            )
            if self._sweep_call is None:
                self._sweep_call = self.reactor.callLater(
                    POOL_SWEEP_INTERVAL_S, self._sweep
                )
        return pool

    def attempt_cut(self, upstream_id: UpstreamId, fingerprint: str | None) -> None:
        """Note that an upstream cut the connection of a call before its answer."""
        self.metrics.count("signal.cut")
        self._guard_cut(upstream_id, fingerprint)

    def attempt_answered(self, upstream_id: UpstreamId, head: AnswerHead) -> None:
        """Read the signals in the head of an answer."""
        for lower, _, value in head.headers:
            if not lower.startswith(b"upstream-"):
                continue
            if lower == b"upstream-load" and self._note_load_report is not None:
                report = _LOAD_REPORT.fullmatch(value)
                if report is not None:
                    self._note_load_report(
                        upstream_id, int(report.group(1)), int(report.group(2))
                    )
            elif lower == b"upstream-state" and value.strip().lower() == b"draining":
                self.metrics.count("signal.draining")
                self._directory.report_leaving(upstream_id, "draining")

    def broadcast(self, effects: list[Broadcast]) -> None:
        """Send the effects of the crash guard."""
        for effect in effects:
            self._network.broadcast(effect.message)

    def stop(self) -> None:
        """Close idle connections and stop the timer, for use at the end."""
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
        self._guard_cut(upstream_id, None)
        if kind == "closed":
            return
        now = self.now()
        times = self._refusals_by_upstream.setdefault(upstream_id, [])
        times[:] = [time for time in times if now - time <= REFUSAL_WINDOW_S]
        times.append(now)
        if len(times) >= REFUSALS_BEFORE_NOTICE:
            del self._refusals_by_upstream[upstream_id]
            self.log.event("upstream_refuses", upstream=upstream_id)
            self._directory.report_leaving(upstream_id, "connections refused")

    def _guard_cut(self, upstream_id: UpstreamId, fingerprint: str | None) -> None:
        effects = self.crash_guard.connection_cut(
            upstream_id, self.now(), self._protection(), fingerprint
        )
        if effects:
            self.log.warning(
                "crash_marked", upstream=upstream_id, requests=len(effects)
            )
            self.broadcast(effects)

    def _protection(self) -> Protection:
        active = self.active()
        return active.text.protection if active else Protection()

    def _receive_mark(self, _sender: MemberId, mark: CrashMark) -> None:
        self.crash_guard.receive_mark(mark, self.now(), self._protection())

    def _receive_clear(self, _sender: MemberId, clear: CrashClear) -> None:
        self.crash_guard.receive_clear(clear)

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


class CallContext:
    """What a trusted caller, or nobody, says about a call."""

    __slots__ = ("caller_service", "deadline_s", "depth")

    def __init__(self) -> None:
        self.caller_service = ""
        self.depth = 0
        self.deadline_s: float | None = None

    @classmethod
    def from_request(cls, request: Request) -> CallContext:
        """Read the internal headers; raises :class:`RequestError` if malformed."""
        context = cls()
        values = request.value_by_name
        context.caller_service = values.get(b"banyanshelf-caller-service", b"").decode(
            "utf-8", "replace"
        )
        context.depth = _number(values, b"banyanshelf-depth") or 0
        deadline_ms = _number(values, b"banyanshelf-deadline-ms")
        if deadline_ms is not None:
            context.deadline_s = deadline_ms / 1000
        return context


NO_CONTEXT = CallContext()


def _number(values: dict[bytes, bytes], name: bytes) -> int | None:
    value = values.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise RequestError(400, f"malformed {name.decode()}; send one decimal number")
    return int(value)
