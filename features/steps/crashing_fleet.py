"""Gateways whose data paths call upstreams that one request crashes."""

import random
from collections import defaultdict

from crash_terms import ALLOWED_RETRIES, STABLE_S, TOLERATED_CRASHES
from simulated_gossip import STEP_S, LoadZone
from twisted.internet.defer import fail, succeed
from twisted.internet.error import ConnectionDone, ConnectionLost, TimeoutError
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from banyanshelf_core.model import Upstream
from banyanshelf_core.text import parse_text
from banyanshelf_daemon.call import CallHandler
from banyanshelf_daemon.crash_exchange import CrashExchange
from banyanshelf_daemon.http_message import Request
from banyanshelf_daemon.interfaces import ActiveText, NotAdmittedError, Permit
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.request_body import RequestBody
from banyanshelf_daemon.settings import Settings
from banyanshelf_platform.gateway import POOL_RULES
from banyanshelf_platform.platform_dialect import PlatformDialect

HOST = "a.example"
POISON = b"/safe/poison"
TRIP_S = 0.0005
WORK_S = 0.03
# An upstream has begun the request when it crashes.
CRASH_DELAY_S = 0.002
RESTART_S = 3.0
DEADLINE_MS = 1000
SIGNATURE = "X-Banyanshelf-Response-Signature: stand-in\r\n"
NOT_EXECUTED = "X-Banyanshelf-Not-Executed: 1\r\n"
QUARANTINE_S = 30


def text_with(targets):
    """Return a text whose routes lead to one service, or to several by weight."""
    services = "".join(
        f"[services.{name}]\npath_prefixes = []\nhedge = false\nretry_share = 1.0\n"
        for name in ("desk", "till")
    )
    if len(targets) == 1:
        target = f'service = "{targets[0]}"\n'
    else:
        parts = ", ".join(f'{{ service = "{name}", weight = 1 }}' for name in targets)
        target = f"split = [{parts}]\n"
    routes = "".join(
        f'[[routes]]\nhost = "{HOST}"\npath_prefix = "/{kind}/"\n{target}'
        f"idempotent = {str(kind == 'safe').lower()}\nmax_attempts = 2\n"
        for kind in ("safe", "unsafe")
    )
    protection = f"[protection]\ncrash_quarantine_s = {QUARANTINE_S}\n"
    return parse_text(f'policy = "shared_load"\n{services}{routes}{protection}')


class _Log:
    """Discards log lines."""

    def event(self, *_arguments, **_fields):
        pass

    warning = decision = event


class _Exchange:
    """Keeps the status of the answer to one call."""

    def __init__(self, statuses):
        self.statuses = statuses
        self.call = None

    def answer(self, answer):
        self.statuses.append(answer.status)

    def call_ended(self):
        pass


class _Permits:
    """Grants any listed upstream that the call has not used yet."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway = fleet, gateway

    def check_health(self, upstream):
        self.fleet.handlers[self.gateway].probe(upstream)

    def acquire(self, service_name, request):
        listed = self.fleet.upstreams_by_service[service_name]
        free = [each for each in listed.values() if each.id not in request.excluded]
        if not free:
            return fail(NotAdmittedError("no upstream is left", 1.0))
        return succeed(Permit(self.fleet.rng.choice(free), 0, "any", len(free)))

    def release(self, permit, sample):
        pass


class _Connection:
    """One connection of a gateway to an upstream, seen from the gateway."""

    def __init__(self, fleet, gateway, upstream, protocol):
        self.fleet, self.upstream, self.protocol = fleet, upstream, protocol
        self.gateway = gateway
        self.is_open = True
        upstream.connections[self] = True
        protocol.makeConnection(self)

    def write(self, data):
        self.fleet.reactor.callLater(TRIP_S, self._arrive, data)

    def _arrive(self, data):
        if self.is_open:
            self.upstream.receive(self, data)

    def deliver(self, data):
        if self.is_open:
            self.protocol.dataReceived(data)

    def end(self, error):
        if self.is_open:
            self.is_open = False
            self.upstream.connections.pop(self, None)
            self.protocol.connectionLost(Failure(error))

    def abortConnection(self):  # noqa: N802
        self.fleet.reactor.callLater(0, self.end, ConnectionDone())

    loseConnection = abortConnection  # noqa: N815

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class _Upstream:
    """A server that ends when it begins the crashing request."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        # Ordered, so that a seed gives the same run each time.
        self.connections = {}
        self.is_up = True
        self.mood = "well"

    def receive(self, connection, data):
        if not self.is_up or self.fleet.has_lost_link(connection.gateway, self.name):
            return
        target = data.split(b" ", 2)[1]
        if target == POISON:
            self.fleet.arrivals.append(self.fleet.reactor.seconds())
        match self.mood:
            case "frozen":
                pass
            case "full":
                self._answer(connection, "503 Full", NOT_EXECUTED)
            case "failing":
                self._answer(connection, "500 Failing", SIGNATURE)
            case "another":
                self._answer(connection, "421 Another", NOT_EXECUTED)
            case _ if target == POISON:
                self.fleet.reactor.callLater(CRASH_DELAY_S, self.crash)
            case _:
                self.fleet.reactor.callLater(
                    WORK_S, self._answer, connection, "200 OK", SIGNATURE
                )

    def _answer(self, connection, status, header):
        data = f"HTTP/1.1 {status}\r\n{header}Content-Length: 2\r\n\r\nok".encode()
        self.fleet.reactor.callLater(TRIP_S, connection.deliver, data)

    def crash(self):
        if not self.is_up:
            return
        self.fleet.crashes.append(self.fleet.reactor.seconds())
        self.is_up = False
        if not self.fleet.goes_silent:
            self._end_connections()
        self.fleet.reactor.callLater(RESTART_S, self.start)

    def start(self):
        self.is_up = True
        if self.fleet.goes_silent:
            self._end_connections()
            self.fleet.start_again(self.name)

    def _end_connections(self):
        for connection in list(self.connections):
            self.fleet.reactor.callLater(TRIP_S, connection.end, ConnectionLost())


class _GatewayReactor:
    """The fleet's clock, with connections that know their gateway."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway = fleet, gateway
        self.seconds, self.callLater = fleet.reactor.seconds, fleet.reactor.callLater

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.fleet.connect(self.gateway, host, factory, timeout)


class CrashingFleet(LoadZone):
    """Counts how often a request reaches upstreams after it has crashed three."""

    def __init__(self, gateways, zones, upstreams, seed=1):
        self.upstreams_by_service = {"desk": {}, "till": {}}
        self.servers = {}
        self.arrivals, self.crashes, self.poison_statuses = [], [], []
        self.statuses, self.honest_statuses = [], []
        self.handlers, self.exchanges = {}, {}
        self.started_at = {}
        self.goes_silent = False
        self.lost_links = set()
        self.rng = random.Random(seed)
        self.version = 0
        self._route_to(["desk"])
        super().__init__(
            gateways, upstreams, self.rng, lambda number: f"z{number % zones}"
        )
        for number in range(upstreams):
            name = f"u{number + 1}"
            service = ("desk", "till")[number % 2]
            address = f"127.1.{number // 256}.{number % 256}:80"
            self.upstreams_by_service[service][name] = Upstream(
                name, service, address, "z0", 3
            )
            self.servers[address.partition(":")[0]] = _Upstream(self, name)

    # What the gateways use

    def active(self):
        return self.text

    def on_change(self, handler):
        pass

    def on_upstreams_change(self, handler):
        pass

    def upstreams_by_id(self, service_name):
        return self.upstreams_by_service[service_name]

    def report_leaving(self, upstream_id, reason):
        pass

    def connect(self, gateway, host, factory, timeout):
        server = self.servers[host]
        is_silent = self.goes_silent and not server.is_up
        has_lost_link = self.has_lost_link(gateway, server.name)
        if server.mood == "dark" or is_silent or has_lost_link:
            reason = Failure(TimeoutError())
            self.reactor.callLater(
                timeout, factory.clientConnectionFailed, None, reason
            )
            return
        self.reactor.callLater(2 * TRIP_S, self._connected, gateway, server, factory)

    def has_lost_link(self, gateway, name):
        """Whether nothing that a gateway sends reaches an upstream."""
        return (gateway, name) in self.lost_links

    def start_again(self, name):
        """Give an upstream its next incarnation."""
        for listed in self.upstreams_by_service.values():
            if name in listed:
                incarnation = listed[name].incarnation + 1
                listed[name] = listed[name]._replace(incarnation=incarnation)

    def _connected(self, gateway, server, factory):
        if server.is_up:
            _Connection(self, gateway, server, factory.buildProtocol(None))
        else:
            factory.clientConnectionFailed(None, Failure(RefusedError()))

    # Gateways

    def add_sharing(self, name, link):
        self.started_at[name] = self.reactor.seconds()
        addresses = ("listen", "service_listen", "peer_listen", "operator_listen")
        settings = Settings(
            member_id=name,
            zone="z",
            store_url="http://127.0.0.1:5",
            host_list_url="http://127.0.0.1:6",
            **{each: f"127.0.0.1:{at}" for at, each in enumerate(addresses, 1)},
        )
        reactor = _GatewayReactor(self, name)
        self.handlers[name] = CallHandler(
            reactor,
            settings,
            self,
            _Permits(self, name),
            None,
            self,
            link,
            link,
            random.Random(name),
            _Log(),
            Metrics(Clock()),
            PlatformDialect(),
            POOL_RULES,
        )
        exchange = self.exchanges[name] = CrashExchange(
            reactor,
            link,
            self.handlers[name].services.crashes,
            random.Random(f"exchange/{name}"),
        )
        exchange.start()
        return super().add_sharing(name, link)

    def add(self, name):
        """Start a gateway, which knows nobody yet."""
        self._add(name, 1.0)

    def stop(self, name):
        super().stop(name)
        self.handlers.pop(name)
        self.exchanges.pop(name).stop()

    def _route_to(self, services):
        self.version += 1
        self.text = ActiveText(self.version, "digest", text_with(services))

    route_to = _route_to

    # Callers

    def call(self, name, target, statuses):
        """Send a request to a gateway."""
        path = target.decode()
        headers = {
            b"host": HOST.encode(),
            b"x-banyanshelf-deadline-milliseconds": b"%d" % DEADLINE_MS,
        }
        listed = [(key, key.title(), value) for key, value in headers.items()]
        request = Request(
            "GET", target, path, HOST, listed, headers, RequestBody(), True, False
        )
        self.handlers[name].start(
            request, _Exchange(statuses), trust_internal_headers=False
        )

    def run(self, seconds, poison_per_s, others_per_s):
        """Spread the crashing request and others over the gateways."""
        due = defaultdict(float)
        for _ in range(round(seconds / STEP_S)):
            for kind, rate in (("poison", poison_per_s), ("other", others_per_s)):
                due[kind] += rate * STEP_S
                while due[kind] >= 1:
                    due[kind] -= 1
                    name = self.rng.choice(sorted(self.handlers))
                    self._call_kind(name, kind)
            self.reactor.advance(STEP_S)

    def _call_kind(self, name, kind):
        if kind == "poison":
            self.call(name, POISON, self.poison_statuses)
        else:
            self.call(name, b"/safe/%d" % self.rng.getrandbits(40), self.statuses)

    def repeat_honest(self, seconds, target, rate):
        """Let one harmless request come again and again, at gateways in turn."""
        for number in range(round(seconds * rate)):
            name = sorted(self.handlers)[number % len(self.handlers)]
            self.call(name, target, self.honest_statuses)
            self.run(1 / rate, 0, 20)

    def lose_link(self):
        """Cut the link between one gateway and one upstream, without a reset."""
        server = next(iter(self.servers.values()))
        self.lost_links.add((sorted(self.handlers)[0], server.name))

    def change_mood(self, share, mood):
        """Let a share of the upstreams answer or fail in some way."""
        servers = list(self.servers.values())
        for server in self.rng.sample(servers, round(share * len(servers))):
            server.mood = mood

    def heal(self):
        for server in self.servers.values():
            server.mood = "well"

    # Verdict

    def late_retries(self):
        """Return how often the request reached upstreams later than is tolerated."""
        if len(self.crashes) < TOLERATED_CRASHES:
            return 0
        since = self.crashes[TOLERATED_CRASHES - 1] + STABLE_S
        return sum(each > since for each in self.arrivals)

    def is_within_terms(self):
        return self.late_retries() <= ALLOWED_RETRIES
