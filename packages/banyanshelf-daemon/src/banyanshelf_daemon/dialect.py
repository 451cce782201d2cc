"""Header fields that a platform's callers, upstreams and gateways use for calls.

The data path reads and writes platform-specific header fields only through a
:class:`Dialect`. :class:`NativeDialect` implements the product's own fields.
"""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

from banyanshelf_core.errors import RequestError
from banyanshelf_core.model import LoadReport, Outcome, UpstreamId, WorkspaceName
from banyanshelf_core.request_limit import parse_request_limit
from banyanshelf_daemon.http_message import (
    Answer,
    AnswerHead,
    AnswerRules,
    Header,
    Request,
    header,
    header_value,
)
from banyanshelf_daemon.problem import problem_answer

_REQUEST_ID = b"upstream-request-id"
_WORKSPACE = b"banyanshelf-workspace"
_WORKSPACE_KEY = b"banyanshelf-workspace-key"
_LOAD_REPORT = re.compile(rb"\s*in_flight=(\d{1,6})\s*,\s*slots=(\d{1,6})\s*")


class CallContext(NamedTuple):
    """What a caller states about a call; ``deadline_s`` is how long it waits.

    ``is_backend_server`` is true for a call of a backend server, which needs no key;
    ``workspace`` is the one that it states.
    """

    caller_service: str = ""
    depth: int = 0
    deadline_s: float | None = None
    workspace: WorkspaceName = ""
    is_backend_server: bool = False


NO_CONTEXT = CallContext()


class OutgoingCall(NamedTuple):
    """What the gateway adds to a request that it sends to an upstream.

    ``workspace`` is empty if the request belongs to none.
    """

    request_id: str
    remaining_ms: int
    depth: int
    service_name: bytes
    upstream_id: UpstreamId
    workspace: WorkspaceName = ""


class Refusal(NamedTuple):
    """An error answer of this gateway.

    ``outcome`` is None if the request ran and only its answer is missing. ``error`` is
    an error type of RFC 9209, section 2.3.
    """

    status: int
    detail: str
    outcome: Outcome | None
    error: str
    retry_after_s: float | None = None
    request_id: str = ""


class Dialect(Protocol):
    """The header fields of one platform."""

    # Lower-case header names that are not forwarded: ``request_fields`` to an upstream,
    # ``answer_fields`` to a caller, and names with ``internal_prefix`` to either.
    request_fields: frozenset[bytes]
    answer_fields: frozenset[bytes]
    internal_prefix: bytes

    def context(self, request: Request, *, is_trusted: bool) -> CallContext:
        """Read the caller's context; raises :class:`RequestError` if malformed."""

    def request_id(self, request: Request) -> str:
        """Return the request id that the caller sent, or an empty string."""

    def workspace_key(self, request: Request) -> bytes:
        """Return the key of a workspace that the request carries, or empty bytes."""

    def upstream_fields(self, call: OutgoingCall) -> bytes:
        """Return the header lines that the gateway adds to a request."""

    def caller_fields(self, request_id: str) -> list[Header]:
        """Return the headers that the gateway adds to an upstream's answer."""

    def answer_rules(self, request: Request, request_id: str) -> AnswerRules:
        """Return the rules that match an answer to the request."""

    def probe_rules(self) -> AnswerRules:
        """Return the rules that tell a probe's answer from those to calls."""

    def falsely_promises_not_run(self, head: Answer | AnswerHead) -> bool:
        """Whether an answer tells callers that a call has not run, without proof."""

    def says_not_run(self, head: Answer | AnswerHead) -> bool:
        """Whether the upstream states that it did not run the call."""

    def is_misdirected(self, head: AnswerHead) -> bool:
        """Whether a server other than the expected one has answered."""

    def load_report(self, head: AnswerHead) -> LoadReport | None:
        """Return the upstream's load report, if the answer has one."""

    def request_limit(self, head: AnswerHead) -> float | None:
        """Return the limit in requests per second that the upstream states, if any.

        Raises :class:`RequestLimitError` if it cannot be read.
        """

    def cold_s(self, head: AnswerHead) -> float | None:
        """Return for how long the upstream is cold, in seconds, if it states that."""

    def retry_after(self, head: Answer | AnswerHead) -> bytes | None:
        """Return for how long the upstream wants no requests, as it states it."""

    def answered_by(self, head: AnswerHead) -> UpstreamId | None:
        """Return the id of the upstream that answered, if the answer states it."""

    def is_draining(self, head: AnswerHead) -> bool:
        """Whether the upstream states that it is draining."""

    def refusal(self, refusal: Refusal) -> Answer:
        """Build an error answer of this gateway."""


class NativeDialect:
    """The product's own header fields, see ``docs/platform.md``."""

    request_fields: frozenset[bytes] = frozenset()
    answer_fields = frozenset(
        {
            b"upstream-load",
            b"upstream-state",
            b"upstream-outcome",
            _REQUEST_ID,
            b"upstream-request-limit",
        }
    )
    internal_prefix = b"banyanshelf-"

    def context(self, request: Request, *, is_trusted: bool) -> CallContext:
        """Read the internal headers of a trusted caller."""
        if not is_trusted:
            return NO_CONTEXT
        values = request.value_by_name
        deadline_ms = header_number(values, b"banyanshelf-deadline-ms")
        return CallContext(
            values.get(b"banyanshelf-caller-service", b"").decode("utf-8", "replace"),
            header_number(values, b"banyanshelf-depth") or 0,
            None if deadline_ms is None else deadline_ms / 1000,
            values.get(_WORKSPACE, b"").decode("utf-8", "replace"),
            is_backend_server=True,
        )

    def request_id(self, request: Request) -> str:
        """Return an empty string, as callers send no ids."""
        return ""

    def workspace_key(self, request: Request) -> bytes:
        """Read ``Banyanshelf-Workspace-Key``."""
        return request.value_by_name.get(_WORKSPACE_KEY, b"").strip()

    def upstream_fields(self, call: OutgoingCall) -> bytes:
        """Return ``Via`` and the internal headers."""
        fields = (
            b"Via: 1.1 banyanshelf\r\nBanyanshelf-Request-Id: %b\r\n"
            b"Banyanshelf-Deadline-Ms: %d\r\nBanyanshelf-Depth: %d\r\n"
            b"Banyanshelf-Caller-Service: %b\r\n"
            % (
                call.request_id.encode(),
                call.remaining_ms,
                call.depth,
                call.service_name,
            )
        )
        if call.workspace:
            fields += b"Banyanshelf-Workspace: %b\r\n" % call.workspace.encode()
        return fields

    def caller_fields(self, request_id: str) -> list[Header]:
        """Return the header with the request id."""
        return [header("Banyanshelf-Request-Id", request_id)]

    def answer_rules(self, request: Request, request_id: str) -> AnswerRules:
        """Skip answers that name another request; naming one is optional."""
        return AnswerRules(_REQUEST_ID, request_id.encode(), self.says_not_run)

    def probe_rules(self) -> AnswerRules:
        """Skip answers that name a request, as a probe has no id."""
        return AnswerRules(_REQUEST_ID, b"", self.says_not_run)

    def falsely_promises_not_run(self, head: Answer | AnswerHead) -> bool:
        """Return False, as only ``Upstream-Outcome`` states that a call has not run."""
        return False

    def says_not_run(self, head: Answer | AnswerHead) -> bool:
        """Whether a 503 carries ``Upstream-Outcome: not_run``."""
        return head.status == 503 and any(
            lower == b"upstream-outcome" and value.strip().lower() == b"not_run"
            for lower, _, value in head.headers
        )

    def is_misdirected(self, head: AnswerHead) -> bool:
        """Return False, as requests do not name an expected instance."""
        return False

    def load_report(self, head: AnswerHead) -> LoadReport | None:
        """Read ``Upstream-Load``."""
        value = header_value(head.headers, b"upstream-load")
        report = _LOAD_REPORT.fullmatch(value) if value is not None else None
        if report is None:
            return None
        return LoadReport(int(report.group(1)), 0, int(report.group(2)))

    def request_limit(self, head: AnswerHead) -> float | None:
        """Read ``Upstream-Request-Limit``."""
        value = header_value(head.headers, b"upstream-request-limit")
        return None if value is None else parse_request_limit(value)

    def cold_s(self, head: AnswerHead) -> float | None:
        """Return None, as answers do not state it."""

    def retry_after(self, head: Answer | AnswerHead) -> bytes | None:
        """Read ``Retry-After`` of a 503."""
        return refusal_retry_after(head)

    def answered_by(self, head: AnswerHead) -> UpstreamId | None:
        """Return None, as answers do not carry the id of their upstream."""

    def is_draining(self, head: AnswerHead) -> bool:
        """Read ``Upstream-State``."""
        value = header_value(head.headers, b"upstream-state")
        return value is not None and value.strip().lower() == b"draining"

    def refusal(self, refusal: Refusal) -> Answer:
        """Build problem details."""
        return problem_answer(
            refusal.status,
            refusal.detail,
            refusal.outcome,
            refusal.error,
            retry_after_s=refusal.retry_after_s,
            request_id=refusal.request_id,
        )


def refusal_retry_after(head: Answer | AnswerHead) -> bytes | None:
    """Return the value of ``Retry-After`` if the answer is a 503 that has one."""
    return header_value(head.headers, b"retry-after") if head.status == 503 else None


def header_number(values: dict[bytes, bytes], name: bytes) -> int | None:
    """Return a decimal header value; raises :class:`RequestError` if malformed."""
    value = values.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise RequestError(400, f"malformed {name.decode()}; send one decimal number")
    return int(value)
