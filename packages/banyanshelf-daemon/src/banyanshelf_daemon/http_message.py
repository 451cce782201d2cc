"""Values for HTTP requests and answers, and the rules for forwarding their headers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

from banyanshelf_daemon.request_body import RequestBody

# (lower-case name, name as received, value).
Header = tuple[bytes, bytes, bytes]

# RFC 9110, section 7.6.1: fields that apply to a single connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The gateway generates or consumes these fields itself.
_REWRITTEN_IN_REQUESTS = HOP_BY_HOP | {b"content-length", b"expect"}
_REWRITTEN_IN_ANSWERS = HOP_BY_HOP | {b"content-length"}

_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}
_STATUS_LINES = {
    status: f"HTTP/1.1 {status} {reason}\r\n".encode()
    for status, reason in _REASON_BY_STATUS.items()
}


class Request(NamedTuple):
    """A complete request of a caller.

    ``target`` is in origin form, ``path`` is the target without the query, and
    ``value_by_name`` joins repeated headers with a comma, as RFC 9110 allows.
    ``held_bytes`` is the memory that the request takes.
    """

    method: str
    target: bytes
    path: str
    host: str
    headers: list[Header]
    value_by_name: dict[bytes, bytes]
    body: RequestBody
    keep_alive: bool
    is_http_1_0: bool
    held_bytes: int = 0


class AnswerHead(NamedTuple):
    """Status and headers of an answer.

    ``length`` is None if the answer announces none, and -1 if it has no body.
    """

    status: int
    headers: list[Header]
    length: int | None


class AnswerRules(NamedTuple):
    """Rules that verify that an answer is the upstream's answer to one request.

    An answer whose ``request_field`` differs from ``request_id`` belongs to another
    request; ``request_id`` is empty for a request without an id. A 2xx answer without
    ``proof_field`` does not come from an upstream; an empty ``proof_field`` checks
    nothing. Field names are in lower case. With ``may_end_with_connection``, an answer
    without a length or chunks ends when the upstream closes the connection.
    ``says_not_run`` tells whether an answer states that the request has not run.
    """

    request_field: bytes
    request_id: bytes
    says_not_run: Callable[[AnswerHead], bool]
    proof_field: bytes = b""
    may_end_with_connection: bool = False

    def names_request(self, headers: list[Header]) -> bool:
        """Whether an answer names the request that it belongs to."""
        value = header_value(headers, self.request_field)
        return bool(value) and value == self.request_id

    def names_other_request(self, headers: list[Header]) -> bool:
        """Whether an answer names another request."""
        value = header_value(headers, self.request_field)
        return value is not None and value != self.request_id


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    headers: list[Header]
    body: bytes


def header(name: str, value: str) -> Header:
    """Build a header from strings."""
    raw = name.encode("latin-1")
    return raw.lower(), raw, value.encode("latin-1", "replace")


def header_value(headers: Iterable[Header], lower_name: bytes) -> bytes | None:
    """Return the first value of a header."""
    for lower, _, value in headers:
        if lower == lower_name:
            return value
    return None


def keep_alive_timeout_s(headers: Iterable[Header]) -> float | None:
    """Return the idle timeout of a Keep-Alive header in seconds."""
    value = header_value(headers, b"keep-alive")
    if value is None:
        return None
    for parameter in value.split(b","):
        name, _, number = parameter.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def connection_options(value: bytes | None) -> frozenset[bytes]:
    """Return the lower-case names listed in a Connection header."""
    if not value:
        return frozenset()
    # Host is never dropped: it belongs to the request, and without it the upstream
    # might serve another site.
    return frozenset(name.strip().lower() for name in value.split(b",")) - {b"host"}


def forwarded_request(
    request: Request,
    internal_headers: bytes,
    dropped: frozenset[bytes],
    dropped_prefix: bytes,
) -> bytes:
    """Serialize the head of a request for an upstream.

    ``internal_headers`` are complete header lines of this gateway. Headers that are
    ``dropped`` or begin with ``dropped_prefix`` are never passed on; an empty prefix
    drops none.
    """
    named = connection_options(request.value_by_name.get(b"connection"))
    lines = [f"{request.method} ".encode(), request.target, b" HTTP/1.1\r\n"]
    for lower, name, value in request.headers:
        if (
            lower in _REWRITTEN_IN_REQUESTS
            or lower in named
            or lower in dropped
            # Some upstreams read underscores in names as hyphens.
            or (b"_" in lower and _is_internal(lower, dropped, dropped_prefix))
            or (dropped_prefix and lower.startswith(dropped_prefix))
        ):
            continue
        lines.append(b"%b: %b\r\n" % (name, value))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines += (internal_headers, b"\r\n")
    return b"".join(lines)


def _is_internal(lower: bytes, dropped: frozenset[bytes], prefix: bytes) -> bool:
    name = lower.replace(b"_", b"-")
    return name in dropped or bool(prefix and name.startswith(prefix))


def forwarded_headers(
    headers: list[Header], dropped: frozenset[bytes], dropped_prefix: bytes
) -> list[Header]:
    """Return the headers of an upstream's answer that are forwarded to the caller.

    See :func:`forwarded_request` for the arguments.
    """
    named: frozenset[bytes] = frozenset()
    for lower, _, value in headers:
        if lower == b"connection":
            named |= connection_options(value)
    return [
        entry
        for entry in headers
        if entry[0] not in _REWRITTEN_IN_ANSWERS
        and entry[0] not in named
        and entry[0] not in dropped
        and not (dropped_prefix and entry[0].startswith(dropped_prefix))
    ]


def serialize_head(
    status: int, headers: Iterable[Header], length: int | None, *, close: bool
) -> bytes:
    """Serialize the head of an answer.

    A ``length`` of None announces chunked transfer coding, and -1 announces neither a
    length nor chunks.
    """
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status]
    lines += [b"%b: %b\r\n" % (name, value) for _, name, value in headers]
    if status != 204 and status != 304:
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif length >= 0:
            lines.append(b"Content-Length: %d\r\n" % length)
    lines.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(lines)
