"""Selects the upstream that is expected to answer a call before its target time.

Designed for a low call rate per gateway, upstreams of two or three slots whose speed
changes several times a second, and short bursts beyond the capacity.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Mapping
from typing import NamedTuple

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import (
    AnswerKind,
    LoadReport,
    MemberId,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from banyanshelf_core.placement.decisions import (
    Placed,
    PlacementRequest,
    Refused,
    RunningAttempt,
)
from banyanshelf_core.placement.lent_room import (
    MIN_GAIN_WITH_LOAN,
    Loans,
)
from banyanshelf_core.placement.pace_model import PaceModel
from banyanshelf_core.placement.upstream_load import NO_COLD_RULES, UpstreamLoad
from banyanshelf_core.placement.work_estimate import WorkEstimate
from banyanshelf_core.request_limit import StatedLimit
from banyanshelf_core.request_rate import RECHECK_PERIOD_S
from banyanshelf_core.retry_after import MAX_RETURN_SPREAD

# Upstreams slow down when more than this share of their slots is in use.
NEARLY_FULL_SHARE = 0.8
# An upstream that has just started runs at about half its normal speed.
COLD_START_FACTOR = 2.0
# Network round trip between a gateway and an upstream in another availability zone.
CROSS_ZONE_ROUND_TRIP_S = 0.002
# Reserved before the target for sending the response back to the caller.
RESPONSE_MARGIN_S = 0.012
# A call that has had this many times its expected work is taken for stuck.
STUCK_WORK_FACTOR = 5
# A running call is assumed to have at least this share of its expected work left.
MIN_REMAINING_WORK_SHARE = 0.2
# Without a queue, a call stays in its zone if its on-time probability is this high.
SUFFICIENT_PROBABILITY = 0.6
# Without a loan, a call leaves its zone for this much more on-time probability.
MIN_CROSS_ZONE_GAIN = 0.5
# On-time probability as a function of expected time / remaining time: constant up to
# MAX_PROBABILITY_TIME_SHARE, then falling linearly. It stays below 1 because the work
# per call varies by a third and an upstream may slow down during a call.
MAX_ON_TIME_PROBABILITY = 0.9
MAX_PROBABILITY_TIME_SHARE = 0.5
PROBABILITY_LOSS_PER_TIME_SHARE = 1.2
# Above this slot utilization of the zone, calls that are expected to be late are
# refused, which keeps the free slots for calls that can still be on time.
LATE_CALL_MAX_UTILIZATION = 0.75
# Calls sent to an upstream beyond its slots. More would fill its queue, and some
# upstreams reset connections when the queue is full.
MAX_QUEUED_CALLS = 1
# A refused connection ejects an upstream at once, since it means that the server is
# down. Other failures may be caused by the request, so several in a row are needed.
FAILURES_BEFORE_EJECTION = 3
MIN_RETRY_AFTER_S = 0.02
# With no usable upstream, the next health probe may readmit one.
NO_UPSTREAM_RETRY_AFTER_S = 0.25

_FAILED = frozenset({AnswerKind.ERROR, AnswerKind.CUT, AnswerKind.TIMEOUT})


def on_time_probability(expected_s: float, remaining_s: float) -> float:
    """Return the probability of a response within ``remaining_s`` seconds."""
    remaining_s -= RESPONSE_MARGIN_S
    if remaining_s <= 0:
        return 0.0
    excess = expected_s / remaining_s - MAX_PROBABILITY_TIME_SHARE
    return max(
        0.0,
        MAX_ON_TIME_PROBABILITY - max(0.0, excess) * PROBABILITY_LOSS_PER_TIME_SHARE,
    )


class Candidate(NamedTuple):
    """An upstream that a call may go to, and the expected time until the response.

    ``avoided_s`` is what the upstream's rejections cost in comparison with others. It
    does not say when the response comes, as a rejected call is sent elsewhere.
    """

    expected_s: float
    load: UpstreamLoad
    avoided_s: float = 0.0

    @property
    def rank_s(self) -> float:
        """The time by which candidates are compared."""
        return self.expected_s + self.avoided_s


class PlacementSelector:
    """One gateway's view of a service's upstreams, from which it selects one per call.

    Example:
        ``selector.choose(now, request)`` returns ``Placed`` or ``Refused``; a placed
        call is counted with ``start_call`` and ``end_call``.

    """

    def __init__(self, rng: random.Random, zone: str) -> None:
        self._rng = rng
        self._zone = zone
        self.loads_by_id: dict[UpstreamId, UpstreamLoad] = {}
        self.cold_rules = NO_COLD_RULES
        self.estimate = WorkEstimate()
        self.pace = PaceModel()
        # What other zones lend to this gateway
        self.loans = Loans()

    def set_upstreams(
        self, now: float, upstreams: Mapping[UpstreamId, Upstream]
    ) -> None:
        """Replace the upstreams; a new incarnation starts without a history."""
        previous, self.loads_by_id = self.loads_by_id, {}
        for upstream_id, upstream in upstreams.items():
            load = previous.get(upstream_id)
            if load is None or load.upstream.incarnation != upstream.incarnation:
                load = UpstreamLoad(upstream, cold_rules=self.cold_rules)
                load.replace(now, upstream)
            elif load.upstream != upstream:
                load.replace(now, upstream)
            load.cold_rules = self.cold_rules
            self.loads_by_id[upstream_id] = load

    def choose(self, now: float, request: PlacementRequest) -> Placed | Refused:
        """Return the upstream for a call, or why the call is refused."""
        near = self._candidates(now, request, is_same_zone=True)
        far: list[Candidate] = []
        if not self._is_fast_enough(now, request, near):
            far = self._candidates(now, request, is_same_zone=False)
        if not near and not far:
            return self._refuse_without_upstream(now, request)
        if near:
            far = [each for each in far if self.may_leave_for(now, each[1])]
            oldest = now - request.max_remote_report_age_s
            far = [
                each
                for each in far
                if each[1].reported_at >= oldest
                or each[1].stated_limit.per_s is not None
            ]
        best = self._best(now, request, near, far)
        expected_s, load = best.expected_s, best.load
        free = load.upstream.slots - load.in_flight(now)
        if request.only_idle:
            is_idle = free - 1 >= (1 - NEARLY_FULL_SHARE) * load.upstream.slots
            # Past its target, a call can still be answered before its caller gives up.
            latest = request.target if request.target > now else request.deadline
            if not is_idle or now + expected_s + RESPONSE_MARGIN_S > latest:
                return Refused("no idle upstream answers in time", 0.0)
        is_late = now + expected_s > request.target
        if is_late and (free < 1 or self._utilization(now) > LATE_CALL_MAX_UTILIZATION):
            wait_s = expected_s - (request.target - now)
            return Refused(
                "no upstream can answer in time", max(MIN_RETRY_AFTER_S, wait_s)
            )
        return self.placed(now, best, len(near) + len(far))

    def candidate(
        self, now: float, load: UpstreamLoad, request: PlacementRequest
    ) -> Candidate:
        """Return an upstream as a candidate for a call."""
        # A rejected call can still be answered elsewhere, but hardly by its target.
        avoided_s = load.rejected_share(now) * max(0.0, request.target - now)
        return Candidate(self.expected_s(now, load, request), load, avoided_s)

    def placed(self, now: float, chosen: Candidate, candidates: int) -> Placed:
        """Return the placement at an upstream, chosen from so many candidates."""
        expected_s, load = chosen.expected_s, chosen.load
        is_same_zone = load.upstream.zone == self._zone
        return Placed(
            load.upstream,
            expected_s,
            candidates,
            "near" if is_same_zone else "far",
            load.in_flight(now),
            1 / load.rate,
            now - load.reported_at,
            is_same_zone,
            load.limit(now).per_s,
            self.is_lent(now, load),
        )

    def is_lent(self, now: float, load: UpstreamLoad) -> bool:
        """Whether another zone has lent room for a call to this upstream."""
        return self.loans.covers(now, load.upstream.zone, load.upstream.id)

    def may_leave_for(self, now: float, load: UpstreamLoad) -> bool:
        """Whether a call may go to an upstream of another zone.

        A zone that has said what it lends gets no more than that.
        """
        return self.is_lent(now, load) or not self.loans.has_answer(
            now, load.upstream.zone
        )

    def _refuse_without_upstream(
        self, now: float, request: PlacementRequest
    ) -> Refused:
        """Refuse a call until the first upstream takes a request again."""
        waiting = [
            (max(load.limited_until, load.paused_until), load.is_paused(now))
            for upstream_id, load in self.loads_by_id.items()
            if (load.is_limited(now) or load.is_paused(now))
            and upstream_id not in request.excluded
            and load.upstream.state is UpstreamState.LIVE
            and not load.is_ejected(now)
        ]
        if not waiting:
            return Refused("no upstream is usable", NO_UPSTREAM_RETRY_AFTER_S)
        first, is_paused = min(waiting)
        wait_s = max(MIN_RETRY_AFTER_S, first - now)
        if not is_paused:
            return Refused("the request limits of the upstreams are used up", wait_s)
        # All callers would come back at the end of the pause otherwise.
        wait_s *= 1 + self._rng.uniform(0.0, MAX_RETURN_SPREAD)
        return Refused("the upstreams want no requests for some time", wait_s)

    def expected_s(
        self, now: float, load: UpstreamLoad, request: PlacementRequest
    ) -> float:
        """Return the expected time until a response, in seconds."""
        slots = load.upstream.slots
        after = load.in_flight(now) + 1
        work_s = self.estimate.expected_work_s(request.work_class, request.target - now)
        if min(after, slots) > NEARLY_FULL_SHARE * slots:
            work_s *= self.estimate.full_factor
        if now < load.cold_until:
            work_s *= COLD_START_FACTOR
        service_s = self.pace.service_s(work_s, load.rate, now - load.reported_at)
        wait_s = max(0.0, after - slots) * service_s / slots
        network_s = 0.0 if load.upstream.zone == self._zone else CROSS_ZONE_ROUND_TRIP_S
        failure_s = load.failure_share(now) * max(0.0, request.deadline - now)
        return service_s + wait_s + network_s + failure_s

    def start_call(self, now: float, upstream_id: UpstreamId) -> float:
        """Count a call of this gateway.

        Returns the upstream's progress, which ``end_call`` needs.
        """
        load = self.loads_by_id.get(upstream_id)
        if load is None:
            return 0.0
        if self.is_lent(now, load):
            self.loans.take(now, load.upstream.zone)
        load.own_calls += 1
        return load.advance(now, self.pace.mean_rate)

    def withdraw_call(self, now: float, found: Placed) -> None:
        """Uncount a call that has been started and was not sent."""
        load = self.loads_by_id.get(found.upstream.id)
        if load is None:
            return
        if found.is_lent:
            self.loans.give_back(now, found.upstream.zone)
        load.own_calls = max(0, load.own_calls - 1)

    def end_call(
        self, now: float, work_class: str, progress_s: float, sample: AnswerSample
    ) -> None:
        """Record the end of a call of this gateway and update the estimates.

        ``progress_s`` is the value that ``start_call`` returned.
        """
        load = self.loads_by_id.get(sample.upstream)
        if load is None:
            return
        if sample.kind == AnswerKind.ANSWERED:
            slots = load.upstream.slots
            work_s = load.advance(now, self.pace.mean_rate) - progress_s
            # A negative value means that the call began at an earlier incarnation.
            is_cold = now - sample.service_time_us / 1e6 < load.cold_until
            if work_s >= 0 and not is_cold:
                self.estimate.add_sample(
                    work_class,
                    work_s,
                    nearly_full=load.in_flight(now) > NEARLY_FULL_SHARE * slots,
                )
        load.own_calls = max(0, load.own_calls - 1)
        self.note_result(now, sample.upstream, sample.kind)

    def remaining_s(
        self, now: float, upstream_id: UpstreamId, work_class: str, progress_s: float
    ) -> float:
        """Return the expected time until the response of a call in progress.

        ``progress_s`` is the value that ``start_call`` returned.
        """
        load = self.loads_by_id.get(upstream_id)
        if load is None:
            return math.inf
        done_s = load.advance(now, self.pace.mean_rate) - progress_s
        expected_s = self.estimate.expected_work_s(work_class, 0.0)
        # A call that runs longer than expected is assumed to need a little more time.
        work_s = max(MIN_REMAINING_WORK_SHARE * expected_s, expected_s - done_s)
        return self.pace.service_s(work_s, load.rate, now - load.reported_at)

    def needs_second_attempt(self, now: float, attempt: RunningAttempt) -> bool:
        """Whether an idempotent call should be sent to another upstream as well.

        That is the case if its answer is expected after its target or its upstream is
        out of use. Past the target, it is if the upstream has left, or if the call runs
        several times as long as expected.
        """
        work_s = self.estimate.expected_work_s(attempt.work_class, 0.0)
        if now + work_s + RESPONSE_MARGIN_S > attempt.deadline:
            return False
        load = self.loads_by_id.get(attempt.upstream_id)
        if load is None:
            # An upstream that leaves finishes its calls.
            return now >= attempt.target
        if load.is_ejected(now):
            return True
        if now < attempt.target:
            remaining_s = self.remaining_s(
                now, attempt.upstream_id, attempt.work_class, attempt.progress_s
            )
            return now + remaining_s + RESPONSE_MARGIN_S > attempt.target
        done_s = load.advance(now, self.pace.mean_rate) - attempt.progress_s
        return done_s > STUCK_WORK_FACTOR * work_s

    def note_result(self, now: float, upstream_id: UpstreamId, kind: str) -> None:
        """Record how a call of any gateway ended."""
        load = self.loads_by_id.get(upstream_id)
        if load is None or kind == AnswerKind.CANCELLED:
            return
        if kind == AnswerKind.SHED:
            # A full upstream rejects calls by right. One that does so with free slots
            # looks idle, and would attract all calls.
            if load.in_flight(now) < load.upstream.slots:
                load.note_rejection(now, rejected=True)
            return
        load.note_rejection(now, rejected=False)
        if kind == AnswerKind.REFUSED:
            # No server listens there. A health probe, not the failure history, decides
            # when the upstream is used again.
            if not load.is_ejected(now):
                load.eject(now)
            return
        failed = kind in _FAILED
        load.note_result(now, failed=failed)
        is_down = load.consecutive_failures >= FAILURES_BEFORE_EJECTION
        if failed and is_down and not load.is_ejected(now):
            load.eject(now)

    def note_report(
        self, now: float, upstream_id: UpstreamId, report: LoadReport
    ) -> None:
        """Record a load report of an upstream; see :class:`UpstreamLoad`."""
        load = self.loads_by_id.get(upstream_id)
        if load is not None:
            previous_rate, gap_s = load.rate, now - load.reported_at
            load.note_report(now, report, self.pace.mean_rate)
            self.pace.add_sample(load.rate, previous_rate, gap_s)

    def note_request_limit(self, upstream_id: UpstreamId, stated: StatedLimit) -> bool:
        """Record what an upstream states; returns whether its limit has changed."""
        load = self.loads_by_id.get(upstream_id)
        return load is not None and load.note_limit(stated)

    def set_member_counts(
        self, member_id: MemberId, count_by_upstream: Mapping[UpstreamId, int]
    ) -> None:
        """Set the call counts that another gateway published."""
        for upstream_id, count in count_by_upstream.items():
            load = self.loads_by_id.get(upstream_id)
            if load is not None:
                load.calls_by_member[member_id] = count

    def forget_members(self, live: Collection[MemberId]) -> None:
        """Drop the call counts of gateways outside ``live``."""
        for load in self.loads_by_id.values():
            load.forget_members(live)

    def note_probe_success(self, now: float, upstream_id: UpstreamId) -> None:
        """Readmit an upstream whose probe succeeded; one more failure ejects it."""
        load = self.loads_by_id.get(upstream_id)
        if load is not None and load.needs_probe and now >= load.ejected_until:
            load.readmit()
            load.consecutive_failures = FAILURES_BEFORE_EJECTION - 1

    def note_probe_failure(self, now: float, upstream_id: UpstreamId) -> None:
        """Record that a probed upstream did not answer or reported itself unhealthy."""
        load = self.loads_by_id.get(upstream_id)
        if load is not None:
            load.eject(now)

    def _is_usable(self, now: float, load: UpstreamLoad) -> bool:
        """Whether the upstream takes one more call, at least into its queue."""
        if not load.takes_calls(now):
            return False
        return load.in_flight(now) < load.upstream.slots + MAX_QUEUED_CALLS

    def local_loads(self) -> list[UpstreamLoad]:
        """Return the loads of the upstreams of the local zone."""
        return [
            load
            for load in self.loads_by_id.values()
            if load.upstream.zone == self._zone
        ]

    def remote_loads(self) -> list[UpstreamLoad]:
        """Return the loads of the upstreams of other zones."""
        return [
            load
            for load in self.loads_by_id.values()
            if load.upstream.zone != self._zone
        ]

    def _utilization(self, now: float) -> float:
        """Return the share of the local zone's slots that are in use.

        Without a usable upstream there, it is the share of all slots.
        """
        used = slots = all_used = all_slots = 0.0
        for load in self.loads_by_id.values():
            if not load.takes_calls(now):
                continue
            in_use = min(load.upstream.slots, load.in_flight(now))
            all_used += in_use
            all_slots += load.upstream.slots
            if load.upstream.zone == self._zone:
                used += in_use
                slots += load.upstream.slots
        if slots:
            return used / slots
        return all_used / all_slots if all_slots else 1.0

    def _candidates(
        self, now: float, request: PlacementRequest, *, is_same_zone: bool
    ) -> list[Candidate]:
        """Return the usable upstreams of the local zone, or those of other zones."""
        return [
            self.candidate(now, load, request)
            for upstream_id, load in self.loads_by_id.items()
            if (load.upstream.zone == self._zone) == is_same_zone
            and upstream_id not in request.excluded
            and self._is_usable(now, load)
        ]

    def _is_fast_enough(
        self, now: float, request: PlacementRequest, near: list[Candidate]
    ) -> bool:
        """Whether the local zone is fast enough to leave out the other zones."""
        if not near:
            return False
        least_s = min(each[0] for each in near)
        return (
            on_time_probability(least_s, request.target - now) >= SUFFICIENT_PROBABILITY
        )

    def _best(
        self,
        now: float,
        request: PlacementRequest,
        near: list[Candidate],
        far: list[Candidate],
    ) -> Candidate:
        """Return the fastest local upstream, or a remote one if it helps enough.

        Traffic between zones costs money, so a faster response alone does not justify
        it; only a higher probability of answering in time does. Less is demanded where
        another zone has lent room, as its load is known.
        """
        best_near = self.fastest(near)
        best_far = self.fastest(far)
        if best_near is None or best_far is None:
            found = best_near or best_far
            assert found is not None
            return found
        near_chance = on_time_probability(best_near[0], request.target - now)
        if near_chance >= SUFFICIENT_PROBABILITY:
            return best_near
        far_chance = on_time_probability(best_far[0], request.target - now)
        if far_chance - near_chance >= MIN_CROSS_ZONE_GAIN:
            return best_far
        best_lent = self.fastest([each for each in far if self.is_lent(now, each[1])])
        if best_lent is None:
            return best_near
        lent_chance = on_time_probability(best_lent[0], request.target - now)
        return (
            best_lent if lent_chance - near_chance >= MIN_GAIN_WITH_LOAN else best_near
        )

    def fastest(self, candidates: list[Candidate]) -> Candidate | None:
        """Return one of the fastest candidates, or None without any."""
        if not candidates:
            return None
        least = min(each.rank_s for each in candidates)
        # Differences of a few percent are ignored: the selection is random among them.
        equal = [each for each in candidates if each.rank_s <= 1.03 * least]
        return self._rng.choice(equal)


def due_probes(
    now: float, loads: Mapping[UpstreamId, UpstreamLoad], *, probe_after_s: float
) -> list[UpstreamId]:
    """Return the upstreams whose last report or probe is ``probe_after_s`` old.

    Ejected upstreams are due when their ejection time is over. One that states a
    request limit is due when nothing has been heard of it for ``RECHECK_PERIOD_S``,
    as health probes count towards the limit.
    """
    due = []
    for upstream_id, load in loads.items():
        if load.upstream.state is not UpstreamState.LIVE or load.is_paused(now):
            continue
        if load.needs_probe:
            if now >= load.ejected_until:
                due.append(upstream_id)
        elif load.stated_limit.per_s is not None:
            heard_at = max(load.stated_limit.stated_at, load.probed_at)
            if now - heard_at >= RECHECK_PERIOD_S:
                due.append(upstream_id)
        elif now - max(load.reported_at, load.probed_at) >= probe_after_s:
            due.append(upstream_id)
    return due
