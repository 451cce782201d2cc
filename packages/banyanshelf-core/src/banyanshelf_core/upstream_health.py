"""Service times, outlier ejection and slow start of the upstreams of one service."""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import dataclass

from banyanshelf_core.model import AnswerKind, Upstream, UpstreamId, UpstreamState

# With exponential service times, an average of this weight stays below twice the median
# of the averages, while an upstream that is five times slower passes it after three
# responses.
SAMPLE_WEIGHT = 0.125
# A slow upstream yields only one sample per second, so each one weighs more.
SLOW_SAMPLE_WEIGHT = 0.3
SLOW_RATIO = 2.0
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0

FAILURES = frozenset(
    {AnswerKind.ERROR, AnswerKind.REFUSED, AnswerKind.CUT, AnswerKind.TIMEOUT}
)


@dataclass(slots=True)
class HealthRecord:
    """Health of one upstream; times are in seconds unless the name ends in ``_us``."""

    upstream: Upstream
    average_us: float = 0.0
    failures: int = 0
    ejected_until: float | None = None
    ejection_s: float = 0.0
    ramp_started_at: float | None = None
    is_trial_only: bool = False
    is_slow: bool = False
    total_samples: int = 0


class UpstreamHealth:
    """Moving averages of the service time and states of a service's upstreams.

    Upstreams in the first nonempty :meth:`set_upstreams` get all slots at once; later
    ones ramp up from one slot.
    """

    def __init__(
        self, time_limit_s: float, ramp_s: float, eject_after_failures: int
    ) -> None:
        self.time_limit_s = time_limit_s
        self.ramp_s = ramp_s
        self.eject_after_failures = eject_after_failures
        self.records_by_id: dict[UpstreamId, HealthRecord] = {}
        self.median_us = 0.0
        self.fast_mean_us = 0.0
        self._has_upstreams = False

    def apply(
        self, time_limit_s: float, ramp_s: float, eject_after_failures: int
    ) -> None:
        """Replace the settings; see the constructor."""
        self.time_limit_s = time_limit_s
        self.ramp_s = ramp_s
        self.eject_after_failures = eject_after_failures

    def set_upstreams(
        self, now: float, upstreams_by_id: Mapping[UpstreamId, Upstream]
    ) -> None:
        """Replace the upstreams; those that remain keep their health record."""
        previous = self.records_by_id
        self.records_by_id = {}
        for upstream_id, upstream in upstreams_by_id.items():
            record = previous.get(upstream_id)
            if record is None:
                record = HealthRecord(upstream)
                if self._has_upstreams:
                    record.ramp_started_at = now
            elif (
                record.upstream.state == UpstreamState.LEAVING
                and upstream.state == UpstreamState.LIVE
            ):
                record = HealthRecord(upstream, ramp_started_at=now)
            else:
                record.upstream = upstream
            self.records_by_id[upstream_id] = record
        self._has_upstreams = self._has_upstreams or bool(upstreams_by_id)

    def record(
        self, now: float, upstream_id: UpstreamId, service_time_us: int, kind: str
    ) -> bool:
        """Record how an attempt ended.

        Returns whether this made the upstream slow or ejected it.
        """
        record = self.records_by_id.get(upstream_id)
        if record is None:
            return False
        failed = kind in FAILURES
        time_us: float = service_time_us
        if failed or kind == AnswerKind.SHED:
            time_us = max(time_us, self.time_limit_s * 1e6)
        elif kind == AnswerKind.CANCELLED and time_us <= record.average_us:
            return False  # The service time of a call cancelled early is unknown.
        record.total_samples += 1
        if record.average_us:
            weight = SLOW_SAMPLE_WEIGHT if record.is_slow else SAMPLE_WEIGHT
            record.average_us += weight * (time_us - record.average_us)
        elif failed and self.median_us:
            record.average_us = self.median_us
            record.average_us += SAMPLE_WEIGHT * (time_us - self.median_us)
        else:
            record.average_us = max(1.0, time_us)
        was_slow = record.is_slow
        record.is_slow = (
            self.median_us > 0 and record.average_us > SLOW_RATIO * self.median_us
        )
        became_slow = record.is_slow and not was_slow
        if not failed:
            if kind == AnswerKind.ANSWERED:
                record.failures = 0
                record.is_trial_only = False
            return became_slow
        record.failures += 1
        if record.failures < self.eject_after_failures or record.ejected_until:
            return became_slow
        self.eject(now, upstream_id)
        return True

    def refresh(self, now: float) -> None:
        """Recompute the median and the mean, and end the ramps that are over."""
        averages = [
            each.average_us
            for each in self.records_by_id.values()
            if each.average_us
            and each.ejected_until is None
            and each.upstream.state == UpstreamState.LIVE
        ]
        self.median_us = statistics.median_low(averages) if averages else 0.0
        fast = [each for each in averages if each <= SLOW_RATIO * self.median_us]
        self.fast_mean_us = sum(fast) / len(fast) if fast else 0.0
        for record in self.records_by_id.values():
            record.is_slow = (
                self.median_us > 0 and record.average_us > SLOW_RATIO * self.median_us
            )
            if (
                record.ramp_started_at is not None
                and now - record.ramp_started_at >= self.ramp_s
                and not record.is_trial_only
            ):
                record.ramp_started_at = None
                record.ejection_s = 0.0

    def eject(self, now: float, upstream_id: UpstreamId) -> None:
        """Take an upstream out of use, each time for twice as long up to a limit."""
        record = self.records_by_id[upstream_id]
        record.ejection_s = min(
            MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * record.ejection_s)
        )
        record.ejected_until = now + record.ejection_s

    def readmit(self, now: float, upstream_id: UpstreamId, *, probed: bool) -> None:
        """Put an upstream back into use with one slot.

        Unless it was probed, it gets only trial calls until one of them is answered.
        One more failure ejects it again.
        """
        record = self.records_by_id[upstream_id]
        record.ejected_until = None
        record.ramp_started_at = now
        record.average_us = 0.0
        record.is_slow = False
        record.failures = self.eject_after_failures - 1
        record.is_trial_only = not probed

    def usable_slots(self, now: float, upstream_id: UpstreamId) -> int:
        """Return how many slots of an upstream may be granted at this time."""
        record = self.records_by_id.get(upstream_id)
        if (
            record is None
            or record.ejected_until is not None
            or record.upstream.state != UpstreamState.LIVE
        ):
            return 0
        slots = record.upstream.slots
        if record.is_trial_only:
            return min(1, slots)
        if record.ramp_started_at is None or self.ramp_s <= 0:
            return slots
        progress = min(1.0, (now - record.ramp_started_at) / self.ramp_s)
        return min(slots, 1 + int((slots - 1) * progress))

    def state(self, upstream_id: UpstreamId) -> str:
        """Return the state of an upstream for the status page."""
        record = self.records_by_id[upstream_id]
        if record.upstream.state != UpstreamState.LIVE:
            return str(record.upstream.state)
        if record.ejected_until is not None:
            return "ejected"
        if record.is_trial_only:
            return "readmitting"
        if record.is_slow:
            return "slow"
        return "ramping" if record.ramp_started_at is not None else "live"
