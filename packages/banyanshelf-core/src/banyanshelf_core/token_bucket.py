"""Token bucket of the limits that gateways keep for each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Requests that may be sent; times are in seconds.

    Example:
        ``TokenBucket(2.0, 0.0, now)`` holds one request half a second later, after
        ``bucket.refill(now + 0.5, 2.0, capacity)``.

    """

    per_s: float
    available: float
    updated_at: float

    def refill(self, now: float, per_s: float, capacity: float) -> None:
        """Add what the previous rate has gained, then change the rate."""
        gained = self.per_s * max(0.0, now - self.updated_at)
        self.available = min(capacity, self.available + gained)
        self.per_s, self.updated_at = per_s, now
