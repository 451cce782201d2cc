"""Cluster components of several daemons on the simulated platform."""

import random

from simulated_platform import PREFIX, STORE, SimulatedPlatform, settings_for
from twisted.internet.protocol import ClientFactory, Protocol

from banyanshelf_core.hashing import digest
from banyanshelf_core.messages import (
    Ack,
    ConfigText,
    Hello,
    MemberUpdate,
    Ping,
    PingRequest,
    Recall,
    UpstreamNotice,
)
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    ConfigHead,
    decode_record,
    encode_record,
    part_key,
)
from banyanshelf_daemon.cluster import Cluster, member_from_settings
from banyanshelf_daemon.host_list import HostDirectory
from banyanshelf_daemon.peer_link import PeerLinks
from banyanshelf_daemon.store_client import StoreClient
from banyanshelf_standins import key_space
from banyanshelf_wire.codec import encode

UPDATE = MemberUpdate("gateway-2", "127.9.0.2:3", "Huye", 5, "alive")
SAMPLES = [
    Ping(7, [UPDATE, UPDATE], 3, "ab", True),
    Ack(7, "gateway-2", [UPDATE], 3, "ab"),
    PingRequest(7, "gateway-2", [UPDATE]),
    ConfigText(9, "ab", "[services.desk]"),
    Recall("desk", 1, "gateway-2", 1, "desk-1"),
]


class DaemonTasks:
    """The components of a daemon that talk to other daemons, store and host list."""

    def __init__(self, platform, number):
        reactor, settings = platform.reactor, settings_for(number)
        identity = member_from_settings(settings, reactor.seconds())
        self.links = PeerLinks(reactor, settings, identity)
        self.store = StoreClient(reactor, settings)
        rng = random.Random(number)
        self.cluster = Cluster(reactor, settings, self.store, self.links, rng)
        self.directory = HostDirectory(reactor, settings, self.links)
        self.self_removals = 0
        self.lost_links = []
        self.cluster.on_self_removed(self._on_self_removed)
        self.links.on_link_change(self._on_link_change)
        self.links.start()
        self.cluster.start()
        self.directory.start()

    def _on_self_removed(self):
        self.self_removals += 1

    def _on_link_change(self, peer, is_up):
        if not is_up and peer != "intruder":
            self.lost_links.append(peer)

    def stop(self):
        for task in (self.directory, self.cluster, self.store, self.links):
            task.stop()


class RawPeer(Protocol):
    """A connection to a daemon that sends arbitrary bytes."""

    closed = False

    def connectionLost(self, reason=None):  # noqa: N802
        self.closed = True


class SimulatedDaemons(SimulatedPlatform):
    """Daemons 1 to ``count``; the store has version 1, the host list has desk-1."""

    def __init__(self, count):
        super().__init__()
        self.daemons = {}
        self.states = {}
        self.apply()
        self.host("desk-1", "live")
        for number in range(1, count + 1):
            self.start(number)

    # Events

    def start(self, number):
        self.daemons[number] = DaemonTasks(self, number)

    def kill(self, number):
        self.daemons.pop(number).stop()

    def stop_all(self):
        for number in list(self.daemons):
            self.kill(number)

    def apply(self):
        self.version += 1
        self._commit(self.version, f"desk-{self.version}")

    def apply_to_copy(self, version, host):
        self._commit(version, host)

    def _commit(self, version, host):
        text = f'[services.desk]\nhosts = ["{host}.example"]\n'
        text_digest = digest(text.encode())
        head = (version, text_digest, 1, f"apply-{host}", "Uwase", 0.0)
        names = ConfigHead.__struct_fields__
        self.write(part_key(text_digest, 0), text)
        record = ConfigHead(**dict(zip(names, head, strict=True)))
        self.write(CONFIG_HEAD_KEY, encode_record(record).decode())

    def partition(self, number, seconds):
        cut_links = self.daemons[number].links

        def is_cut(transport):
            ends = (transport.protocol, transport.other.protocol)
            return any(getattr(each, "links", None) is cut_links for each in ends)

        self.reactor.is_cut = is_cut
        self.run(seconds)
        self.reactor.is_cut = lambda transport: False

    def leave(self, number):
        revoked = []
        self.daemons[number].cluster.leave().addCallback(revoked.append)
        self.run(0.1)
        assert revoked == [None]
        key = PREFIX + f"members/gateway-{number}".encode()
        assert self.store.keys.get(key) is key_space.ABSENT

    def message_after_pause(self, number, seconds):
        # A paused process runs no timers, and its clock has advanced when it resumes.
        self.reactor.rightNow += seconds
        for handler in self.daemons[number].links._handlers[Ping]:  # noqa: SLF001
            handler("gateway-2", Ping(1, [], 0, "", False))

    def _send_raw(self, number, content):
        connector = self.reactor.connectTCP(
            f"127.9.0.{number}", 3, ClientFactory.forProtocol(RawPeer)
        )
        self.run(0.01)
        connector.transport.write(content)
        return connector.transport.protocol

    def malformed(self, number, count, seed):
        rng = random.Random(seed)
        hello = Hello("intruder", "127.9.0.99:3", "Huye", 1, 1, f"gateway-{number}")
        for index in range(count):
            peer = self._send_raw(number, rng.randbytes(rng.randrange(1, 200)))
            if index % 2:
                peer = self._send_raw(number, with_length_prefix(encode(hello)))
                for _ in range(20):
                    content = bytearray(encode(rng.choice(SAMPLES)))
                    for _ in range(rng.randrange(1, 4)):
                        content[rng.randrange(len(content))] = rng.randrange(256)
                    peer.transport.write(with_length_prefix(content))
            self.run(0.02)
            peer.transport.loseConnection()

    def huge_incarnation_reaches(self, number):
        hello = Hello("intruder", "127.9.0.99:3", "Huye", 1, 1, f"gateway-{number}")
        update = MemberUpdate(*UPDATE.__getstate__()[:3], 2**63 - 1, "suspect")
        peer = self._send_raw(number, with_length_prefix(encode(hello)))
        peer.transport.write(
            with_length_prefix(encode(Ping(1, [update], 0, "", False)))
        )
        self.run(0.1)
        peer.transport.loseConnection()

    def huge_frame_closes(self, number):
        peer = self._send_raw(number, (5_000_000).to_bytes(4, "big"))
        self.run(0.1)
        assert peer.closed

    def no_hello_closes(self, number):
        peer, silent = self._send_raw(
            number, with_length_prefix(encode(SAMPLES[0]))
        ), self._send_raw(number, b"")
        self.run(0.1)
        assert peer.closed
        self.run(6)
        assert silent.closed

    def host(self, host_id, state):
        self.states[host_id] = state
        fields = {
            "service": "desk",
            "address": "127.9.2.1:1",
            "zone": "Huye",
            "slots": 3,
        }
        hosts = [
            {"id": key, "state": each} | fields for key, each in self.states.items()
        ]
        self.hosts.publish([each for each in hosts if each["state"] != "gone"])
        self.reactor.run(0.1)

    def report(self, number, host_id):
        self.daemons[number].directory.report_leaving(host_id, "drain signal")
        self.run(0.1)

    def delayed_notice(self, host_id, number):
        sequence = self.daemons[1].directory._sequence  # noqa: SLF001
        notice = UpstreamNotice(host_id, "leaving", sequence, "gateway-1")
        for handler in self.daemons[number].links._handlers[
            UpstreamNotice
        ]:  # noqa: SLF001
            handler("gateway-1", notice)

    def host_list_ends_for(self, seconds):
        self.hosts.server.abort_connections()
        self.hosts.server.close()
        self.run(seconds)
        self.hosts.server.open()

    # Checks

    def agreement(self):
        running = {f"gateway-{number}" for number in self.daemons}
        for daemon in self.daemons.values():
            assert set(daemon.cluster.members_by_id()) == running
            assert set(daemon.cluster.snapshot()["members"]) == running

    def version_in_effect(self, version):
        for daemon in self.daemons.values():
            active = daemon.cluster.active()
            assert (active.version if active else 0) == version, active

    def host_in_effect(self, host):
        for daemon in self.daemons.values():
            services = daemon.cluster.active().text.services
            assert services["desk"].hosts == [f"{host}.example"], services

    def version_in_store(self, version):
        record = self.store.keys.get(PREFIX + CONFIG_HEAD_KEY.encode())
        head = decode_record(record.value, ConfigHead)
        assert head.version == version, head
        part = self.store.keys.get(PREFIX + part_key(head.digest, 0).encode())
        assert part is not key_space.ABSENT

    def records_in_store(self):
        for number in self.daemons:
            key = PREFIX + f"members/gateway-{number}".encode()
            assert self.store.keys.get(key) is not key_space.ABSENT

    def member_gone(self, number):
        for key, daemon in self.daemons.items():
            is_member = f"gateway-{number}" in daemon.cluster.members_by_id()
            assert key == number or not is_member, key

    def roles_dropped(self, number):
        assert self.daemons[number].self_removals

    def all_roles_kept(self):
        assert not any(each.self_removals for each in self.daemons.values())

    def no_link_lost(self):
        assert not any(each.lost_links for each in self.daemons.values())

    def _dials_to(self, host):
        dials = [at for at, to in self.reactor.dials if to == host]
        return [at for at in dials if at > self.changed_at]

    def outage_calls_per_second_below(self, limit):
        elapsed = self.reactor.seconds() - self.changed_at
        rate = len(self._dials_to(STORE)) / elapsed / len(self.daemons)
        assert 0 < rate < limit, rate

    def dials_and_calls_in_100_ms_below(self, limit):
        assert self._peak(self._dials_to(STORE)) < limit
        assert (
            self._peak([at for at in self.call_times if at > self.changed_at]) < limit
        )

    def _peak(self, times):
        return max(sum(1 for at in times if 0 <= at - each < 0.1) for each in times)

    def host_list_calls_between(self, lowest, highest):
        assert lowest <= self.hosts.calls["hosts"] <= highest, self.hosts.calls

    def host_is(self, host_id, state):
        for number, daemon in self.daemons.items():
            upstreams = daemon.directory.upstreams_by_id("desk")
            found = upstreams[host_id].state.value if host_id in upstreams else "gone"
            assert found == state, (number, found)


def with_length_prefix(content):
    return len(content).to_bytes(4, "big") + bytes(content)
