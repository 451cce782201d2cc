"""A watch on a prefix of the store that survives reconnects."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from banyanshelf_core.backoff import Backoff
from banyanshelf_core.errors import StoreError
from banyanshelf_core.store_transactions import KeyValue

if TYPE_CHECKING:
    from banyanshelf_daemon.store_client import StoreClient

BACKOFF_LIMIT_S = 10.0
# Reconnects after this time without data, as a connection can be lost silently.
IDLE_TIMEOUT_S = 600.0
MAX_LINE_BYTES = 4 * 1024 * 1024

log = Logger("store_watch")


class WatchEvent(NamedTuple):
    """A written or deleted record; a deleted record has an empty value."""

    record: KeyValue
    is_deleted: bool


class _LineSplitter(Protocol):
    """Splits a streaming response body into JSON lines."""

    def __init__(self, on_line: Callable[[bytes], None]) -> None:
        self._on_line = on_line
        self._buffer = b""
        self.done: Deferred[None] = Deferred(self._cancel)

    def _cancel(self, _: Any) -> None:
        # Closing may call connectionLost at once, which must not fire ``done`` first.
        self.done.errback(CancelledError())
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Handle complete lines."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        try:
            if len(self._buffer) > MAX_LINE_BYTES:
                raise ValueError(f"line exceeds {MAX_LINE_BYTES} bytes")
            for line in lines:
                if line.strip() and not self.done.called:
                    self._on_line(line)
        except Exception:
            if not self.done.called:
                self.done.errback(Failure())
            if self.transport is not None:
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the stream."""
        if not self.done.called:
            self.done.callback(None)


class _ResetError(Exception):
    """The store no longer has the revision at which the watch would resume."""


class StoreWatch:
    """One watch; see :meth:`StoreClient.watch`."""

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        start_revision: int,
        on_event: Callable[[WatchEvent], None],
        on_reset: Callable[[], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._next_revision = start_revision
        self._on_event = on_event
        self._on_reset = on_reset
        self._backoff = Backoff(store.rng, limit_s=BACKOFF_LIMIT_S)
        self._is_stopped = False
        self._line_splitter: _LineSplitter | None = None
        self._idle_timeout: Any = None

    def start(self) -> None:
        """Watch until stopped."""
        self._store.tasks.supervise(self._run, f"watch on {self._prefix}")

    def stop(self) -> None:
        """Stop the watch."""
        self._is_stopped = True
        if self._line_splitter is not None and not self._line_splitter.done.called:
            self._line_splitter.done.cancel()

    async def _run(self) -> None:
        while not self._is_stopped:
            try:
                await self._stream_events()
            except CancelledError:
                if self._is_stopped:
                    return
                raise
            except _ResetError:
                self._is_stopped = True
                self._on_reset()
                return
            except (StoreError, ValueError, KeyError, msgspec.DecodeError) as error:
                log.info("watch on {} interrupted: {}", self._prefix, error)
            if not self._is_stopped:
                await self._store.tasks.sleep(self._backoff.next_delay())

    async def _stream_events(self) -> None:
        request = self._store.prefix_range(self._prefix)
        request["start_revision"] = str(self._next_revision)
        response = await self._store.send_request("watch", {"create_request": request})
        lines = self._line_splitter = _LineSplitter(self._on_line)
        self._idle_timeout = self._store.reactor.callLater(
            IDLE_TIMEOUT_S, self._on_idle_timeout
        )
        opened_at = self._store.reactor.seconds()
        response.deliverBody(lines)
        try:
            await lines.done
        finally:
            # Keeps the backoff growing if the store closes each new watch at once.
            if self._store.reactor.seconds() - opened_at >= BACKOFF_LIMIT_S:
                self._backoff.reset()
            self._line_splitter = None
            if self._idle_timeout.active():
                self._idle_timeout.cancel()

    def _on_idle_timeout(self) -> None:
        lines = self._line_splitter
        if lines is not None and not lines.done.called:
            lines.done.callback(None)
            if lines.transport is not None:
                lines.transport.loseConnection()

    def _on_line(self, line: bytes) -> None:
        answer = msgspec.json.decode(line)
        if "error" in answer:
            raise ValueError(f"the store ended the watch: {answer['error']}")
        result = answer.get("result", {})
        if result.get("canceled"):
            raise _ResetError
        self._idle_timeout.reset(IDLE_TIMEOUT_S)
        self._store.note_header(result)
        if self._is_stopped:
            return
        revision = int(result.get("header", {}).get("revision", 0))
        if result.get("created") and revision < self._next_revision - 1:
            # The store would wait for revisions that it gives out for other changes.
            raise _ResetError
        for event in result.get("events", []):
            record = self._store.parse_record(event["kv"])
            if record.mod_revision >= self._next_revision:
                self._on_event(WatchEvent(record, event.get("type") == "DELETE"))
        if result.get("events"):
            self._next_revision = max(self._next_revision, revision + 1)
