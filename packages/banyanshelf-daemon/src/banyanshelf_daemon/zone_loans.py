"""Lends room at this zone's upstreams to other zones, and borrows room of theirs.

A query and its offer are one datagram each, sent only while a service is short of room:
one query per service list, other zone and ``LOAN_PERIOD_S``. Only gateways that place
calls take part; another one passes a query on to the gateway that places its calls.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from logbook import Logger

from banyanshelf_core.datagrams import ReportRow, RoomOffer, RoomQuery
from banyanshelf_core.model import LoadReport, ServiceName, UpstreamId
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.lent_room import (
    LOAN_PERIOD_S,
    LOAN_VALIDITY_S,
    Lender,
    RoomNeed,
)
from banyanshelf_core.placement.room import (
    has_room,
    lendable_loads,
    lendable_state,
    zone_state,
)
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.load_sharing import LoadSharing
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.service_loads import ServiceLoads

# Upstreams that an offer names, over all services, so that it fits into one datagram. A
# borrower sends a few calls until the next one.
MAX_OFFERED_UPSTREAMS = 12
# Work that takes longer than this multiple of the usual is as good as stuck.
MAX_PACE_PERCENT = 100_000
# Services in one query, so that it fits into one datagram.
MAX_QUERIED_SERVICES = 16

log = Logger("zones")


class ZoneLoans:
    """What this gateway lends and borrows, by service.

    What is borrowed is noted in the service's selector, which places the calls.
    ``waiting_calls`` returns how many calls of a service wait for room here, and
    ``is_enabled`` whether the calls of a service wait for room at all; the others are
    not lent any.

    Example:
        ``ZoneLoans(reactor, gossip, loads, sharing, queues.waiting_for,
        queues.is_enabled, metrics)`` borrows and lends between ``start`` and ``stop``.

    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        loads: ServiceLoads,
        sharing: LoadSharing,
        waiting_calls: Callable[[ServiceName], int],
        is_enabled: Callable[[ServiceName], bool],
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._loads = loads
        self._sharing = sharing
        self._waiting_calls = waiting_calls
        self._is_enabled = is_enabled
        self._metrics = metrics
        self._identity = gossip.members.identity
        self._need_by_service: dict[ServiceName, RoomNeed] = {}
        self._lender_by_service: dict[ServiceName, Lender] = {}
        # Where the next query begins if there are too many services for one
        self._ask_position = 0
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
            self._need_by_service.clear()
            return
        active = [
            each for each in self._loads.active_services() if self._is_enabled(each)
        ]
        for name in self._need_by_service.keys() - set(active):
            del self._need_by_service[name]
        short = [name for name in active if self._update_need(name)]
        if not short:
            return
        begin = self._ask_position % len(short)
        self._ask_position = begin + MAX_QUERIED_SERVICES
        asked = (short[begin:] + short[:begin])[:MAX_QUERIED_SERVICES]
        query = RoomQuery(self._identity.address, self._identity.id, asked)
        for zone in self._gossip.members.known_zones() - {self._identity.zone}:
            address = self._lender_address(zone)
            if address is not None:
                self._gossip.send_to([address], query)

    def _update_need(self, service_name: ServiceName) -> bool:
        """Look at the room of a service; return whether it is short here."""
        selector = self._loads.selector_by_service[service_name]
        need = self._need_by_service.setdefault(service_name, RoomNeed())
        was_short = need.is_short
        now = self._reactor.seconds()
        state = zone_state(now, selector, self._waiting_calls(service_name))
        is_short = need.update(now, state.utilization, state.waiting)
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
        known_zones = self._gossip.members.known_zones()
        if offer.zone == self._identity.zone or offer.zone not in known_zones:
            log.warning("ignored an offer of room from zone {}", offer.zone)
            return
        self._lender_by_zone[offer.zone] = address, now
        for name, calls in offer.calls_by_service.items():
            selector = self._loads.selector_by_service.get(name)
            if selector is not None:
                selector.loans.record(now, offer.zone, calls, offer.reports)
                _apply_reports(now, selector, offer.reports)
                self._metrics.count("zones.calls_offered", calls)

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
            # Upstreams are probed for new reports while their service is in use.
            self._loads.mark_active(name)
            calls = self._lend(name, selector, query.sender)
            calls_by_service[name] = calls
            if calls:
                reports |= self._reports(selector, MAX_OFFERED_UPSTREAMS - len(reports))
                self._metrics.count("zones.calls_lent", calls)
        offer = RoomOffer(self._identity.zone, calls_by_service, reports)
        self._gossip.send_to([query.reply_to], offer)

    def _lend(
        self, service_name: ServiceName, selector: PlacementSelector, borrower: str
    ) -> int:
        need = self._need_by_service.get(service_name)
        if need is not None and need.is_short:
            return 0
        # In a small zone each gateway lends the room that it sees.
        lenders = 1
        if not self._sharing.is_aggregator:
            lenders += len(self._gossip.members.zone_members_by_id())
        now = self._reactor.seconds()
        state = lendable_state(now, selector, self._waiting_calls(service_name))
        lender = self._lender_by_service.setdefault(service_name, Lender())
        return lender.lend(now, borrower, state, lenders)

    def _reports(
        self, selector: PlacementSelector, most: int
    ) -> dict[UpstreamId, ReportRow]:
        """Return the loads of the fastest upstreams with room."""
        now = self._reactor.seconds()
        with_room = [
            load
            for load in lendable_loads(now, selector)
            if has_room(now, selector, load)
        ]
        with_room.sort(key=lambda load: -load.rate)
        return {
            load.upstream.id: (
                math.ceil(load.in_flight(now)),
                0,
                load.upstream.slots,
                min(MAX_PACE_PERCENT, int(100 / load.rate)),
            )
            for load in with_room[:most]
        }


def _apply_reports(
    now: float, selector: PlacementSelector, reports: Mapping[UpstreamId, ReportRow]
) -> None:
    """Apply the loads that a lender knows.

    They teach nothing about how long a pace lasts, as one report may be repeated.
    """
    for upstream_id, (running, waiting, slots, percent) in reports.items():
        load = selector.loads_by_id.get(upstream_id)
        if load is not None:
            pace = min(MAX_PACE_PERCENT, percent) / 100
            report = LoadReport(running, waiting, slots, pace)
            load.note_report(now, report, selector.pace.mean_rate)
