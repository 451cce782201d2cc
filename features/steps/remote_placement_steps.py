"""Steps for calls that are placed by the aggregator of a large zone."""

import random

from behave import given, step, then, when
from simulated_admissions import SERVICE, AdmissionZone, Directory
from twisted.internet.defer import Deferred

from banyanshelf_core.datagrams import PlacementQuery, PlacementReply, WaitingNotice
from banyanshelf_core.model import LoadReport, UpstreamState
from banyanshelf_wire.datagram import encode_datagram

SETTLE_TIME_S = 0.02


@given(
    "{count:d} gateways whose aggregator places their calls at {upstreams:d} upstreams "
    "of {slots:d} slots"
)
def step_zone(context, count, upstreams, slots, **options):
    context.zone = AdmissionZone(count, upstreams, slots, random.Random(5), **options)
    context.zone.settle(6.0)
    for admission in context.zone.sharings.values():
        estimate = admission.loads.selector_by_service[SERVICE].estimate
        for _ in range(30):
            estimate.add_sample("/", 0.1, nearly_full=False)


@given(
    "{count:d} gateways whose calls wait for room at {upstreams:d} upstreams of "
    "{slots:d} slots"
)
def step_waiting_zone(context, count, upstreams, slots):
    step_zone(context, count, upstreams, slots, waits=True)


@when("all gateways together place {count:d} calls")
@when("the other gateways together place {count:d} calls")
def step_place(context, count):
    names = sorted(context.zone.sharings)
    context.calls = [
        context.zone.place(names[number % len(names)]) for number in range(count)
    ]
    context.zone.settle(0.1)


@when("all gateways but the aggregator hear that {count:d} upstreams are evacuated")
def step_evacuated(context, count):
    known = context.zone.directory.upstreams
    context.evacuated = set(sorted(known)[:count])
    evacuated = {
        each.id: (
            each._replace(state=UpstreamState.EVACUATED)
            if each.id in context.evacuated
            else each
        )
        for each in known.values()
    }
    for name, admission in context.zone.sharings.items():
        if name != context.zone.aggregator():
            directory = Directory(evacuated)
            admission._directory = admission.loads._directory = directory
            admission.loads._on_upstreams_change()


@then("each of them is placed at another upstream")
def step_other_upstreams(context):
    aggregator = context.zone.aggregator()
    for call in context.calls:
        assert call.permit is not None, call.error
        if call.name != aggregator:
            assert call.permit.upstream.id not in context.evacuated, call.permit


@then("the aggregator counts no call at the evacuated upstreams")
def step_no_evacuated_counts(context):
    found = context.zone.counts(context.zone.aggregator())
    own = sum(call.name == context.zone.aggregator() for call in context.calls)
    assert sum(found.get(each, 0) for each in context.evacuated) <= own + 0.1, found


@when("all calls end")
def step_end(context):
    for call in context.calls:
        call.end()
    context.zone.settle(SETTLE_TIME_S)


@when("all calls end while datagrams are lost")
def step_end_lost(context):
    context.zone.lost_share = 1.0
    step_end(context)
    context.zone.lost_share = 0.0


@step("{seconds:g} s passes in the zone")
@step("{seconds:g} s pass in the zone")
def step_pass(context, seconds):
    context.zone.settle(seconds)


@when("every gateway but the aggregator is killed")
def step_kill_others(context):
    kept = context.aggregator = context.zone.aggregator()
    for name in sorted(context.zone.sharings):
        if name != kept:
            context.zone.stop(name)


@when("the aggregator is killed")
def step_kill_aggregator(context):
    context.zone.stop(context.zone.aggregator())


@when("one gateway places a call while {count:d} others take all slots")
def step_no_room(context, count):
    assert len(context.calls) == count
    name = next(each for each in sorted(context.zone.sharings))
    context.calls = [context.zone.place(name, target_s=0.15)]
    context.zone.settle(0.1)


@when("one gateway cancels a call at once")
def step_cancel(context):
    aggregator = context.zone.aggregator()
    name = next(each for each in sorted(context.zone.sharings) if each != aggregator)
    call = context.zone.place(name)
    call.deferred.cancel()
    context.zone.settle(SETTLE_TIME_S)
    assert call.permit is None


@when("calls are made for {seconds:g} s")
def step_make_calls(context, seconds):
    context.zone.probe_count.clear()
    context.seconds = seconds
    names = sorted(context.zone.sharings)
    for number in range(round(seconds / 0.1)):
        call = context.zone.place(names[number % len(names)])
        context.zone.settle(0.1)
        call.end()


@when("one gateway places a call")
def step_place_one(context):
    aggregator = context.zone.aggregator()
    name = next(each for each in sorted(context.zone.sharings) if each != aggregator)
    context.calls = [context.zone.place(name)]
    context.zone.settle(SETTLE_TIME_S)


@when("its upstream becomes slow")
def step_slow(context):
    upstream_id = context.calls[0].permit.upstream.id
    admission = context.zone.sharings[context.zone.aggregator()]
    for _ in range(20):
        admission.note_load_report(upstream_id, LoadReport(1, 0, 3, 20.0))
        context.zone.settle(0.01)


@then("no upstream has more than {limit:d} calls")
def step_spread(context, limit):
    chosen = [call.permit.upstream.id for call in context.calls]
    assert max(chosen.count(each) for each in chosen) <= limit, sorted(chosen)


@then("the aggregator counts {count:d} calls")
def step_counts(context, count):
    found = context.zone.counts(context.zone.aggregator())
    assert round(sum(found.values()), 1) == count, found


@then("the aggregator counts its own calls only")
def step_own_counts(context):
    name = context.aggregator
    own = sum(1 for call in context.calls if call.name == name)
    found = context.zone.counts(name)
    assert round(sum(found.values()), 1) == own, (own, found)


@then("each of them is placed within {limit:g} s")
def step_placed(context, limit):
    for call in context.calls:
        assert call.permit is not None, call.error
        # The simulated clock advances in steps of 2 ms.
        assert call.placed_at - call.asked_at <= limit, call.placed_at - call.asked_at


@then('it is refused with "{reason}"')
def step_refused(context, reason):
    [call] = context.calls
    assert call.error is not None, call.permit
    assert call.error.reason == reason, call.error


@then("each upstream is probed {least:d} to {limit:d} times per second")
def step_probed(context, least, limit):
    for name in context.zone.directory.upstreams:
        probes_per_s = context.zone.probe_count[name] / context.seconds
        assert least <= probes_per_s <= limit, (name, probes_per_s)


@then("the gateway is notified that the call is late")
def step_late(context):
    assert context.calls[0].is_late


def _others(context):
    aggregator = context.zone.aggregator()
    return [each for each in sorted(context.zone.sharings) if each != aggregator]


@when("as many calls as there is room for are placed")
def step_fill(context):
    names, context.running = _others(context), []
    slots = sum(each.slots for each in context.zone.directory.upstreams.values())
    for number in range(slots):
        call = context.zone.place(names[number % len(names)], target_s=1.0)
        context.zone.settle(SETTLE_TIME_S)
        if call.permit is None:
            call.deferred.cancel()
            context.zone.settle(SETTLE_TIME_S)
            return
        context.running.append(call)


@when("{count:d} further calls of priority {priority:d} wait")
def step_wait(context, count, priority):
    names = _others(context)
    context.waiting = getattr(context, "waiting", [])
    for number in range(count):
        name = names[number % len(names)]
        context.waiting.append(context.zone.place(name, 0.6, priority=priority))
    context.zone.settle(0.15)
    assert not any(each.permit or each.error for each in context.waiting)


@when("{count:d} running calls end")
@when("{count:d} running call ends")
def step_end_some(context, count):
    for _ in range(count):
        context.running.pop().end()
    context.zone.settle(SETTLE_TIME_S)


@when("the caller of the first waiting call leaves")
def step_leave(context):
    context.waiting[0].deferred.cancel()
    context.zone.settle(SETTLE_TIME_S)


@when("{count:d} running call ends while the answer to the waiting call is lost")
def step_end_lost_reply(context, count):
    aggregator, zone = context.zone.aggregator(), context.zone
    name = context.waiting[0].name
    link = zone.sharings[aggregator]._sharing._gossip
    send_to, receiver = link.send_to, zone.sharings[name]._sharing._identity.address
    link.send_to = lambda addresses, datagram: send_to(
        [each for each in addresses if each != receiver], datagram
    )
    step_end_some(context, count)
    link.send_to = send_to


@then("the waiting calls of priority {priority:d} are placed and no others")
def step_placed_priority(context, priority):
    for call in context.waiting:
        asked = call.priority == priority
        assert (call.permit is not None) == asked, (call.priority, call.error)


@then("the second waiting call is placed and the first one is not")
def step_second_placed(context):
    first, second = context.waiting
    assert first.permit is None and second.permit is not None


@then("each waiting call is decided within {limit:g} s")
def step_decided(context, limit):
    begun = context.zone.reactor.seconds()
    while any(not (each.permit or each.error) for each in context.waiting):
        context.zone.settle(SETTLE_TIME_S)
        assert context.zone.reactor.seconds() - begun <= limit + SETTLE_TIME_S


@then("the waiting call is placed within {limit:g} s")
def step_waiting_placed(context, limit):
    step_decided(context, limit)
    assert context.waiting[0].permit is not None, context.waiting[0].error


@then("the aggregator counts the running and the waiting calls")
def step_counts_running(context):
    step_counts(context, len(context.running) + len(context.waiting))


@when("{count:d} more calls of its gateway wait")
def step_many_wait(context, count):
    name = context.waiting[0].name
    server = context.zone.sharings[context.zone.aggregator()]._server
    link = server._gossip
    context.notices = notices = []
    send_to = link.send_to

    def recorded(addresses, datagram):
        if isinstance(datagram, WaitingNotice):
            notices.append(datagram)
        send_to(addresses, datagram)

    link.send_to = recorded
    # Placements that never come stand for calls with much time.
    server._place = lambda *_request: Deferred()
    for _ in range(count):
        context.waiting.append(context.zone.place(name, 30.0))
    context.zone.settle(SETTLE_TIME_S)


@then("no notice of waiting calls is longer than {limit:d} bytes")
def step_notice_size(context, limit):
    assert context.notices
    for notice in context.notices:
        assert len(encode_datagram(notice)) <= limit


@then("each of the waiting calls still waits at the aggregator")
def step_still_waits(context):
    assert not any(each.permit or each.error for each in context.waiting[1:])


@when("one gateway stalls for {seconds:g} s while the reply to its call arrives")
def step_stall(context, seconds):
    zone, name = context.zone, _others(context)[0]
    link, unread = zone.links[name], []
    context.calls = [zone.place(name)]
    link.datagramReceived = lambda *datagram: unread.append(datagram)
    zone.settle(SETTLE_TIME_S)

    def read_socket():
        del link.datagramReceived
        for datagram in unread:
            link.datagramReceived(*datagram)

    # All timers that are due run before the socket is read.
    stall_s = seconds - SETTLE_TIME_S
    zone.reactor.callLater(stall_s - 1e-6, read_socket)
    zone.reactor.advance(stall_s)
    zone.settle(SETTLE_TIME_S)


@then("the call is placed by the aggregator")
def step_placed_remotely(context):
    [call] = context.calls
    assert call.permit is not None, call.error
    placed = context.zone.sharings[call.name].aggregator_placed_calls()
    assert placed == [call.permit.number], (placed, call.permit)


@when("every placement datagram is delivered twice")
def step_twice(context):
    for link in context.zone.links.values():
        for datagram_type in (PlacementQuery, PlacementReply):
            handler = link._handler_by_type[datagram_type]

            def deliver(datagram, address, handler=handler):
                handler(datagram, address)
                context.zone.reactor.callLater(0.0005, handler, datagram, address)

            link.on_datagram(datagram_type, deliver)


@when("its service is dropped before the call ends")
def step_drop_service(context):
    [call] = context.calls
    admission = context.zone.sharings[call.name]
    assert admission._aggregator_placed_by_upstream
    del admission.loads.selector_by_service[SERVICE]
    call.end()


@then("its gateway counts no call as placed by the aggregator")
def step_no_placed_count(context):
    [call] = context.calls
    found = context.zone.sharings[call.name]._aggregator_placed_by_upstream
    assert not found, found


@then("no call waits at a gateway other than the aggregator")
def step_no_own_queue(context):
    queued = [
        name
        for name in _others(context)
        if context.zone.sharings[name]._queues.waiting_count()
    ]
    assert not queued, queued


@when("one gateway places a call whose reply is lost")
def step_lose_reply(context):
    zone, name = context.zone, _others(context)[0]
    context.given_back = []
    zone.sharings[zone.aggregator()].quotas.give_back = context.given_back.append
    zone.links[name].on_datagram(PlacementReply, lambda _reply, _address: None)
    context.calls = [zone.place(name)]
    zone.settle(0.085)
    assert context.calls[0].permit is not None, context.calls[0].error


@then("the aggregator gives back the quota of {count:d} call")
def step_given_back(context, count):
    assert len(context.given_back) == count, context.given_back
