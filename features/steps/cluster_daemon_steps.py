"""Steps for the daemon's shared tasks on a simulated reactor."""

import random

from behave import given, then, when
from daemon_group import PREFIX, DaemonGroup
from simulated_host_list import FakeHostList
from twisted.internet.protocol import ClientFactory, Protocol

from banyanshelf_core.messages import (
    Ack,
    ConfigText,
    Hello,
    MemberUpdate,
    Ping,
    PingRequest,
    Recall,
)
from banyanshelf_wire.codec import encode


def framed(message):
    content = encode(message)
    return len(content).to_bytes(4, "big") + content


class RawPeer(Protocol):
    """Connection that sends bytes as they are."""

    closed = False
    received = b""

    def dataReceived(self, data):  # noqa: N802
        """Collect bytes."""
        self.received += data

    def connectionLost(self, reason=None):  # noqa: N802
        """Note the end."""
        self.closed = True


def connect_raw(context, daemon_id):
    factory = ClientFactory.forProtocol(RawPeer)
    host, port = context.fleet.daemons[daemon_id].settings.peer_listen.split(":")
    connector = context.fleet.reactor.connectTCP(host, int(port), factory)
    context.fleet.reactor.run_for(0.01)
    return connector.transport.protocol


@given("{count:d} daemons share a simulated reactor and a store with version 1")
def step_daemons(context, count):
    context.fleet = DaemonGroup(FakeHostList)
    context.fleet.apply()
    for number in range(1, count + 1):
        context.fleet.start(number)
    context.fleet.reactor.run_for(2.0)
    context.link_losses = []
    for daemon in context.fleet.daemons.values():
        daemon.links.on_link_change(
            lambda peer, is_up, own=daemon.id: (
                None if is_up else context.link_losses.append((own, peer))
            )
        )


@given("{count:d} daemons start on a simulated reactor while the store is down")
def step_daemons_down(context, count):
    context.fleet = DaemonGroup(FakeHostList)
    context.fleet.apply()
    context.fleet.store.interrupt()
    for number in range(1, count + 1):
        context.fleet.start(number)


@when("the simulated store goes down")
def step_down(context):
    context.fleet.store.interrupt()


@when("the simulated store comes back")
def step_up(context):
    context.recovered_at = context.fleet.reactor.seconds()
    context.fleet.store.resume()


@when("the daemons run for {seconds:g} simulated seconds")
def step_run(context, seconds):
    context.fleet.reactor.run_for(seconds)


@when('daemon "{daemon_id}" ends without notice')
def step_kill(context, daemon_id):
    context.fleet.kill(daemon_id)


@when("daemon number {number:d} starts")
def step_start(context, number):
    context.fleet.start(number)


@when('daemon "{daemon_id}" is cut off from its peers for {seconds:g} seconds')
def step_cut(context, daemon_id, seconds):
    network = context.fleet.reactor.network

    def is_cut(transport):
        ends = (transport.protocol, transport.other.protocol)
        return any(end.links.identity.id == daemon_id for end in ends)

    network.is_cut = is_cut
    context.fleet.reactor.run_for(seconds)
    network.is_cut = lambda transport: False


@when('daemon "{daemon_id}" leaves as planned')
def step_leave(context, daemon_id):
    daemon = context.fleet.daemons[daemon_id]
    context.left = []
    daemon.cluster.leave().addCallback(context.left.append)
    context.fleet.reactor.run_for(0.1)


@when("the operators apply a version to the simulated store")
def step_apply(context):
    context.fleet.apply()


@when('"{daemon_id}" hears a membership message after a stop of {seconds:g} seconds')
def step_stopped(context, daemon_id, seconds):
    reactor = context.fleet.reactor
    # A stopped process runs no timers; its clock has moved on when it reads again.
    reactor.rightNow += seconds
    cluster = context.fleet.daemons[daemon_id].cluster
    ping = Ping(1, [], 0, "", 1)
    cluster._on_membership_message("gateway-2", ping)  # noqa: SLF001


@then("every daemon sees exactly the running daemons")
def step_agree(context):
    running = set(context.fleet.daemons)
    views = {key: each.members for key, each in context.fleet.daemons.items()}
    assert all(view == running for view in views.values()), views


@then('the other daemons no longer count "{daemon_id}" as a member')
def step_gone(context, daemon_id):
    for key, daemon in context.fleet.daemons.items():
        assert key == daemon_id or daemon_id not in daemon.members, key


@then("every daemon has version {version:d} in effect")
def step_version(context, version):
    versions = {
        key: each.cluster.snapshot()["config_version"]
        for key, each in context.fleet.daemons.items()
    }
    assert set(versions.values()) == {version}, versions


@then("every daemon has a member record in the store")
def step_records(context):
    keys = set(context.fleet.store.records)
    for daemon_id in context.fleet.daemons:
        assert PREFIX + f"members/{daemon_id}".encode() in keys, keys


@then('the member record of "{daemon_id}" is gone from the store')
def step_no_record(context, daemon_id):
    assert context.left == [None]
    assert PREFIX + f"members/{daemon_id}".encode() not in context.fleet.store.records


@then('"{daemon_id}" was told to drop its roles')
def step_roles(context, daemon_id):
    assert context.fleet.daemons[daemon_id].self_removals


@then("no daemon was told to drop its roles")
def step_no_roles(context):
    for daemon in context.fleet.daemons.values():
        assert not daemon.self_removals, daemon.id


@then("nothing is scheduled on the reactor once all daemons have stopped")
def step_clean(context):
    for daemon_id in list(context.fleet.daemons):
        context.fleet.kill(daemon_id)
    context.fleet.reactor.run_for(0.1)
    waiting = context.fleet.hosts.waiting
    pending = [
        each
        for each in context.fleet.reactor.getDelayedCalls()
        if each.func != context.fleet.hosts._release  # noqa: SLF001
    ]
    assert not pending, [str(each) for each in pending]
    assert not context.fleet.reactor.network.transports
    assert len(waiting) <= 14


@then("at most {limit:d} store calls arrive in any {window_ms:d} ms after that")
def step_no_stampede(context, limit, window_ms):
    times = context.fleet.store.agent.request_times
    times = [each for each in times if each >= context.recovered_at]
    assert times
    window = window_ms / 1000
    counts = [
        sum(1 for other in times if start <= other < start + window) for start in times
    ]
    context.peak = max(counts)
    assert max(counts) <= limit, max(counts)


@then("the outage cost each daemon at most {limit:g} store calls a second")
def step_outage_rate(context, limit):
    agent = context.fleet.store.agent
    count = sum(1 for each in agent.request_times if each < context.recovered_at)
    elapsed = context.recovered_at - agent.request_times[0]
    rate = count / elapsed / len(context.fleet.daemons)
    assert rate <= limit, rate


# Malformed bytes


def mutated(rng, message):
    content = bytearray(encode(message))
    for _ in range(rng.randrange(1, 4)):
        content[rng.randrange(len(content))] = rng.randrange(256)
    return len(content).to_bytes(4, "big") + bytes(content)


def samples():
    update = MemberUpdate("gateway-2", "127.9.0.2:3", "Huye", 5, "alive")
    return [
        Ping(7, [update, update], 3, "ab", 5),
        Ack(7, "gateway-2", [update], 3, "ab"),
        PingRequest(7, "gateway-2", [update]),
        ConfigText(9, "ab", "[services.desk]"),
        Recall("desk", 1, "gateway-2", 1, "desk-1"),
    ]


@when(
    '{count:d} connections with malformed bytes reach "{daemon_id}" with seed {seed:d}'
)
def step_malformed(context, count, daemon_id, seed):
    rng = random.Random(seed)
    hello = Hello("intruder", "127.9.0.99:3", "Huye", 1, 1, daemon_id)
    for index in range(count):
        peer = connect_raw(context, daemon_id)
        if index % 2:
            peer.transport.write(framed(hello))
            for _ in range(20):
                peer.transport.write(mutated(rng, rng.choice(samples())))
        else:
            peer.transport.write(rng.randbytes(rng.randrange(1, 200)))
        context.fleet.reactor.run_for(0.02)
        if not peer.closed:
            peer.transport.loseConnection()
    context.fleet.reactor.run_for(0.1)


@then("no link between the daemons was lost")
def step_links_kept(context):
    losses = [each for each in context.link_losses if "intruder" not in each]
    assert not losses, losses


@when('a connection to "{daemon_id}" announces a frame of {size:d} bytes')
def step_huge(context, daemon_id, size):
    context.raw = connect_raw(context, daemon_id)
    context.raw.transport.write(size.to_bytes(4, "big"))
    context.fleet.reactor.run_for(0.1)


@when('a connection to "{daemon_id}" sends "{name}" before its Hello')
def step_no_hello(context, daemon_id, name):
    message = next(each for each in samples() if type(each).__name__ == name)
    context.raw = connect_raw(context, daemon_id)
    context.raw.transport.write(framed(message))
    context.fleet.reactor.run_for(0.1)


@when('a connection to "{daemon_id}" sends nothing for {seconds:g} seconds')
def step_silent(context, daemon_id, seconds):
    context.raw = connect_raw(context, daemon_id)
    context.fleet.reactor.run_for(seconds)


@then("that connection is closed")
def step_closed(context):
    assert context.raw.closed
