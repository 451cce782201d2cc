"""Timeouts of replies that may already lie in the socket when they expire."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class ReplyTimer:
    """Calls ``expired`` unless cancelled before; all times are in seconds.

    The reactor runs timers before it reads sockets. In a process that has not run for a
    while, a timer of its own would expire before a reply that has come in time is read.

    Example:
        ``timer = ReplyTimer(reactor, 0.06, fail_query)``, and ``timer.cancel()`` when
        the reply is read.

    """

    def __init__(
        self, reactor: Any, timeout_s: float, expired: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self._expired = expired
        self._call = reactor.callLater(timeout_s, self._read_sockets)

    def restart(self, timeout_s: float) -> None:
        """Start again with another timeout."""
        self.cancel()
        self._call = self._reactor.callLater(timeout_s, self._read_sockets)

    def cancel(self) -> None:
        """Stop the timer; no effect if it has expired."""
        if self._call.active():
            self._call.cancel()

    def _read_sockets(self) -> None:
        """Let the reactor read its sockets once before the timer expires."""
        self._call = self._reactor.callLater(0, self._expired)
