"""Admission by the baseline policies, for comparison with permits."""

from __future__ import annotations

import random
from collections.abc import Mapping

from banyanshelf_core.baselines import BaselineSelector
from banyanshelf_core.model import ServiceName, Upstream, UpstreamId
from banyanshelf_core.text import PolicyName
from banyanshelf_daemon.interfaces import Permit, PermitRequest

NO_RETRY_TIME_S = 1.0


class BaselineAdmission:
    """Admits each call immediately, without a coordinator or slot limits."""

    def __init__(self, policy: PolicyName, rng: random.Random) -> None:
        self.policy = policy
        self._rng = rng
        self._choices_by_service: dict[ServiceName, BaselineSelector] = {}
        self._upstreams_by_service: dict[ServiceName, Mapping[UpstreamId, Upstream]]
        self._upstreams_by_service = {}

    def set_upstreams(
        self, service_name: ServiceName, upstreams_by_id: Mapping[UpstreamId, Upstream]
    ) -> None:
        """Set the upstreams of a service."""
        choice = self._choices_by_service.get(service_name)
        if choice is None:
            choice = BaselineSelector(self.policy, self._rng)
            self._choices_by_service[service_name] = choice
        choice.set_upstreams(upstreams_by_id)
        self._upstreams_by_service[service_name] = upstreams_by_id

    def note_load_report(
        self,
        service_name: ServiceName,
        upstream_id: UpstreamId,
        in_flight: int,
        slots: int,
    ) -> None:
        """Apply a load report from an answer."""
        choice = self._choices_by_service[service_name]
        choice.note_load_report(upstream_id, in_flight, slots)

    def acquire(
        self, service_name: ServiceName, request: PermitRequest, number: int
    ) -> Permit | None:
        """Return a permit, or None if the service has no upstream for the call."""
        choice = self._choices_by_service[service_name]
        upstream_id = choice.choose(request.excluded)
        if upstream_id is None:
            return None
        upstreams = self._upstreams_by_service[service_name]
        return Permit(upstreams[upstream_id], 0, self.policy, len(upstreams), number)

    def release(self, service_name: ServiceName, upstream_id: UpstreamId) -> None:
        """Remove a call from the local counts."""
        self._choices_by_service[service_name].end_call(upstream_id)
