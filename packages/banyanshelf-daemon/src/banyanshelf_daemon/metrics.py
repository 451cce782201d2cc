"""Metrics for a statsd server over UDP and in the Prometheus text format.

Names are prefixed with ``banyanshelf.MEMBER_ID``. Dots in service names are written as
underscores.

| name | type | unit |
|---|---|---|
| ``call.SERVICE.count`` | counter | calls received |
| ``call.SERVICE.time`` | timing | ms from the complete request to the answer |
| ``call.SERVICE.added`` | timing | ms of that spent outside the answering attempt |
| ``call.SERVICE.status.CODE`` | counter | answers by status |
| ``attempt.SERVICE.KIND`` | counter | attempts by ``AnswerKind`` |
| ``retry.SERVICE``, ``hedge.SERVICE`` | counter | retries and hedged attempts |
| ``claim.STATUS`` | counter | claim decisions |
| ``request.refused.CODE`` | counter | requests refused before routing |
| ``signal.KIND`` | counter | upstreams draining, refused, unreachable, closed, cut |
| ``queue.SERVICE.RESULT.PRIORITY`` | counter | waits that ended, by result |
| ``queue.SERVICE.wait`` | timing | ms until a waiting call was placed |
| ``queue.waiting`` | gauge | waiting calls |
| ``calls_in_progress.callers``, ``.services`` | gauge | calls by listener |
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator
from itertools import accumulate
from typing import Any

import statsd

from banyanshelf_daemon.settings import Address

FLUSH_INTERVAL_S = 1.0
# Timings are formatted one by one as they are recorded: formatting a whole batch at the
# flush would delay one call in 32 by 0.3 ms.
TIMINGS_PER_FLUSH = 64
# Upper bounds of the Prometheus histograms.
HISTOGRAM_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
# Fits into one Ethernet frame.
MAX_DATAGRAM_BYTES = 1432


class Metrics:
    """Collects metrics and sends them once a second, or after a batch of timings.

    Counters need no system call, and 64 timings need two. Without a statsd server and
    Prometheus, metrics are discarded.
    """

    def __init__(
        self, reactor: Any, address: Address | None = None, member_id: str = ""
    ) -> None:
        self._reactor = reactor
        self._client: Any = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host,
                address.port,
                prefix=f"banyanshelf.{escape_metric_name(member_id)}",
                maxudpsize=MAX_DATAGRAM_BYTES,
                ipv6=":" in address.host,
            )
        self._pending_counts: defaultdict[str, int] = defaultdict(int)
        self._timings: Any = self._client.pipeline() if self._client else None
        self._timing_count = 0
        self._gauges: dict[str, Callable[[], float]] = {}
        self._is_prometheus_enabled = False
        self._counter_totals: defaultdict[str, int] = defaultdict(int)
        self._histograms: dict[str, _Histogram] = {}
        self._flush_call: Any = None

    @property
    def is_enabled(self) -> bool:
        """Whether the metrics are sent or exposed anywhere."""
        return self._client is not None or self._is_prometheus_enabled

    def enable_prometheus(self) -> None:
        """Keep totals and histograms for :meth:`prometheus_text`."""
        self._is_prometheus_enabled = True

    def prometheus_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported here, as the import would slow down every start.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Return the metric families; called by the Prometheus client library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "banyanshelf_events", "events by name", labels=["name"]
        )
        for name, total in self._counter_totals.items():
            events.add_metric([name], total)
        times = HistogramMetricFamily(
            "banyanshelf_time_seconds", "durations by name", labels=["name"]
        )
        for name, histogram in self._histograms.items():
            times.add_metric([name], histogram.buckets(), histogram.sum_s)
        values = GaugeMetricFamily(
            "banyanshelf_value", "present values by name", labels=["name"]
        )
        for name, read in self._gauges.items():
            values.add_metric([name], read())
        yield from (events, times, values)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        if self._is_prometheus_enabled:
            self._counter_totals[name] += amount
        if self._client is None:
            return
        self._pending_counts[name] += amount
        if self._flush_call is None:
            self._schedule()

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a timing."""
        if self._is_prometheus_enabled:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._histograms[name] = _Histogram()
            histogram.add(milliseconds / 1000)
        if self._client is None:
            return
        self._timings.timing(name, milliseconds)
        self._timing_count += 1
        if self._timing_count >= TIMINGS_PER_FLUSH:
            self._send_timings()
        elif self._flush_call is None:
            self._schedule()

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, sent only when counters or timings are flushed."""
        self._gauges[name] = read

    def flush(self) -> None:
        """Send the collected metrics; send errors are ignored."""
        self._flush_call = None
        if self._client is None:
            return
        self._send_timings()
        pipeline = self._client.pipeline()
        for name, amount in self._pending_counts.items():
            pipeline.incr(name, amount)
        for name, read in self._gauges.items():
            pipeline.gauge(name, read())
        self._pending_counts.clear()
        pipeline.send()

    def stop(self) -> None:
        """Send the remaining metrics and close the socket."""
        if self._flush_call is not None:
            self._flush_call.cancel()
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def _send_timings(self) -> None:
        self._timings.send()
        self._timing_count = 0

    def _schedule(self) -> None:
        self._flush_call = self._reactor.callLater(FLUSH_INTERVAL_S, self.flush)


class _Histogram:
    """A histogram of durations."""

    def __init__(self) -> None:
        self.sum_s = 0.0
        self._bucket_counts = [0] * (len(HISTOGRAM_BOUNDS_S) + 1)

    def add(self, seconds: float) -> None:
        """Record one duration."""
        self.sum_s += seconds
        self._bucket_counts[bisect_left(HISTOGRAM_BOUNDS_S, seconds)] += 1

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative counts by upper bound."""
        bounds = [*(str(bound) for bound in HISTOGRAM_BOUNDS_S), "+Inf"]
        return list(zip(bounds, accumulate(self._bucket_counts), strict=True))


def escape_metric_name(name: str) -> str:
    """Replace all but letters, digits, ``-`` and ``_`` by ``_``, for statsd names."""
    return "".join(
        letter if letter.isalnum() or letter in "-_" else "_" for letter in name
    )
