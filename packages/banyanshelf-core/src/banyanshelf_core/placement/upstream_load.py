"""Load of one upstream as one gateway knows it."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from banyanshelf_core.model import LoadReport, MemberId, Upstream, UpstreamState
from banyanshelf_core.request_limit import NO_STATEMENT, StatedLimit
from banyanshelf_core.text import Service

# Calls of gateways that do not share their counts are known from load reports only.
# Their number decays with this time constant, which is about the duration of a call.
UNATTRIBUTED_CALL_DECAY_S = 0.15
# The failure share decays within seconds, so an upstream that recovers is used again.
FAILURE_WEIGHT = 0.25
FAILURE_DECAY_S = 4.0
MIN_PACE = 0.1
# The reported rate is assumed until the next report, but at most for this long.
REPORT_VALIDITY_S = 0.2
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Answers tell the time that is left in milliseconds and arrive late by as many.
COLD_TOLERANCE_S = 0.1


class ColdRules(NamedTuple):
    """What a cold upstream takes from all gateways, and for how long it is cold."""

    cold_s: float = 0.0
    requests_per_s: float = 0.0

    @classmethod
    def from_config(cls, service: Service) -> ColdRules:
        """Return the rules of a service."""
        return cls(service.cold_s, service.cold_requests_per_s)


NO_COLD_RULES = ColdRules()


@dataclass(slots=True)
class UpstreamLoad:
    """Call counts, load reports and failures of one upstream; times in seconds.

    ``own_calls`` counts this gateway's calls in progress, ``calls_by_member`` those of
    the gateways that share their counts. ``rate`` is the service rate of the last
    report, 1 being normal. Until ``limited_until``, the upstream takes no request, as
    its limit is used up; until ``paused_until``, it wants none.
    """

    upstream: Upstream
    cold_until: float = 0.0
    cold_rules: ColdRules = NO_COLD_RULES
    own_calls: int = 0
    calls_by_member: dict[MemberId, int] = field(default_factory=dict)
    reported_at: float = -math.inf
    probed_at: float = -math.inf
    consecutive_failures: int = 0
    ejected_until: float = -math.inf
    ejection_s: float = 0.0
    needs_probe: bool = False
    rate: float = 1.0
    stated_limit: StatedLimit = NO_STATEMENT
    limited_until: float = -math.inf
    paused_until: float = -math.inf
    _progress_s: float = 0.0
    _progress_at: float = 0.0
    _unattributed: float = 0.0
    _failure_share: float = 0.0
    _failure_at: float = 0.0
    _rejected_share: float = 0.0
    _rejected_at: float = 0.0

    @property
    def known_calls(self) -> int:
        """Calls in progress of this gateway and of those that share their counts."""
        return self.own_calls + sum(self.calls_by_member.values())

    def in_flight(self, now: float) -> float:
        """Return the expected number of in-flight calls from all gateways."""
        if self._unattributed < 0.01:
            return self.known_calls
        age_s = now - self.reported_at
        return self.known_calls + self._unattributed * math.exp(
            -age_s / UNATTRIBUTED_CALL_DECAY_S
        )

    def advance(self, now: float, mean_rate: float) -> float:
        """Return the work that a slot has done up to now, in seconds at rate 1.

        Only differences between two results are meaningful. Where reports are far
        apart, the mean rate is assumed.
        """
        since_s = now - self._progress_at
        valid_until = self.reported_at + REPORT_VALIDITY_S
        valid_s = min(since_s, max(0.0, valid_until - self._progress_at))
        self._progress_s += self.rate * valid_s + mean_rate * (since_s - valid_s)
        self._progress_at = now
        return self._progress_s

    def failure_share(self, now: float) -> float:
        """Return the share of recent calls that failed."""
        if self._failure_share < 0.01:
            return 0.0
        age_s = now - self._failure_at
        return self._failure_share * math.exp(-age_s / FAILURE_DECAY_S)

    def rejected_share(self, now: float) -> float:
        """Return the share of recent calls that it rejected with slots free."""
        if self._rejected_share < 0.01:
            return 0.0
        age_s = now - self._rejected_at
        return self._rejected_share * math.exp(-age_s / FAILURE_DECAY_S)

    def note_rejection(self, now: float, *, rejected: bool) -> None:
        """Record whether the upstream rejected a call that it had a slot for."""
        share = self.rejected_share(now)
        self._rejected_share = share + FAILURE_WEIGHT * (
            (1.0 if rejected else 0.0) - share
        )
        self._rejected_at = now

    def is_ejected(self, now: float) -> bool:
        """Whether the upstream is out of use after consecutive failures."""
        return self.needs_probe or now < self.ejected_until

    def is_limited(self, now: float) -> bool:
        """Whether the request limit of the upstream is used up."""
        return now < self.limited_until

    def is_paused(self, now: float) -> bool:
        """Whether the upstream has asked for no requests for some time."""
        return now < self.paused_until

    def limit(self, now: float) -> StatedLimit:
        """Return what limits the upstream now: its statement or that it is cold."""
        cold_per_s = self.cold_rules.requests_per_s
        if now >= self.cold_until or not cold_per_s:
            return self.stated_limit
        stated_per_s = self.stated_limit.per_s
        if stated_per_s is not None and stated_per_s <= cold_per_s:
            return self.stated_limit
        return StatedLimit(cold_per_s, now)

    def note_cold(self, until: float) -> bool:
        """Record until when the upstream is cold; returns whether that is news."""
        is_news = abs(until - self.cold_until) > COLD_TOLERANCE_S
        self.cold_until = until
        return is_news

    def takes_calls(self, now: float) -> bool:
        """Whether the upstream takes calls at all, however many it has."""
        is_live = self.upstream.state is UpstreamState.LIVE
        is_held_back = self.is_limited(now) or self.is_paused(now)
        return is_live and not is_held_back and not self.is_ejected(now)

    def note_limit(self, stated: StatedLimit) -> bool:
        """Record what the upstream states; returns whether its limit has changed.

        A statement that is older than the known one is ignored.
        """
        if stated.stated_at < self.stated_limit.stated_at:
            return False
        is_changed = stated.per_s != self.stated_limit.per_s
        if is_changed:
            self.limited_until = -math.inf
        self.stated_limit = stated
        return is_changed

    def note_report(self, now: float, report: LoadReport, mean_rate: float) -> None:
        """Record a load report; it counts the call whose response carried it."""
        self.advance(now, mean_rate)
        self.reported_at = now
        self.rate = 1 / max(MIN_PACE, report.pace)
        self._unattributed = max(
            0.0, report.running + report.waiting - self.known_calls
        )

    def note_result(self, now: float, *, failed: bool) -> None:
        """Record whether a call failed."""
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
        """Take the upstream out of use, each time for twice as long up to a limit."""
        self.ejection_s = min(MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * self.ejection_s))
        self.ejected_until = now + self.ejection_s
        self.needs_probe = True

    def readmit(self) -> None:
        """Put the upstream back into use."""
        self.needs_probe = False
        self.ejected_until = -math.inf

    def replace(self, now: float, upstream: Upstream) -> None:
        """Set the host list entry, either the first one or a changed one."""
        is_first = not self._progress_at
        if is_first:
            self._progress_at = now
        # A change of the state alone says nothing of the time that is left.
        is_rewritten = upstream._replace(state=self.upstream.state) != self.upstream
        is_return = (
            self.upstream.state is not UpstreamState.LIVE
            and upstream.state is UpstreamState.LIVE
        )
        self.upstream = upstream
        if is_return:
            # It may have become cold without requests.
            self.cold_until = max(self.cold_until, now + self.cold_rules.cold_s)
        if upstream.cold_ms and (is_first or is_rewritten):
            self.cold_until = now + upstream.cold_ms / 1000

    def forget_members(self, live: Collection[MemberId]) -> None:
        """Drop the call counts of gateways outside ``live``."""
        for member_id in [each for each in self.calls_by_member if each not in live]:
            del self.calls_by_member[member_id]
