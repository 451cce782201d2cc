"""Model of the service rate of upstreams, and of how long a load report stays valid.

An upstream on a shared machine can slow down and recover within a fraction of a second.
From successive reports the model learns the mean service rate of a service's upstreams,
its variance, and how fast a reported rate returns to the mean.
"""

from __future__ import annotations

import math

# The learned decay rate starts at this value, which weighs as much as
# PRIOR_OBSERVATION_S seconds of observed reports.
PRIOR_DECAY_RATE_PER_S = 3.0
PRIOR_OBSERVATION_S = 4.0
DECAY_RATE_BOUNDS_PER_S = (0.2, 50.0)
# Reports that are further apart say little about the decay rate.
MAX_REPORT_GAP_S = 0.3
SAMPLE_WEIGHT = 0.005
# The initial mean rate of 1 weighs as much as this many reports.
PRIOR_SAMPLES = 5
# The function is smooth and increasing, so few steps of Newton's method suffice.
NEWTON_STEPS = 3
MIN_RATE = 0.02


class PaceModel:
    """Service rates of one service's upstreams; 1 is the normal rate.

    A rate is the reciprocal of the pace in a load report.

    Example:
        ``model.service_s(0.1, rate=0.25, age_s=0.0)`` is less than 0.4 s, because a
        slow upstream is expected to recover during the call.

    """

    def __init__(self) -> None:
        self.mean_rate = 1.0
        self.variance = 0.0
        self._samples = PRIOR_SAMPLES
        self._squared_changes = 0.0
        self._observed_s = 0.0

    @property
    def decay_rate_per_s(self) -> float:
        """Exponential rate at which a deviation from the mean rate decays."""
        low, high = DECAY_RATE_BOUNDS_PER_S
        if self.variance < 1e-4:
            return PRIOR_DECAY_RATE_PER_S
        learned = self._squared_changes / (2 * self.variance)
        prior = PRIOR_DECAY_RATE_PER_S * PRIOR_OBSERVATION_S
        rate = (learned + prior) / (self._observed_s + PRIOR_OBSERVATION_S)
        return min(high, max(low, rate))

    def add_sample(self, rate: float, previous_rate: float, gap_s: float) -> None:
        """Update the model with the rates of two successive reports of one upstream."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        difference = rate - self.mean_rate
        self.mean_rate += weight * difference
        self.variance += weight * (difference * difference - self.variance)
        if 0 < gap_s <= MAX_REPORT_GAP_S:
            change = rate - previous_rate
            self._squared_changes += change * change
            self._observed_s += gap_s

    def service_s(self, work_s: float, rate: float, age_s: float) -> float:
        """Return the expected duration of some work, in seconds.

        ``work_s`` is its duration at the normal rate, ``rate`` the last known rate of
        the upstream and ``age_s`` the age of that rate.
        """
        mean = max(MIN_RATE, self.mean_rate)
        decay_rate = self.decay_rate_per_s
        excess = (rate - mean) * math.exp(-decay_rate * age_s)
        # Started at the current rate, Newton's method converges from one side.
        seconds = work_s / max(MIN_RATE, mean + excess)
        for _ in range(NEWTON_STEPS):
            decay = math.exp(-decay_rate * seconds)
            done = mean * seconds + excess * (1 - decay) / decay_rate
            seconds -= (done - work_s) / max(MIN_RATE, mean + excess * decay)
        return seconds
