"""Load sharing of the gateways of a zone on a simulated datagram network."""

import random
from collections import Counter
from heapq import heappop, heappush
from itertools import count as numbers

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

from banyanshelf_core.model import Member
from banyanshelf_core.replica import ORIGIN
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.load_sharing import LoadSharing

STEP_S = 0.005
CALL_S = 0.1


def host_of(name):
    """Return the address of a gateway, such as 127.0.0.7 of ``g7``."""
    high, low = divmod(int(name[1:]), 256)
    return f"127.0.{high}.{low}"


class Sink:
    """Counts of one gateway, as ``SharedAdmission`` keeps them."""

    def __init__(self):
        self.own = Counter()
        self.counts_by_source = {}

    def apply_counts(self, source, counts, *, is_full_snapshot):
        if is_full_snapshot:
            self.counts_by_source[source] = {}
        self.counts_by_source.setdefault(source, {}).update(counts)

    def apply_totals(self, source, totals):
        known = self.counts_by_source.setdefault(source, {})
        for upstream, total in totals.items():
            known[upstream] = max(0, total - self.own[upstream])

    def apply_results(self, results):
        pass

    def apply_reports(self, reports):
        pass

    def apply_limits(self, limits):
        pass

    def stated_limits(self):
        return {}

    def retain_sources(self, sources):
        for source in set(self.counts_by_source) - set(sources):
            del self.counts_by_source[source]

    def own_counts(self):
        return {name: count for name, count in self.own.items() if count}

    def aggregator_placed_calls(self):
        return []

    def apply_call_ends(self, sender, ended, placed):
        pass

    def retain_senders(self, senders):
        pass

    def others(self):
        total = Counter()
        for counts in self.counts_by_source.values():
            total.update(counts)
        return {name: count for name, count in total.items() if count}


class _Transport:
    """Sends the datagrams of one gateway."""

    def __init__(self, zone, name, address):
        self.zone, self.name, self.address = zone, name, address

    def write(self, content, address):
        self.zone.post(self.name, self.address, content, address)


class _Port:
    def stopListening(self):  # noqa: N802
        pass


class _Reactor(Clock):
    """The clock of all gateways; datagrams are delivered by the zone.

    Timers are in a heap, as sorting the timers of some hundred gateways takes long.
    """

    def __init__(self):
        super().__init__()
        self._heap = []
        self._numbers = numbers()

    def callLater(self, delay, function, *args, **kwargs):  # noqa: N802
        due = self.seconds() + delay
        call = DelayedCall(
            due,
            function,
            args,
            kwargs,
            lambda call: None,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def _push(self, call):
        heappush(self._heap, (call.getTime(), next(self._numbers), call))

    def advance(self, amount):
        self.rightNow += amount
        while self._heap and self._heap[0][0] <= self.rightNow:
            due, _, call = heappop(self._heap)
            if not call.active():
                continue
            if call.getTime() > due:
                self._push(call)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def listenUDP(self, _port, _protocol, interface):  # noqa: N802
        return _Port()


class LoadZone:
    """Simulates calls of gateways ``g1``, ``g2``... to upstreams ``u1``, ``u2``..."""

    def __init__(self, gateways, upstreams, rng, zone_of=lambda number: "a"):
        self.rng = rng
        self._zone_of = zone_of
        self.reactor = _Reactor()
        self.upstreams = [f"u{number + 1}" for number in range(upstreams)]
        self.lost_share = 0.0
        self.seeds = ["g1"]
        self.cut_off = set()
        self.sent_by_id = Counter()
        self._name_by_host = {}
        self._incarnation_by_name = Counter()
        self.links, self.sharings, self.sinks = {}, {}, {}
        self._arrivals = 0.0
        for number in range(gateways):
            self._add(f"g{number + 1}", 1.0)

    def _add(self, name, capacity):
        host = host_of(name)
        self._name_by_host[host] = name
        self._incarnation_by_name[name] += 1
        identity = Member(
            name,
            f"{host}:7000",
            self._zone_of(int(name[1:])),
            self._incarnation_by_name[name],
        )
        link = self.links[name] = GossipLink(
            self.reactor,
            identity,
            [f"{host_of(seed)}:7000" for seed in self.seeds],
            random.Random(name),
            lambda position, uninterrupted_s: self.note_store_state(
                name, position, uninterrupted_s
            ),
            capacity,
        )
        link.transport = _Transport(self, name, (host, 7000))
        link.start()
        self.sharings[name] = self.add_sharing(name, link)

    def add_sharing(self, name, link):
        """Start the load sharing of a gateway."""
        sink = self.sinks[name] = Sink()
        sharing = LoadSharing(
            self.reactor, link, sink, sink, lambda: self.store_state(name)
        )
        sharing.start()
        return sharing

    def store_state(self, name):
        """Return what a gateway tells of the store; a subclass has one."""
        return ORIGIN, 0.0

    def note_store_state(self, name, position, uninterrupted_s):
        """Handle what a gateway is told of the store."""

    def restart(self, name, capacity):
        self.stop(name)
        self._add(name, capacity)

    def stop(self, name):
        self.sharings.pop(name).stop()
        self.links.pop(name).stop()
        self.sinks.pop(name, None)

    def post(self, name, source, content, address):
        self.sent_by_id[name] += 1
        if name in self.cut_off:
            return
        if self.rng.random() >= self.lost_share:
            self.reactor.callLater(0.0002, self._deliver, source, content, address)

    def _deliver(self, source, content, address):
        name = self._name_by_host.get(address[0])
        link = self.links.get(name)
        if link is not None and name not in self.cut_off:
            link.datagramReceived(content, source)

    def begin(self, name, upstream, count):
        sink = self.sinks[name]
        sink.own[upstream] += count
        self.sharings[name].publish_count(upstream, sink.own[upstream])

    def _end(self, name, sink, upstream):
        if self.sinks.get(name) is sink:
            self.begin(name, upstream, -1)

    def advance(self, seconds, calls_per_s):
        for _ in range(round(seconds / STEP_S)):
            self._arrivals += calls_per_s * STEP_S
            while self._arrivals >= 1:
                self._arrivals -= 1
                name = self.rng.choice(sorted(self.sinks))
                upstream = self.rng.choice(self.upstreams)
                self.begin(name, upstream, 1)
                self.reactor.callLater(
                    CALL_S, self._end, name, self.sinks[name], upstream
                )
            self.reactor.advance(STEP_S)

    def aggregators(self):
        """Return the ids of the aggregators that the gateways use."""
        return {
            "nobody" if each._aggregator is None else each._aggregator.id
            for each in self.sharings.values()
        }
