"""How fast upstreams work, and for how long a load report tells the truth about it.

An upstream that shares its machine turns slow and fast again within a fraction of a
second. The model learns from successive reports how fast the upstreams of a service
work on average, how much that varies, and how soon a figure is forgotten.
"""

from __future__ import annotations

import math

# Before enough reports, figures are presumed to be forgotten at this rate.
PRIOR_DECAY_RATE_PER_S = 3.0
PRIOR_OBSERVATION_S = 4.0
DECAY_RATE_BOUNDS_PER_S = (0.2, 50.0)
# Reports that lie further apart tell little about the rate of forgetting.
MAX_REPORT_GAP_S = 0.3
SAMPLE_WEIGHT = 0.005
# The first reports count as much as this many would at the usual pace.
PRIOR_SAMPLES = 5
# Newton steps; the function is smooth and increasing, so that few are enough.
NEWTON_STEPS = 3
MIN_RATE = 0.02


class PaceModel:
    """Rates of work of one service's upstreams; a rate of 1 is the usual pace.

    Example:
        ``model.service_s(0.1, rate=0.25, age_s=0.0)`` is less than 0.4 s, as a slow
        upstream is expected to recover while it works.

    """

    def __init__(self) -> None:
        self.mean_rate = 1.0
        self.variance = 0.0
        self._samples = PRIOR_SAMPLES
        self._squared_changes = 0.0
        self._observed_s = 0.0

    @property
    def decay_rate_per_s(self) -> float:
        """Rate at which the difference to the mean is expected to vanish."""
        low, high = DECAY_RATE_BOUNDS_PER_S
        if self.variance < 1e-4:
            return PRIOR_DECAY_RATE_PER_S
        learned = self._squared_changes / (2 * self.variance)
        presumed = PRIOR_DECAY_RATE_PER_S * PRIOR_OBSERVATION_S
        rate = (learned + presumed) / (self._observed_s + PRIOR_OBSERVATION_S)
        return min(high, max(low, rate))

    def add_sample(self, rate: float, previous_rate: float, gap_s: float) -> None:
        """Take in two successive reports of one upstream."""
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
        """Return how long work is expected to take.

        ``work_s`` is its time at the usual pace, ``rate`` the last known rate of the
        upstream and ``age_s`` the age of that figure.
        """
        mean = max(MIN_RATE, self.mean_rate)
        forgetting = self.decay_rate_per_s
        excess = (rate - mean) * math.exp(-forgetting * age_s)
        # Newton's method converges from one side if it starts with the present rate.
        seconds = work_s / max(MIN_RATE, mean + excess)
        for _ in range(NEWTON_STEPS):
            faded = math.exp(-forgetting * seconds)
            done = mean * seconds + excess * (1 - faded) / forgetting
            seconds -= (done - work_s) / max(MIN_RATE, mean + excess * faded)
        return seconds
