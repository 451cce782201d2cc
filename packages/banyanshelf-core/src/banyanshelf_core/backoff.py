"""Exponential backoff with full jitter."""

import random

DEFAULT_BASE_S = 0.1
DEFAULT_LIMIT_S = 10.0
# Keeps the power finite; the default base reaches the limit much earlier.
MAX_DOUBLINGS = 32


class Backoff:
    """Delays between retries, each drawn uniformly from zero to a growing ceiling.

    The ceiling starts at ``base_s``, doubles with each retry and never exceeds
    ``limit_s``. Full jitter spreads the retries of many processes that failed at the
    same moment.
    """

    def __init__(
        self,
        rng: random.Random,
        base_s: float = DEFAULT_BASE_S,
        limit_s: float = DEFAULT_LIMIT_S,
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._limit_s = limit_s
        self._failures = 0

    @property
    def ceiling_s(self) -> float:
        """The longest delay that the next call of :meth:`next_delay` may return."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        return float(min(self._limit_s, self._base_s * 2**doublings))

    def next_delay(self) -> float:
        """Return the seconds to wait before the next retry."""
        delay = self._rng.uniform(0, self.ceiling_s)
        self._failures += 1
        return delay

    def reset(self) -> None:
        """Start over after a success."""
        self._failures = 0
