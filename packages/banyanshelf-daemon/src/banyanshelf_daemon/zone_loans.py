"""Lends room at this zone's upstreams to other zones, and borrows room of theirs.

A query and its offer are one datagram each, sent only while a service is short of room:
one query per service list, other zone and ``LOAN_PERIOD_S``. Only gateways that place
calls take part; another one passes a query on to the gateway that places its calls.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from logbook import Logger

from banyanshelf_core.datagrams import ReportRow, RoomOffer, RoomQuery
from banyanshelf_core.model import ServiceName, UpstreamId
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.lent_room import (
    LOAN_PERIOD_S,
    LOAN_VALIDITY_S,
    Borrowers,
    RoomNeed,
    ZoneState,
    lendable_calls,
)
from banyanshelf_core.placement.room import has_room, zone_state
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.load_sharing import LoadSharing
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.service_loads import ServiceLoads

# Upstreams that an offer names; a borrower sends a few calls until the next one.
MAX_OFFERED_UPSTREAMS = 12
# Services in one query, so that it fits into one datagram.
MAX_QUERIED_SERVICES = 16

log = Logger("zones")


class ZoneLoans:
    """What this gateway lends and borrows, by service.

    What is borrowed is noted in the service's selector, which places the calls.
    ``waiting_calls`` returns how many calls of a service wait for room here.

    Example:
        ``ZoneLoans(reactor, gossip, loads, sharing, queues.waiting_for, metrics)``
        borrows and lends between ``start`` and ``stop``.

    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        loads: ServiceLoads,
        sharing: LoadSharing,
        waiting_calls: Callable[[ServiceName], int],
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._loads = loads
        self._sharing = sharing
        self._waiting_calls = waiting_calls
        self._metrics = metrics
        self._identity = gossip.members.identity
        self._need_by_service: dict[ServiceName, RoomNeed] = {}
        self._borrowers_by_service: dict[ServiceName, Borrowers] = {}
        # Address of the gateway that lends for a zone, and when it last answered
        self._lender_by_zone: dict[str, tuple[str, float]] = {}
        self._task = PeriodicTask(reactor, self._ask, "zone loans")
        gossip.on_datagram(RoomQuery, self._on_query)
        gossip.on_datagram(RoomOffer, self._on_offer)
        metrics.gauge("zones.short_services", self._short_count)

    def start(self) -> None:
        """Start to watch the zone's room."""
        self._task.start(LOAN_PERIOD_S)

    def stop(self) -> None:
        """Stop the periodic task."""
        self._task.stop()

    # Borrowing

    def _ask(self) -> None:
        if self._sharing.peer_aggregator is not None:
            return
        short = [name for name in self._loads.active_services() if self._is_short(name)]
        if not short:
            return
        query = RoomQuery(
            self._identity.address,
            self._identity.id,
            short[:MAX_QUERIED_SERVICES],
        )
        for zone in self._gossip.members.known_zones() - {self._identity.zone}:
            address = self._lender_address(zone)
            if address is not None:
                self._gossip.send_to([address], query)

    def _is_short(self, service_name: ServiceName) -> bool:
        selector = self._loads.selector_by_service.get(service_name)
        if selector is None:
            return False
        need = self._need_by_service.setdefault(service_name, RoomNeed())
        was_short = need.is_short
        state = self._state(service_name, selector)
        is_short = need.update(
            self._reactor.seconds(), state.utilization, state.waiting
        )
        if is_short != was_short:
            log.info(
                "service {} {} in this zone: {:.1f} of {:.0f} slots in use, "
                "{} calls wait",
                service_name,
                "is short of room" if is_short else "has enough room",
                state.in_flight,
                state.slots,
                state.waiting,
            )
        return is_short

    def _state(
        self, service_name: ServiceName, selector: PlacementSelector
    ) -> ZoneState:
        waiting = self._waiting_calls(service_name)
        return zone_state(self._reactor.seconds(), selector, waiting)

    def _lender_address(self, zone: str) -> str | None:
        """Return the gateway that lends for a zone, or one that knows it."""
        now = self._reactor.seconds()
        lender = self._lender_by_zone.get(zone)
        if lender is not None and now - lender[1] <= 2 * LOAN_VALIDITY_S:
            return lender[0]
        members = self._gossip.members.active_in_zone(zone)
        if not members:
            return None
        # Rotating over the members finds one that is alive.
        index = int(now / LOAN_PERIOD_S) % len(members)
        return members[index].address

    def _on_offer(self, offer: RoomOffer, address: str) -> None:
        now = self._reactor.seconds()
        self._lender_by_zone[offer.zone] = address, now
        self._loads.apply_reports(offer.reports)
        for name, calls in offer.calls_by_service.items():
            selector = self._loads.selector_by_service.get(name)
            if selector is not None:
                selector.loans.note(now, offer.zone, calls)
                self._metrics.count("zones.calls_borrowed", calls)

    def _short_count(self) -> int:
        return sum(each.is_short for each in self._need_by_service.values())

    # Lending

    def _on_query(self, query: RoomQuery, _address: str) -> None:
        aggregator = self._sharing.peer_aggregator
        if aggregator is not None:
            if not query.is_forwarded:
                forwarded = RoomQuery(
                    query.reply_to, query.sender, query.services, True
                )
                self._gossip.send_to([aggregator.address], forwarded)
            return
        calls_by_service: dict[ServiceName, int] = {}
        reports: dict[UpstreamId, ReportRow] = {}
        for name in query.services:
            selector = self._loads.selector_by_service.get(name)
            if selector is None:
                continue
            calls = self._lendable(name, selector, query.sender)
            calls_by_service[name] = calls
            if calls:
                reports |= self._reports(selector)
                self._metrics.count("zones.calls_lent", calls)
        offer = RoomOffer(self._identity.zone, calls_by_service, reports)
        self._gossip.send_to([query.reply_to], offer)

    def _lendable(
        self, service_name: ServiceName, selector: PlacementSelector, borrower: str
    ) -> int:
        now = self._reactor.seconds()
        borrowers = self._borrowers_by_service.setdefault(service_name, Borrowers())
        borrowers.note(now, borrower)
        # In a small zone each gateway lends the room that it sees.
        lenders = 1
        if not self._sharing.is_aggregator:
            lenders += len(self._gossip.members.zone_members_by_id())
        state = self._state(service_name, selector)
        return lendable_calls(state, borrowers.count(now), lenders)

    def _reports(self, selector: PlacementSelector) -> dict[UpstreamId, ReportRow]:
        """Return the loads of the fastest upstreams with room."""
        now = self._reactor.seconds()
        with_room = [
            load
            for load in selector.local_loads()
            if load.takes_calls(now) and has_room(now, selector, load)
        ]
        with_room.sort(key=lambda load: -load.rate)
        return {
            load.upstream.id: (
                math.ceil(load.in_flight(now)),
                0,
                load.upstream.slots,
                int(100 / load.rate),
            )
            for load in with_room[:MAX_OFFERED_UPSTREAMS]
        }
