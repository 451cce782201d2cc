"""Learns how long the calls of each kind take at an upstream at its usual pace."""

from __future__ import annotations

SAMPLE_WEIGHT = 0.05
# Before the first answer, a call is presumed to take this share of its target.
INITIAL_TARGET_SHARE = 0.3
MIN_TARGET_S = 0.01
# Upstreams work slower when nearly all slots are taken.
INITIAL_FULL_FACTOR = 1.5
FULL_FACTOR_BOUNDS = (1.0, 4.0)


class WorkEstimate:
    """Moving averages of the service time by class of work, in seconds."""

    def __init__(self) -> None:
        self.full_factor = INITIAL_FULL_FACTOR
        self._average_by_class: dict[str, float] = {}
        self._samples_by_class: dict[str, int] = {}
        self._longest_target_s_by_class: dict[str, float] = {}

    def expected_work_s(self, work_class: str, target_s: float) -> float:
        """Return the usual service time of a class of work."""
        average = self._average_by_class.get(work_class)
        if average is not None:
            return average
        # A call whose target has passed takes no less time than others of its class.
        longest_s = self._longest_target_s_by_class.get(work_class, MIN_TARGET_S)
        longest_s = max(longest_s, target_s)
        self._longest_target_s_by_class[work_class] = longest_s
        return INITIAL_TARGET_SHARE * longest_s

    def add_sample(self, work_class: str, work_s: float, *, nearly_full: bool) -> None:
        """Take in a whole answer and its time at the usual pace."""
        at_usual_pace = work_s
        known = self._average_by_class.get(work_class)
        if nearly_full:
            if known:
                ratio = at_usual_pace / known
                low, high = FULL_FACTOR_BOUNDS
                self.full_factor += SAMPLE_WEIGHT * (
                    min(high, max(low, ratio)) - self.full_factor
                )
            at_usual_pace /= self.full_factor
        if known is None:
            self._average_by_class[work_class] = at_usual_pace
            self._samples_by_class[work_class] = 1
            return
        samples = self._samples_by_class[work_class] = (
            self._samples_by_class[work_class] + 1
        )
        weight = max(SAMPLE_WEIGHT, 1 / samples)
        self._average_by_class[work_class] = known + weight * (at_usual_pace - known)
