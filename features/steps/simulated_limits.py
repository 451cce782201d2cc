"""Gateways in several zones, with upstreams that limit the requests they take."""

import random
from collections import defaultdict

from limit_terms import STABLE_S, excess_of
from simulated_admissions import SERVICE, STEP_S, AdmissionZone
from twisted.internet.defer import succeed

from banyanshelf_core.model import LoadReport, Upstream

SLOTS = 3
CALL_S = 0.05
TARGET_S = 0.3
WORK_S = 0.06


class LimitedFleet(AdmissionZone):
    """Counts what reaches each upstream: calls, second attempts and health probes."""

    def __init__(self, gateways, zones, upstreams, seed=1):
        self.zones = [f"zone-{number}" for number in range(zones)]
        self.limit_by_upstream = {}
        self.stated = {}
        self.limited_at = {}
        self.lifted_at = {}
        self.received = defaultdict(list)
        self.called = defaultdict(list)
        self.answered = self.refused = 0
        self.refusal_waits = []
        self.counted_from = 0.0
        super().__init__(
            gateways,
            upstreams,
            SLOTS,
            random.Random(seed),
            zone_of=lambda number: self.zones[number % zones],
        )

    def upstream_of(self, number, slots):
        name = f"u{number + 1}"
        return Upstream(
            name,
            SERVICE,
            f"127.1.{number // 256}.{number % 256}:80",
            self.zones[number % len(self.zones)],
            slots,
        )

    def limit(self, count, per_s):
        """Let the first ``count`` upstreams state a limit."""
        now = self.reactor.seconds()
        for name in sorted(self.directory.upstreams, key=lambda each: int(each[1:])):
            if len(self.limit_by_upstream) == count:
                return
            self.limit_by_upstream[name] = self.stated[name] = per_s
            self.limited_at[name] = now

    def lift(self):
        """Let all upstreams state no limit any more."""
        now = self.reactor.seconds()
        self.lifted_at = dict.fromkeys(self.limit_by_upstream, now)
        self.limit_by_upstream = {}

    def _answer(self, name, upstream_id):
        """Deliver what an answer states about the upstream."""
        admission = self.sharings.get(name)
        if admission is None:
            return
        admission.note_request_limit(
            upstream_id, self.limit_by_upstream.get(upstream_id)
        )
        admission.note_load_report(upstream_id, LoadReport(0, 0, SLOTS, 1.0))

    def _probe(self, name, upstream, **_options):
        self.received[upstream.id].append(self.reactor.seconds())
        self._answer(name, upstream.id)
        return succeed(True)

    def call(self, name):
        """Make a call, which takes some time at its upstream."""
        asked_at = self.reactor.seconds()
        call = self.place(name, TARGET_S)

        def started(result):
            now = self.reactor.seconds()
            if call.permit is None:
                self.refused += 1
                self.refusal_waits.append(now - asked_at)
                return result
            upstream_id = call.permit.upstream.id
            self.received[upstream_id].append(now)
            self.called[upstream_id].append(now)
            self.reactor.callLater(CALL_S, ended)
            return result

        def ended():
            self.answered += 1
            self._answer(name, call.permit.upstream.id)
            if name in self.sharings and call.admission is self.sharings[name]:
                call.end()

        call.admission = self.sharings[name]
        call.deferred.addBoth(started)
        return call

    def add(self, name):
        """Start a gateway, which knows nobody yet."""
        self._add(name, 1.0)
        self.learn_work([name])

    def start_counting(self):
        """Count answers, refusals and the use of limits from now on."""
        self.answered = self.refused = 0
        self.refusal_waits = []
        self.counted_from = self.reactor.seconds()

    def use_of_limits(self):
        """Return the requests that limited upstreams got, and how many they take.

        Requests of the time in which gateways learn of the limits do not count.
        """
        since = max(self.counted_from, max(self.limited_at.values()) + STABLE_S)
        seconds = self.reactor.seconds() - since
        got = sum(
            each >= since
            for upstream_id in self.limit_by_upstream
            for each in self.received[upstream_id]
        )
        return got, sum(self.limit_by_upstream.values()) * seconds

    def run(self, seconds, calls_per_s):
        """Spread calls over the gateways."""
        for _ in range(round(seconds / STEP_S)):
            self._arrivals += calls_per_s * STEP_S
            while self._arrivals >= 1:
                self._arrivals -= 1
                self.call(self.rng.choice(sorted(self.sharings)))
            self.reactor.advance(STEP_S)

    def learn_work(self, names=()):
        for name in names or self.sharings:
            admission = self.sharings[name]
            selector = admission.loads.selector_by_service[SERVICE]
            for _ in range(30):
                selector.estimate.add_sample("/", WORK_S, nearly_full=False)

    def excess_by_upstream(self):
        """Return what upstreams got in the fullest window beyond what is allowed."""
        return {
            upstream_id: excess
            for upstream_id, since in self.limited_at.items()
            if (
                excess := excess_of(
                    self.received[upstream_id],
                    self.stated[upstream_id],
                    since,
                    self.lifted_at.get(upstream_id, self.reactor.seconds()),
                )
            )
        }
