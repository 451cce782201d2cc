"""Peer links between two daemons on a simulated reactor."""

import tempfile
from pathlib import Path

from simulated_network import SimulatedReactor
from simulated_platform import settings_for
from twisted.internet.ssl import DN, KeyPair

from banyanshelf_core.messages import ConfigFetch, ConfigText, Hello
from banyanshelf_core.model import Member
from banyanshelf_daemon.cluster import member_from_settings
from banyanshelf_daemon.peer_link import PeerLinks
from banyanshelf_daemon.peer_protocol import MAX_FLUSH_INTERVAL_S


def tls_settings(folder, number, authority_key, trusted):
    key = KeyPair.generate(size=2048)
    request = key.certificateRequest(DN(CN=f"gateway-{number}"))
    der = authority_key.signCertificateRequest(
        DN(CN="authority"), request, lambda name: True, number
    )
    certificate = key.newCertificate(der)
    contents = {
        "tls_certificate": certificate.dumpPEM(),
        "tls_key": key.dump(1),
        "tls_authority": trusted.dumpPEM(),
    }
    for name, content in contents.items():
        (Path(folder) / f"{name}-{number}").write_bytes(content)
    return {name: f"{folder}/{name}-{number}" for name in contents}


class SimulatedLinks:
    """Daemons 1 and 2 with a link between them.

    ``mode`` is ``plain``, ``tie`` if both daemons connect at the same time, ``tls``, or
    ``tls-two`` if their certificates are from two different authorities.
    """

    def __init__(self, mode):
        self.reactor = SimulatedReactor()
        self.links = {}
        if mode in ("plain", "tie"):
            changes = [{}, {}]
        else:
            own, other = KeyPair.generate(size=2048), KeyPair.generate(size=2048)
            trusted = own.selfSignedCert(1, CN="authority")
            with tempfile.TemporaryDirectory() as folder:
                keys = [own, own if mode == "tls" else other]
                changes = [
                    tls_settings(folder, number, key, trusted)
                    for number, key in enumerate(keys, 1)
                ]
                self._start_all(changes)
            changes = []
        self._start_all(changes)
        if mode == "tie":
            # The second connection opens while Hello is exchanged on the first one.
            for redial in self.links[2]._redials.values():  # noqa: SLF001
                redial.reset(0.0015)
        self.reactor.run(3.0)

    def _start_all(self, changes):
        for number, each in enumerate(changes, len(self.links) + 1):
            settings = settings_for(number, **each)
            identity = member_from_settings(settings, self.reactor.seconds())
            links = self.links[number] = PeerLinks(self.reactor, settings, identity)
            links.received = []
            links.hellos = 0
            for message_class in (ConfigFetch, ConfigText):
                links.subscribe(
                    message_class, lambda _, it, to=links: to.received.append(it)
                )
            links.subscribe(Hello, self._count_hello(links))
            links.start()
        members = {each.identity.id: each.identity for each in self.links.values()}
        for links in self.links.values():
            links.update_members(members, {})

    def _count_hello(self, links):
        def count(sender, hello):
            links.hellos += 1

        return count

    def _link(self, number, peer):
        return self.links[number]._links[f"gateway-{peer}"]  # noqa: SLF001

    # Events

    def plain_daemon_dials(self):
        self._start_all([{}])
        self.reactor.run(3.0)

    def burst(self, count):
        writes = self._link(1, 2).transport.writes
        before = len(writes)
        for number in range(count):
            assert self.links[1].send("gateway-2", ConfigFetch(number))
        self.reactor.run(0.01)
        assert len(writes) == before + 1
        assert self.links[2].received == [ConfigFetch(each) for each in range(count)]
        sent, received = self.links[1].snapshot(), self.links[2].snapshot()
        name = "ConfigFetch"
        assert sent["bytes_out"][name] == received["bytes_in"][name] > 0

    def send_steadily(self, budget, rate):
        self.links[1].set_budget(budget)
        writes = self._link(1, 2).transport.writes
        before = len(writes)
        for number in range(rate * 5):
            self.links[1].send("gateway-2", ConfigFetch(number))
            self.reactor.run(1.0 / rate)
        self.reactor.run(0.1)
        assert len(self.links[2].received) == rate * 5
        # The token bucket starts full, so only the second half of the time is measured.
        times = [at for at in writes[before:] if at > writes[-1] - 2.5]
        self.gaps = [b - a for a, b in zip(times, times[1:], strict=False)]

    def peer_does_not_read(self, megabytes):
        self._link(1, 2).pauseProducing()
        text = ConfigText(1, "", "x" * 1_000_000)
        accepted = [self.links[1].send("gateway-2", text) for _ in range(megabytes)]
        assert accepted[0]
        assert not accepted[-1]
        self.reactor.advance(0)

    def peer_ends_for(self, seconds):
        self.links.pop(2).stop()
        self.reactor.dials.clear()
        for _ in range(seconds * 10):
            self.links[1].send("gateway-2", ConfigFetch(0))
            self.reactor.run(0.1)

    def removed_peer_sends(self):
        first, second = self.links[1], self.links[2]
        hellos = first.hellos
        removed = {second.identity.id: second.identity}
        first.update_members({first.identity.id: first.identity}, removed)
        self.reactor.run(2.0)
        assert second.send("gateway-1", ConfigFetch(1))
        self.reactor.run(0.1)
        assert first.hellos > hellos
        assert first.received == []

    def learn_of_member_at(self, address):
        self.reactor.dials.clear()
        stray = Member("stray", address, "Huye", 1)
        own = self.links[1].identity
        self.links[1].update_members({own.id: own, "stray": stray}, {})
        self.reactor.run(1.0)

    # Checks

    def one_working_link(self):
        for number, peer in ((1, 2), (2, 1)):
            links = self.links[number]
            assert links.snapshot()["links"] == [f"gateway-{peer}"]
            assert len(links._connections) == 1  # noqa: SLF001
            assert links.send(f"gateway-{peer}", ConfigFetch(number))
        self.reactor.run(0.1)
        assert self.links[1].received == [ConfigFetch(2)]
        assert self.links[2].received == [ConfigFetch(1)]

    def opened_by(self, opener):
        assert {self._link(1, 2).opened_by, self._link(2, 1).opened_by} == {opener}

    def no_link_of(self, number):
        assert self.links[number].snapshot()["links"] == []

    def gaps_at_longest(self):
        # The interval starts with the first waiting message, so a gap is longer than
        # the interval by up to one gap between messages.
        assert min(self.gaps) > 0.8 * MAX_FLUSH_INTERVAL_S, min(self.gaps)
        assert max(self.gaps) < 1.3 * MAX_FLUSH_INTERVAL_S, max(self.gaps)

    def gaps_short(self):
        assert max(self.gaps) < 0.3 * MAX_FLUSH_INTERVAL_S, max(self.gaps)

    def dials_between(self, lowest, highest):
        assert lowest <= len(self.reactor.dials) <= highest, len(self.reactor.dials)

    def nothing_left(self):
        for links in self.links.values():
            links.stop()
        self.reactor.run(0.1)
        assert not self.reactor.getDelayedCalls()
