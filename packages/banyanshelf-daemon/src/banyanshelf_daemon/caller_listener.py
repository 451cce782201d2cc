"""A listener for callers that stops without cutting off accepted requests."""

from __future__ import annotations

import select
from collections.abc import Callable, Generator
from typing import Any

from logbook import Logger
from twisted.internet import defer
from twisted.internet.task import deferLater

from banyanshelf_daemon.caller_server import CallerServerFactory

# After the listener has closed, requests that are on their way on open connections may
# still arrive for this time. It exceeds the round trip of a distant caller.
IDLE_LINGER_S = 0.5
# Time for the last answers to leave before the process ends.
FLUSH_TIME_S = 0.1
# Upper bound of the steps that empty the kernel's queue, as callers keep connecting.
MAX_ACCEPT_STEPS = 64

log = Logger("callers")


class CallerListener:
    """The listening port of one :class:`CallerServerFactory`.

    A stop takes three steps. Answers ask callers to close their connections from
    ``begin_stop`` on. ``close`` accepts what the kernel has queued and closes the
    port. ``drain`` lets requests arrive that were on their way, closes the connections
    that are still idle and waits for the calls in progress. ``refuse_calls_beyond`` is
    that of the ``CallHandler``.

    Example:
        ``listener.begin_stop()``, then after the notice period of the load balancer
        ``yield listener.close()`` and ``yield listener.drain(5.0)``.

    """

    def __init__(
        self,
        reactor: Any,
        port: Any,
        factory: CallerServerFactory,
        refuse_calls_beyond: Callable[[float], None],
    ) -> None:
        self._reactor = reactor
        self._port = port
        self._factory = factory
        self._refuse_calls_beyond = refuse_calls_beyond

    def begin_stop(self) -> None:
        """Ask callers with each answer to close their connections."""
        self._factory.closes_connections = True

    def close(self) -> defer.Deferred[Any]:
        """Accept all queued connections, then refuse new ones."""
        self.begin_stop()
        _accept_queued_connections(self._port)
        return defer.maybeDeferred(self._port.stopListening)

    @defer.inlineCallbacks
    def drain(self, limit_s: float) -> Generator[Any, Any, None]:
        """Finish when no call is in progress and every connection is closed.

        Calls that may last longer than ``limit_s`` from now are refused, so that none
        is sent to an upstream and then cut off. Those that are left at the end are
        answered.
        """
        factory = self._factory
        ends_at = factory.now() + limit_s
        self._refuse_calls_beyond(ends_at)
        yield deferLater(self._reactor, min(IDLE_LINGER_S, limit_s))
        drained = factory.stop_accepting(closes_idle=True)
        drained.addTimeout(max(0.0, ends_at - factory.now()), self._reactor)
        try:
            yield drained
        except defer.TimeoutError:
            log.warning("{} calls are left at the end", factory.calls_in_progress)
            factory.end_by_shutdown()
            yield deferLater(self._reactor, FLUSH_TIME_S)


def _accept_queued_connections(port: Any) -> None:
    """Accept connections whose handshake the kernel has completed.

    Closing the port would reset them, although their callers may have sent a request.
    """
    for _ in range(MAX_ACCEPT_STEPS):
        if not select.select([port.fileno()], [], [], 0)[0]:
            return
        port.doRead()
