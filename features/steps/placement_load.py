"""Simulation of one zone with gateways, calls, and upstreams of changing speed."""

import heapq
import random

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.caller_waits import CallerWaitEstimator
from banyanshelf_core.model import AnswerKind, LoadReport, Upstream
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.decisions import Placed, PlacementRequest

STEP_S = 0.005
PACE_PERIOD_S = 0.3
SLOW_SHARE = 0.3
SLOW_PACE = 4.0
WORK_S = 0.06
TARGET_S = 0.2
# Callers time out after this time or up to a sixth less, and retry up to twice after a
# refusal.
DEADLINE_S = 0.5
DEADLINE_SPREAD = 1 / 6
MAX_ATTEMPTS = 3
ONE_WAY_S = 0.008
REPORT_PERIOD_S = 0.1
GATEWAYS = 4
UPSTREAMS = 6
SLOTS = 3


class _Call:
    def __init__(self, gateway, upstream, caller, started, work_s, progress):
        self.gateway, self.upstream, self.started = gateway, upstream, started
        self.caller, self.left_s, self.progress = caller, work_s, progress


class _Caller:
    def __init__(self, first_attempt_at, deadline):
        self.first_attempt_at, self.deadline, self.attempts = (
            first_attempt_at,
            deadline,
            0,
        )


class ZoneLoad:
    """Simulates calls; ``play`` returns the share that was answered in time.

    With ``retry``, callers retry after a refusal. With ``infers_waits``, gateways
    estimate the time since a caller's first attempt from its deadline.
    """

    def __init__(self, seed, is_random, retry=False, infers_waits=False):
        self.rng = random.Random(seed)
        self.is_random, self.retry = is_random, retry
        self.waits = (
            [CallerWaitEstimator() for _ in range(GATEWAYS)] if infers_waits else None
        )
        self.upstreams = {
            f"u{i}": Upstream(f"u{i}", "desk", f"127.0.0.1:{i + 1}", "a", SLOTS)
            for i in range(UPSTREAMS)
        }
        self.pace = dict.fromkeys(self.upstreams, 1.0)
        self.selectors = [
            PlacementSelector(random.Random(seed + i), "a") for i in range(GATEWAYS)
        ]
        for selector in self.selectors:
            selector.set_upstreams(0.0, self.upstreams)
        self.running = {name: [] for name in self.upstreams}
        self.asked = self.answered_in_time = 0

    def play(self, seconds, calls_per_s):
        """Run the simulation."""
        arrivals, now = [], 0.0
        while now < seconds:
            now += self.rng.expovariate(calls_per_s)
            patience_s = DEADLINE_S * self.rng.uniform(1 - DEADLINE_SPREAD, 1)
            caller = _Caller(now, now + patience_s)
            heapq.heappush(arrivals, (now + ONE_WAY_S, len(arrivals), caller))
            self.asked += 1
        steps = int((seconds + 1) / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            if step % int(PACE_PERIOD_S / STEP_S) == 0:
                self._draw_paces()
            if step % int(REPORT_PERIOD_S / STEP_S) == 0:
                for name in self.upstreams:
                    self._report(now, name)
            while arrivals and arrivals[0][0] <= now:
                _, number, caller = heapq.heappop(arrivals)
                retry_at = self._arrive(now, caller)
                if retry_at is not None and retry_at < caller.deadline:
                    heapq.heappush(arrivals, (retry_at, number, caller))
            self._work(now)
        return self.answered_in_time / self.asked

    def _draw_paces(self):
        for name in self.pace:
            slow = self.rng.random() < SLOW_SHARE
            self.pace[name] = SLOW_PACE if slow else 1.0

    def _report(self, now, name):
        calls = len(self.running[name])
        running = min(SLOTS, calls)
        report = LoadReport(running, calls - running, SLOTS, self.pace[name])
        for selector in self.selectors:
            selector.note_report(now, name, report)

    def _arrive(self, now, caller):
        """Place or refuse a call; returns when a refused caller retries, if it does."""
        caller.attempts += 1
        gateway = self.rng.randrange(GATEWAYS)
        selector = self.selectors[gateway]
        left_s = caller.deadline - now
        waited_s = self.waits[gateway].waited_s("/", left_s) if self.waits else 0.0
        request = PlacementRequest("/", now + TARGET_S - waited_s, now + left_s)
        if self.is_random:
            name = self.rng.choice(list(self.upstreams))
        else:
            found = selector.choose(now, request)
            if not isinstance(found, Placed):
                will_retry = self.retry and caller.attempts < MAX_ATTEMPTS
                return now + found.retry_after_s + 2 * ONE_WAY_S if will_retry else None
            name = found.upstream.id
        progress = selector.start_call(now, name)
        work_s = WORK_S * self.rng.uniform(0.7, 1.3)
        call = _Call(gateway, name, caller, now, work_s, progress)
        self.running[name].append(call)
        self._share(name)
        return None

    def _share(self, name):
        for index, selector in enumerate(self.selectors):
            for other, source in enumerate(self.selectors):
                if other != index:
                    own = source.loads_by_id[name].own_calls
                    selector.set_member_counts(f"g{other}", {name: own})

    def _work(self, now):
        for name, calls in self.running.items():
            for call in calls[:SLOTS]:
                call.left_s -= STEP_S / self.pace[name]
            for call in [each for each in calls if each.left_s <= 0]:
                calls.remove(call)
                duration_s = now - call.started
                answered = now + ONE_WAY_S - call.caller.first_attempt_at
                self.answered_in_time += answered <= TARGET_S
                sample = AnswerSample(name, int(duration_s * 1e6), AnswerKind.ANSWERED)
                self.selectors[call.gateway].end_call(now, "/", call.progress, sample)
                self._share(name)
