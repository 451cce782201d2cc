"""Starts stand-ins and daemons as subprocesses on loopback addresses of their own.

Example::

    with running_fleet(umujyi(daemons=3)) as fleet:
        fleet.processes_by_id["gateway-1"].kill()

"""

from __future__ import annotations

import os
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from itertools import count
from typing import Any, NamedTuple

from banyanshelf_bench.commit_text import Committed, commit_text
from banyanshelf_bench.control import ControlError, call_json, try_status, wait_until
from banyanshelf_bench.processes import FleetProcess
from banyanshelf_core.claims.records import SHARD_COUNT
from banyanshelf_core.hashing import rank_members

CALLER_PORT, SERVICE_PORT, PEER_PORT, OPERATOR_PORT = 8080, 8081, 8082, 8083
BACKEND_PORT, BACKEND_CONTROL_PORT = 9000, 9001
STORE_PORT, STORE_CONTROL_PORT = 2379, 2380
HOST_LIST_PORT, HOST_LIST_CONTROL_PORT = 2390, 2391
PLATFORM_HOST, FIRST_DAEMON_HOST, FIRST_BACKEND_HOST = 1, 2, 60
FIRST_BLOCK, BLOCKS = 256, 65_000
FLEETS_PER_PROCESS = 8
START_LIMIT_S = 60.0

_fleet_numbers = count()


class FleetError(Exception):
    """A process of the fleet that did not do what was asked; ends with its output."""


class DaemonSpec(NamedTuple):
    """One gateway daemon; ``flags`` are further settings by field name."""

    id: str
    zone: str
    flags: dict[str, Any] = {}


class BackendSpec(NamedTuple):
    """One backend server; ``flags`` are further flags of the stand-in."""

    id: str
    service: str
    zone: str
    slots: int
    flags: dict[str, Any] = {}


class FleetShape(NamedTuple):
    """What a fleet consists of, and the operators' text it starts with."""

    text: str
    daemons: Sequence[DaemonSpec]
    backends: Sequence[BackendSpec]


class Fleet:
    """The processes of one fleet by id, and the addresses they listen on."""

    def __init__(self, shape: FleetShape) -> None:
        self.shape = shape
        # Fleets of one process take turns; those of other processes have other ids.
        number = os.getpid() * FLEETS_PER_PROCESS
        number += next(_fleet_numbers) % FLEETS_PER_PROCESS
        block = FIRST_BLOCK + number % BLOCKS
        self._network = f"127.{block // 256}.{block % 256}"
        self.store = self._address(PLATFORM_HOST, STORE_PORT)
        self.store_control = self._address(PLATFORM_HOST, STORE_CONTROL_PORT)
        self.host_list = self._address(PLATFORM_HOST, HOST_LIST_PORT)
        self.host_list_control = self._address(PLATFORM_HOST, HOST_LIST_CONTROL_PORT)
        self.processes_by_id: dict[str, FleetProcess] = {}
        self.state_by_backend = {backend.id: "live" for backend in shape.backends}
        self._host_by_id: dict[str, int] = {}
        self._define()

    def _address(self, host: int, port: int) -> str:
        return f"{self._network}.{host}:{port}"

    def _define(self) -> None:
        self._add(
            "store",
            "banyanshelf_standins.store",
            {"listen": self.store, "control_listen": self.store_control},
        )
        self._add(
            "host-list",
            "banyanshelf_standins.host_list",
            {"listen": self.host_list, "control_listen": self.host_list_control},
        )
        for number, backend in enumerate(self.shape.backends):
            self._host_by_id[backend.id] = FIRST_BACKEND_HOST + number
            flags = {
                "id": backend.id,
                "service": backend.service,
                "slots": backend.slots,
                "listen": self.backend_address(backend.id),
                "control_listen": self.backend_control(backend.id),
                "seed": number + 1,
                **backend.flags,
            }
            self._add(backend.id, "banyanshelf_standins.backend", flags)
        for number, daemon in enumerate(self.shape.daemons):
            self._host_by_id[daemon.id] = FIRST_DAEMON_HOST + number
            flags = {
                "member_id": daemon.id,
                "zone": daemon.zone,
                "listen": self.caller_address(daemon.id),
                "service_listen": self.service_address(daemon.id),
                "peer_listen": self._address(self._host_by_id[daemon.id], PEER_PORT),
                "operator_listen": self.operator_address(daemon.id),
                "store_url": f"http://{self.store}",
                "host_list_url": f"http://{self.host_list}/hosts",
                **daemon.flags,
            }
            self._add(daemon.id, "banyanshelf_daemon", flags)

    def _add(self, process_id: str, module: str, flags: dict[str, Any]) -> None:
        self.processes_by_id[process_id] = FleetProcess(process_id, module, flags)

    def caller_address(self, daemon_id: str) -> str:
        """Return a daemon's listener for callers."""
        return self._address(self._host_by_id[daemon_id], CALLER_PORT)

    def service_address(self, daemon_id: str) -> str:
        """Return a daemon's listener for calls from backend servers."""
        return self._address(self._host_by_id[daemon_id], SERVICE_PORT)

    def operator_address(self, daemon_id: str) -> str:
        """Return a daemon's operator interface."""
        return self._address(self._host_by_id[daemon_id], OPERATOR_PORT)

    def backend_address(self, backend_id: str) -> str:
        """Return a backend server's listener."""
        return self._address(self._host_by_id[backend_id], BACKEND_PORT)

    def backend_control(self, backend_id: str) -> str:
        """Return a backend server's control listener."""
        return self._address(self._host_by_id[backend_id], BACKEND_CONTROL_PORT)

    @property
    def daemon_ids(self) -> list[str]:
        """The daemons in the order of the shape."""
        return [daemon.id for daemon in self.shape.daemons]

    @property
    def backend_ids(self) -> list[str]:
        """The backend servers in the order of the shape."""
        return [backend.id for backend in self.shape.backends]

    def start_platform(self) -> None:
        """Start the stand-ins and publish the hosts."""
        platform_ids = ["store", "host-list", *self.backend_ids]
        for process_id in platform_ids:
            self.processes_by_id[process_id].start()
        controls_by_id = {
            "store": self.store_control,
            "host-list": self.host_list_control,
            **{id_: self.backend_control(id_) for id_ in self.backend_ids},
        }
        for process_id, control in controls_by_id.items():
            self._wait_for(process_id, control, "/stats")
        self.publish_hosts()

    def start_daemons(self) -> None:
        """Start every daemon and wait until all of them serve."""
        for daemon_id in self.daemon_ids:
            self.processes_by_id[daemon_id].start()
        for daemon_id in self.daemon_ids:
            self.wait_ready(daemon_id)

    def wait_ready(self, daemon_id: str) -> None:
        """Wait until a daemon says that it serves; raises :class:`FleetError`."""
        self._wait_for(daemon_id, self.operator_address(daemon_id), "/healthz")

    def _wait_for(self, process_id: str, address: str, target: str) -> None:
        process = self.processes_by_id[process_id]

        def ready() -> bool:
            if not process.running:
                raise FleetError(self.describe(process_id, "exited"))
            return try_status(address, target) == 200

        try:
            wait_until(ready, f"{process_id} ready", START_LIMIT_S)
        except TimeoutError as error:
            raise FleetError(self.describe(process_id, "is not ready")) from error

    def describe(self, process_id: str, problem: str) -> str:
        """Return a problem of a process with its exit code and output."""
        process = self.processes_by_id[process_id]
        state = f"{process_id} {problem}, exit code {process.exit_code}"
        return f"{state}; its output ends with:\n{process.output_tail()}"

    def publish_hosts(self) -> None:
        """Publish the hosts in their present states, after the host list's lag."""
        hosts = [
            {
                "id": backend.id,
                "service": backend.service,
                "address": self.backend_address(backend.id),
                "zone": backend.zone,
                "slots": backend.slots,
                "state": self.state_by_backend[backend.id],
            }
            for backend in self.shape.backends
            if backend.id in self.state_by_backend
        ]
        call_json("PUT", self.host_list_control, "/hosts", {"hosts": hosts})

    def commit(self, text: str, author: str = "fleet") -> Committed:
        """Commit an operators' text to the store."""
        return commit_text(self.store, text, author)

    def set_store_faults(self, **faults: Any) -> None:
        """Change the store's faults."""
        call_json("POST", self.store_control, "/faults", faults)

    def set_host_list_lag(self, seconds: float) -> None:
        """Delay later changes of the host list."""
        call_json("PUT", self.host_list_control, "/lag", {"seconds": seconds})

    def set_behavior(self, backend_id: str, **behavior: Any) -> None:
        """Change how a backend server behaves."""
        call_json("POST", self.backend_control(backend_id), "/behavior", behavior)

    def backend_statistics(self, backend_id: str) -> dict[str, Any]:
        """Return a backend server's record."""
        result: dict[str, Any] = call_json(
            "GET", self.backend_control(backend_id), "/stats"
        )
        return result

    def store_statistics(self) -> dict[str, Any]:
        """Return the store's counts."""
        result: dict[str, Any] = call_json("GET", self.store_control, "/stats")
        return result

    def status(self, daemon_id: str) -> dict[str, Any]:
        """Return a daemon's ``/status``; raises ``ControlError`` if it has none."""
        address = self.operator_address(daemon_id)
        result: dict[str, Any] = call_json("GET", address, "/status")
        return result

    def try_status(self, daemon_id: str) -> dict[str, Any]:
        """Return a daemon's ``/status``, empty if it does not answer."""
        try:
            return self.status(daemon_id)
        except ControlError:
            return {}

    def owned_shards(self) -> list[int]:
        """Return the claim shards that serving daemons say they own."""
        return sorted(
            shard["shard"]
            for daemon_id in self.daemon_ids
            if self.processes_by_id[daemon_id].serves
            for shard in self.try_status(daemon_id).get("claims", {}).get("shards", [])
            if shard["owned"]
        )

    def wait_for_shards(self) -> None:
        """Wait until each claim shard has one owner; raises ``TimeoutError``.

        Daemons serve before that, and refuse keyed calls as not run until then.
        """
        every_shard = list(range(SHARD_COUNT))
        wait_until(
            lambda: self.owned_shards() == every_shard, "owners of all claim shards"
        )

    def coordinator(self, service: str) -> str:
        """Return the daemon that ranks first for a service among those that serve."""
        serving = [
            item for item in self.daemon_ids if self.processes_by_id[item].serves
        ]
        return rank_members(f"service/{service}", serving)[0]

    def restart_daemon(self, daemon_id: str) -> None:
        """Start a daemon that has exited and wait until it serves."""
        self.processes_by_id[daemon_id].start()
        self.wait_ready(daemon_id)

    def restart_backend(self, backend_id: str) -> None:
        """Start a backend server that has exited and wait until it listens."""
        self.processes_by_id[backend_id].start()
        self._wait_for(backend_id, self.backend_control(backend_id), "/stats")

    def close(self) -> None:
        """End every process that this fleet started."""
        for process in self.processes_by_id.values():
            process.close()


@contextmanager
def running_fleet(shape: FleetShape) -> Iterator[Fleet]:
    """Start a fleet with its text in effect, and end all of it afterwards."""
    fleet = Fleet(shape)
    try:
        fleet.start_platform()
        fleet.commit(shape.text)
        fleet.start_daemons()
        yield fleet
    finally:
        fleet.close()
