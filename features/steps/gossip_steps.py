"""Steps for gateways that discover each other by datagrams on a simulated network."""

import random

from behave import given, then, when

from banyanshelf_core.datagrams import Greeting, LoadUpdate
from banyanshelf_core.errors import CodecError
from banyanshelf_core.gossip import GossipMembers
from banyanshelf_core.model import Member
from banyanshelf_wire.datagram import decode_datagram, encode_datagram

TICK_S = 0.1
HEARTBEAT_S = 0.5


class GossipNetwork:
    """Gateways and their datagrams in flight; stopped gateways get and send none."""

    def __init__(self, zones, seeds):
        self.now = 10.0
        self.zone_by_id = {f"g{i}": zone for i, zone in enumerate(zones, 1)}
        self.seeds = [self.address(seed) for seed in seeds]
        self.members = {}
        self.in_flight = []
        self.sent = []
        for member_id in self.zone_by_id:
            self.start(member_id, 1)

    def address(self, member_id):
        return f"127.0.0.{member_id[1:]}:7000"

    def start(self, member_id, incarnation):
        identity = Member(
            member_id, self.address(member_id), self.zone_by_id[member_id], incarnation
        )
        self.members[member_id] = GossipMembers(
            identity, self.seeds, random.Random(member_id)
        )

    def advance(self, seconds):
        for step in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for members in list(self.members.values()):
                effects, _ = members.tick(self.now)
                self.post(effects)
                if step % round(HEARTBEAT_S / TICK_S) == 0:
                    self.heartbeat(members)
            while self.in_flight:
                self.deliver(*self.in_flight.pop(0))

    def heartbeat(self, members):
        news = LoadUpdate(members.identity.id, {}, [], {}, 0, True)
        for member in members.zone_members_by_id().values():
            self.in_flight.append((member.address, encode_datagram(news)))

    def post(self, effects):
        for effect in effects:
            self.sent.append(effect.datagram)
            self.in_flight.append((effect.address, encode_datagram(effect.datagram)))

    def deliver(self, address, content):
        for members in self.members.values():
            if members.identity.address != address:
                continue
            match decode_datagram(content):
                case Greeting() as greeting:
                    effects, _ = members.on_greeting(self.now, greeting)
                    self.post(effects)
                case LoadUpdate() as news:
                    members.record_heartbeat(self.now, news.sender)

    def known_in_zone(self, member_id):
        return sorted(self.members[member_id].zone_members_by_id())


@given('{count:d} gateways in zones "{zones}" with seeds "{seeds}"')
def step_gateways(context, count, zones, seeds):
    context.network = GossipNetwork(zones.split(), seeds.split())
    assert len(context.network.members) == count


@when("{seconds:g} s of gossip pass")
def step_pass(context, seconds):
    context.network.advance(seconds)


@when('gateways "{names}" stop')
def step_stop(context, names):
    for name in names.split():
        del context.network.members[name]


@when('gateway "{name}" restarts')
def step_restart(context, name):
    context.network.start(name, 2)


@when('gateway "{name}" is greeted by "{other}" of incarnation {incarnation:d}')
def step_greeted(context, name, other, incarnation):
    network = context.network
    row = (other, network.address(other), network.zone_by_id[other], incarnation, 1.0)
    greeting = Greeting(row, [], False, 0)
    network.members[name].on_greeting(network.now, greeting)


@then("every gateway knows its zone")
def step_all_known(context):
    network = context.network
    for name, zone in network.zone_by_id.items():
        others = [
            each
            for each, other_zone in network.zone_by_id.items()
            if other_zone == zone and each != name
        ]
        assert network.known_in_zone(name) == others, (
            name,
            network.known_in_zone(name),
        )


@then('gateway "{name}" knows "{others}"')
def step_known(context, name, others):
    found = context.network.known_in_zone(name)
    assert found == others.split(), found


@then('gateway "{name}" knows "{other}" in its new incarnation')
def step_known_new(context, name, other):
    step_known_incarnation(context, name, other, 2)


@then('gateway "{name}" knows "{other}" of incarnation {incarnation:d}')
def step_known_incarnation(context, name, other, incarnation):
    members = context.network.members[name].zone_members_by_id()
    assert members[other].incarnation == incarnation, members


@then("an answer lists members only if the greeting asks for them")
def step_no_members(context):
    network = context.network
    row = ("g9", "127.0.0.9:7000", "a", 1, 1.0)
    for wants in (False, True):
        greeting = Greeting(row, [], True, 0, wants)
        effects, _ = network.members["g1"].on_greeting(network.now, greeting)
        assert bool(effects[0].datagram.members) == wants, effects


@then('the datagrams "{words}" are refused')
def step_malformed(context, words):
    for word in words.split():
        try:
            decode_datagram(bytes.fromhex(word.removeprefix("hex:")))
        except CodecError:
            continue
        raise AssertionError(f"{word} was accepted")
