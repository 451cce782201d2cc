"""Steps for upstreams that tolerate few requests for some time after their start."""

import random
from collections import defaultdict

from behave import given, then, when
from simulated_admissions import SERVICE, STEP_S, AdmissionZone
from twisted.internet.defer import succeed

from banyanshelf_core.datagrams import LimitQuery, LimitReply
from banyanshelf_core.model import LoadReport, Upstream, UpstreamState
from banyanshelf_core.replica import ORIGIN
from banyanshelf_core.text import Service
from banyanshelf_daemon.shared_admission import SharedAdmission
from banyanshelf_daemon.upstream_notices import UpstreamNotices

# The users' terms: one and a half times the rate and 8 requests in any second.
OVERSHOOT = 1.5
SLACK = 8
SLOTS = 4
CALL_S = 0.05
COLD_CALL_S = 0.1
START_S = 4.0


class ColdFleet(AdmissionZone):
    """Counts what reaches each upstream while it is cold."""

    def __init__(self, gateways, zones, upstreams, per_s, *, are_calls_waiting):
        self.zones = [f"zone-{number}" for number in range(zones)]
        self.per_s = per_s
        self.cold_until = defaultdict(float)
        self.arrivals = defaultdict(list)
        self.are_health_answers_telling = False
        self.placed = self.refused = 0
        super().__init__(
            gateways,
            upstreams,
            SLOTS,
            random.Random(1),
            zone_of=lambda number: self.zones[number % zones],
        )
        service = Service(
            cold_s=3.0, cold_requests_per_s=per_s, wait_for_room=are_calls_waiting
        )
        self.directory.change_text(services={SERVICE: service})
        self.settle(START_S)

    def upstream_of(self, number, slots):
        zone = self.zones[number % len(self.zones)]
        address = f"127.1.0.{number + 1}:80"
        return Upstream(f"u{number + 1}", SERVICE, address, zone, slots)

    def add_sharing(self, name, link):
        admission = SharedAdmission(
            self.reactor,
            link.members.identity.zone,
            self.directory,
            self.directory,
            link,
            random.Random(name),
            lambda upstream, **options: self._probe(name, upstream, **options),
            lambda: (ORIGIN, 0.0),
        )
        notices = UpstreamNotices(self.reactor, link, self.directory, admission.loads)
        admission.on_stated_cold(notices.publish_cold)
        admission.start()
        return admission

    def zone_upstreams(self):
        return [
            each for each in self.directory.upstreams.values() if each.zone == "zone-1"
        ]

    def change_entries(self, change):
        """Change the entries of a zone's upstreams; all gateways read them."""
        for upstream in self.zone_upstreams():
            self.directory.upstreams[upstream.id] = change(upstream)
        for admission in self.sharings.values():
            admission.loads._on_upstreams_change()

    def become_cold(self, seconds):
        for upstream in self.zone_upstreams():
            self.cold_until[upstream.id] = self.reactor.seconds() + seconds

    def _probe(self, name, upstream, **_options):
        admission = self.sharings[name]
        if self.are_health_answers_telling:
            left_s = self.cold_until[upstream.id] - self.reactor.seconds()
            admission.note_cold(upstream, max(0.0, left_s))
        admission.note_load_report(upstream.id, LoadReport(0, 0, SLOTS, 1.0))
        return succeed(True)

    def call(self, name):
        call = self.place(name)
        call.admission = self.sharings[name]

        def ended():
            if self.sharings.get(name) is call.admission:
                call.end()

        def started(_result):
            if call.permit is None:
                self.refused += 1
                return
            self.placed += 1
            upstream_id, now = call.permit.upstream.id, self.reactor.seconds()
            is_cold = now < self.cold_until[upstream_id]
            if is_cold:
                self.arrivals[upstream_id].append(now)
            self.reactor.callLater(COLD_CALL_S if is_cold else CALL_S, ended)

        call.deferred.addBoth(started)

    def run(self, seconds, rate):
        self.placed = self.refused = 0
        for _ in range(round(seconds / STEP_S)):
            self._arrivals += rate * STEP_S
            while self._arrivals >= 1:
                self._arrivals -= 1
                self.call(self.rng.choice(sorted(self.sharings)))
            self.reactor.advance(STEP_S)
            self.calls.clear()


@given(
    "{gateways:d} gateways in {zones:d} zones, with {upstreams:d} upstreams that take "
    "{per_s:g} requests a second while cold"
)
def step_fleet(context, gateways, zones, upstreams, per_s):
    context.fleet = ColdFleet(
        gateways, zones, upstreams, per_s, are_calls_waiting=False
    )


@given(
    "{gateways:d} gateways in {zones:d} zones, with {upstreams:d} upstreams that take "
    "{per_s:g} requests a second while cold, and calls that wait for room"
)
def step_waiting_fleet(context, gateways, zones, upstreams, per_s):
    context.fleet = ColdFleet(gateways, zones, upstreams, per_s, are_calls_waiting=True)


@when("callers make {rate:g} calls to these for {seconds:g} s")
def step_calls(context, rate, seconds):
    context.fleet.run(seconds, rate)


@when("the upstreams of a zone become cold for {seconds:g} s, as their {sign} tell")
def step_cold(context, seconds, sign):
    fleet = context.fleet
    fleet.become_cold(seconds)
    fleet.are_health_answers_telling = sign == "health answers"
    if sign == "entries":
        cold_ms = round(seconds * 1000)
        fleet.change_entries(lambda upstream: upstream._replace(cold_ms=cold_ms))


@when("all gateways of these are restarted")
def step_restart(context):
    for name in list(context.fleet.sharings):
        context.fleet.restart(name, 1.0)


@when("the aggregators of these are killed")
def step_kill(context):
    fleet = context.fleet
    for name in fleet.aggregators():
        fleet.stop(name)


@when("a zone of these is evacuated")
def step_evacuate(context):
    state = UpstreamState.EVACUATED
    context.fleet.change_entries(lambda upstream: upstream._replace(state=state))


@when("the zone is taken back, whose upstreams have become cold for {seconds:g} s")
def step_take_back(context, seconds):
    fleet = context.fleet
    fleet.become_cold(seconds)
    state = UpstreamState.LIVE
    fleet.change_entries(lambda upstream: upstream._replace(state=state))


@then("no cold upstream gets more requests in a second than it tolerates")
def step_spared(context):
    fleet = context.fleet
    allowed = OVERSHOOT * fleet.per_s + SLACK
    for upstream_id, times in fleet.arrivals.items():
        most = max(sum(at <= each < at + 1 for each in times) for at in times)
        assert most <= allowed, (upstream_id, most, allowed)


@then("the cold upstreams get requests")
def step_used(context):
    got = {each.id for each in context.fleet.zone_upstreams()}
    assert got == set(context.fleet.arrivals), (got, set(context.fleet.arrivals))


@then("at least {percent:g} % of these calls are placed")
def step_placed(context, percent):
    fleet = context.fleet
    share = fleet.placed / (fleet.placed + fleet.refused)
    assert share >= percent / 100, (fleet.placed, fleet.refused)


@when("an upstream states a limit of {per_s:g} requests a second")
def step_state_limit(context, per_s):
    [admission] = context.fleet.sharings.values()
    admission.note_request_limit("u1", per_s)


@then("its keeper grants at most {most:d} queries in 1 s that call the upstream cold")
def step_cold_queries(context, most):
    fleet, replies = context.fleet, []
    [admission] = fleet.sharings.values()
    limiter = admission._limiter
    limiter._gossip.send_to = lambda _addresses, datagram: replies.append(datagram)
    for number in range(100):
        row = (fleet.per_s, 0.0)
        query = LimitQuery("127.0.0.9:1", number, "u1", row, False, is_cold=True)
        limiter._on_query(query, "")
        fleet.settle(0.01)
    answers = [each for each in replies if isinstance(each, LimitReply)]
    granted = sum(not each.wait_s for each in answers)
    assert 0 < granted <= most, (granted, len(answers))
