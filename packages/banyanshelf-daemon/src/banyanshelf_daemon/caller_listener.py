"""A listener for callers that stops without cutting off accepted requests."""

from __future__ import annotations

import select
from collections.abc import Generator
from typing import Any

from twisted.internet import defer
from twisted.internet.task import deferLater

from banyanshelf_daemon.caller_server import CallerServerFactory

# After the listener has closed, requests that are on their way on open connections may
# still arrive for this time. It exceeds the round trip of a distant caller.
IDLE_LINGER_S = 0.5
# Upper bound of the steps that empty the kernel's queue, as callers keep connecting.
MAX_ACCEPT_STEPS = 64


class CallerListener:
    """The listening port of one :class:`CallerServerFactory`.

    A stop takes three steps. Answers ask callers to close their connections from
    ``begin_stop`` on. ``close`` accepts what the kernel has queued and closes the
    port. ``drain`` lets requests arrive that were on their way and then closes the
    connections that are still idle.

    Example:
        ``listener.begin_stop()``, then after the notice period of the load balancer
        ``yield listener.close()`` and ``yield listener.drain()``.

    """

    def __init__(self, reactor: Any, port: Any, factory: CallerServerFactory) -> None:
        self._reactor = reactor
        self._port = port
        self._factory = factory

    def begin_stop(self) -> None:
        """Ask callers with each answer to close their connections."""
        self._factory.closes_connections = True

    def close(self) -> defer.Deferred[Any]:
        """Accept all queued connections, then refuse new ones."""
        self.begin_stop()
        _accept_queued_connections(self._port)
        return defer.maybeDeferred(self._port.stopListening)

    @defer.inlineCallbacks
    def drain(self) -> Generator[Any, Any, None]:
        """Finish when no call is in progress and every connection is closed."""
        yield deferLater(self._reactor, IDLE_LINGER_S)
        yield self._factory.stop_accepting(closes_idle=True)


def _accept_queued_connections(port: Any) -> None:
    """Accept connections whose handshake the kernel has completed.

    Closing the port would reset them, although their callers may have sent a request.
    """
    for _ in range(MAX_ACCEPT_STEPS):
        if not select.select([port.fileno()], [], [], 0)[0]:
            return
        port.doRead()
