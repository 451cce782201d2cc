"""The stand-ins for the store and the host list, run on a simulated reactor."""

from simulated_network import SimulatedReactor

from banyanshelf_daemon.settings import Settings
from banyanshelf_standins import host_list, http_server, key_space, store

STORE, HOSTS = "127.9.1.1", "127.9.1.2"
PREFIX = b"banyanshelf/"


def settings_for(number, **changes):
    host = f"127.9.0.{number}"
    names = ("listen", "service_listen", "peer_listen", "operator_listen")
    values = {name: f"{host}:{port}" for port, name in enumerate(names, 1)}
    values |= {"member_id": f"gateway-{number}", "zone": "Huye", "seed": number}
    values |= {
        "store_url": f"http://{STORE}:1",
        "host_list_url": f"http://{HOSTS}:1/hosts",
    }
    return Settings(**(values | changes))


class SimulatedPlatform:
    """Runs the stand-ins' code on a simulated reactor and injects store faults."""

    def __init__(self):
        self.reactor = SimulatedReactor()
        for module in (host_list, http_server, store):
            module.reactor = self.reactor
        self.store = store.Store(f"{STORE}:1", f"{STORE}:2")
        self.hosts = host_list.HostList(f"{HOSTS}:1", f"{HOSTS}:2")
        self.store.server.open()
        self.hosts.server.open()
        self.version = 0
        self.call_times = []
        self.store.server._handler = self._count_and_handle  # noqa: SLF001

    def _count_and_handle(self, exchange):
        self.call_times.append(self.reactor.seconds())
        self.store.handle(exchange)

    def run(self, seconds):
        self.reactor.run(seconds)
        self.store.keys.expire_leases(self.reactor.seconds())

    def write(self, key, value):
        put = key_space.Put(PREFIX + key.encode(), value.encode())
        self.store.keys.transact([], [put], [])

    def delete(self, key):
        deletion = key_space.DeleteRange(PREFIX + key.encode())
        self.store.keys.transact([], [deletion], [])

    def store_refuses(self):
        self.changed_at = self.reactor.seconds()
        self.store.set_faults({"outage": "refuse"})

    def store_answers(self):
        self.changed_at = self.reactor.seconds()
        self.store.set_faults({"outage": "off"})

    def store_is_saved(self):
        self.saved = self.store.keys.snapshot()

    def store_is_emptied(self):
        self.saved = key_space.KeySpace().snapshot()
        self.store_is_restored()

    def store_is_restored(self):
        self.changed_at = self.reactor.seconds()
        self.store.restore(self.saved)

    def store_loses_answers(self, count):
        self.store.set_faults({"lose_answers": count})

    def nothing_left(self):
        self.stop_all()
        self.reactor.run(0.1)
        pending = [str(each) for each in self.reactor.getDelayedCalls()]
        assert not pending, pending
        assert not self.reactor.transports
