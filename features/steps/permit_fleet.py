"""Gateways with permits on a simulated clock and network."""

import random
from collections import Counter, defaultdict
from functools import partial
from types import SimpleNamespace

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.model import Member, Upstream
from banyanshelf_core.text import parse_text
from banyanshelf_daemon.coordination import Coordination
from banyanshelf_daemon.interfaces import ActiveText, NotAdmittedError, PermitRequest

LATENCY_S = 0.001


class MemberClock:
    """Clock of one member, whose timers do not fire while the member is paused."""

    def __init__(self, clock):
        self.clock = clock
        self.is_paused = False
        self.is_dead = False
        self.postponed = []

    def seconds(self):
        """Return the time of the fleet."""
        return self.clock.seconds()

    def callLater(self, delay, function, *args, **kwargs):  # noqa: N802
        """Schedule a call, which is postponed while the member is paused."""
        return self.clock.callLater(delay, self.fire, function, args, kwargs)

    def fire(self, function, args=(), kwargs=None):
        """Call a function now, after the pause, or never if the member is dead."""
        if self.is_dead:
            return
        if self.is_paused:
            self.postponed.append((function, args, kwargs))
        else:
            function(*args, **(kwargs or {}))

    def resume(self):
        """End the pause and run the postponed calls."""
        self.is_paused = False
        postponed, self.postponed = self.postponed, []
        for function, args, kwargs in postponed:
            self.fire(function, args, kwargs)


class Gateway:
    """One member with the collaborators of its ``Coordination``."""

    def __init__(self, fleet, member_id, zone, text):
        self.fleet = fleet
        self.id = member_id
        self.zone = zone
        self.clock = MemberClock(fleet.clock)
        self.handlers = defaultdict(list)
        self.link_handlers = []
        self.member_handlers = []
        self.upstream_handlers = []
        self.view = {}
        self.session_by_peer = Counter()
        self.text = ActiveText(1, "digest", parse_text(text))
        self.coordination = Coordination(
            self.clock,
            SimpleNamespace(member_id=member_id, zone=zone),
            SimpleNamespace(active=lambda: self.text, on_change=lambda handler: None),
            SimpleNamespace(
                members_by_id=lambda: self.view,
                on_members_change=self.member_handlers.append,
            ),
            SimpleNamespace(
                upstreams_by_id=lambda name: {
                    key: each
                    for key, each in fleet.upstreams.items()
                    if each.service == name
                },
                on_upstreams_change=self.upstream_handlers.append,
                report_leaving=lambda upstream_id, reason: None,
            ),
            self,
            random.Random(f"{fleet.seed}/{member_id}"),
            partial(fleet.probe, asker=self),
        )

    def send(self, member_id, message):
        """Send a message to another gateway."""
        return self.fleet.deliver(self.id, member_id, message)

    def broadcast(self, message):
        """Send a message to every other gateway."""
        for member_id in list(self.view):
            if member_id != self.id:
                self.send(member_id, message)

    def subscribe(self, message_class, handler):
        """Register a message handler."""
        self.handlers[message_class].append(handler)

    def on_link_change(self, handler):
        """Register a link handler."""
        self.link_handlers.append(handler)

    def receive(self, sender, session, message):
        """Handle a message unless its session is over."""
        if self.session_by_peer[sender] == session:
            for handler in self.handlers[type(message)]:
                handler(sender, message)

    def see_link(self, peer, session, is_up):
        """Handle a link change, which a pause may have delayed."""
        self.session_by_peer[peer] = session
        for handler in self.link_handlers:
            handler(peer, is_up)

    def set_view(self, members):
        """Replace the live members as this gateway sees them."""
        self.view = dict(members)
        for handler in self.member_handlers:
            handler()


class Fleet:
    """Gateways, upstreams and links; counts the calls that run on each upstream."""

    def __init__(self, seed, gateways, upstreams, slots, text=None, zones=3):
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.advance(100.0)
        self.upstreams = {}
        for number in range(upstreams):
            upstream_id = f"desk-{number}"
            self.upstreams[upstream_id] = Upstream(
                upstream_id, "desk", "127.0.0.1:1", f"zone-{number % zones}", slots
            )
        self.session_by_pair = Counter()
        self.incarnations = Counter()
        self.down = set()
        self.sent = Counter()
        self.running = Counter()
        self.highest = Counter()
        self.permitted = Counter()
        self.answered = self.refused = self.started = 0
        self.waiting = {}
        self.waits = []
        self.refusal_waits = []
        self.service_time = lambda upstream_id: self.rng.expovariate(1 / 0.02)
        self.kind = lambda upstream_id: "answered"
        self.probes = []
        self.probe_result = lambda upstream_id: True
        self.limit_by_upstream = {}
        self.received = defaultdict(list)
        text = text or f"[services.desk]\nslots_per_upstream = {slots}\n"
        self.gateways = {}
        for number in range(gateways):
            member_id = f"gateway-{number}"
            self.gateways[member_id] = Gateway(
                self, member_id, f"zone-{number % zones}", text
            )
        self.members = {
            each.id: Member(each.id, "127.0.0.1:1", each.zone, 1)
            for each in self.gateways.values()
        }
        for gateway in self.gateways.values():
            gateway.view = dict(self.members)
        for gateway in self.gateways.values():
            gateway.coordination.start()
        self.advance(0.5)

    def probe(self, upstream, *, is_repeated=True, asker=None):
        """Answer a health probe after 6 ms."""
        self.probes.append((self.clock.seconds(), upstream.id))
        self.received[upstream.id].append(self.clock.seconds())
        result = Deferred()
        self.clock.callLater(0.006, result.callback, self.probe_result(upstream.id))
        if asker is not None:
            self.clock.callLater(0.006, self.state_limit, asker, upstream.id)
        return result

    def deliver(self, sender, receiver, message):
        """Deliver a message after the latency; return False if the link is down."""
        pair = frozenset((sender, receiver))
        if pair in self.down or receiver not in self.gateways:
            return False
        self.sent[type(message).__name__] += 1
        gateway = self.gateways[receiver]
        session = self.gateways[sender].session_by_peer[receiver]
        gateway.clock.callLater(LATENCY_S, gateway.receive, sender, session, message)
        return True

    def set_link(self, first, second, is_up):
        """Bring a link up or down, which ends its session."""
        pair = frozenset((first, second))
        if is_up != (pair in self.down):
            return
        self.session_by_pair[pair] += 1
        (self.down.discard if is_up else self.down.add)(pair)
        for own, other in ((first, second), (second, first)):
            gateway = self.gateways.get(own)
            if gateway is None:
                continue
            session = self.session_by_pair[pair]
            gateway.clock.fire(gateway.see_link, (other, session, is_up))

    def set_members(self, member_ids, renewed=frozenset()):
        """Replace the live members; ``renewed`` ones have taken a new incarnation."""
        self.incarnations.update(renewed)
        self.members = {
            key: Member(
                key, "127.0.0.1:1", self.gateways[key].zone, 1 + self.incarnations[key]
            )
            for key in member_ids
        }
        for member_id in member_ids:
            gateway = self.gateways[member_id]
            gateway.clock.fire(gateway.set_view, (self.members,))

    def set_upstream(self, upstream):
        """Add or replace an upstream."""
        self.upstreams[upstream.id] = upstream
        for gateway in self.gateways.values():
            for handler in gateway.upstream_handlers:
                gateway.clock.fire(handler)

    def coordinators(self):
        """Return the coordinators of the service by member."""
        return {
            key: gateway.coordination.coordinators_by_service["desk"]
            for key, gateway in self.gateways.items()
            if "desk" in gateway.coordination.coordinators_by_service
            and not gateway.clock.is_dead
        }

    def coordinator_id(self):
        """Return the only coordinating member."""
        (only,) = self.coordinators()
        return only

    def call(self, member_id, limit_s=2.0, **fields):
        """Start a call at a gateway and return its outcome."""
        gateway = self.gateways[member_id]
        self.started += 1
        number = self.started
        self.waiting[number] = member_id
        request = PermitRequest(
            f"request-{number}",
            fields.pop("caller_service", ""),
            fields.pop("depth", 0),
            self.clock.seconds() + limit_s,
            fields.pop("idempotent", True),
            **fields,
        )
        outcome = SimpleNamespace(permit=None, refused=None)

        arrived = self.clock.seconds()

        def on_permit(permit):
            outcome.permit = permit
            self.waits.append(self.clock.seconds() - arrived)
            self.waiting.pop(number)
            self.start_call(gateway, permit)

        def on_refused(failure):
            failure.trap(NotAdmittedError, CancelledError)
            outcome.refused = failure.value
            self.refusal_waits.append(self.clock.seconds() - arrived)
            self.waiting.pop(number)
            self.refused += 1

        deferred = gateway.coordination.acquire("desk", request)
        deferred.addCallbacks(on_permit, on_refused)
        deferred.addErrback(self.fail)
        outcome.deferred = deferred
        return outcome

    def fail(self, failure):
        """Print and store an unexpected error."""
        failure.printTraceback()
        self.error = failure

    def start_call(self, gateway, permit):
        """Run a call on an upstream, then release its permit."""
        upstream_id = permit.upstream.id
        assert permit.upstream.state == "live", permit
        self.running[upstream_id] += 1
        self.permitted[upstream_id] += 1
        self.received[upstream_id].append(self.clock.seconds())
        self.highest[upstream_id] = max(
            self.highest[upstream_id], self.running[upstream_id]
        )
        duration = self.service_time(upstream_id)
        kind = self.kind(upstream_id)

        def end():
            self.running[upstream_id] -= 1
            self.answered += 1
            gateway.clock.fire(self.state_limit, (gateway, upstream_id))
            sample = AnswerSample(upstream_id, int(duration * 1e6), kind)
            gateway.clock.fire(gateway.coordination.release, (permit, sample))

        self.clock.callLater(duration, end)

    def state_limit(self, gateway, upstream_id):
        """Deliver what an answer states about the upstream's limit."""
        gateway.coordination.note_request_limit(
            upstream_id, self.limit_by_upstream.get(upstream_id)
        )

    def advance(self, seconds, step=0.0005):
        """Advance the clock in small steps."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
