"""Parses requests from a byte stream and refuses ambiguous ones (request smuggling).

``httptools`` refuses obsolete line folding, a Content-Length together with
Transfer-Encoding, repeated or malformed lengths and malformed chunks. The other rules
are in this module.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, NoReturn
from urllib.parse import urlsplit

import httptools

from banyanshelf_core.errors import RequestError
from banyanshelf_daemon.http_message import Header, Request
from banyanshelf_daemon.request_body import RequestBody

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
# Memory of a request beside its body: its objects, those of each header, and the bytes
# of the head, which are kept as received, in lower case and by name.
REQUEST_OVERHEAD_BYTES = 2048
HEADER_OVERHEAD_BYTES = 400
HEAD_COPIES = 3

_TARGET = re.compile(rb"/[\x21\x24-\x7e]*")
# RFC 3986 host with an optional port; user information is not allowed.
_HOST = re.compile(rb"(?:[A-Za-z0-9._~%-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{1,5})?")
_SINGLE_VALUED = frozenset(
    {b"host", b"content-length", b"transfer-encoding", b"content-type"}
)


class CallerLimits(NamedTuple):
    """Limits on the size of requests, and on the time to send one or to be idle."""

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class RequestReader:
    """Parses a byte stream into requests.

    ``received`` is the queue of complete requests. ``error`` is set once the stream
    cannot be parsed further; it follows the requests in ``received``. ``read_limits``
    is called for each request, as the limits may change while a connection is open.
    """

    def __init__(self, read_limits: Callable[[], CallerLimits]) -> None:
        self._read_limits = read_limits
        self._limits = read_limits()
        self.received: deque[Request] = deque()
        self.error: RequestError | None = None
        self._target: bytes
        self._queued_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._in_head = False
        self._in_body = False
        self._begun_count = 0
        self._unparsed_bytes = 0
        self.expects_continue = False
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Whether no request has been received in part."""
        return not (self._in_head or self._in_body)

    @property
    def is_in_head(self) -> bool:
        """Whether the head of a request has been received in part."""
        return self._in_head

    @property
    def held_bytes(self) -> int:
        """The memory of the queued requests and of the one received in part."""
        if self.is_idle:
            return self._queued_bytes
        return self._queued_bytes + self._request_bytes() + self._unparsed_bytes

    def take(self) -> Request:
        """Remove the first complete request from the queue."""
        request = self.received.popleft()
        self._queued_bytes -= request.held_bytes
        return request

    def discard(self) -> None:
        """Drop all requests, as the connection is being closed."""
        self.received.clear()
        self._queued_bytes = self._unparsed_bytes = 0
        self._in_head = self._in_body = self.expects_continue = False
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse more bytes; results are in ``received`` and ``error``."""
        if self.error is not None:
            return
        was_in_head, was_in_body = self._in_head, self._in_body
        progress = (self._begun_count, self._body_bytes)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            if self.error is None:
                self._refuse(400, f"malformed request: {error}")
        if self.error is None:
            try:
                self._add_body_parts()
            except RequestError:
                return
        is_unfinished = (was_in_head and self._in_head) or (
            was_in_body and self._in_body
        )
        if is_unfinished and progress == (self._begun_count, self._body_bytes):
            # httptools buffers an unfinished header or trailer without a limit.
            self._unparsed_bytes += len(data)
            limit = self._limits.head_bytes
            if self._unparsed_bytes > limit:
                self._refuse(431, f"headers exceed {limit} bytes")
        else:
            self._unparsed_bytes = 0

    def on_message_begin(self) -> None:
        """Start a request (called by httptools)."""
        self._limits = self._read_limits()
        self._reset()
        self._begun_count += 1
        self._in_head = True

    def on_url(self, part: bytes) -> None:
        """Add a part of the target (called by httptools)."""
        self._target += part
        self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or drop a trailer (called by httptools)."""
        self._count_head_bytes(len(name) + len(value) + 4)
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._abort(431, f"more than {MAX_HEADERS} headers")
        if not self._in_head:
            return
        lower = name.lower()
        self._headers.append((lower, name, value))
        known = self._value_by_name.get(lower)
        if known is None:
            self._value_by_name[lower] = value
        elif lower in _SINGLE_VALUED:
            self._abort(400, f"repeated header {name.decode('latin-1')}")
        else:
            self._value_by_name[lower] = known + b", " + value

    def on_headers_complete(self) -> None:
        """Check the head before the body is parsed (called by httptools)."""
        self._in_head = False
        self._in_body = True
        version = self._parser.get_http_version()
        if version not in ("1.1", "1.0"):
            self._abort(400, f"HTTP version {version} is not supported")
        self._is_http_1_0 = version == "1.0"
        self._check_framing()
        self._check_target()
        expect = self._value_by_name.get(b"expect")
        if expect is not None and not self._is_http_1_0:
            if expect.lower() != b"100-continue":
                self._abort(400, "unknown expectation; send only 100-continue")
            self.expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body (called by httptools, once for each chunk)."""
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Queue the complete request (called by httptools)."""
        self._in_body = False
        self.expects_continue = False
        if self.error is not None:
            return
        self._add_body_parts()
        if self._parser.should_upgrade():
            self._abort(400, "protocol upgrades are not supported")
        method = self._parser.get_method().decode("ascii")
        target = self._target
        held_bytes = self._request_bytes()
        self._queued_bytes += held_bytes
        self.received.append(
            Request(
                method,
                target,
                target.partition(b"?")[0].decode("ascii"),
                self._value_by_name.get(b"host", b"").decode("ascii"),
                self._headers,
                self._value_by_name,
                self._body,
                self._parser.should_keep_alive() and not self._is_http_1_0,
                self._is_http_1_0,
                held_bytes,
            )
        )
        # The queue holds the request now; nothing else keeps its body.
        self._reset()

    def _request_bytes(self) -> int:
        return (
            REQUEST_OVERHEAD_BYTES
            + HEAD_COPIES * self._head_bytes
            + HEADER_OVERHEAD_BYTES * self._header_count
            + self._body_bytes
        )

    def _add_body_parts(self) -> None:
        """Add what has been parsed at once, as there may be thousands of chunks."""
        if not self._body_parts:
            return
        data = b"".join(self._body_parts)
        self._body_parts.clear()
        self.expects_continue = False
        self._body_bytes += len(data)
        self._check_body_size(self._body_bytes)
        self._body.append(data)

    def _check_body_size(self, size: int) -> None:
        limit = self._limits.body_bytes
        if size > limit:
            self._abort(413, f"the body exceeds {limit} bytes")

    def _check_framing(self) -> None:
        coding = self._value_by_name.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or self._is_http_1_0):
            self._abort(400, "unsupported Transfer-Encoding; send chunked or a length")
        length = self._value_by_name.get(b"content-length")
        if length is None:
            return
        if not length.isdigit() or coding is not None:
            self._abort(400, "bad Content-Length")
        self._check_body_size(int(length))

    def _check_target(self) -> None:
        host = self._value_by_name.get(b"host")
        if host is None:
            if not self._is_http_1_0:
                self._abort(400, "missing Host")
        elif _HOST.fullmatch(host) is None:
            self._abort(400, "malformed Host")
        if not self._target.startswith(b"/"):
            self._target = self._origin_form(host)
        if _TARGET.fullmatch(self._target) is None:
            self._abort(400, "malformed request target")

    def _origin_form(self, host: bytes | None) -> bytes:
        try:
            parts = urlsplit(self._target)
        except ValueError:
            self._abort(400, "malformed request target")
        if parts.scheme.lower() != b"http" or parts.netloc != host:
            self._abort(400, "the request target contradicts Host")
        query = b"?" + parts.query if parts.query else b""
        if parts.fragment:
            self._abort(400, "malformed request target")
        return (parts.path or b"/") + query

    def _count_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        limit = self._limits.head_bytes
        if self._head_bytes > limit:
            self._abort(431, f"the head exceeds {limit} bytes")

    def _refuse(self, status: int, detail: str) -> None:
        if self.error is None:
            self.error = RequestError(status, detail)
        self._in_head = self._in_body = self.expects_continue = False

    def _abort(self, status: int, detail: str) -> NoReturn:
        """Refuse the request and stop the parser by an exception."""
        self._refuse(status, detail)
        raise RequestError(status, detail)

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._value_by_name: dict[bytes, bytes] = {}
        self._body = RequestBody()
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._header_count = 0
        self._is_http_1_0 = False
