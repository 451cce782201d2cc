"""What the load generator sends, and what its processes hand back."""

from __future__ import annotations

import msgspec


class Stream(msgspec.Struct, kw_only=True):
    """Calls of one kind; ``rate`` is in calls per second over all processes.

    ``per_address`` above 0 replaces the open loop by that many callers per address, of
    which each sends its next call ``think_ms`` after the last answer. ``keyed`` gives
    each call an idempotency key of its own. Times are in seconds from the start.
    """

    name: str
    addresses: list[str]
    host: str
    rate: float = 0.0
    per_address: int = 0
    think_ms: float = 0.0
    begin_s: float = 0.0
    end_s: float = 10.0
    method: str = "GET"
    path: str = "/items"
    body_bytes: int = 0
    keyed: bool = False
    headers: dict[str, str] = {}


class LoadPlan(msgspec.Struct, kw_only=True):
    """The work of one process of the load generator.

    ``start_at`` is on the monotonic clock that all processes share.
    ``health_addresses`` are polled like a platform's balancer does; a daemon that fails
    gets no new calls.
    """

    streams: list[Stream]
    seed: int
    start_at: float
    worker: int = 0
    timeout_s: float = 5.0
    health_by_address: dict[str, str] = {}


class Window(msgspec.Struct):
    """Histograms of the calls that were due in one second, in microseconds."""

    second: int
    latency: str
    above_service: str


class StreamResult(msgspec.Struct):
    """What became of one stream's calls."""

    name: str
    outcomes: dict[str, int]
    windows: list[Window]
    not_run_tokens: list[str]
    failures: list[str]


class WorkerResult(msgspec.Struct):
    """What one process hands back; ``lateness`` is of sending against the plan."""

    streams: list[StreamResult]
    lateness: str
    cpu_s: float
    redirected: int
