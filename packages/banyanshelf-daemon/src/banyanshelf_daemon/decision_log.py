"""Structured log in JSON lines on standard error: routing decisions and events.

Each routing decision is one line. Idempotency keys and credentials must not be logged;
callers of this module pass digests.
"""

from __future__ import annotations

import select
import sys
from typing import Any, BinaryIO

import logbook
import msgspec

from banyanshelf_core.errors import SettingsError

# Lines are buffered for this long, so that several are written with one system call and
# one reactor iteration.
FLUSH_DELAY_S = 0.01
MAX_PENDING_BYTES = 64 * 1024
# A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
WRITE_BYTES = 4096
# Buffered lines are dropped beyond this size while the reader of the stream is stalled.
MAX_STALLED_BYTES = 1024 * 1024


class JsonLinesHandler(logbook.Handler):
    """Encodes records as JSON lines and writes them in batches."""

    def __init__(self, reactor: Any, stream: BinaryIO, level: int) -> None:
        super().__init__(level=level, bubble=False)
        self._reactor = reactor
        self._stream = stream
        self._encode_into = msgspec.json.Encoder().encode_into
        self._pending = bytearray()
        self._is_scheduled = False
        self.dropped_bytes = 0
        try:
            self._descriptor = stream.fileno()
        except (OSError, ValueError):
            self._descriptor = -1

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer one line."""
        fields = {
            "time": record.time.isoformat(timespec="microseconds"),
            "level": record.level_name.lower(),
            "event": record.message if record.args else record.msg,
            **record.extra,
        }
        pending = self._pending
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(FLUSH_DELAY_S, self._flush_scheduled)
        self._encode_into(fields, pending, -1)
        pending += b"\n"
        if len(pending) > MAX_PENDING_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines as far as possible without blocking.

        They are discarded if the stream is closed. If it is stalled, up to 1 MiB stay
        buffered.
        """
        pending = self._pending
        try:
            while pending and self._is_writable():
                written = self._stream.write(pending[:WRITE_BYTES])
                self._stream.flush()
                del pending[:written]
        except (OSError, ValueError):
            pending.clear()
        if len(pending) > MAX_STALLED_BYTES:
            self.dropped_bytes += len(pending)
            pending.clear()

    def _flush_scheduled(self) -> None:
        self._is_scheduled = False
        self.flush()

    def _is_writable(self) -> bool:
        if self._descriptor < 0:
            return True
        return bool(select.select([], [self._descriptor], [], 0)[1])


class DecisionLog:
    """The daemon's structured log.

    Example:
        ``log.event("config_adopted", version=7)``

    """

    def __init__(
        self, reactor: Any, level: str = "info", stream: BinaryIO | None = None
    ) -> None:
        try:
            number = logbook.lookup_level(level.upper())
        except LookupError as error:
            raise SettingsError(
                f"unknown log_level {level!r}; write debug, info, warning or error"
            ) from error
        self._handler = JsonLinesHandler(reactor, stream or sys.stderr.buffer, number)
        self._logger = logbook.Logger("banyanshelf", number)
        self._logger.handlers.append(self._handler)

    def handle_all_loggers(self) -> None:
        """Route the records of all loggers of the process to this log."""
        self._handler.push_application()

    def decision(self, **fields: Any) -> None:
        """Log a routing or placement decision."""
        self._logger.info("decision", extra=fields)

    def event(self, event: str, **fields: Any) -> None:
        """Log an event."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log a fault from which the daemon recovers."""
        self._logger.warning(event, extra=fields)

    @property
    def dropped_bytes(self) -> int:
        """Bytes of lines that were dropped while the stream was stalled."""
        return self._handler.dropped_bytes

    def flush(self) -> None:
        """Write the buffered lines; called before the process ends."""
        self._handler.flush()
