"""Estimates the service time of each class of calls at an upstream's normal rate."""

from __future__ import annotations

SAMPLE_WEIGHT = 0.05
# Before the first response, a call is assumed to take this share of its target time.
INITIAL_TARGET_SHARE = 0.3
MIN_TARGET_S = 0.01
# Upstreams are slower by this factor when nearly all slots are in use.
INITIAL_FULL_FACTOR = 1.5
FULL_FACTOR_BOUNDS = (1.0, 4.0)


class WorkEstimate:
    """Moving averages of the service time by work class, in seconds."""

    def __init__(self) -> None:
        self.full_factor = INITIAL_FULL_FACTOR
        self._average_by_class: dict[str, float] = {}
        self._samples_by_class: dict[str, int] = {}
        self._longest_target_s_by_class: dict[str, float] = {}

    def expected_work_s(self, work_class: str, target_s: float) -> float:
        """Return the expected service time of a work class at the normal rate."""
        average = self._average_by_class.get(work_class)
        if average is not None:
            return average
        # A call past its target takes as long as others of its class, so the longest
        # target seen decides.
        longest_s = self._longest_target_s_by_class.get(work_class, MIN_TARGET_S)
        longest_s = max(longest_s, target_s)
        self._longest_target_s_by_class[work_class] = longest_s
        return INITIAL_TARGET_SHARE * longest_s

    def add_sample(self, work_class: str, work_s: float, *, nearly_full: bool) -> None:
        """Record the service time, at the normal rate, of a complete response."""
        normal_work_s = work_s
        known = self._average_by_class.get(work_class)
        if nearly_full:
            if known:
                ratio = normal_work_s / known
                low, high = FULL_FACTOR_BOUNDS
                self.full_factor += SAMPLE_WEIGHT * (
                    min(high, max(low, ratio)) - self.full_factor
                )
            normal_work_s /= self.full_factor
        if known is None:
            self._average_by_class[work_class] = normal_work_s
            self._samples_by_class[work_class] = 1
            return
        samples = self._samples_by_class[work_class] = (
            self._samples_by_class[work_class] + 1
        )
        weight = max(SAMPLE_WEIGHT, 1 / samples)
        self._average_by_class[work_class] = known + weight * (normal_work_s - known)
