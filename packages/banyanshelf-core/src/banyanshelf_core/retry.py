"""Decides whether a failed attempt is retried and when a call is hedged."""

from __future__ import annotations

import enum
from collections import deque

from banyanshelf_core.text import Service

WINDOW_S = 10.0
MIN_RETRIES_PER_SECOND = 1.0
HEDGE_SAMPLES = 256
# Reactor timers can fire a millisecond late, so hedging calls that take less time only
# adds load: without this bound, 2% of the hop benchmark's calls were hedged.
MIN_HEDGE_DELAY_S = 0.002
# With fewer answers, the 95th percentile is not meaningful.
MIN_HEDGE_SAMPLES = 20
# Sorting the samples takes 11 µs, so the percentile is updated once per this many
# answers.
PERCENTILE_INTERVAL = 32
RETRIED_STATUSES = frozenset({500, 502, 503, 504})


class Failure(enum.Enum):
    """Failure of an attempt, classified by whether a retry is safe."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    CUT = "cut"
    ERROR = "error"
    EXHAUSTED = "exhausted"


class RetryBudget:
    """Limits retries and hedged attempts to a share of the recent calls.

    Calls and retries are counted per second over the last 10 s. One retry per second is
    allowed regardless of the share, so that a service with little traffic can retry; if
    ``spare`` is given, that many retries in 10 s are allowed beyond the share instead.
    """

    def __init__(self, share: float, spare: int | None = None) -> None:
        self._share = share
        self._spare = spare
        self._seconds: deque[list[float]] = deque()
        self._calls = 0
        self._retries = 0

    def note_call(self, now: float) -> None:
        """Count a call, which adds its share of a retry to the budget."""
        self._bucket(now)[1] += 1
        self._calls += 1

    def try_retry(self, now: float) -> bool:
        """Count a retry and return True if the budget covers it."""
        bucket = self._bucket(now)
        if self._spare is not None:
            if self._retries + 1 > self._share * self._calls + self._spare:
                return False
        elif self._retries + 1 > self._share * self._calls and (
            bucket[2] + 1 > MIN_RETRIES_PER_SECOND
        ):
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def refund(self, now: float) -> None:
        """Uncount a retry that was charged in this second but not made."""
        bucket = self._bucket(now)
        if bucket[2]:
            bucket[2] -= 1
            self._retries -= 1

    def _bucket(self, now: float) -> list[float]:
        second = now // 1.0
        seconds = self._seconds
        if not seconds or seconds[-1][0] != second:
            seconds.append([second, 0, 0])
            while seconds[0][0] <= second - WINDOW_S:
                _, calls, retries = seconds.popleft()
                self._calls -= int(calls)
                self._retries -= int(retries)
        return seconds[-1]


class RetryPolicy:
    """Retry and hedging rules of one service."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._budget = RetryBudget(service.retry_share, service.spare_retries)
        self._times_s: deque[float] = deque(maxlen=HEDGE_SAMPLES)
        self._since_percentile = 0
        self._hedge_delay_s: float | None = None

    def note_call(self, now: float) -> None:
        """Count a call for the retry budget."""
        self._budget.note_call(now)

    def note_answer(self, service_time_s: float) -> None:
        """Add the service time of an answered attempt."""
        self._times_s.append(service_time_s)
        self._since_percentile += 1
        if self._since_percentile >= PERCENTILE_INTERVAL or (
            len(self._times_s) == MIN_HEDGE_SAMPLES
        ):
            self._since_percentile = 0
            ordered = sorted(self._times_s)
            percentile_95 = ordered[len(ordered) * 95 // 100]
            self._hedge_delay_s = max(MIN_HEDGE_DELAY_S, percentile_95)

    @property
    def slow_answer_s(self) -> float:
        """Return the 95th percentile of the service time; 0 before enough answers."""
        return self._hedge_delay_s or 0.0

    def may_retry(
        self,
        failure: Failure,
        *,
        idempotent: bool,
        attempts: int,
        now: float,
        max_attempts: int = 0,
    ) -> bool:
        """Return whether another attempt may follow, and if so charge the budget.

        ``attempts`` counts those made so far; a ``max_attempts`` of 0 means the limit
        of the service. A request that did not reach the application may always be
        retried, any other one only if it is idempotent. If a deeper gateway has used up
        its retries, its answer is final.
        """
        if attempts >= (max_attempts or self._service.max_attempts):
            return False
        if failure is Failure.EXHAUSTED:
            return False
        is_safe = failure in (Failure.NOT_SENT, Failure.NOT_RUN)
        if not is_safe and not idempotent:
            return False
        return self._budget.try_retry(now)

    def hedge_delay_s(
        self, *, idempotent: bool, proposed_s: float | None = None
    ) -> float | None:
        """Return the delay before a hedged attempt, or None if there is to be none.

        The default delay is the 95th percentile of the service time.
        """
        if not idempotent or not self._service.hedge or self._service.max_attempts < 2:
            return None
        return self._hedge_delay_s if proposed_s is None else proposed_s

    def may_hedge(self, now: float) -> bool:
        """Return whether the budget covers a hedged attempt, and if so charge it."""
        return self._budget.try_retry(now)

    def refund(self, now: float) -> None:
        """Refund the charge for a retry or a hedged attempt that was not sent."""
        self._budget.refund(now)
