"""Small HTTP/1.1 server on Twisted and httptools, shared by the stand-ins."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

REASON_BY_STATUS = {
    200: "OK",
    304: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
HeaderList = Iterable[tuple[str, str]]


class LinkDelay(NamedTuple):
    """Added one-way delay and connection set-up time, in seconds."""

    one_way_s: float = 0.0
    set_up_s: float = 0.0


class Exchange:
    """One request and the methods that answer it.

    ``on_closed`` callables run once if the connection ends before the answer does.
    """

    def __init__(
        self,
        connection: HttpConnection,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.on_closed: list[Callable[[], None]] = []
        self.ended = False

    @property
    def path(self) -> str:
        """The target without its query."""
        return urlsplit(self.target).path

    def query(self, name: str, default: str = "") -> str:
        """Return the first query parameter of a name."""
        return parse_qs(urlsplit(self.target).query).get(name, [default])[0]

    def json(self) -> Any:
        """Return the decoded body; an empty body is an empty object."""
        return msgspec.json.decode(self.body or b"{}")

    def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: HeaderList = (),
        close: bool = False,
    ) -> None:
        """Send a whole answer; ignored after the connection has ended."""
        if self.ended:
            return
        lines = [f"HTTP/1.1 {status} {REASON_BY_STATUS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if status != 304:
            lines.append(f"Content-Length: {len(body)}")
        if close:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        content = b"" if self.method == "HEAD" else body
        self.connection.send(head + content)
        self.ended = True
        self.connection.exchange_ended(close)

    def answer_json(
        self,
        value: Any,
        status: int = 200,
        headers: HeaderList = (),
    ) -> None:
        """Send ``value`` as JSON."""
        all_headers = [("Content-Type", "application/json"), *headers]
        self.answer(status, msgspec.json.encode(value), all_headers)

    def start_stream(self) -> None:
        """Start a chunked JSON answer."""
        self.connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
        )

    def write_line(self, value: Any) -> None:
        """Send one JSON line as a chunk."""
        if not self.ended:
            line = msgspec.json.encode(value) + b"\n"
            self.connection.send(b"%x\r\n%s\r\n" % (len(line), line))

    def end_stream(self) -> None:
        """End a chunked answer."""
        if not self.ended:
            self.connection.send(b"0\r\n\r\n")
            self.ended = True
            self.connection.exchange_ended(False)

    def drop(self) -> None:
        """Abort the connection without an answer."""
        self.connection.abort()

    def connection_lost(self) -> None:
        """Mark the exchange as ended and call the ``on_closed`` callbacks."""
        if not self.ended:
            self.ended = True
            for callback in self.on_closed:
                callback()


Handler = Callable[[Exchange], None]


class HttpConnection(Protocol):
    """One connection; requests are handled one at a time, in order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[Exchange] = deque()
        self._current: Exchange | None = None
        self._incoming: deque[bytes] = deque()
        self._outgoing: deque[bytes] = deque()
        self._set_up_until = 0.0
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled."""
        return self._current is None

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the new connection."""
        self.transport.setTcpNoDelay(True)
        self._set_up_until = reactor.seconds() + self._server.delay.set_up_s
        self._server.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser after the added delay of the link."""
        delay = self._server.delay
        wait_s = delay.one_way_s + max(0.0, self._set_up_until - reactor.seconds())
        if wait_s <= 0 and not self._incoming:
            self._feed(data)
            return
        self._incoming.append(data)
        reactor.callLater(wait_s, self._feed_next)

    def _feed_next(self) -> None:
        self._feed(self._incoming.popleft())

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._url = b""
        self._headers = {}
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the request."""
        method = self._parser.get_method().decode()
        target = self._url.decode("latin-1")
        body = b"".join(self._body)
        exchange = Exchange(self, method, target, self._headers, body)
        self._pending.append(exchange)
        self._handle_next()

    def _handle_next(self) -> None:
        if self._current is None and self._pending:
            self._current = self._pending.popleft()
            self._server.handle(self._current)

    def send(self, data: bytes) -> None:
        """Write data after the added delay of the link."""
        if self._server.delay.one_way_s <= 0:
            self.transport.write(data)
            return
        self._outgoing.append(data)
        reactor.callLater(self._server.delay.one_way_s, self._send_next)

    def _send_next(self) -> None:
        self.transport.write(self._outgoing.popleft())

    def exchange_ended(self, close: bool) -> None:
        """Handle the next request, or close once the delayed bytes are written."""
        self._current = None
        if close:
            delay_s = self._server.delay.one_way_s
            reactor.callLater(delay_s + 0.001, self.transport.loseConnection)
        elif self._pending:
            reactor.callLater(0, self._handle_next)

    def abort(self) -> None:
        """Abort the connection."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove the connection and notify its current exchange."""
        self._server.connections.discard(self)
        if self._current is not None:
            self._current.connection_lost()


class HttpServer(Factory):
    """A listener that can be closed and reopened."""

    noisy = False

    def __init__(
        self,
        listen: str,
        handler: Handler,
        delay: LinkDelay | None = None,
    ) -> None:
        host, _, port = listen.rpartition(":")
        self._host = host
        self._port_number = int(port)
        self._handler = handler
        self._port: Any = None
        self.delay = delay or LinkDelay()
        self.connections: set[HttpConnection] = set()

    def buildProtocol(self, address: Any) -> HttpConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return HttpConnection(self)

    def handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler; its errors become a 400 answer."""
        try:
            self._handler(exchange)
        except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
            exchange.answer_json({"error": repr(error)}, 400)

    def open(self) -> None:
        """Listen; does nothing while open."""
        if self._port is None:
            self._port = reactor.listenTCP(
                self._port_number, self, backlog=1024, interface=self._host
            )

    def close(self) -> None:
        """Stop listening; established connections stay open."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def abort_connections(self) -> None:
        """Abort every open connection."""
        for connection in list(self.connections):
            connection.abort()


def resident_kilobytes() -> int:
    """Return the resident memory of this process in KiB."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0
