"""Load of the upstreams of all services, as one gateway knows it."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from logbook import Logger

from banyanshelf_core.datagrams import LimitRow, ReportRow
from banyanshelf_core.model import LoadReport, ServiceName, Upstream, UpstreamId
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.upstream_load import ColdRules, UpstreamLoad
from banyanshelf_core.request_limit import StatedLimit, describe_limit
from banyanshelf_core.retry_after import UpstreamPauses
from banyanshelf_daemon.interfaces import (
    ActiveText,
    ConfigurationSource,
    UpstreamDirectory,
)

# The upstreams of a service are not probed after this time without a call.
SERVICE_IDLE_TIMEOUT_S = 1.0

log = Logger("loads")


class ServiceLoads:
    """Placement selectors by service.

    They are updated from the configuration text, the upstream directory and the load
    updates of other gateways.
    """

    def __init__(
        self,
        reactor: Any,
        zone: str,
        configuration: ConfigurationSource,
        directory: UpstreamDirectory,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._zone = zone
        self._configuration = configuration
        self._directory = directory
        self._rng = rng
        self.selector_by_service: dict[ServiceName, PlacementSelector] = {}
        self._service_by_upstream: dict[UpstreamId, ServiceName] = {}
        self._active_until_by_service: dict[ServiceName, float] = {}
        # An entry that is missing for some time takes the load with it, not the pause.
        self._pauses = UpstreamPauses()

    def start(self) -> None:
        """Subscribe to changes of the configuration text and the upstreams."""
        self._configuration.on_change(self._on_text)
        self._directory.on_upstreams_change(self._on_upstreams_change)
        self._on_upstreams_change()

    def selector_for(self, upstream_id: UpstreamId) -> PlacementSelector | None:
        """Return the selector of the service that an upstream belongs to."""
        service_name = self._service_by_upstream.get(upstream_id)
        return None if service_name is None else self.selector_by_service[service_name]

    def load_of(self, upstream_id: UpstreamId) -> UpstreamLoad | None:
        """Return the load of an upstream, or None if it is not known."""
        selector = self.selector_for(upstream_id)
        return None if selector is None else selector.loads_by_id.get(upstream_id)

    def stated_limits(self) -> dict[UpstreamId, StatedLimit]:
        """Return the upstreams that state a limit, and their statements."""
        return {
            upstream_id: load.stated_limit
            for selector in self.selector_by_service.values()
            for upstream_id, load in selector.loads_by_id.items()
            if load.stated_limit.per_s is not None
        }

    def mark_active(self, service_name: ServiceName) -> None:
        """Mark a service as active after a call of this or another gateway."""
        self._active_until_by_service[service_name] = (
            self._reactor.seconds() + SERVICE_IDLE_TIMEOUT_S
        )

    def active_selectors(self) -> list[PlacementSelector]:
        """Return the selectors of the services that had a call recently."""
        return [self.selector_by_service[name] for name in self.active_services()]

    def active_services(self) -> list[ServiceName]:
        """Return the services that had a call recently."""
        now = self._reactor.seconds()
        return [
            service_name
            for service_name in self.selector_by_service
            if now <= self._active_until_by_service.get(service_name, 0.0)
        ]

    def note_report(self, upstream_id: UpstreamId, report: LoadReport) -> bool:
        """Apply a load report; return whether the upstream is known."""
        selector = self.selector_for(upstream_id)
        if selector is None:
            return False
        selector.note_report(self._reactor.seconds(), upstream_id, report)
        return True

    def note_request_limit(self, upstream_id: UpstreamId, stated: StatedLimit) -> bool:
        """Apply what an upstream states; return whether its limit has changed."""
        selector = self.selector_for(upstream_id)
        if selector is None or not selector.note_request_limit(upstream_id, stated):
            return False
        log.info(describe_limit(upstream_id, stated))
        return True

    def note_pause(self, upstream: Upstream, until: float) -> bool:
        """Apply that an upstream wants no requests; return whether that is news."""
        if not self._pauses.note(upstream, until):
            return False
        load = self.load_of(upstream.id)
        if load is not None:
            load.paused_until = self._pauses.until(load.upstream)
        wait_s = until - self._reactor.seconds()
        log.info("upstream {} wants no requests for {:.3f} s", upstream.id, wait_s)
        return True

    def note_cold(self, upstream: Upstream, cold_s: float) -> bool:
        """Record for how long an upstream is cold; return whether that is news."""
        load = self.load_of(upstream.id)
        if load is None or load.upstream.incarnation != upstream.incarnation:
            return False
        if not load.note_cold(self._reactor.seconds() + cold_s):
            return False
        if cold_s:
            log.info("upstream {} is cold for {:.3f} s", upstream.id, cold_s)
        return True

    def cold_upstreams(self) -> int:
        """Return how many upstreams are cold."""
        now = self._reactor.seconds()
        return sum(
            now < load.cold_until
            for selector in self.selector_by_service.values()
            for load in selector.loads_by_id.values()
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the load figures for the status page."""
        now = self._reactor.seconds()
        return {
            service_name: {
                upstream_id: {
                    "own": load.own_calls,
                    "in_flight": round(load.in_flight(now), 2),
                    "pace": round(1 / load.rate, 2),
                    "failure_share": round(load.failure_share(now), 2),
                    "ejected": load.is_ejected(now),
                    "request_limit": load.limit(now).per_s,
                    "cold_s": round(max(0.0, load.cold_until - now), 3),
                    "paused_s": round(max(0.0, load.paused_until - now), 3),
                }
                for upstream_id, load in selector.loads_by_id.items()
            }
            for service_name, selector in self.selector_by_service.items()
        }

    # Changes

    def _on_text(self, active: ActiveText) -> None:
        services = active.text.services
        for name in [each for each in self.selector_by_service if each not in services]:
            del self.selector_by_service[name]
        self._on_upstreams_change()

    def _on_upstreams_change(self) -> None:
        active = self._configuration.active()
        if active is None:
            return
        now = self._reactor.seconds()
        self._service_by_upstream.clear()
        for name, service in active.text.services.items():
            selector = self.selector_by_service.get(name)
            if selector is None:
                selector = PlacementSelector(self._rng, self._zone)
                self.selector_by_service[name] = selector
            selector.cold_rules = ColdRules.from_config(service)
            upstreams = self._directory.upstreams_by_id(name)
            selector.set_upstreams(now, upstreams)
            for upstream_id, upstream in upstreams.items():
                self._service_by_upstream[upstream_id] = name
                load = selector.loads_by_id[upstream_id]
                load.paused_until = self._pauses.until(upstream)

    # Updates of other gateways

    def apply_counts(
        self, source: str, counts: Mapping[UpstreamId, int], *, is_full_snapshot: bool
    ) -> None:
        """Apply another gateway's counts; a full snapshot replaces all earlier ones."""
        if is_full_snapshot:
            self._forget_source(source)
        for upstream_id, count in counts.items():
            service_name = self._service_by_upstream.get(upstream_id)
            if service_name is None:
                continue
            selector = self.selector_by_service[service_name]
            selector.set_member_counts(source, {upstream_id: count})
            if not is_full_snapshot:
                self.mark_active(service_name)

    def apply_totals(self, source: str, totals: Mapping[UpstreamId, int]) -> None:
        """Apply the counts of the whole zone, which include this gateway's calls."""
        for upstream_id, total in totals.items():
            service_name = self._service_by_upstream.get(upstream_id)
            if service_name is None:
                continue
            selector = self.selector_by_service[service_name]
            own = selector.loads_by_id[upstream_id].own_calls
            selector.set_member_counts(source, {upstream_id: max(0, total - own)})
            if total > own:
                self.mark_active(service_name)

    def apply_results(self, results: Iterable[tuple[UpstreamId, str]]) -> None:
        """Apply the results of calls of other gateways."""
        now = self._reactor.seconds()
        for upstream_id, kind in results:
            service_name = self._service_by_upstream.get(upstream_id)
            if service_name is not None:
                self.selector_by_service[service_name].note_result(
                    now, upstream_id, kind
                )

    def apply_reports(self, reports: Mapping[UpstreamId, ReportRow]) -> None:
        """Apply load reports that other gateways received."""
        now = self._reactor.seconds()
        for upstream_id, (running, waiting, slots, percent) in reports.items():
            service_name = self._service_by_upstream.get(upstream_id)
            if service_name is not None:
                report = LoadReport(running, waiting, slots, percent / 100)
                self.selector_by_service[service_name].note_report(
                    now, upstream_id, report
                )

    def apply_limits(self, limits: Mapping[UpstreamId, LimitRow]) -> None:
        """Apply request limits that other gateways have heard of."""
        now = self._reactor.seconds()
        for upstream_id, row in limits.items():
            self.note_request_limit(upstream_id, StatedLimit.from_row(now, row))

    def retain_sources(self, sources: Collection[str]) -> None:
        """Drop the counts of all sources but these."""
        for selector in self.selector_by_service.values():
            selector.forget_members(sources)

    def _forget_source(self, source: str) -> None:
        for selector in self.selector_by_service.values():
            for load in selector.loads_by_id.values():
                load.calls_by_member.pop(source, None)
