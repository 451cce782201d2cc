"""What one gateway knows about the load of one upstream."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from banyanshelf_core.model import LoadReport, MemberId, Upstream

# Calls of gateways that do not share their counts are known from reports only. They
# are presumed to be over after about the time of a call.
UNATTRIBUTED_CALL_DECAY_S = 0.15
# Failures of the last seconds decide; an upstream that has recovered is used again.
FAILURE_WEIGHT = 0.25
FAILURE_DECAY_S = 4.0
MIN_PACE = 0.1
# A report describes the time up to the next one, for this long at most.
REPORT_VALIDITY_S = 0.2
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0


@dataclass(slots=True)
class UpstreamLoad:
    """Counts, reports and failures of one upstream; times in seconds.

    ``own`` counts this gateway's calls in progress, ``calls_by_member`` those of the
    gateways that share their counts. ``rate`` is the rate of work in the last report.
    """

    upstream: Upstream
    cold_until: float = 0.0
    own_calls: int = 0
    calls_by_member: dict[MemberId, int] = field(default_factory=dict)
    reported_at: float = -math.inf
    probed_at: float = -math.inf
    consecutive_failures: int = 0
    ejected_until: float = -math.inf
    ejection_s: float = 0.0
    needs_probe: bool = False
    rate: float = 1.0
    _progress_s: float = 0.0
    _progress_at: float = 0.0
    _foreign: float = 0.0
    _failure_share: float = 0.0
    _failure_at: float = 0.0

    @property
    def known_calls(self) -> int:
        """Calls in progress of this gateway and of those that share their counts."""
        return self.own_calls + sum(self.calls_by_member.values())

    def in_flight(self, now: float) -> float:
        """Return the expected number of calls at the upstream, from all gateways."""
        if self._foreign < 0.01:
            return self.known_calls
        age_s = now - self.reported_at
        return self.known_calls + self._foreign * math.exp(
            -age_s / UNATTRIBUTED_CALL_DECAY_S
        )

    def advance(self, now: float, mean_rate: float) -> float:
        """Return the work, in seconds at the usual pace, that a slot does up to now.

        Only differences have a meaning. Where reports lie far apart, the mean rate is
        presumed.
        """
        since_s = now - self._progress_at
        known_until = self.reported_at + REPORT_VALIDITY_S
        known_s = min(since_s, max(0.0, known_until - self._progress_at))
        self._progress_s += self.rate * known_s + mean_rate * (since_s - known_s)
        self._progress_at = now
        return self._progress_s

    def failure_share(self, now: float) -> float:
        """Return the share of recent calls that failed."""
        if self._failure_share < 0.01:
            return 0.0
        age_s = now - self._failure_at
        return self._failure_share * math.exp(-age_s / FAILURE_DECAY_S)

    def is_ejected(self, now: float) -> bool:
        """Whether the upstream is out of use after failures in a row."""
        return self.needs_probe or now < self.ejected_until

    def note_report(self, now: float, report: LoadReport, mean_rate: float) -> None:
        """Take in a load report; it counts the call whose answer brought it."""
        self.advance(now, mean_rate)
        self.reported_at = now
        self.rate = 1 / max(MIN_PACE, report.pace)
        self._foreign = max(0.0, report.running + report.waiting - self.known_calls)

    def note_result(self, now: float, *, failed: bool) -> None:
        """Take in whether a call failed."""
        share = self.failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (
            (1.0 if failed else 0.0) - share
        )
        self._failure_at = now
        if failed:
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = 0
            self.ejection_s = 0.0

    def eject(self, now: float) -> None:
        """Take the upstream out of use, each time for twice as long."""
        self.ejection_s = min(MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * self.ejection_s))
        self.ejected_until = now + self.ejection_s
        self.needs_probe = True

    def readmit(self) -> None:
        """Use the upstream again; one more failure ejects it."""
        self.needs_probe = False
        self.ejected_until = -math.inf

    def replace(self, now: float, upstream: Upstream) -> None:
        """Take over an entry of the host list, the first one or a changed one."""
        if not self._progress_at:
            self._progress_at = now
        self.upstream = upstream
        if upstream.cold_ms:
            self.cold_until = now + upstream.cold_ms / 1000

    def forget_members(self, live: Collection[MemberId]) -> None:
        """Drop the counts of gateways that are gone."""
        for member_id in [each for each in self.calls_by_member if each not in live]:
            del self.calls_by_member[member_id]
