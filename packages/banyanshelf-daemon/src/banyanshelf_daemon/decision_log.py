"""JSON lines on standard error: routing decisions and events of the daemon.

One line is written per routing decision. Idempotency keys and credentials never appear;
callers of this module pass digests.
"""

from __future__ import annotations

import select
import sys
from typing import Any, BinaryIO

import logbook
import msgspec

from banyanshelf_core.errors import SettingsError

# Lines are collected for this long, which saves a system call and a reactor turn for
# most of them.
FLUSH_DELAY_S = 0.01
MAX_PENDING_BYTES = 64 * 1024
# A pipe that polls as writable takes this many bytes without blocking (PIPE_BUF).
WRITE_BYTES = 4096
# Lines beyond this are dropped while nobody reads the stream.
MAX_STALLED_BYTES = 1024 * 1024


class JsonLinesHandler(logbook.Handler):
    """Encodes records as JSON lines and writes several together."""

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
        """Add one line."""
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
        """Write the collected lines as far as that does not block.

        A closed stream loses them; a stalled one keeps up to 1 MiB for later.
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
    """The daemon's log.

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
        """Write the lines of every module's logger here, for the whole process."""
        self._handler.push_application()

    def decision(self, **fields: Any) -> None:
        """Write the line of one routing or placement decision."""
        self._logger.info("decision", extra=fields)

    def event(self, event: str, **fields: Any) -> None:
        """Write a line about something that happens rarely."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write a line about a fault that the daemon copes with."""
        self._logger.warning(event, extra=fields)

    @property
    def dropped_bytes(self) -> int:
        """Bytes of lines that were dropped while nobody read the stream."""
        return self._handler.dropped_bytes

    def flush(self) -> None:
        """Write what has been collected, for use before the process ends."""
        self._handler.flush()
