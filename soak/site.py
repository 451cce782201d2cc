"""The processes of a soak run: platform, proxy, upstreams and gateways."""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from banyanshelf_bench.control import call_json, try_status, wait_until
from banyanshelf_bench.processes import FleetProcess
from banyanshelf_standins.platform_upstream import Run

START_LIMIT_S = 60.0
STORE_PORT, STORE_CONTROL_PORT, PROXY_CONTROL_PORT = 2400, 2401, 2500
FIRST_LINK_PORT, UPSTREAM_PORT = 2600, 8080
CALLERS_PORT, READINESS_PORT, SEED_PORT = 8144, 8140, 8146
# Gateways and upstreams have hosts of their own on the loopback network.
FIRST_GATEWAY_HOST, FIRST_UPSTREAM_HOST = 10, 110
GRACE_S = 6
COLUMNS = [
    "host",
    "prefix",
    "kind",
    "timeoutMs",
    "targetLatencyMs",
    "service",
    "attempts",
]
ATTEMPTS = 3
SERVICE = "desk"
HOST_NAME = "soak.example"
TIMEOUT_MS, TARGET_MS = 2000, 500
# The tenant and the key of all calls that do not test a version.
LASTING_TENANT, LASTING_KEY = "lasting", "key-lasting"
# Upstreams alternate between the zones.
ZONES = ("z", "y")
# The request limit of the upstreams that state one.
LIMIT_PER_S = 3.0


@dataclass(slots=True)
class UpstreamSlot:
    """A place for an upstream; instances follow each other in it."""

    number: int
    listen: str
    link: str
    link_address: str
    generation: int = 0
    process: FleetProcess | None = None
    journals: list[Path] = field(default_factory=list)

    @property
    def instance(self) -> str:
        """The id of the present instance."""
        return f"i-{self.number}-{self.generation}"

    @property
    def zone(self) -> str:
        """The zone of all instances in this place."""
        return zone_of(self.instance)


def zone_of(instance: str) -> str:
    """Return the zone of an instance."""
    return ZONES[int(instance.split("-")[1]) % len(ZONES)]


def version_key(version: int) -> str:
    """Return the key that only one version has."""
    return f"key-{version}"


def version_tenant(version: int) -> str:
    """Return the tenant that holds the key of a version."""
    return f"tenant-{version % 2}"


class SoakSite:
    """All processes of a run; see :func:`running_site`."""

    def __init__(
        self, folder: Path, gateways: int, upstreams: int, limited: int = 0
    ) -> None:
        block = 256 + os.getpid() % 65_000
        self._network = f"127.{block // 256}.{block % 256}"
        self._folder = folder
        self._limited = limited
        self.version = 0
        self.store_control = self._address(1, STORE_CONTROL_PORT)
        self._proxy_control = self._address(1, PROXY_CONTROL_PORT)
        store = self._address(1, STORE_PORT)
        self.gateway_hosts = [
            f"{self._network}.{FIRST_GATEWAY_HOST + each}" for each in range(gateways)
        ]
        links = []
        self.slots: list[UpstreamSlot] = []
        for number in range(gateways):
            links.append(f"store-{number}={self._link_address(number)}={store}")
        for number in range(upstreams):
            listen = self._address(FIRST_UPSTREAM_HOST + number, UPSTREAM_PORT)
            address = self._link_address(gateways + number)
            links.append(f"upstream-{number}={address}={listen}")
            self.slots.append(
                UpstreamSlot(number, listen, f"upstream-{number}", address)
            )
        self.platform = FleetProcess(
            "platform",
            "banyanshelf_standins.platform_site",
            {"store": store, "control": self.store_control},
        )
        self.proxy = FleetProcess(
            "proxy",
            "soak.proxy",
            {"control": self._proxy_control, "links": ",".join(links)},
        )
        self.gateways = [self._gateway(number) for number in range(gateways)]

    def start(self) -> None:
        """Start everything and wait until all gateways are ready."""
        self.platform.start()
        self.proxy.start()
        for control in (self.store_control, self._proxy_control):
            wait_until(lambda at=control: try_status(at, "/") == 404, control)
        for slot in self.slots:
            self.start_upstream(slot)
        self.configure()
        for gateway in self.gateways:
            gateway.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until all gateways are ready."""
        for number in range(len(self.gateways)):
            wait_until(
                lambda at=number: self.is_ready(at), f"gateway {number}", START_LIMIT_S
            )

    def is_ready(self, number: int) -> bool:
        """Whether a gateway calls itself ready."""
        address = f"{self.gateway_hosts[number]}:{READINESS_PORT}"
        return try_status(address, "/-/readiness") == 200

    def callers_address(self, number: int) -> tuple[str, int]:
        """Return a gateway's listener for callers."""
        return self.gateway_hosts[number], CALLERS_PORT

    def close(self) -> None:
        """End every process that the run has started."""
        for process in [
            *self.gateways,
            *(slot.process for slot in self.slots if slot.process is not None),
            self.proxy,
            self.platform,
        ]:
            process.resume()
            process.close()

    # Upstreams

    def start_upstream(self, slot: UpstreamSlot) -> None:
        """Start a new instance in a slot and register it."""
        slot.generation += 1
        journal = self._folder / f"{slot.instance}.jsonl"
        slot.journals.append(journal)
        if slot.process is not None:
            slot.process.close()
        flags = {
            "instance": slot.instance,
            "listen": slot.listen,
            "journal": journal,
            "latency_s": 0.02 + 0.01 * (slot.number % 4),
            "failing_share": 0.01,
        }
        if slot.number < self._limited:
            flags["request_limit"] = LIMIT_PER_S
        slot.process = FleetProcess(
            slot.instance, "banyanshelf_standins.platform_upstream", flags
        )
        slot.process.start()
        wait_until(lambda: try_status(slot.listen, "/health") == 200, slot.instance)
        self.register(slot, "ready")

    def register(self, slot: UpstreamSlot, state: str) -> float:
        """Write the entry of a slot's instance; returns when it was accepted."""
        entry = {
            "address": slot.link_address,
            "information": {"service": SERVICE, "zone": slot.zone, "slots": 3},
            "status": {"state": state, "sequence": 1, "warmupLeftMs": 0},
            "born": 1 + slot.generation,
        }
        self.write({f"servers/{slot.instance}": entry})
        return time.monotonic()

    def unregister(self, slot: UpstreamSlot) -> None:
        """Remove the entry of a slot's instance."""
        self.write({f"servers/{slot.instance}": None})

    def runs(self) -> dict[str, list[tuple[str, Run]]]:
        """Return the runs by attempt id, each with the instance that ran it."""
        found: dict[str, list[tuple[str, Run]]] = {}
        for slot in self.slots:
            for journal in slot.journals:
                for line in journal.read_bytes().splitlines():
                    run = msgspec.json.decode(line, type=Run)
                    found.setdefault(run.attempt, []).append((journal.stem, run))
        return found

    def arrivals(self) -> dict[str, list[float]]:
        """Return the times of all requests by instance that states a limit."""
        return {
            journal.stem: [
                float(line)
                for line in journal.with_name(f"{journal.name}.arrivals")
                .read_bytes()
                .splitlines()
            ]
            for slot in self.slots[: self._limited]
            for journal in slot.journals
        }

    # Platform

    def write(self, items: dict[str, Any]) -> None:
        """Write items of the store, or delete those that are None."""
        call_json("POST", self.store_control, "/items", items)

    def configure(self) -> float:
        """Write a new configuration; returns when it was accepted."""
        self.version += 1
        rows = [
            [HOST_NAME, prefix, kind, TIMEOUT_MS, TARGET_MS, SERVICE, ATTEMPTS]
            for prefix, kind in (
                ("/safe/", "safe"),
                ("/unsafe/", "unsafe"),
                (f"/v{self.version}/", "safe"),
            )
        ]
        record = {
            "version": self.version,
            "routes": {"columns": COLUMNS, "rows": rows},
            "services": {
                "columns": ["name", "healthPath"],
                "rows": [[SERVICE, "/health"]],
            },
            "limits": {"idleTimeoutMs": 15000},
            "tenants": {
                "columns": ["name", "apiKeys"],
                "rows": [
                    [LASTING_TENANT, [LASTING_KEY]],
                    [version_tenant(self.version), [version_key(self.version)]],
                ],
            },
        }
        self.write({"op/config": record})
        return time.monotonic()

    def evacuate(self, zone: str, *, is_evacuated: bool) -> float:
        """Evacuate a zone or take that back; returns when it was accepted."""
        self.write({f"op/evacuate/{zone}": {} if is_evacuated else None})
        return time.monotonic()

    def set_store(self, **behaviour: Any) -> None:
        """Change the behaviour of the store."""
        call_json("POST", self.store_control, "/behaviour", behaviour)

    def set_link(self, name: str, delay_s: float, dropped: str) -> None:
        """Change how a link treats bytes."""
        state = {"delay_s": delay_s, "dropped": dropped}
        call_json("POST", self._proxy_control, f"/links/{name}", state)

    def reset_link(self, name: str) -> None:
        """Cut the connections of a link."""
        call_json("POST", self._proxy_control, f"/reset/{name}")

    def step_clock(self, number: int, seconds: float) -> None:
        """Shift the time of day of a gateway."""
        self._clock(number).write_text(str(seconds))

    # Parts

    def _address(self, host: int, port: int) -> str:
        return f"{self._network}.{host}:{port}"

    def _link_address(self, number: int) -> str:
        return self._address(1, FIRST_LINK_PORT + number)

    def _clock(self, number: int) -> Path:
        return self._folder / f"clock-{number}"

    def _gateway(self, number: int) -> FleetProcess:
        host = self.gateway_hosts[number]
        self.step_clock(number, 0.0)
        seeds = [f"{each}:{SEED_PORT}" for each in self.gateway_hosts[:3]]
        path = self._folder / f"gateway-{number}.toml"
        path.write_text(f"""
[localNode]
node = "edge-{number}"
ipAddress = "{host}"
zone = "z"
[network]
internalPorts = [7660, 7675]
seeds = {msgspec.json.encode(seeds).decode()}
[network.listen]
front = "{host}:{CALLERS_PORT}"
ready = "{host}:{READINESS_PORT}"
control = "{host}:{SEED_PORT}"
[platform.platform]
address = "{self._link_address(number)}"
[terms.bounds]
graceS = {GRACE_S}
budgetSlack = 50
""")
        environment = {
            "BANYANSHELF_CONFIG": str(path),
            "SOAK_CLOCK": str(self._clock(number)),
        }
        return FleetProcess(f"edge-{number}", "soak.gateway_process", {}, environment)


@contextmanager
def running_site(
    folder: Path, gateways: int, upstreams: int, limited: int = 0
) -> Iterator[SoakSite]:
    """Start a site and end all its processes afterwards.

    The first ``limited`` upstreams state a request limit.
    """
    site = SoakSite(folder, gateways, upstreams, limited)
    with ExitStack() as stack:
        stack.callback(site.close)
        site.start()
        yield site
