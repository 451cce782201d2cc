"""Listeners for callers and backend servers, and what they share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as Contract

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from banyanshelf_core.request_memory import RequestMemory
from banyanshelf_daemon.caller_connection import KEPT_RANK, CallerConnection
from banyanshelf_daemon.exchange import Exchange
from banyanshelf_daemon.http_message import Request
from banyanshelf_daemon.request_reader import CallerLimits
from banyanshelf_daemon.settings import Settings

SWEEP_INTERVAL_S = 1.0
# At the limit of connections, this share of those that are not in use is closed at
# once, so that the search for them is rare.
DISPLACED_SHARE = 1 / 32

log = Logger("callers")


class Handler(Contract):
    """Handles requests; see ``CallHandler``."""

    def start(
        self, request: Request, exchange: Exchange, *, trust_internal_headers: bool
    ) -> None:
        """Serve a request; ``exchange.call`` is set while the call is in progress."""

    def refused(self, status: int, detail: str) -> None:
        """Count a request that was refused before routing."""

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge with the metrics."""


class CallerServerFactory(Factory):
    """Accepts connections of callers, or of backend servers that call other services.

    Internal headers are trusted only on the listener for backend servers. ``memory``
    is what the listeners of a process hold together, ``max_connections`` that of this
    listener.
    """

    noisy = False

    def __init__(
        self,
        handler: Any,
        settings: Settings,
        trust_internal_headers: bool,
        memory: RequestMemory | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.handler: Handler = handler
        self.settings = settings
        self.limits = CallerLimits(body_bytes=settings.max_body_bytes)
        self.memory = memory or RequestMemory(settings.request_memory_bytes)
        self._max_connections = max_connections or settings.max_connections
        self._displaced_count = 0
        self._logged_counts = (0, 0, 0)
        self.trust_internal_headers = trust_internal_headers
        self.calls_in_progress = 0
        self.is_stopping = False
        # Whether answers ask callers to close their connections.
        self.closes_connections = False
        self.drained: Deferred[None] = Deferred()
        self._reactor = handler.reactor
        self._connections: set[CallerConnection] = set()
        self._sweep_call: Any = None
        listener = "services" if trust_internal_headers else "callers"
        self.handler.add_gauge(
            f"calls_in_progress.{listener}", lambda: self.calls_in_progress
        )
        self.handler.add_gauge(
            f"connections.{listener}", lambda: len(self._connections)
        )
        self.handler.add_gauge(
            f"connections_displaced.{listener}", lambda: self._displaced_count
        )

    def now(self) -> float:
        """Return the time in seconds."""
        return float(self._reactor.seconds())

    def buildProtocol(self, _address: Any) -> CallerConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return CallerConnection(self)

    def stop_accepting(self, *, closes_idle: bool = False) -> Deferred[None]:
        """Drain: close each connection after its current call.

        The result, also available as ``drained``, fires once no call is in progress
        and no request has been received in part. Idle connections are closed at that
        time, or immediately with ``closes_idle``.
        """
        if not self.is_stopping:
            self.is_stopping = self.closes_connections = True
            self._check_drained()
            if closes_idle:
                for connection in list(self._connections):
                    connection.close_if_idle()
        return self.drained

    def end_by_shutdown(self) -> None:
        """Answer all requests that are being received or served."""
        for connection in list(self._connections):
            connection.end_by_shutdown()

    def add(self, connection: CallerConnection) -> bool:
        """Add a connection; return False if there are too many that are in use."""
        if len(self._connections) >= self._max_connections:
            self._displace_connections()
        if len(self._connections) >= self._max_connections:
            return False
        self._connections.add(connection)
        if self._sweep_call is None:
            self._sweep_call = self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if self.is_stopping:
            self._check_drained()

    def call_started(self) -> None:
        """Count the start of a call."""
        self.calls_in_progress += 1

    def call_finished(self) -> None:
        """Count the end of a call."""
        self.calls_in_progress -= 1
        if self.is_stopping:
            self._check_drained()

    def _check_drained(self) -> None:
        if self.calls_in_progress or self.drained.called:
            return
        if any(each.is_receiving or each.is_lingering for each in self._connections):
            return
        self.drained.callback(None)
        for connection in list(self._connections):
            connection.close_if_idle()

    def _displace_connections(self) -> None:
        """Close some connections that are not in use, if there are any."""
        connections = list(self._connections)
        ranked = sorted(
            (rank, number)
            for number, each in enumerate(connections)
            if (rank := each.displacement_rank()) is not None
        )
        displaced_group, remaining = None, 1
        for (group, _), number in ranked:
            if remaining == 0 or displaced_group not in (None, group):
                return
            if not connections[number].displace():
                continue
            if displaced_group is None and group < KEPT_RANK:
                remaining += int(DISPLACED_SHARE * self._max_connections)
            displaced_group = group
            remaining -= 1
            self._displaced_count += 1

    def _log_shortage(self) -> None:
        memory = self.memory
        counts = (
            self._displaced_count,
            memory.refused_count,
            memory.displaced_count,
        )
        if counts != self._logged_counts:
            log.warning(
                "callers exceed this process: {} connections displaced, {} requests "
                "refused and {} displaced for lack of memory so far",
                *counts,
            )
            self._logged_counts = counts

    def _sweep(self) -> None:
        self._sweep_call = None
        now = self.now()
        for connection in list(self._connections):
            connection.check_deadline(now)
        self._log_shortage()
        if self._connections:
            self._sweep_call = self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
