"""Gateways with shared admission on a simulated datagram network."""

import random
from collections import Counter
from types import SimpleNamespace

import msgspec
from simulated_gossip import LoadZone
from twisted.internet.defer import succeed

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import AnswerKind, LoadReport, Upstream
from banyanshelf_core.replica import ORIGIN
from banyanshelf_core.text import OperatorText, Service
from banyanshelf_daemon.interfaces import PermitRequest
from banyanshelf_daemon.shared_admission import SharedAdmission

SERVICE = "desk"
TARGET_S = 0.3
STEP_S = 0.002


class Directory:
    """The upstreams of one service, and a configuration with this service."""

    def __init__(self, upstreams, *, waits=False):
        self.upstreams = upstreams
        text = OperatorText(services={SERVICE: Service(wait_for_room=waits)})
        self.text = SimpleNamespace(text=text)
        self.handlers = []

    def active(self):
        return self.text

    def on_change(self, handler):
        self.handlers.append(handler)

    def change_text(self, **fields):
        text = msgspec.structs.replace(self.text.text, **fields)
        self.text = SimpleNamespace(text=text)
        for handler in self.handlers:
            handler(self.text)

    def on_upstreams_change(self, handler):
        pass

    def upstreams_by_id(self, _service_name):
        return self.upstreams


class SimulatedCall:
    """A call of one gateway."""

    def __init__(self, zone, name, deferred):
        self.zone, self.name, self.deferred = zone, name, deferred
        self.asked_at = zone.reactor.seconds()
        self.permit = self.error = self.placed_at = None
        self.is_late = False
        deferred.addCallbacks(self._placed, self._failed)

    def _placed(self, permit):
        self.permit = permit
        self.placed_at = self.zone.reactor.seconds()

    def _failed(self, failure):
        self.error = failure.value

    def end(self):
        sample = AnswerSample(self.permit.upstream.id, 50_000, AnswerKind.ANSWERED)
        self.zone.sharings[self.name].release(self.permit, sample)


class AdmissionZone(LoadZone):
    """A zone whose gateways admit calls; see ``LoadZone`` for the network."""

    def __init__(self, count, upstreams, slots, rng, *, waits=False, **options):
        listed = [self.upstream_of(number, slots) for number in range(upstreams)]
        self.directory = Directory({each.id: each for each in listed}, waits=waits)
        self.probe_count = Counter()
        self.calls = []
        super().__init__(count, upstreams, rng, **options)

    def upstream_of(self, number, slots):
        name = f"u{number + 1}"
        return Upstream(name, SERVICE, f"127.1.0.{number + 1}:80", "a", slots)

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
        admission.start()
        return admission

    def _probe(self, name, upstream, **_options):
        self.probe_count[upstream.id] += 1
        report = LoadReport(0, 0, upstream.slots, 1.0)
        self.sharings[name].note_load_report(upstream.id, report)
        return succeed(True)

    def place(self, name, target_s=TARGET_S, workspace="", priority=0):
        """Start a call; its result arrives after some steps of the clock."""
        now = self.reactor.seconds()
        request = PermitRequest(
            "r",
            "",
            0,
            now + 5.0,
            True,
            frozenset(),
            False,
            "/",
            now + target_s,
            priority,
            lambda: self._note_late(call),
            workspace,
            True,
        )
        call = SimulatedCall(self, name, self.sharings[name].acquire(SERVICE, request))
        call.priority = priority
        self.calls.append(call)
        return call

    def _note_late(self, call):
        call.is_late = True

    def settle(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)

    def aggregator(self):
        [name] = self.aggregators()
        return name

    def aggregators(self):
        found = set()
        for name, admission in self.sharings.items():
            elsewhere = admission._sharing.peer_aggregator
            found.add(name if elsewhere is None else elsewhere.id)
        return found

    def counts(self, name):
        """Return one gateway's counts of calls in progress by upstream."""
        choice = self.sharings[name].loads.selector_by_service[SERVICE]
        now = self.reactor.seconds()
        return {
            upstream_id: load.in_flight(now)
            for upstream_id, load in choice.loads_by_id.items()
        }
