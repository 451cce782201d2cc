"""Token bucket; the caller passes the current time."""


class TokenBucket:
    """Admits ``rate`` units per second and bursts of up to ``burst`` units."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def available(self, now: float) -> float:
        """Return the units that are available now."""
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + max(0.0, earned))
        self._refilled_at = now
        return self._tokens

    def take(self, units: float, now: float) -> bool:
        """Take ``units`` if they are available; return whether they were taken."""
        if self.available(now) < units:
            return False
        self._tokens -= units
        return True
