"""Tells the gateways of the zone what upstreams say of themselves in their answers.

Each gateway keeps what it has heard for itself. The statements of others only spare
callers a request that would be refused, so that a lost one is not repeated.
"""

from __future__ import annotations

from typing import Any, Protocol

from banyanshelf_core.datagrams import UpstreamStatement
from banyanshelf_core.model import Upstream
from banyanshelf_core.retry_after import MAX_PAUSE_S
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.interfaces import UpstreamDirectory
from banyanshelf_daemon.service_loads import ServiceLoads

# Upstreams warm up in seconds.
MAX_COLD_S = 300.0


class DepartureDirectory(UpstreamDirectory, Protocol):
    """A directory that other gateways tell of departures."""

    def note_peer_leaving(self, upstream: Upstream) -> None:
        """Record that an upstream has stated to another gateway that it leaves."""


class UpstreamNotices:
    """Sends and receives :class:`UpstreamStatement`."""

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        directory: DepartureDirectory,
        loads: ServiceLoads,
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._directory = directory
        self._loads = loads
        gossip.on_datagram(UpstreamStatement, self._on_statement)

    def publish_leaving(self, upstream: Upstream) -> None:
        """Tell the other gateways that an upstream is leaving."""
        self._send(upstream, is_leaving=True)

    def publish_pause(self, upstream: Upstream, pause_s: float) -> None:
        """Tell the other gateways that an upstream wants no requests."""
        self._send(upstream, is_leaving=False, pause_s=pause_s)

    def publish_cold(self, upstream: Upstream, cold_s: float) -> None:
        """Tell the other gateways that an upstream is cold."""
        self._send(upstream, is_leaving=False, cold_s=cold_s)

    def _send(
        self,
        upstream: Upstream,
        *,
        is_leaving: bool,
        pause_s: float = 0.0,
        cold_s: float = 0.0,
    ) -> None:
        self._gossip.send_to_zone(
            UpstreamStatement(
                self._gossip.members.identity.id,
                upstream.service,
                upstream.id,
                upstream.incarnation,
                is_leaving,
                pause_s,
                cold_s,
            )
        )

    def _on_statement(self, statement: UpstreamStatement, _address: str) -> None:
        upstreams = self._directory.upstreams_by_id(statement.service)
        upstream = upstreams.get(statement.upstream)
        if upstream is None or upstream.incarnation != statement.incarnation:
            return
        if statement.is_leaving:
            self._directory.note_peer_leaving(upstream)
        elif statement.pause_s:
            until = self._reactor.seconds() + min(statement.pause_s, MAX_PAUSE_S)
            self._loads.note_pause(upstream, until)
        elif statement.cold_s:
            self._loads.note_cold(upstream, min(statement.cold_s, MAX_COLD_S))
