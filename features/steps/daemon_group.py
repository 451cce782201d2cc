"""Daemons' shared tasks on one simulated reactor, with one fake store."""

import random

from simulated_network import SimulatedReactor
from simulated_store import FakeStore

from banyanshelf_core.hashing import digest
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    ConfigHead,
    encode_record,
    part_key,
)
from banyanshelf_daemon.cluster import Cluster, own_member
from banyanshelf_daemon.host_list import HostDirectory
from banyanshelf_daemon.peer_link import PeerLinks
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.store_client import StoreClient

PREFIX = b"banyanshelf/"


def settings_for(number, **changes):
    """Return the settings of one daemon."""
    host = f"127.9.0.{number}"
    values = {
        "member_id": f"gateway-{number}",
        "zone": "Huye",
        "listen": f"{host}:1",
        "service_listen": f"{host}:2",
        "peer_listen": f"{host}:3",
        "operator_listen": f"{host}:4",
        "store_url": "http://127.9.1.1:2379",
        "host_list_url": "http://127.9.1.2:80/hosts",
        "seed": number,
    }
    return Settings(**(values | changes))


class DaemonTasks:
    """The tasks that a daemon shares with the others."""

    def __init__(self, group, number, **changes):
        reactor = group.reactor
        self.settings = settings_for(number, **changes)
        self.id = self.settings.member_id
        identity = own_member(self.settings, reactor.seconds())
        self.links = PeerLinks(reactor, self.settings, identity)
        self.store = StoreClient(reactor, self.settings, group.store.agent)
        rng = random.Random(number)
        self.cluster = Cluster(reactor, self.settings, self.store, self.links, rng)
        self.directory = HostDirectory(
            reactor, self.settings, self.links, group.hosts.agent
        )
        self.versions = []
        self.self_removals = []
        self.cluster.on_change(lambda active: self.versions.append(active.version))
        self.cluster.on_self_removed(lambda: self.self_removals.append(1))

    def start(self):
        """Start every task."""
        self.links.start()
        self.cluster.start()
        self.directory.start()

    def stop(self):
        """Stop every task at once."""
        self.directory.stop()
        self.cluster.stop()
        self.store.stop()
        self.links.stop()

    @property
    def members(self):
        """The ids of the live members."""
        return set(self.cluster.members_by_id())


class DaemonGroup:
    """Daemons by id, with the store and the host list they use."""

    def __init__(self, hosts):
        self.reactor = SimulatedReactor()
        self.store = FakeStore(self.reactor)
        self.hosts = hosts(self.reactor)
        self.daemons = {}
        self.version = 0

    def start(self, number, **changes):
        """Start a daemon."""
        daemon = DaemonTasks(self, number, **changes)
        self.daemons[daemon.id] = daemon
        daemon.start()
        return daemon

    def kill(self, daemon_id):
        """End a daemon without notice; its connections break."""
        self.daemons.pop(daemon_id).stop()

    def apply(self):
        """Write the next version to the store."""
        self.version += 1
        text = f'[services.desk]\nhosts = ["desk-{self.version}.example"]\n'
        text_digest = digest(text.encode())
        head = ConfigHead(
            version=self.version,
            digest=text_digest,
            parts=1,
            apply_id=f"apply-{self.version}",
            author="Uwase",
            time=0.0,
        )
        self.store.write(PREFIX + part_key(text_digest, 0).encode(), text.encode())
        self.store.write(PREFIX + CONFIG_HEAD_KEY.encode(), encode_record(head))
