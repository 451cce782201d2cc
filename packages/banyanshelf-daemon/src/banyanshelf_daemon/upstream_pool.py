"""Bounded pools of persistent connections, one per upstream."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from banyanshelf_core.errors import UpstreamRefusedError
from banyanshelf_core.model import Upstream, UpstreamId
from banyanshelf_daemon.settings import Address
from banyanshelf_daemon.socket_peek import has_unread_data
from banyanshelf_daemon.upstream_client import UpstreamConnection

IDLE_TIMEOUT_S = 60.0
# A copy that directly follows its answer arrives within a round trip of the network.
REUSE_DELAY_S = 0.005
DISTRUST_S = 60.0


class PoolRules(NamedTuple):
    """How connections to upstreams are opened.

    ``connect_timeout_s`` is the timeout of a TCP handshake. With ``keeps_spare``, one
    connection is opened ahead of demand, so that a call rarely waits for a handshake.

    The other two rules keep a late second copy of an answer from the next caller where
    answers do not name their requests; 0 turns either off. A connection rests for
    ``reuse_delay_s`` after an answer, so that a copy arrives while it is idle. After
    bytes that belong to no request, connections to that upstream carry one request each
    for ``distrust_s``.
    """

    connect_timeout_s: float = 1.0
    keeps_spare: bool = True
    reuse_delay_s: float = REUSE_DELAY_S
    distrust_s: float = DISTRUST_S


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, pool: UpstreamPool) -> None:
        self._pool = pool

    def buildProtocol(self, _address: Any) -> UpstreamConnection:  # noqa: N802
        connection = UpstreamConnection(self._pool)
        connection.connectionMade = lambda: self._pool.connection_made(connection)
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, _connector: Any, reason: Failure
    ) -> None:
        self._pool.connect_failed(reason)


class UpstreamPool:
    """Connections to one upstream.

    Idle connections, those in use and those being opened count towards the limit.
    ``on_event`` is called with ``connected``, ``refused`` or ``unreachable`` for each
    connection attempt, with ``closed`` if the upstream closes an idle connection, and
    with ``surplus`` if it sends bytes that belong to no request.
    """

    def __init__(
        self,
        reactor: Any,
        upstream: Upstream,
        limit: Callable[[], int],
        on_event: Callable[[UpstreamId, str], None],
        rules: PoolRules | None = None,
    ) -> None:
        self._rules = rules or PoolRules()
        self.upstream = upstream
        self._reactor = reactor
        self._address = Address.from_string(upstream.address)
        self._limit = limit
        self._on_event = on_event
        self._idle_connections: list[UpstreamConnection] = []
        self._waiters: deque[Deferred[UpstreamConnection]] = deque()
        self._opening_count = 0
        self._open_count = 0
        self._distrusted_until = -math.inf

    @property
    def size(self) -> int:
        """The number of connections that are open or being opened."""
        return self._open_count + self._opening_count

    def take_idle_connection(self) -> UpstreamConnection | None:
        """Return an idle connection, if any; after the last one, open a spare one."""
        connection = self._pop_ready_connection()
        if connection is not None and not self._idle_connections:
            self._open_spare()
        return connection

    def _pop_ready_connection(self) -> UpstreamConnection | None:
        """Return the idle connection used last, apart from those that still rest.

        At the connection limit, the one that has rested longest is used.
        """
        now = self._reactor.seconds()
        latest = now - self._rules.reuse_delay_s
        rested = [
            each
            for each in self._idle_connections
            if not each.answer_count or each.idle_since <= latest
        ]
        if not rested and self.size >= self._limit():
            rested = self._idle_connections[::-1]
        for connection in reversed(rested):
            idle_s = now - connection.idle_since
            self._idle_connections.remove(connection)
            if idle_s >= connection.usable_idle_s or self._has_copy(connection):
                connection.close()
            if connection.is_usable:
                return connection
        return None

    def _has_copy(self, connection: UpstreamConnection) -> bool:
        """Whether bytes have arrived that the reactor has not yet delivered."""
        if not self._rules.reuse_delay_s or not connection.answer_count:
            return False
        return has_unread_data(connection.transport)

    def wait_for_connection(self) -> Deferred[UpstreamConnection]:
        """Wait for a connection; fails with :class:`UpstreamRefusedError`.

        After a failure, nothing has been sent. Cancelling the Deferred stops waiting.
        """
        waiter: Deferred[UpstreamConnection] = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        if self._opening_count < len(self._waiters) and self.size < self._limit():
            self._connect()
        return waiter

    def connection_made(self, connection: UpstreamConnection) -> None:
        """Handle a connection that has been established."""
        connection.transport.setTcpNoDelay(True)
        self._opening_count -= 1
        self._open_count += 1
        self._on_event(self.upstream.id, "connected")
        self.connection_free(connection)
        if not self._idle_connections:
            self._open_spare()

    def connect_failed(self, reason: Failure) -> None:
        """Fail the longest waiting call, or all that no other connection is opened for.

        Nothing of these calls has been sent.
        """
        self._opening_count -= 1
        kind = "refused" if reason.check(RefusedError) else "unreachable"
        self._on_event(self.upstream.id, kind)
        while self._waiters and self._opening_count < len(self._waiters):
            self._waiters.popleft().errback(
                UpstreamRefusedError(f"connection to {self.upstream.address} {kind}")
            )
            if self._open_count:
                break

    def connection_free(self, connection: UpstreamConnection) -> None:
        """Hand a usable connection to a waiting call, or keep it idle.

        Without the rest that the rules demand, it is handed over only to a call that no
        further connection can be opened for.
        """
        now = self._reactor.seconds()
        is_single_use = connection.answer_count and now < self._distrusted_until
        if is_single_use or self._has_copy(connection):
            connection.close()
            return
        rests = bool(connection.answer_count and self._rules.reuse_delay_s)
        if len(self._waiters) > (self._opening_count if rests else 0):
            self._waiters.popleft().callback(connection)
            return
        if self.size > self._limit():
            connection.close()
            return
        connection.idle_since = now
        self._idle_connections.append(connection)

    def surplus_received(self) -> None:
        """Use each connection once for a while, as more copies are likely."""
        self._on_event(self.upstream.id, "surplus")
        self._distrusted_until = self._reactor.seconds() + self._rules.distrust_s
        for connection in list(self._idle_connections):
            if connection.answer_count and self._rules.distrust_s:
                self._idle_connections.remove(connection)
                connection.close()

    def connection_lost(
        self, connection: UpstreamConnection, *, closed_by_upstream: bool
    ) -> None:
        """Remove a closed connection.

        If the upstream closed it during a request, another one is opened at once, with
        or without spare ones: a refusal distinguishes a crash from a single lost
        connection.
        """
        self._open_count -= 1
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
            if closed_by_upstream:
                self._on_event(self.upstream.id, "closed")
        elif closed_by_upstream and not self._idle_connections:
            self._open_unless_opening()
        if self._opening_count < len(self._waiters) and self.size < self._limit():
            self._connect()

    def close_idle(self, now: float | None = None) -> None:
        """Close connections idle for too long, or all idle ones if ``now`` is None."""
        for connection in list(self._idle_connections):
            if now is None or (
                now - connection.idle_since > IDLE_TIMEOUT_S
                and len(self._idle_connections) > 1
            ):
                self._idle_connections.remove(connection)
                connection.close()

    def _open_spare(self) -> None:
        if self._rules.keeps_spare:
            self._open_unless_opening()

    def _open_unless_opening(self) -> None:
        if not self._opening_count and self.size < self._limit():
            self._connect()

    def _connect(self) -> None:
        self._opening_count += 1
        self._reactor.connectTCP(
            self._address.host,
            self._address.port,
            _Connector(self),
            timeout=self._rules.connect_timeout_s,
        )
