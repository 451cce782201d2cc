"""State of a call, and the permit requests, headers and metrics derived from it."""

from __future__ import annotations

import math
from typing import Any

from twisted.internet.defer import Deferred

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.crash_guard import request_fingerprint
from banyanshelf_core.errors import RequestError
from banyanshelf_core.matching import RouteDecision
from banyanshelf_core.model import AnswerKind, UpstreamId
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.call_services import CallServices
from banyanshelf_daemon.dialect import CallContext, OutgoingCall
from banyanshelf_daemon.exchange import Exchange
from banyanshelf_daemon.http_message import (
    Answer,
    AnswerHead,
    Header,
    Request,
    forwarded_headers,
    forwarded_request,
)
from banyanshelf_daemon.interfaces import ActiveText, Permit, PermitRequest
from banyanshelf_daemon.metrics import escape_metric_name

# A timeout counts as the upstream's failure only if the attempt had this many times the
# 95th percentile of the service time left.
ENOUGH_TIME_P95_FACTOR = 2
# Subtracted from the deadline that is passed on, so that each hop can still answer
# after the next one has timed out.
DEADLINE_MARGIN_S = 0.001


class CallState:
    """One call, with the configuration text that was active at its start.

    ``route`` has the workspace of the request and its priority, ``matched`` is the same
    route without them. ``workspace`` and ``priority`` follow later texts.
    ``_may_have_run`` is true once a byte of the request may have reached an application
    that has not stated that it did not run the request.
    """

    def __init__(
        self,
        services: CallServices,
        request: Request,
        exchange: Exchange,
        route: RouteDecision,
        active: ActiveText,
        context: CallContext,
        request_id: str,
        matched: RouteDecision,
    ) -> None:
        self.services = services
        self.request = request
        self.exchange = exchange
        self.route = route
        self.active = active
        self.request_id = request_id
        self.is_over = False
        self.started = services.now()
        timeout_s = route.timeout_s
        if context.deadline_s is not None and context.deadline_s < timeout_s:
            timeout_s = context.deadline_s
        self.deadline = self.started + timeout_s
        self.target = self._target(context)
        self._context = context
        self._matched = matched
        self.workspace = route.workspace
        self.priority = route.priority
        self._service_state = services.state_for(route.service_name, route.service)
        self._may_have_run = False
        self._used_upstreams: frozenset[UpstreamId] = frozenset()
        self._attempts: list[Attempt] = []
        self._attempt_count = 0
        # Whether the call has drawn on the quota of its workspace
        self._is_counted = False
        self._pending_permit: Deferred[Permit] | None = None
        self._pending_hedge_permit: Deferred[Permit] | None = None
        self._fallback_answer: Answer | None = None
        self._fingerprint: str | None = None
        self._hedge_at: float | None = None
        self._shortest_pause_s = math.inf
        self._has_logged_no_hedge = False
        self._timer: Any = None

    def _target(self, context: CallContext) -> float:
        """Return the target time of the answer, counted from the caller's first try."""
        route = self.route
        if not route.target_s:
            return self.started + route.timeout_s
        if context.deadline_s is None or context.depth:
            return self.started + route.target_s
        waited_s = self.services.caller_waits.waited_s(
            (route.service_name, route.path_prefix), context.deadline_s
        )
        return self.started + route.target_s - waited_s

    def now(self) -> float:
        """Return the time in seconds."""
        return self.services.now()

    def says_not_run(self, head: Answer | AnswerHead) -> bool:
        """Whether the upstream states that it did not run the call."""
        return self.services.dialect.says_not_run(head)

    def had_enough_time(self, attempt: Attempt) -> bool:
        """Whether the attempt had enough time to blame the upstream for a timeout."""
        slow_answer_s = self._service_state.policy.slow_answer_s
        return self.deadline - attempt.started >= ENOUGH_TIME_P95_FACTOR * slow_answer_s

    def acquire_permit(self, *, only_idle: bool) -> Deferred[Permit]:
        """Acquire a permit at an upstream that this call has not used yet."""
        return self.services.permits.acquire(
            self.route.service_name,
            PermitRequest(
                self.request_id,
                self._context.caller_service,
                self._context.depth,
                self.deadline,
                self.route.idempotent,
                self._used_upstreams,
                only_idle,
                self.route.path_prefix,
                self.target,
                self.priority,
                self.answer_expected_late if self.route.idempotent else None,
                self.workspace,
                not (self._is_counted or self._context.depth),
            ),
        )

    def key_problem(self) -> RequestError | None:
        """Look the key up in the newest text; return why it admits no more requests.

        A key that another workspace holds now changes ``workspace`` and ``priority``.
        """
        active = self.services.active() or self.active
        try:
            route = self.services.with_workspace(
                active, self._matched, self.request, self._context
            )
        except RequestError as error:
            return error
        self.workspace, self.priority = route.workspace, route.priority
        return None

    def serialized_request(self, upstream_id: UpstreamId) -> bytes:
        """Return the head of the request for an upstream."""
        remaining_s = self.deadline - self.now() - DEADLINE_MARGIN_S
        dialect = self.services.dialect
        call = OutgoingCall(
            self.request_id,
            max(0, int(remaining_s * 1000)),
            self._context.depth + 1,
            self._service_state.name_bytes,
            upstream_id,
            self.workspace,
        )
        return forwarded_request(
            self.request,
            dialect.upstream_fields(call),
            dialect.request_fields,
            dialect.internal_prefix,
        )

    def fingerprint(self) -> str:
        """Return the digest that identifies the request to the crash guard.

        It does not depend on the service that an entry route leads to: the request
        crashes the upstreams of each part of a split, and after a change of the route.
        """
        if self._fingerprint is None:
            request = self.request
            self._fingerprint = request_fingerprint(
                self.route.entry_host or self.route.service_name,
                request.method,
                request.target,
                request.value_by_name.get(b"content-type", b""),
                request.body.blocks(),
                len(request.body),
            )
        return self._fingerprint

    def caller_headers(self, headers: list[Header]) -> list[Header]:
        """Return the headers of an upstream's answer that are sent to the caller."""
        dialect = self.services.dialect
        kept = forwarded_headers(
            headers, dialect.answer_fields, dialect.internal_prefix
        )
        return kept + dialect.caller_fields(self.request_id)

    def report_metrics(self, status: int, service_time_s: float) -> None:
        """Report the metrics of the call; ``service_time_s`` is 0 without an answer."""
        metrics = self.services.metrics
        if not metrics.is_enabled:
            return
        total_s = self.now() - self.started
        metrics.timing(self._service_state.time_metric, total_s * 1000)
        if service_time_s:
            metrics.timing(
                self._service_state.added_metric, (total_s - service_time_s) * 1000
            )
        metrics.count(f"{self._service_state.status_metric}{status}")
        if self.workspace:
            # Only names of the operators' text occur, so that their number is bounded.
            name = escape_metric_name(self.workspace)
            metrics.count(f"workspace.{name}.status.{status}")

    def answer_expected_late(self) -> None:
        """Handle that the answer is expected after the target; does nothing here."""

    def log_outcome(
        self, status: int, attempt: Attempt | None, **fields: str | float
    ) -> None:
        """Log the result of the call."""
        if attempt is not None:
            fields["upstream"] = attempt.permit.upstream.id
            fields["service_ms"] = round(attempt.service_time_s * 1000, 1)
        if self.workspace:
            fields["workspace"] = self.workspace
        self.services.log.event(
            "answered",
            request_id=self.request_id,
            target_ms=round((self.target - self.started) * 1000, 1),
            status=status,
            attempts=self._attempt_count,
            total_ms=round((self.now() - self.started) * 1000, 1),
            **fields,
        )

    def release_unused(self, permit: Permit) -> None:
        """Release a permit that was not used."""
        self.services.permits.release(
            permit, AnswerSample(permit.upstream.id, 0, AnswerKind.CANCELLED)
        )
