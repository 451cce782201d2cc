"""One call: match, admit, send, retry, answer."""

from __future__ import annotations

import random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as DeferredFailure

from banyanshelf_core.errors import RequestError, UpstreamError
from banyanshelf_core.matching import RequestMatcher, RouteDecision
from banyanshelf_core.model import AnswerKind, Outcome, Upstream, UpstreamId
from banyanshelf_core.retry import Failure, RetryPolicy
from banyanshelf_daemon.attempt import Attempt
from banyanshelf_daemon.caller_server import Exchange
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.http_message import (
    Answer,
    AnswerHead,
    Request,
    forwarded_headers,
    forwarded_request,
    header,
)
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ClaimService,
    ConfigurationSource,
    MembershipSource,
    NotAdmittedError,
    PeerNetwork,
    Permit,
    PermitRequest,
    PermitService,
    UpstreamDirectory,
)
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.problem import problem_answer
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.upstream_pool import UpstreamPool

# Each layer leaves itself time to answer after the next one has given up.
DEADLINE_MARGIN_S = 0.001


class CallHandler:
    """Serves the calls of all listeners of one daemon."""

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
        self.settings = settings
        self.permits = permits
        self.claims = claims
        self.log = log
        self.metrics = metrics
        self._configuration = configuration
        self._directory = directory
        self._members = members
        self._network = network
        self._matcher: RequestMatcher | None = None
        self._matcher_version = -1
        self._policy_by_service: dict[str, RetryPolicy] = {}
        self._pool_by_upstream: dict[UpstreamId, UpstreamPool] = {}
        self._id_prefix = f"{rng.getrandbits(48):012x}"
        self._calls = 0

    def now(self) -> float:
        """Return the time in seconds."""
        return float(self.reactor.seconds())

    def start(
        self, request: Request, exchange: Exchange, *, trust_internal_headers: bool
    ) -> Call | None:
        """Serve a request; the result is None if it has been answered already."""
        self._calls += 1
        request_id = f"{self._id_prefix}-{self._calls:x}"
        active = self._configuration.active()
        if active is None:
            exchange.answer(
                problem_answer(
                    503,
                    "this gateway has no configuration text yet",
                    Outcome.NOT_RUN,
                    "proxy_configuration_error",
                    retry_after_s=1,
                    request_id=request_id,
                )
            )
            return None
        try:
            route = self._matcher_for(active).match(
                request.host, request.path, request.method, request.value_by_name
            )
        except RequestError as error:
            self.refused(error.status, error.detail)
            exchange.answer(
                problem_answer(
                    error.status,
                    error.detail,
                    Outcome.NOT_RUN,
                    "http_request_error",
                    request_id=request_id,
                )
            )
            return None
        call = Call(self, request, exchange, route, active, request_id)
        call.run()
        return call

    def refused(self, status: int, detail: str) -> None:
        """Count a request that was refused before routing."""
        self.metrics.count(f"request.refused.{status}")

    def policy_for(self, service_name: str, route: RouteDecision) -> RetryPolicy:
        """Return the retry rules and the budget of a service."""
        policy = self._policy_by_service.get(service_name)
        if policy is None:
            policy = self._policy_by_service[service_name] = RetryPolicy(route.service)
        return policy

    def pool_for(self, upstream: Upstream, connections: int) -> UpstreamPool:
        """Return the connections to an upstream."""
        pool = self._pool_by_upstream.get(upstream.id)
        if pool is None or pool.upstream.address != upstream.address:
            if pool is not None:
                pool.close_idle()
            pool = self._pool_by_upstream[upstream.id] = UpstreamPool(
                self.reactor,
                upstream,
                lambda: max(
                    1, connections // max(1, len(self._members.members_by_id()))
                ),
                self._upstream_trouble,
            )
        return pool

    def _upstream_trouble(self, upstream_id: UpstreamId, kind: str) -> None:
        self.metrics.count(f"upstream.{kind}")

    def _matcher_for(self, active: ActiveText) -> RequestMatcher:
        if self._matcher is None or self._matcher_version != active.version:
            self._matcher = RequestMatcher.from_text(active.text)
            self._matcher_version = active.version
        return self._matcher


class Call:
    """A call in progress."""

    def __init__(
        self,
        handler: CallHandler,
        request: Request,
        exchange: Exchange,
        route: RouteDecision,
        active: ActiveText,
        request_id: str,
    ) -> None:
        self._handler = handler
        self._request = request
        self._exchange = exchange
        self._route = route
        self._active = active
        self._request_id = request_id
        self._started = handler.now()
        self._deadline = self._started + route.timeout_s
        self._depth = 0
        self._caller_service = ""
        self._policy = handler.policy_for(route.service_name, route)
        self._used: frozenset[UpstreamId] = frozenset()
        self._attempts: list[Attempt] = []
        self._attempt_count = 0
        self._pending: Deferred[Permit] | None = None
        self._is_over = False
        self._sent = False
        self._timer = handler.reactor.callLater(route.timeout_s, self._expired)

    def now(self) -> float:
        """Return the time in seconds."""
        return self._handler.now()

    def run(self) -> None:
        """Begin with the first attempt."""
        self._policy.note_call(self._started)
        self._admit()

    def caller_gone(self) -> None:
        """Cancel an idempotent call."""
        if self._is_over or not self._route.idempotent:
            return
        self._end()

    def attempt_answered(self, attempt: Attempt, answer: Answer) -> None:
        """Take a whole answer."""
        if self._is_over:
            return
        self._policy.note_answer(attempt.service_time_s)
        self._finish(answer)

    def attempt_failed(self, attempt: Attempt, error: UpstreamError) -> None:
        """Retry if that is safe, or answer with a problem."""
        self._sent = self._sent or attempt.sent
        failure = Failure.CUT if attempt.sent else Failure.NOT_SENT
        if self._policy.may_retry(
            failure,
            idempotent=self._route.idempotent,
            attempts=self._attempt_count,
            now=self.now(),
        ):
            self._admit()
            return
        outcome = Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN
        kind = "connection_terminated" if attempt.sent else "connection_refused"
        self._answer_problem(502, str(error), outcome, kind)

    def stream_begun(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Pass on a long answer."""
        if self._is_over or self._exchange.is_over:
            return False
        self._exchange.begin(
            head.status, self._caller_headers(head.headers), head.length, attempt
        )
        return True

    def stream_data(self, data: bytes) -> None:
        """Pass on a part of a long answer."""
        self._exchange.write(data)

    def stream_ended(self) -> None:
        """End a long answer."""
        self._end()
        self._exchange.finish()

    def stream_cut(self, error: UpstreamError) -> None:
        """Cut off the caller."""
        self._end()
        self._exchange.abort()

    def _admit(self) -> None:
        request = PermitRequest(
            self._request_id,
            self._caller_service,
            self._depth,
            self._deadline,
            self._route.idempotent,
            self._used,
        )
        pending = self._handler.permits.acquire(self._route.service_name, request)
        self._pending = pending
        pending.addCallbacks(self._admitted, self._not_admitted)

    def _admitted(self, permit: Permit) -> None:
        self._pending = None
        upstream = permit.upstream
        handler = self._handler
        handler.log.decision(
            request_id=self._request_id,
            service=self._route.service_name,
            upstream=upstream.id,
            reason=permit.reason,
            candidates=permit.candidates,
            version=self._active.version,
            epoch=permit.epoch_number,
        )
        self._used |= {upstream.id}
        self._attempt_count += 1
        pool = handler.pool_for(upstream, self._route.service.connections_per_upstream)
        attempt = Attempt(self, permit, handler.permits, pool)
        self._attempts.append(attempt)
        remaining_ms = max(
            0, int((self._deadline - self.now() - DEADLINE_MARGIN_S) * 1000)
        )
        internal = (
            f"Via: 1.1 banyanshelf\r\nBanyanshelf-Request-Id: {self._request_id}\r\n"
            f"Banyanshelf-Deadline-Ms: {remaining_ms}\r\n"
            f"Banyanshelf-Depth: {self._depth + 1}\r\n"
            f"Banyanshelf-Caller-Service: {self._route.service_name}\r\n"
        ).encode()
        attempt.start(
            forwarded_request(self._request, internal),
            is_head=self._request.method == "HEAD",
        )

    def _not_admitted(self, failure: DeferredFailure) -> None:
        self._pending = None
        if self._is_over or failure.check(CancelledError):
            return
        retry_after_s = 1.0
        if isinstance(failure.value, NotAdmittedError):
            retry_after_s = failure.value.retry_after_s
        outcome = Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN
        self._answer_problem(
            503,
            str(failure.value),
            outcome,
            "destination_unavailable",
            retry_after_s,
        )

    def _expired(self) -> None:
        sent = self._sent or any(attempt.sent for attempt in self._attempts)
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        self._answer_problem(
            504,
            "no answer within the time limit",
            outcome,
            "http_response_timeout",
            kind=AnswerKind.TIMEOUT,
        )

    def _answer_problem(
        self,
        status: int,
        detail: str,
        outcome: Outcome | None,
        error: str,
        retry_after_s: float | None = None,
        kind: AnswerKind = AnswerKind.CANCELLED,
    ) -> None:
        self._end(kind)
        answer = problem_answer(
            status,
            detail,
            outcome,
            error,
            retry_after_s=retry_after_s,
            request_id=self._request_id,
        )
        answer.headers.append(header("Banyanshelf-Request-Id", self._request_id))
        self._exchange.answer(answer)

    def _finish(self, answer: Answer) -> None:
        self._end()
        self._exchange.answer(
            Answer(answer.status, self._caller_headers(answer.headers), answer.body)
        )

    def _caller_headers(self, headers: list[Any]) -> list[Any]:
        kept = forwarded_headers(headers)
        kept.append(header("Banyanshelf-Request-Id", self._request_id))
        return kept

    def _end(self, kind: AnswerKind = AnswerKind.CANCELLED) -> None:
        self._is_over = True
        if self._timer.active():
            self._timer.cancel()
        if self._pending is not None:
            self._pending.cancel()
        for attempt in self._attempts:
            attempt.cancel(kind)
