"""Gateways that follow a store which is restored, on a simulated network."""

import random
from collections import Counter
from types import SimpleNamespace
from urllib.parse import urlencode

import msgspec
from platform_store_steps import FakeClient, FakeStore
from simulated_gossip import LoadZone
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from banyanshelf_core.errors import StoreUnavailableError
from banyanshelf_core.model import UpstreamState
from banyanshelf_core.replica import ORIGIN
from banyanshelf_daemon.http_message import header_value
from banyanshelf_platform.directory import PlatformDirectory
from banyanshelf_platform.records import RetryRules
from banyanshelf_platform.relays import list_mirrors, select_relay
from banyanshelf_platform.store_client import (
    CONNECT_TIMEOUT_S,
    GENERATION_HEADER,
    GENERATION_PARAMETER,
    Changes,
    HistoryLostError,
    Page,
)
from banyanshelf_platform.store_mirror import StoreMirror
from banyanshelf_platform.store_view import StoreView

TRIP_S = 0.001


class _Exchange:
    """One call to a mirror."""

    def __init__(self):
        self.call = None
        self.result = Deferred()

    def answer(self, answer):
        if not self.result.called:
            self.result.callback(answer)


class _CountingClient(FakeClient):
    """A gateway's client of the store."""

    def __init__(self, fleet, name):
        super().__init__(fleet.store, name)
        self.fleet = fleet

    def check(self):
        self.fleet.calls_by_second[int(self.fleet.reactor.seconds())] += 1
        super().check()

    async def read_page(self, prefix, after):
        await deferLater(self.fleet.reactor, TRIP_S)
        return await super().read_page(prefix, after)


class _MirrorClient:
    """A gateway's client of another gateway's mirror."""

    def __init__(self, fleet, name, address):
        self.fleet, self.name, self.address = fleet, name, address
        self.calls = 0

    async def read_page(self, prefix, after):
        answer = await self._ask("/-/kv-range", {"prefix": prefix}, 1.0)
        return self._decode(answer, Page)

    async def wait_for_changes(self, prefix, position, wait_s):
        query = {
            "prefix": prefix,
            "after": position.revision,
            GENERATION_PARAMETER: position.generation,
            "waitMs": int(wait_s * 1000),
        }
        answer = await self._ask("/-/kv-watch", query, wait_s + 0.5)
        return self._decode(answer, Changes)

    async def _ask(self, path, query, timeout_s):
        self.calls += 1
        reactor = self.fleet.reactor
        await deferLater(reactor, TRIP_S)
        target = self.fleet.gateway_at(self.address)
        if target is None or {self.name, target.name} & self.fleet.cut_off:
            await deferLater(reactor, CONNECT_TIMEOUT_S)
            raise StoreUnavailableError("unreachable")
        exchange = _Exchange()
        request = SimpleNamespace(
            path=path, target=f"{path}?{urlencode(query)}".encode(), value_by_name={}
        )
        target.mirror.start(request, exchange, trust_internal_headers=False)
        timer = reactor.callLater(timeout_s, exchange.answer, None)
        answer = await exchange.result
        if timer.active():
            timer.cancel()
        if answer is None or {self.name, target.name} & self.fleet.cut_off:
            raise StoreUnavailableError("no answer in time")
        if answer.status == 410:
            raise HistoryLostError("dropped")
        return answer

    def _decode(self, answer, kind):
        result = msgspec.json.decode(answer.body, type=kind)
        result.generation = int(header_value(answer.headers, GENERATION_HEADER))
        return result

    def close(self):
        """Do nothing, as no connection is kept."""


class _Gateway:
    """The parts of one gateway that follow the store."""

    def __init__(self, fleet, name, link):
        self.name = name
        rng = random.Random(name)
        self.view = StoreView(
            fleet.reactor,
            name,
            rng,
            lambda: list_mirrors(link.members, rng),
            lambda _reactor, _address: _CountingClient(fleet, name),
            lambda _reactor, address: _MirrorClient(fleet, name, address),
            lambda excluded: select_relay(link.members, excluded),
        )
        self.directory = PlatformDirectory(
            fleet.reactor, self.view, lambda: RetryRules(0.2, 1)
        )
        self.mirror = StoreMirror(fleet.reactor, self.view)
        link.on_members_change(self.view.reselect_relay)
        self.view.start()

    def version(self):
        active = self.directory.active()
        return active.version if active else 0

    def used(self):
        upstreams = self.directory.upstreams_by_id("s").values()
        return {each.id for each in upstreams if each.state is UpstreamState.LIVE}


class RestoredFleet(LoadZone):
    """Gateways ``g1``, ``g2``... that follow one store, directly or by relays.

    ``cut_off`` gateways reach neither the store nor other gateways.
    """

    def __init__(self, gateways, zones, rng):
        self.gateway_by_name = {}
        self.calls_by_second = Counter()
        self.store = None
        super().__init__(0, 1, rng, lambda number: f"z{number % zones}")
        self.store = FakeStore(self.reactor)
        self.seeds = ["g1", "g2", "g3"]
        for number in range(gateways):
            self.add(f"g{number + 1}")

    def add(self, name):
        self._add(name, 1.0)
        self.gateway_by_name[name] = _Gateway(self, name, self.links[name])

    def restart_gateway(self, name):
        self.stop(name)
        self.gateway_by_name.pop(name).view.stop()
        self.add(name)

    def cut(self, names):
        self.cut_off = set(names)
        self.store.rejected_addresses = set(names)

    def gateway_at(self, address):
        name = self._name_by_host.get(address.rpartition(":")[0])
        return self.gateway_by_name.get(name)

    def store_state(self, name):
        gateway = self.gateway_by_name.get(name)
        if gateway is None:
            return ORIGIN, 0.0
        return gateway.view.replica.position, gateway.view.uninterrupted_s()

    def note_store_state(self, name, position, uninterrupted_s):
        gateway = self.gateway_by_name.get(name)
        if gateway is not None:
            gateway.view.note_position(position)
            gateway.directory.note_peer_store_contact(
                position.generation, uninterrupted_s
            )
