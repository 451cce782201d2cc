"""Open-loop load generator of several processes, and the sum of their results."""

from __future__ import annotations

import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from banyanshelf_bench.load_plan import LoadPlan, Stream, StreamResult, WorkerResult

HIGHEST_US = 120_000_000
START_UP_S = 1.5
FINISH_LIMIT_S = 60.0


def empty_histogram() -> Any:
    """Return an empty histogram for microseconds."""
    return HdrHistogram(1, HIGHEST_US, 3)


def percentiles_ms(histogram: Any) -> dict[str, float]:
    """Return count, mean, p50, p99, p99.9 and the maximum, in milliseconds."""
    count = int(histogram.get_total_count())
    if count == 0:
        return {"count": 0}
    percentiles = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99_9": 99.9, "max": 100.0}
    values = {
        name: round(histogram.get_value_at_percentile(percent) / 1000, 3)
        for name, percent in percentiles.items()
    }
    mean = round(histogram.get_mean_value() / 1000, 3)
    return {"count": count, "mean": mean, **values}


class StreamSummary:
    """One stream over all processes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.outcomes: Counter[str] = Counter()
        self.latency_by_second: dict[int, Any] = {}
        self.above_by_second: dict[int, Any] = {}
        self.not_run_tokens: list[str] = []
        self.failures: list[str] = []

    def add(self, result: StreamResult) -> None:
        """Add the result of one process."""
        self.outcomes.update(result.outcomes)
        self.not_run_tokens += result.not_run_tokens
        self.failures += result.failures
        for window in result.windows:
            for histograms, encoded in (
                (self.latency_by_second, window.latency),
                (self.above_by_second, window.above_service),
            ):
                histogram = histograms.setdefault(window.second, empty_histogram())
                histogram.decode_and_add(encoded)

    def latency(self, begin_s: float = 0, end_s: float = 1e9) -> dict[str, float]:
        """Return latencies of calls due in an interval, in milliseconds."""
        return percentiles_ms(_merge(self.latency_by_second, begin_s, end_s))

    def above_service(self, begin_s: float = 0, end_s: float = 1e9) -> dict[str, float]:
        """Return latencies above the service time in an interval, in milliseconds."""
        return percentiles_ms(_merge(self.above_by_second, begin_s, end_s))

    def p99_by_second(self) -> dict[int, float]:
        """Return the p99 latency above service time of each second."""
        return {
            second: percentiles_ms(histogram)["p99"]
            for second, histogram in sorted(self.above_by_second.items())
        }


def _merge(histograms: dict[int, Any], begin_s: float, end_s: float) -> Any:
    merged = empty_histogram()
    for second, histogram in histograms.items():
        if begin_s <= second < end_s:
            merged.add(histogram)
    return merged


class LoadSummary:
    """All streams, and how well the generator kept its plan."""

    def __init__(self, results: list[WorkerResult]) -> None:
        self.stream_by_name: dict[str, StreamSummary] = {}
        lateness = empty_histogram()
        for result in results:
            lateness.decode_and_add(result.lateness)
            for stream in result.streams:
                summary = self.stream_by_name.setdefault(
                    stream.name, StreamSummary(stream.name)
                )
                summary.add(stream)
        self.lateness = percentiles_ms(lateness)
        self.cpu_s = [round(result.cpu_s, 2) for result in results]
        self.redirected = sum(result.redirected for result in results)

    def outcomes(self) -> Counter[str]:
        """Return the outcomes of all streams together."""
        return sum(
            (stream.outcomes for stream in self.stream_by_name.values()), Counter()
        )

    def failures(self) -> list[str]:
        """Return samples of calls that were not answered as wanted."""
        return [
            failure
            for stream in self.stream_by_name.values()
            for failure in stream.failures
        ]


class LoadRun:
    """A load generator at work; ``start_at`` is on the monotonic clock."""

    def __init__(
        self, plans: list[LoadPlan], processes: list[subprocess.Popen[bytes]]
    ) -> None:
        self.start_at = plans[0].start_at
        self._end_s = max(stream.end_s for stream in plans[0].streams)
        self._timeout_s = plans[0].timeout_s
        self._processes = processes

    def sleep_until(self, offset_s: float) -> None:
        """Sleep until ``offset_s`` seconds after the start of the load."""
        time.sleep(max(0.0, self.start_at + offset_s - time.monotonic()))

    def finish(self) -> LoadSummary:
        """Wait for the last answers and return the sum of all results."""
        limit = self.start_at + self._end_s + self._timeout_s + FINISH_LIMIT_S
        results = []
        for process in self._processes:
            wait = max(1.0, limit - time.monotonic())
            output, _ = process.communicate(timeout=wait)
            results.append(msgspec.json.decode(output, type=WorkerResult))
        return LoadSummary(results)


@contextmanager
def running_load(
    streams: list[Stream],
    seed: int,
    processes: int = 3,
    timeout_s: float = 5.0,
    health_by_address: dict[str, str] | None = None,
) -> Iterator[LoadRun]:
    """Start the processes; each sends an equal share of every open-loop stream."""
    start_at = time.monotonic() + START_UP_S
    plans = [
        LoadPlan(
            streams=[_share(stream, worker, processes) for stream in streams],
            seed=seed,
            start_at=start_at,
            worker=worker,
            timeout_s=timeout_s,
            health_by_address=health_by_address or {},
        )
        for worker in range(processes)
    ]
    children: list[subprocess.Popen[bytes]] = []
    try:
        for plan in plans:
            child = subprocess.Popen(
                [sys.executable, "-m", "banyanshelf_bench.load_worker"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            children.append(child)
            assert child.stdin is not None
            child.stdin.write(msgspec.json.encode(plan))
            child.stdin.close()
            child.stdin = None
        yield LoadRun(plans, children)
    finally:
        for child in children:
            child.kill()
            child.wait()
            if child.stdout is not None:
                child.stdout.close()


def _share(stream: Stream, worker: int, workers: int) -> Stream:
    if stream.per_address:
        own = stream.addresses[worker::workers]
        return msgspec.structs.replace(stream, addresses=own)
    return msgspec.structs.replace(stream, rate=stream.rate / workers)
