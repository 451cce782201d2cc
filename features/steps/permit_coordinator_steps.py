"""Steps for the coordinator of a service, driven without a network."""

import random
from collections import Counter

from behave import given, then, when

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.messages import (
    Acquire,
    Grant,
    Holdings,
    Recall,
    Release,
    SlotCount,
)
from banyanshelf_core.model import Epoch, Send, Upstream, UpstreamState
from banyanshelf_core.permits.coordinator import SlotCoordinator
from banyanshelf_core.permits.effects import Probe
from banyanshelf_core.permits.settings import CoordinatorSettings

EPOCH = Epoch(5, "g1")
TICK_S = 0.025


def upstreams_of(description):
    """Parse ``a:huye:2 b:moka:3`` into upstreams by id."""
    upstreams = {}
    for each in description.split():
        name, zone, slots = each.split(":")
        upstreams[name] = Upstream(name, "desk", "127.0.0.1:1", zone, int(slots))
    return upstreams


class CoordinatorDriver:
    """A coordinator on a simulated clock, and its grants by gateway."""

    def __init__(self, upstreams, gateways):
        self.now = 100.0
        self.upstreams = upstreams_of(upstreams)
        self.zones = dict(each.split(":") for each in gateways.split())
        self.received = Counter()
        self.epoch = EPOCH
        self.restart()

    def restart(self):
        """Start the coordinator, which then collects holdings."""
        self.grants = {name: Counter() for name in self.zones}
        self.messages = []
        self.probes = []
        self.coordinator = SlotCoordinator(
            self.now,
            random.Random(3),
            "desk",
            self.epoch,
            self.zones,
            self.upstreams,
            CoordinatorSettings(),
        )

    def record_effects(self, effects):
        """Record effects; granted permits count as received."""
        for effect in effects:
            if isinstance(effect, Probe):
                self.probes.append((self.now, effect.upstream))
            elif isinstance(effect, Send):
                self.messages.append((effect.to, effect.message))
                if isinstance(effect.message, Grant):
                    for each in effect.message.permits:
                        self.grants[effect.to][each.upstream] += each.count
                        self.received[effect.to] += each.count

    def send(self, gateway, message_class, *fields):
        """Deliver a gateway's message."""
        message = message_class("desk", *self.epoch, *fields)
        self.record_effects(self.coordinator.on_message(self.now, gateway, message))

    def hold(self, gateway, counts=""):
        """Deliver a gateway's holdings."""
        in_use = [SlotCount(each, 1) for each in counts.split()]
        self.send(gateway, Holdings, in_use, [], 0, self.received[gateway])

    def acquire(self, gateway, waiting, age_ms=0, spare=0, excluded=(), received=None):
        """Deliver a gateway's demand."""
        received = self.received[gateway] if received is None else received
        self.send(
            gateway, Acquire, waiting, age_ms * 1000, received, spare, list(excluded)
        )

    def release(self, gateway, permits="", samples=()):
        """Deliver returned permits and samples."""
        counts = [SlotCount(each, 1) for each in permits.split()]
        received = self.received[gateway]
        self.send(gateway, Release, counts, 0, 0, list(samples), received, 0, [])

    def advance(self, seconds):
        """Advance the clock and call the coordinator's ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.record_effects(self.coordinator.tick(self.now))

    def last(self, message_class):
        """Return the sent messages of a class with their receivers."""
        return [each for each in self.messages if isinstance(each[1], message_class)]


@given('a coordinator for service desk of upstreams "{upstreams}" and "{gateways}"')
def step_coordinator(context, upstreams, gateways):
    context.desk = CoordinatorDriver(upstreams, gateways)
    for gateway in context.desk.zones:
        context.desk.hold(gateway)


@given('a collecting coordinator for service desk of "{upstreams}" and "{gateways}"')
def step_collecting(context, upstreams, gateways):
    context.desk = CoordinatorDriver(upstreams, gateways)


@when('the desk coordinator is told that "{gateway}" has {waiting:d} calls waiting')
def step_acquire(context, gateway, waiting):
    context.desk.acquire(gateway, waiting)


@when(
    'the desk coordinator is told that "{gateway}" has {waiting:d} calls waiting for '
    "{age:d} ms"
)
def step_acquire_old(context, gateway, waiting, age):
    context.desk.acquire(gateway, waiting, age)


@when('the desk coordinator is told of a call of "{gateway}" that excludes "{name}"')
def step_acquire_excluded(context, gateway, name):
    context.desk.acquire(gateway, 1, excluded=[name])


@when('the desk coordinator is told the same by "{gateway}" before its grant arrived')
def step_acquire_crossing(context, gateway):
    context.desk.acquire(gateway, 1, received=0)


@when('the desk coordinator is told that "{gateway}" wants {spare:d} spare permits')
def step_spare(context, gateway, spare):
    context.desk.acquire(gateway, 0, spare=spare)


@when('the desk coordinator gets "{permits}" back from "{gateway}"')
def step_release(context, permits, gateway):
    context.desk.release(gateway, permits)


@when('the desk coordinator gets holdings of "{permits}" from "{gateway}"')
def step_holdings(context, permits, gateway):
    context.desk.hold(gateway, "" if permits == "nothing" else permits)


@when('the desk coordinator gets holdings that "{gateway}" sent before its grant')
def step_holdings_before(context, gateway):
    context.desk.received[gateway] = 0
    context.desk.hold(gateway)


@when('the desk coordinator learns {count:d} times that "{name}" {kind} in {ms:d} ms')
def step_samples(context, count, name, kind, ms):
    for _ in range(count):
        sample = AnswerSample(name, ms * 1000, kind)
        context.desk.release("g1", samples=[sample])


@when("the desk coordinator's clock advances {seconds:f} s")
def step_advance(context, seconds):
    context.desk.advance(seconds)


@when('the desk coordinator loses and regains the link to "{gateway}"')
def step_relink(context, gateway):
    desk = context.desk
    desk.record_effects(desk.coordinator.on_link(desk.now, gateway, is_up=False))
    desk.record_effects(desk.coordinator.on_link(desk.now, gateway, is_up=True))


@when('the desk coordinator cannot send its grant to "{gateway}"')
def step_unsent(context, gateway):
    desk = context.desk
    _, grant = desk.last(Grant)[-1]
    desk.coordinator.on_unsent(desk.now, gateway, grant)


@when('the desk coordinator is told that member "{gateway}" was removed')
def step_removed(context, gateway):
    desk = context.desk
    del desk.zones[gateway]
    desk.record_effects(desk.coordinator.set_members(desk.now, desk.zones))


@when('the desk coordinator is told that upstream "{name}" is leaving')
def step_leaving(context, name):
    desk = context.desk
    desk.upstreams[name] = desk.upstreams[name]._replace(state=UpstreamState.LEAVING)
    desk.record_effects(desk.coordinator.set_upstreams(desk.now, desk.upstreams))


@when('the desk coordinator is told of a new upstream "{description}"')
def step_new_upstream(context, description):
    desk = context.desk
    desk.upstreams.update(upstreams_of(description))
    desk.record_effects(desk.coordinator.set_upstreams(desk.now, desk.upstreams))


@when('the desk coordinator gets a message of an older epoch from "{gateway}"')
def step_old_epoch(context, gateway):
    desk = context.desk
    message = Acquire("desk", EPOCH.number - 1, "g1", 3, 0, 0, 0, [])
    desk.record_effects(desk.coordinator.on_message(desk.now, gateway, message))


@when('the desk coordinator learns that the probe of "{name}" {result}')
def step_probe_result(context, name, result):
    desk = context.desk
    answered_at = desk.probes[-1][0] + 0.006
    desk.record_effects(
        desk.coordinator.on_probe_result(
            answered_at, name, succeeded=result == "succeeded"
        )
    )


@then('the desk coordinator has granted "{permits}" to "{gateway}"')
def step_granted(context, permits, gateway):
    expected = Counter([] if permits == "nothing" else permits.split())
    assert context.desk.grants[gateway] == expected, context.desk.grants


@then('the desk coordinator has granted {count:d} permits of "{names}"')
def step_granted_count(context, count, names):
    granted = sum(
        each[name]
        for each in context.desk.grants.values()
        for name in names.split('" or "')
    )
    assert granted == count, context.desk.grants


@then('the desk coordinator\'s last grant of "{name}" is for "{terms}"')
def step_terms(context, name, terms):
    grants = [
        each
        for _, each in context.desk.last(Grant)
        if any(permit.upstream == name for permit in each.permits)
    ]
    assert grants[-1].terms == terms, grants[-1]


@then("the desk coordinator's last grant asks to reuse from {ms:d} ms on")
def step_reuse(context, ms):
    _, grant = context.desk.last(Grant)[-1]
    assert grant.reuse_after_us // 1000 == ms and grant.contended, grant


@then('the desk coordinator recalls {count:d} permits of "{name}" from "{gateway}"')
def step_recalled(context, count, name, gateway):
    name = "" if name == "any" else name
    recalls = [
        each.count
        for to, each in context.desk.last(Recall)
        if to == gateway and each.upstream == name
    ]
    assert sum(recalls) == count, context.desk.last(Recall)


@then('the desk coordinator has sent {count:d} probes to "{name}"')
def step_probes(context, count, name):
    assert [each for _, each in context.desk.probes] == [name] * count


@then('the desk coordinator shows "{name}" as {state} with {limit:d} usable slots')
def step_state(context, name, state, limit):
    desk = context.desk
    health = desk.coordinator.health
    found = health.state(name), health.usable_slots(desk.now, name)
    assert found == (state, limit), found


@then('the desk coordinator counts {count:d} permits of "{name}"')
def step_outstanding(context, count, name):
    assert context.desk.coordinator.ledger.outstanding[name] == count
