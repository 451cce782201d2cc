"""One zone whose callers ask for more than its upstreams take, without a network."""

import heapq
import random
from collections import Counter
from types import SimpleNamespace

from twisted.internet.task import Clock

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import AnswerKind, LoadReport, Upstream
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.decisions import PlacementRequest
from banyanshelf_core.text import OperatorText, Service
from banyanshelf_daemon.call_placer import CallPlacer
from banyanshelf_daemon.call_queue import CallQueues
from banyanshelf_daemon.interfaces import NotAdmittedError
from banyanshelf_daemon.metrics import Metrics

SERVICE = "desk"
STEP_S = 0.005
PACE_PERIOD_S = 0.3
SLOW_SHARE = 0.3
SLOW_PACE = 4.0
# Upstreams slow down when more than 0.8 of their slots are in use.
FULL_FACTOR = 1.7
SLOTS = 4
REPORT_PERIOD_S = 0.1
# Callers come back once, if they are asked to within this share of their time.
RETURN_SHARE = 1 / 3


class Group:
    """Callers that ask alike; ``rate`` returns their calls per second at a time."""

    def __init__(self, name, rate, priority=0, workspace="", work_s=0.15, **options):
        self.name, self.rate, self.priority = name, rate, priority
        self.workspace, self.work_s = workspace, work_s
        self.target_s = options.get("target_s", 0.5)
        self.deadline_s = options.get("deadline_s", 1.5)
        self.label = workspace or name
        self.count = Counter()

    def __repr__(self):
        return f"{self.label}: {dict(self.count)}"

    def share(self, *results):
        return sum(self.count[each] for each in results) / self.count["asked"]


class _Caller:
    def __init__(self, group, asked_at, work_s):
        self.group, self.asked_at, self.left_s = group, asked_at, work_s
        self.attempts = 0
        self.reservation = None


class ScarceRoom:
    """Plays groups of callers; their ``count`` holds what became of the calls."""

    def __init__(self, groups, seed, upstreams=8, waits=True):
        self.groups, self.rng, self.waits = groups, random.Random(seed), waits
        self.clock = Clock()
        listed = {
            f"u{i}": Upstream(f"u{i}", SERVICE, f"127.0.0.1:{i + 1}", "a", SLOTS)
            for i in range(upstreams)
        }
        self.selector = PlacementSelector(random.Random(seed), "a")
        self.selector.set_upstreams(0.0, listed)
        self.placer = CallPlacer(self.clock, None, None)
        text = OperatorText(services={SERVICE: Service(wait_for_room=waits)})
        self.queues = CallQueues(
            self.clock,
            self.placer,
            SimpleNamespace(selector_by_service={SERVICE: self.selector}),
            SimpleNamespace(active=lambda: SimpleNamespace(text=text)),
            self.rng,
            Metrics(self.clock),
        )
        self.pace = dict.fromkeys(listed, 1.0)
        self.running = {name: [] for name in listed}
        self.arrivals = []
        self.longest_refused_wait_s = 0.0
        self.returns = []

    def play(self, seconds):
        """Play calls for some time, and let those that have begun end."""
        for step in range(int((seconds + 3) / STEP_S)):
            now = self.clock.seconds()
            if step % int(PACE_PERIOD_S / STEP_S) == 0:
                self._draw_paces()
            if step % int(REPORT_PERIOD_S / STEP_S) == 0:
                self._report(now)
            if now < seconds:
                self._ask(now)
            while self.arrivals and self.arrivals[0][0] <= now:
                self._arrive(now, heapq.heappop(self.arrivals)[2])
            self._work(now)
            self.clock.advance(STEP_S)
        return self

    def _ask(self, now):
        for group in self.groups:
            due = group.rate(now) * STEP_S
            while due > 0 and self.rng.random() < due:
                work_s = group.work_s * self.rng.uniform(0.7, 1.3)
                group.count["asked"] += 1
                self._push(now, _Caller(group, now, work_s))
                due -= 1

    def _push(self, at, caller):
        heapq.heappush(self.arrivals, (at, self.rng.random(), caller))

    def _draw_paces(self):
        for name in self.pace:
            slow = self.rng.random() < SLOW_SHARE
            self.pace[name] = SLOW_PACE if slow else 1.0

    def _report(self, now):
        for name, calls in self.running.items():
            running = min(SLOTS, len(calls))
            report = LoadReport(running, len(calls) - running, SLOTS, self.pace[name])
            self.selector.note_report(now, name, report)

    def _arrive(self, now, caller):
        group = caller.group
        caller.attempts += 1
        request = PlacementRequest(
            group.name,
            caller.asked_at + group.target_s,
            caller.asked_at + group.deadline_s,
            priority=group.priority,
            workspace=group.workspace,
        )
        if self.waits:
            pending = self.queues.place(SERVICE, self.selector, request)
        else:
            pending = self.placer.place(self.selector, request)
        pending.addCallback(self._placed, caller)
        pending.addErrback(self._refused, caller, now)

    def _placed(self, reservation, caller):
        now = self.clock.seconds()
        caller.reservation, caller.started = reservation, now
        self.running[reservation.found.upstream.id].append(caller)

    def _refused(self, failure, caller, arrived):
        failure.trap(NotAdmittedError)
        now = self.clock.seconds()
        self.longest_refused_wait_s = max(self.longest_refused_wait_s, now - arrived)
        left_s = caller.asked_at + caller.group.deadline_s - now
        wait_s = failure.value.retry_after_s
        self.returns.append((now, now + wait_s, now + left_s))
        if caller.attempts == 1 and wait_s <= RETURN_SHARE * left_s:
            self._push(now + wait_s, caller)
        else:
            caller.group.count["refused"] += 1

    def _work(self, now):
        for name, calls in self.running.items():
            active = calls[:SLOTS]
            factor = FULL_FACTOR if len(active) > 0.8 * SLOTS else 1.0
            for caller in active:
                caller.left_s -= STEP_S / (self.pace[name] * factor)
            for caller in [each for each in calls if each.left_s <= 0]:
                calls.remove(caller)
                self._answer(now, name, caller)

    def _answer(self, now, name, caller):
        group, total_s = caller.group, now - caller.asked_at
        is_given_up = total_s > group.deadline_s
        is_late = total_s > group.target_s
        group.count["lost" if is_given_up else "late" if is_late else "in_time"] += 1
        sample = AnswerSample(
            name, int((now - caller.started) * 1e6), AnswerKind.ANSWERED
        )
        self.selector.end_call(now, group.name, caller.reservation.progress_s, sample)
        self.queues.room_freed(SERVICE)
