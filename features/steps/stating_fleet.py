"""Gateways whose upstreams say in their answers that they leave or want a pause."""

import math
import random
from collections import defaultdict

from simulated_admissions import SERVICE, AdmissionZone
from simulated_limits import CALL_S, STEP_S, TARGET_S, WORK_S
from twisted.internet.defer import succeed

from banyanshelf_core.known_departures import KnownDepartures
from banyanshelf_core.model import LoadReport, Upstream, UpstreamState
from banyanshelf_core.replica import ORIGIN
from banyanshelf_daemon.shared_admission import SharedAdmission
from banyanshelf_daemon.upstream_notices import UpstreamNotices

SLOTS = 3
# The users' terms: nothing later than this after a gateway has passed on an answer of
# an upstream that leaves, and at most two requests between half a second after a 503
# with Retry-After and the end of that time.
DRAIN_S = 2.0
NOTICE_S = 0.5
ALLOWED_IN_PAUSE = 2


class _Directory:
    """The upstreams as one gateway knows them; their entries always say ``ready``."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.departures = KnownDepartures()
        self.handlers = []

    def active(self):
        return self.fleet.directory.active()

    def on_change(self, handler):
        pass

    def on_upstreams_change(self, handler):
        self.handlers.append(handler)

    def upstreams_by_id(self, service_name):
        listed = self.fleet.directory.upstreams_by_id(service_name)
        return {
            upstream_id: (
                each._replace(state=UpstreamState.LEAVING)
                if self.departures.includes(each)
                else each
            )
            for upstream_id, each in listed.items()
        }

    def note_peer_leaving(self, upstream):
        if self.departures.add_stated(upstream):
            self.changed()
            return True
        return False

    def changed(self):
        for handler in self.handlers:
            handler()


class StatingFleet(AdmissionZone):
    """Counts what reaches each upstream from each gateway after its statements."""

    def __init__(self, gateways, zones, upstreams, seed=1):
        self.zones = [f"zone-{number}" for number in range(zones)]
        self.own_directory = {}
        self.notices = {}
        self.leaving, self.paused_until = set(), {}
        self.arrivals = defaultdict(list)
        self.left_at = {}
        self.pauses = defaultdict(list)
        self.restarted_at = math.inf
        self.answered = self.turned_away = self.refused = 0
        self.refusals = []
        super().__init__(
            gateways,
            upstreams,
            SLOTS,
            random.Random(seed),
            zone_of=lambda number: self.zones[number % zones],
        )

    def upstream_of(self, number, slots):
        address = f"127.1.{number // 256}.{number % 256}:80"
        zone = self.zones[number % len(self.zones)]
        name = f"u{number + 1}"
        return Upstream(name, SERVICE, address, zone, slots, incarnation=1)

    def add_sharing(self, name, link):
        directory = self.own_directory[name] = _Directory(self)
        admission = SharedAdmission(
            self.reactor,
            link.members.identity.zone,
            directory,
            directory,
            link,
            random.Random(name),
            lambda upstream, **options: self._probe(name, upstream, **options),
            lambda: (ORIGIN, 0.0),
        )
        notices = self.notices[name] = UpstreamNotices(
            self.reactor, link, directory, admission.loads
        )
        admission.on_stated_pause(notices.publish_pause)
        admission.start()
        selector = admission.loads.selector_by_service[SERVICE]
        for _ in range(30):
            selector.estimate.add_sample("/", WORK_S, nearly_full=False)
        return admission

    # Upstreams

    def choose(self, share):
        names = sorted(self.directory.upstreams)
        return self.rng.sample(names, round(share * len(names)))

    def leave(self, share):
        self.leaving |= set(self.choose(share))

    def pause(self, share, pause_s):
        until = self.reactor.seconds() + pause_s
        self.paused_until |= dict.fromkeys(self.choose(share), until)

    def restart_upstreams(self):
        """Start all upstreams again under their ids, without what they said before."""
        self.leaving, self.paused_until = set(), {}
        self.restarted_at = self.reactor.seconds()
        listed = self.directory.upstreams
        for name, upstream in listed.items():
            listed[name] = upstream._replace(incarnation=upstream.incarnation + 1)
        for directory in self.own_directory.values():
            directory.changed()

    def _arrive(self, name, upstream_id):
        self.arrivals[name, upstream_id].append(self.reactor.seconds())

    def _answer(self, name, upstream):
        """Let a gateway hear an answer; returns whether the request was turned away."""
        now = self.reactor.seconds()
        admission = self.sharings.get(name)
        if admission is None:
            return False
        if upstream.id in self.leaving:
            self.left_at.setdefault((name, upstream.id, upstream.incarnation), now)
            if self.own_directory[name].note_peer_leaving(upstream):
                self.notices[name].publish_leaving(upstream)
        left_s = self.paused_until.get(upstream.id, now) - now
        if left_s > 0:
            self.pauses[name, upstream.id].append((now, now + left_s))
            admission.note_pause(upstream, left_s)
            return True
        admission.note_load_report(upstream.id, LoadReport(0, 0, SLOTS, 1.0))
        return False

    def _probe(self, name, upstream, **_options):
        self._arrive(name, upstream.id)
        is_turned_away = self._answer(name, upstream)
        return succeed(not (is_turned_away or upstream.id in self.leaving))

    # Callers

    def call(self, name):
        call = self.place(name, TARGET_S)
        call.admission = self.sharings[name]

        def started(result):
            if call.permit is None:
                self.refused += 1
                self.refusals.append(call.error)
                return result
            self._arrive(name, call.permit.upstream.id)
            self.reactor.callLater(CALL_S, ended)
            return result

        def ended():
            if self._answer(name, call.permit.upstream):
                self.turned_away += 1
            else:
                self.answered += 1
            if self.sharings.get(name) is call.admission:
                call.end()

        call.deferred.addBoth(started)
        return call

    def run(self, seconds, calls_per_s):
        for _ in range(round(seconds / STEP_S)):
            self._arrivals += calls_per_s * STEP_S
            while self._arrivals >= 1:
                self._arrivals -= 1
                self.call(self.rng.choice(sorted(self.sharings)))
            self.reactor.advance(STEP_S)

    # Verdict

    def late_at_leaving(self):
        """Return the requests at upstreams that had told the gateway that they leave.

        An upstream that was started again meanwhile counts anew.
        """
        return [
            (name, upstream_id)
            for (name, upstream_id, incarnation), left_at in self.left_at.items()
            if self.directory.upstreams[upstream_id].incarnation == incarnation
            for at in self.arrivals[name, upstream_id]
            if at > left_at + DRAIN_S
        ]

    def excess_in_pauses(self):
        """Return the pauses in which an upstream got more than is allowed."""
        return [
            (key, answered_at, until)
            for key, pauses in self.pauses.items()
            for answered_at, until in pauses
            if self._arrivals_in_pause(key, answered_at, until) > ALLOWED_IN_PAUSE
        ]

    def _arrivals_in_pause(self, key, answered_at, until):
        if answered_at < self.restarted_at:
            until = min(until, self.restarted_at)
        return sum(answered_at + NOTICE_S < at < until for at in self.arrivals[key])
