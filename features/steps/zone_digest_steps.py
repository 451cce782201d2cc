"""Steps for a large zone whose gateways share load data on a simulated network."""

import random
from collections import Counter

from behave import given, step, then, when
from simulated_gossip import LoadZone

from banyanshelf_core.call_messages import CrashMark
from banyanshelf_core.datagrams import LoadUpdate
from banyanshelf_core.model import Member
from banyanshelf_core.replica import StorePosition
from banyanshelf_core.zone_digest import DigestBuilder


@given("a zone of {count:d} gateways that share {upstreams:d} upstreams")
def step_zone(context, count, upstreams):
    context.zone = LoadZone(count, upstreams, random.Random(4))


@given("{zones:d} zones of {count:d} gateways each")
def step_zones(context, zones, count):
    context.zone = LoadZone(
        zones * count, 1, random.Random(4), lambda number: f"z{number % zones}"
    )
    marks = context.marks = Counter()
    for name, link in context.zone.links.items():
        link.subscribe(
            CrashMark, lambda _sender, _mark, name=name: marks.update([name])
        )


@when('gateway "{name}" marks a request that crashed an upstream')
def step_mark(context, name):
    context.marker = name
    context.zone.links[name].broadcast(CrashMark("fingerprint", "crash"))


@when('gateway "{name}" stops and then marks a request that crashed an upstream')
def step_mark_stopped(context, name):
    link = context.zone.links[name]
    context.zone.stop(name)
    link.broadcast(CrashMark("fingerprint", "crash"))


@then("no gateway has received the mark")
def step_unmarked(context):
    assert not context.marks, context.marks


@then("every other gateway has received the mark once")
def step_marked(context):
    others = set(context.zone.links) - {context.marker}
    assert context.marks == dict.fromkeys(others, 1), context.marks


@given("one datagram in {count:d} is lost")
def step_lossy(context, count):
    context.zone.lost_share = 1 / count


@given('gateway "{name}" has twice the capacity of the others')
def step_capacity(context, name):
    context.zone.restart(name, capacity=2.0)


@step("{seconds:g} s of load updates pass with {calls:d} calls per second")
def step_pass_calls(context, seconds, calls):
    context.zone.sent_by_id.clear()
    context.seconds = seconds
    context.zone.advance(seconds, calls)


@step("{seconds:g} s of load updates pass without calls")
def step_pass(context, seconds):
    context.zone.advance(seconds, 0)


@step('gateway "{name}" begins {count:d} calls at upstream "{upstream}"')
def step_begin(context, name, count, upstream):
    context.zone.begin(name, upstream, count)


@when('gateway "{name}" stops')
def step_stop(context, name):
    context.zone.stop(name)


@when("the aggregator stops")
def step_stop_aggregator(context):
    [name] = context.zone.aggregators()
    context.zone.stop(name)


@then("one gateway aggregates for the whole zone")
def step_one(context):
    assert len(context.zone.aggregators()) == 1, context.zone.aggregators()


@then('gateway "{name}" aggregates for the whole zone')
def step_named(context, name):
    assert context.zone.aggregators() == {name}, context.zone.aggregators()


@then(
    "the others send at most {limit:d} datagrams per second on average, "
    "the aggregator {aggregator_limit:d}"
)
def step_sent(context, limit, aggregator_limit):
    sent = dict(context.zone.sent_by_id)
    [aggregator] = context.zone.aggregators()
    assert sent.pop(aggregator) / context.seconds <= aggregator_limit
    assert sum(sent.values()) / len(sent) / context.seconds <= limit, sent


@then("every gateway counts no call of others")
def step_none(context):
    for name, sink in context.zone.sinks.items():
        assert not sink.others(), (name, sink.others())


@step('every other gateway counts {count:d} calls at upstream "{upstream}"')
def step_counted(context, count, upstream):
    for name, sink in context.zone.sinks.items():
        own = sink.own.get(upstream, 0)
        found = sink.others().get(upstream, 0)
        assert own or found == count, (name, sink.others())


@when("an aggregator hears of these positions")
def step_positions(context):
    builder = context.builder = DigestBuilder(Member("g1", "127.0.0.1:7000", "a", 1))
    for row in context.table:
        name = row["gateway"]
        update = LoadUpdate(
            name,
            {},
            [],
            {},
            int(row["revision"]),
            uninterrupted_s=float(row["uninterrupted_s"]),
            generation=int(row["generation"]),
        )
        builder.add_update(10.0, (name, "127.0.0.1:7000", "a", 1, 1.0), update)


@then(
    "its digest tells revision {revision:d} of generation {generation:d}, "
    "answered for {seconds:g} s"
)
def step_digest(context, revision, generation, seconds):
    digest = context.builder.build_digest(10.0)
    expected = (StorePosition(generation, revision), seconds)
    assert (digest.position, digest.uninterrupted_s) == expected, digest
