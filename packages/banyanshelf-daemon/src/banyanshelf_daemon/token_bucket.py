"""Token bucket over a clock that is passed in."""


class TokenBucket:
    """Admits ``rate`` units a second with a burst of ``burst`` units."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def available(self, now: float) -> float:
        """Return the units that can be taken at once."""
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + max(0.0, earned))
        self._refilled_at = now
        return self._tokens

    def take(self, units: float, now: float) -> bool:
        """Take ``units`` if there are enough; return whether they were taken."""
        if self.available(now) < units:
            return False
        self._tokens -= units
        return True
