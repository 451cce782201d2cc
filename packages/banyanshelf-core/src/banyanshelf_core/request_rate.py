"""Rations the requests that upstreams take from all gateways together.

Designed for limits far below one request a second and gateway: one place decides for an
upstream, so that the limit need not be divided among the gateways.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banyanshelf_core.model import UpstreamId
from banyanshelf_core.token_bucket import TokenBucket

# Unused requests are kept for this long, but at least one of them.
BURST_S = 0.5
# An upstream that takes fewer requests than one in this time gets a health probe this
# often, since only an answer tells that its limit has changed.
RECHECK_PERIOD_S = 4.0
# Upstreams come and go; their buckets are dropped after this time without a request.
UNUSED_BUCKET_TIMEOUT_S = 60.0
# A longer wait is not announced, as the limit may change meanwhile.
MAX_WAIT_S = 5.0


@dataclass(slots=True)
class _Bucket(TokenBucket):
    taken_at: float


class RequestRates:
    """One token bucket per upstream; times are in seconds.

    A bucket starts empty, so that a change of the gateway that decides adds nothing to
    what the upstream gets.

    Example:
        ``rates.take(now, "u1", 2.0)`` returns 0.0 if a request may be sent at once,
        otherwise the seconds until one may be.

    """

    def __init__(self) -> None:
        self._bucket_by_upstream: dict[UpstreamId, _Bucket] = {}

    def take(
        self, now: float, upstream_id: UpstreamId, per_s: float, *, is_probe: bool
    ) -> float:
        """Take one request, or return how long none is available, in seconds."""
        bucket = self._refilled(now, upstream_id, per_s)
        is_recheck = is_probe and now - bucket.taken_at >= RECHECK_PERIOD_S
        if bucket.available < 1 and not is_recheck:
            return self._wait_s(bucket)
        bucket.available = max(0.0, bucket.available - 1)
        bucket.taken_at = now
        return 0.0

    def wait_s(self, now: float, upstream_id: UpstreamId, per_s: float) -> float:
        """Return the seconds until a request is available, without taking it."""
        bucket = self._refilled(now, upstream_id, per_s)
        return 0.0 if bucket.available >= 1 else self._wait_s(bucket)

    def _refilled(self, now: float, upstream_id: UpstreamId, per_s: float) -> _Bucket:
        bucket = self._bucket_by_upstream.get(upstream_id)
        if bucket is None:
            self._drop_unused(now)
            bucket = _Bucket(per_s, 0.0, now, now)
            self._bucket_by_upstream[upstream_id] = bucket
            return bucket
        bucket.refill(now, per_s, max(1.0, BURST_S * per_s))
        return bucket

    def _drop_unused(self, now: float) -> None:
        for upstream_id, bucket in list(self._bucket_by_upstream.items()):
            if now - bucket.updated_at > UNUSED_BUCKET_TIMEOUT_S:
                del self._bucket_by_upstream[upstream_id]

    def _wait_s(self, bucket: _Bucket) -> float:
        missing = 1 - bucket.available
        wait_s = missing / bucket.per_s if bucket.per_s > 0 else math.inf
        return min(MAX_WAIT_S, wait_s)
