"""Slots, queue and service times of the backend stand-in."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import reactor

LOGNORMAL_SIGMA = 0.5


class ServiceTimes:
    """Seeded source of service times in seconds.

    ``distribution`` is ``exponential``, ``lognormal`` or ``fixed``.
    """

    def __init__(self, distribution: str, mean_s: float, seed: int) -> None:
        if distribution not in ("exponential", "lognormal", "fixed"):
            raise ValueError(f"unknown distribution {distribution!r}")
        self._distribution = distribution
        self._mean_s = mean_s
        self._random = random.Random(seed)

    def draw(self) -> float:
        """Return the next service time."""
        match self._distribution:
            case "exponential":
                return self._random.expovariate(1.0 / self._mean_s)
            case "lognormal":
                mu = math.log(self._mean_s) - LOGNORMAL_SIGMA**2 / 2
                return self._random.lognormvariate(mu, LOGNORMAL_SIGMA)
        return self._mean_s


@dataclass
class Job:
    """One request on a slot; ``finish`` gets the time served in seconds.

    ``deadline`` is in seconds of the reactor clock.
    """

    service_s: float
    deadline: float
    start: Callable[[], None]
    finish: Callable[[float], None]
    expire: Callable[[], None]
    started_at: float = 0.0
    timer: Any = None
    is_done: bool = False


@dataclass
class Usage:
    """Slot usage counters; the JSON names of ``/stats``. Times are in seconds.

    ``limited_at`` holds the arrivals while a request limit was stated, health probes
    included.
    """

    peak_concurrency: int = 0
    peak_queue: int = 0
    busy_s: float = 0.0
    probe_s: float = 0.0
    probes: int = 0
    started: int = 0
    finished: int = 0
    shed: int = 0
    expired: int = 0
    cancelled: int = 0
    runs_by_key: dict[str, int] = field(default_factory=dict)
    runs_by_token: dict[str, int] = field(default_factory=dict)
    limited_at: list[float] = field(default_factory=list)


class SlotQueue:
    """Runs jobs on a fixed number of slots in FIFO order."""

    def __init__(self, slots: int, usage: Usage) -> None:
        self.slots = slots
        self.usage = usage
        self.running: list[Job] = []
        self._waiting: deque[Job] = deque()

    @property
    def queued(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of jobs that run or wait."""
        return len(self.running) + len(self._waiting)

    def submit(self, job: Job) -> None:
        """Queue a job; it expires if its deadline passes before a slot is free."""
        self._waiting.append(job)
        self._start_waiting()
        self.usage.peak_queue = max(self.usage.peak_queue, self.queued)

    def _start_waiting(self) -> None:
        while self._waiting and len(self.running) < self.slots:
            self._start(self._waiting.popleft())

    def _start(self, job: Job) -> None:
        now = reactor.seconds()
        if now >= job.deadline:
            job.is_done = True
            self.usage.expired += 1
            job.expire()
            return
        self.running.append(job)
        self.usage.peak_concurrency = max(
            self.usage.peak_concurrency, len(self.running)
        )
        job.started_at = now
        job.start()
        job.timer = reactor.callLater(
            min(job.service_s, job.deadline - now), self._finish, job
        )

    def _finish(self, job: Job) -> None:
        now = reactor.seconds()
        served_s = now - job.started_at
        job.is_done = True
        self.running.remove(job)
        self.usage.busy_s += served_s
        if now >= job.deadline and served_s < job.service_s:
            self.usage.expired += 1
            job.expire()
        else:
            job.finish(served_s)
        self._start_waiting()

    def cancel(self, job: Job) -> None:
        """Cancel a job whose caller has disconnected, and free its slot."""
        if job.is_done:
            return
        job.is_done = True
        self.usage.cancelled += 1
        if job in self.running:
            job.timer.cancel()
            self.running.remove(job)
            self.usage.busy_s += reactor.seconds() - job.started_at
        else:
            self._waiting.remove(job)
        self._start_waiting()
