"""Settings of holders and coordinators, and their state for the status page."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from banyanshelf_core.model import ServiceName, Upstream, UpstreamId
from banyanshelf_core.permits.coordinator import SlotCoordinator
from banyanshelf_core.permits.holder import PermitHolder
from banyanshelf_core.permits.settings import CoordinatorSettings, HolderSettings
from banyanshelf_core.text import OperatorText, Service


def holder_settings(text: OperatorText, name: ServiceName) -> HolderSettings:
    """Return the settings of a service's permit holder."""
    service = text.services[name]
    return HolderSettings(
        service.queue_limit,
        service.caller_weights,
        service.timeout_ms / 1e3,
        text.protection.ramp_ms / 1e3,
        text.protection.eject_after_failures,
    )


def coordinator_settings(text: OperatorText, name: ServiceName) -> CoordinatorSettings:
    """Return the settings of a service's slot coordinator."""
    return CoordinatorSettings(
        text.services[name].timeout_ms / 1e3,
        text.protection.ramp_ms / 1e3,
        text.protection.eject_after_failures,
        text.measuring.probe_share,
        text.measuring.probe_cost_ms / 1e3,
    )


def cap_upstream_slots(
    upstreams_by_id: Mapping[UpstreamId, Upstream], service: Service | None
) -> dict[UpstreamId, Upstream]:
    """Return the upstreams, their slots capped by the configuration text."""
    if service is None:
        return dict(upstreams_by_id)
    limit = service.slots_per_upstream
    return {
        upstream_id: upstream._replace(slots=min(upstream.slots, limit))
        for upstream_id, upstream in upstreams_by_id.items()
    }


def service_snapshot(
    now: float, holder: PermitHolder, coordinator: SlotCoordinator | None
) -> dict[str, Any]:
    """Return the state of one service; keys name the units of times.

    Counts cover this gateway only, except ``granted``, which covers all gateways. Like
    the probe times, ``granted`` is present only at the coordinator.
    """
    source = holder.local.health if coordinator is None else coordinator.health
    upstreams: dict[str, dict[str, Any]] = {}
    for upstream_id, record in source.records_by_id.items():
        slots = record.upstream.slots
        view: dict[str, Any] = {
            "state": source.state(upstream_id),
            "slots": slots,
            "in_use": holder.counts.in_use[upstream_id],
            "idle": holder.counts.idle[upstream_id],
            "average_service_time_us": round(record.average_us),
        }
        if coordinator is not None:
            budget = coordinator.budget
            view["granted"] = coordinator.ledger.outstanding[upstream_id]
            view["limit"] = source.usable_slots(now, upstream_id)
            view["probe_time_s"] = budget.spent_s(now, upstream_id)
            view["probe_budget_s"] = budget.allowance_s(now, slots)
        upstreams[upstream_id] = view
    return {
        "coordinator": holder.epoch.member_id,
        "epoch": holder.epoch.number,
        "is_coordinator": coordinator is not None,
        "coordinator_reachable": holder.is_reachable,
        "contended": holder.is_contended,
        "waiting": len(holder.queue),
        "calls_in_progress": holder.counts.calls,
        "upstreams": upstreams,
    }
