"""Steps for room that gateways of different zones lend each other."""

import random
from types import SimpleNamespace

from behave import given, step, then, when
from twisted.internet.task import Clock

from banyanshelf_core.datagrams import RoomQuery
from banyanshelf_core.model import LoadReport, Member, Upstream
from banyanshelf_core.placement.choice import PlacementSelector
from banyanshelf_core.placement.decisions import Placed, PlacementRequest
from banyanshelf_core.placement.upstream_load import ColdRules
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.zone_loans import ZoneLoans

SERVICE = "desk"
GATEWAYS_PER_ZONE = 2
STEP_S = 0.01
WORK_S = 0.1


class ZoneGateway:
    """A gateway with the loans of its zone; it takes the place of its gossip link."""

    def __init__(self, network, zone, number):
        self.network = network
        self.is_alive = True
        address = f"127.0.{ord(zone)}.{number}:80"
        identity = Member(f"{zone}{number}", address, zone, 1)
        self.members = SimpleNamespace(
            identity=identity,
            known_zones=lambda: set(network.gateways_by_zone),
            active_in_zone=network.members_of,
            zone_members_by_id=dict,
        )
        self.handler_by_type = {}
        self.selector = PlacementSelector(random.Random(3), zone)
        self.selector.set_upstreams(0.0, network.upstreams)
        for _ in range(30):
            self.selector.estimate.add_sample("/", WORK_S, nearly_full=False)
        self.selector.estimate.full_factor = 1.7
        self.sharing = SimpleNamespace(peer_aggregator=None, is_aggregator=True)
        loads = SimpleNamespace(
            selector_by_service={SERVICE: self.selector},
            active_services=lambda: [SERVICE],
            mark_active=self.report_loads,
        )
        self.loans = ZoneLoans(
            network.clock,
            self,
            loads,
            self.sharing,
            lambda _service: 0,
            lambda _service: network.is_waiting_enabled,
            Metrics(network.clock),
        )
        self.loans.start()

    def on_datagram(self, datagram_type, handler):
        self.handler_by_type[datagram_type] = handler

    def send_to(self, addresses, datagram):
        if self.is_alive:
            self.network.send(self.members.identity.address, addresses, datagram)

    def report_loads(self, _service):
        """Take the place of health probes, which follow while a service is in use."""
        now = self.network.clock.seconds()
        for load in self.selector.local_loads():
            if load.upstream.id in self.network.reporting:
                report = LoadReport(load.own_calls, 0, load.upstream.slots, 1.0)
                self.selector.note_report(now, load.upstream.id, report)

    def calls_left(self, zone):
        return self.selector.loans.calls_left(self.network.clock.seconds(), zone)


class ZoneNetwork:
    """Gateways of several zones; datagrams arrive after one step of the clock."""

    def __init__(self, zones, upstreams, slots):
        self.clock = Clock()
        self.queries = 0
        self.is_waiting_enabled = True
        self.upstreams = {
            f"{zone}-u{n}": Upstream(
                f"{zone}-u{n}", SERVICE, f"127.1.{ord(zone)}.{n}:80", zone, slots
            )
            for zone in zones
            for n in range(1, upstreams + 1)
        }
        self.reporting = set(self.upstreams)
        self.gateways_by_zone = dict.fromkeys(zones, ())
        self.gateways_by_zone = {
            zone: [ZoneGateway(self, zone, n + 1) for n in range(GATEWAYS_PER_ZONE)]
            for zone in zones
        }
        for gateways in self.gateways_by_zone.values():
            self.let_place(gateways, gateways[0])

    def let_place(self, gateways, placer):
        for each in gateways:
            is_placer = each is placer
            each.sharing.is_aggregator = is_placer
            each.sharing.peer_aggregator = (
                None if is_placer else placer.members.identity
            )

    def members_of(self, zone):
        return [
            each.members.identity
            for each in self.gateways_by_zone[zone]
            if each.is_alive
        ]

    def placer(self, zone):
        return next(
            each
            for each in self.gateways_by_zone[zone]
            if each.sharing.is_aggregator and each.is_alive
        )

    def send(self, sender, addresses, datagram):
        self.queries += isinstance(datagram, RoomQuery)
        for gateways in self.gateways_by_zone.values():
            for each in gateways:
                if each.members.identity.address in addresses:
                    handler = each.handler_by_type[type(datagram)]
                    self.clock.callLater(
                        STEP_S, self.deliver, each, handler, datagram, sender
                    )

    def deliver(self, gateway, handler, datagram, sender):
        if gateway.is_alive:
            handler(datagram, sender)


@given('zones "a", "b" and "c" with {upstreams:d} upstreams of {slots:d} slots each')
def step_zones(context, upstreams, slots):
    context.network = ZoneNetwork("abc", upstreams, slots)


@given(
    '{first:d} calls in progress in zone "a", {second:d} in zone "b" and {third:d} '
    'in zone "c"'
)
def step_calls(context, first, second, third):
    for zone, calls in zip("abc", (first, second, third), strict=True):
        for gateway in context.network.gateways_by_zone[zone]:
            own = [x for x in gateway.selector.loads_by_id if x.startswith(zone)]
            for number in range(calls):
                gateway.selector.start_call(0.0, own[number % len(own)])


@given('only the last gateway of zone "{zone}" places calls')
@when('the next gateway of zone "{zone}" places its calls')
def step_last_places(context, zone):
    gateways = context.network.gateways_by_zone[zone]
    context.network.let_place(gateways, gateways[-1])


@when('the lender of zone "{zone}" is killed')
def step_kill(context, zone):
    context.network.placer(zone).is_alive = False


@step("{seconds:g} s pass between the zones")
@step("{seconds:g} s passes between the zones")
def step_pass(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.network.clock.advance(STEP_S)


@given("the calls of the service do not wait for room")
def step_no_waiting(context):
    context.network.is_waiting_enabled = False


@given(
    '{count:d} upstreams of zone "{zone}" are cold and take {per_s:g} calls a second'
)
def step_cold(context, count, zone, per_s):
    for gateway in context.network.gateways_by_zone[zone]:
        for number in range(1, count + 1):
            load = gateway.selector.loads_by_id[f"{zone}-u{number}"]
            load.cold_rules = ColdRules(3.0, per_s)
            load.note_cold(60.0)


@given('{count:d} upstreams of zone "{zone}" report nothing')
def step_silent(context, count, zone):
    own = [x for x in context.network.upstreams if x.startswith(zone)]
    context.network.reporting -= set(own[-count:])


@when('zone "{zone}" places {count:d} calls')
def step_place(context, zone, count):
    now = context.network.clock.seconds()
    selector = context.network.placer(zone).selector
    context.placed = []
    for _ in range(count):
        request = PlacementRequest("/", now + 2.2 * WORK_S, now + 1.0)
        found = selector.choose(now, request)
        if isinstance(found, Placed):
            selector.start_call(now, found.upstream.id)
            context.placed.append(found)


@then('zone "{zone}" may send {near:d} calls to zone "b" and {far:d} to zone "c"')
def step_may_send(context, zone, near, far):
    gateway = context.network.placer(zone)
    found = gateway.calls_left("b"), gateway.calls_left("c")
    assert found == (near, far), found


@then('{count:d} of them go to zone "{zone}"')
def step_went(context, count, zone):
    zones = [each.upstream.zone for each in context.placed]
    assert zones.count(zone) == count, zones
    assert all(each.is_lent for each in context.placed if each.upstream.zone == zone)


@then("no zone has asked for room")
def step_no_query(context):
    assert not context.network.queries
