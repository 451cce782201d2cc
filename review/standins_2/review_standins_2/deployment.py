"""Starts a small deployment: the platform's stand-in and gateways as real processes."""

from __future__ import annotations

import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Generator
from pathlib import Path
from typing import NamedTuple

REPOSITORY = Path(__file__).resolve().parents[3]
BUILT = REPOSITORY / "target" / "review-2"
FRONT_PORT, READY_PORT, CONTROL_PORT = 8144, 8140, 8146
INTERNAL_PORTS = (7660, 7675)
# Fixed by the deploy file.
METRICS_PORT = 9464
START_LIMIT_S = 20.0
SLOW_LINK_MBIT_PER_S = 50.0
GRACE_S = 6.0
HOST = "desk.example"
# Added by each version after the first one
FURTHER_PREFIX = "/refunds/"
ROUTE_COLUMNS = [
    "host",
    "prefix",
    "kind",
    "timeoutMs",
    "targetLatencyMs",
    "attempts",
    "service",
]


class Machine(NamedTuple):
    """Limits of a gateway's machine."""

    memory_mb: int = 300
    descriptors: int = 4100
    link_mbit_per_s: float = 1000.0
    cpu_share: float = 0.86


class Changes(NamedTuple):
    """Versions that the operator writes after the first one, each with all routes.

    ``routes`` is the number of routes beside those of the cases in the first version,
    and each further one adds ``growth`` routes. The changes begin
    ``pause_s`` after the start and follow each other after ``gap_s``. For ``outage_s``
    before the first of them, the store answers no gateway. After each ``storm`` changes
    there is a rest of ``rest_s``.
    """

    count: int = 0
    gap_s: float = 0.33
    pause_s: float = 6.0
    routes: int = 0
    outage_s: float = 0.0
    growth: int = 0
    storm: int = 0
    rest_s: float = 0.0


class Tenant(NamedTuple):
    """The only tenant of a deployment with API keys."""

    name: str
    key: str
    requests_per_s: float
    burst: float


USUAL_MACHINE = Machine()
NO_CHANGES = Changes()


class Deployment:
    """The addresses and processes of one run; ends all processes on :meth:`close`."""

    site_module = "review_standins_2.site"

    def __init__(
        self,
        folder: Path,
        gateways: int,
        upstreams: int,
        machine: Machine,
        changes: Changes,
        tenant: Tenant | None,
    ) -> None:
        self.folder = folder
        self._tenant = tenant
        self._machine = machine
        self._changes = changes
        network = _free_network()
        self.store = f"{network}.1:8142"
        self.gateway_hosts = [f"{network}.{10 + number}" for number in range(gateways)]
        self.upstreams = {
            f"i-{number}": f"{network}.{100 + number}:8080"
            for number in range(upstreams)
        }
        # The links of gateways to the store that are slow enough to matter
        self._links = {
            host: f"{network}.{200 + number}:8142"
            for number, host in enumerate(self.gateway_hosts)
            if machine.link_mbit_per_s < SLOW_LINK_MBIT_PER_S
        }
        self.journal_path = folder / "journal"
        self.gateways: dict[str, subprocess.Popen[bytes]] = {}
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start the stand-in and all gateways, and wait until they are ready."""
        site = {
            "store": self.store,
            "journal": str(self.journal_path),
            "upstreams": self.upstreams,
            "items": self._entries(),
            "links": list(self._links.values()),
            "link_mbit_per_s": self._machine.link_mbit_per_s,
            "operator": {
                "outage_s": self._changes.outage_s,
                "further_routes": [
                    _route(FURTHER_PREFIX, "safe"),
                    *_shop_routes(
                        self._changes.routes, self._changes.growth * self._changes.count
                    ),
                ],
                "growth": self._changes.growth,
                "configuration": _configuration(self._changes.routes, self._tenant),
                "changes": self._changes.count,
                "gap_s": self._changes.gap_s,
                "storm": self._changes.storm,
                "rest_s": self._changes.rest_s,
                "pause_s": self._changes.pause_s,
            },
        }
        path = self.folder / "site.json"
        path.write_text(json.dumps(site))
        environment = os.environ | {"PYTHONPATH": f"{BUILT}:{REPOSITORY}/target/deps"}
        command = [sys.executable, "-m", self.site_module, str(path)]
        self._processes.append(subprocess.Popen(command, env=environment))
        _wait_until(lambda: _accepts(self.store), "the platform's stand-in")
        for host in self.gateway_hosts:
            self.start_gateway(host)
        for host in self.gateway_hosts:
            _wait_until(lambda host=host: is_ready(host), f"gateway {host}")

    def start_gateway(self, host: str) -> None:
        """Start one gateway with the command of the deploy file."""
        path = self.folder / f"{host}.toml"
        path.write_text(self._settings(host))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["BANYANSHELF_CONFIG"] = str(path)
        with (self.folder / f"{host}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self.gateways[host] = process
        self._processes.append(process)

    def memory_mb_by_host(self) -> dict[str, float]:
        """Return the memory that the gateways have in use, in MB of a million bytes."""
        return {
            host: round(_resident_bytes(process) / 1e6, 1)
            for host, process in self.gateways.items()
        }

    def newest_version(self) -> str:
        """Return the last version that the log of the first gateway names."""
        log = (self.folder / f"{self.gateway_hosts[0]}.log").read_text()
        versions = re.findall(r"configuration (\d+) took effect", log)
        return versions[-1] if versions else ""

    def log_lines(self, host: str, text: str) -> list[str]:
        """Return the lines of a gateway's log that contain a text."""
        lines = (self.folder / f"{host}.log").read_text().splitlines()
        return [line for line in lines if text in line]

    def journal(self) -> list[dict[str, object]]:
        """Return what the upstreams have written down so far."""
        if not self.journal_path.exists():
            return []
        return [json.loads(line) for line in self.journal_path.read_text().splitlines()]

    def close(self) -> None:
        """End every process that was started."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()

    def _entries(self) -> dict[str, object]:
        return {
            f"servers/{instance}": {
                "address": address,
                "information": {
                    "service": "desk",
                    "version": "v1",
                    "zone": "zone-a",
                    "slots": 3,
                },
                "status": {"state": "ready", "sequence": 1, "warmupLeftMs": 0},
                "born": 1_700_000_000_000,
            }
            for instance, address in self.upstreams.items()
        }

    def _settings(self, host: str) -> str:
        seeds = ", ".join(f'"{each}:{CONTROL_PORT}"' for each in self.gateway_hosts[:3])
        return f"""
[localNode]
node = "edge-{host}"
role = "gateway"
machineClass = "edge"
serves = ["edge", "control_plane"]
ipAddress = "{host}"
zone = "zone-a"
region = "region-a"
countTowardLosses = false
bootstrap = true
[localNode.limits]
cpuShare = {self._machine.cpu_share}
cores = 1
memoryMb = {self._machine.memory_mb}
fileDescriptors = {self._machine.descriptors}
linkMbps = {self._machine.link_mbit_per_s}
diskMb = 0
[network]
internalPorts = [{INTERNAL_PORTS[0]}, {INTERNAL_PORTS[1]}]
seeds = [{seeds}]
[network.listen]
front = "{host}:{FRONT_PORT}"
ready = "{host}:{READY_PORT}"
control = "{host}:{CONTROL_PORT}"
[network.zones]
zone-a = "region-a"
[platform]
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
[platform.platform]
address = "{self._links.get(host, self.store)}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinimumMs = 1000
[terms]
contracts = [
    "base", "drain", "config", "cost", "retry", "recover", "health", "platform"
]
[terms.tolerate]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = {GRACE_S:g}
lossSlackMs = 200
configurationMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
recoveryS = 15
probesPerS = 60
"""


@contextlib.contextmanager
def running_deployment(
    gateways: int = 1,
    upstreams: int = 3,
    machine: Machine = USUAL_MACHINE,
    changes: Changes = NO_CHANGES,
    tenant: Tenant | None = None,
    kind: type[Deployment] = Deployment,
) -> Generator[Deployment, None, None]:
    """Start a deployment in a temporary folder, and end and remove it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = kind(Path(folder), gateways, upstreams, machine, changes, tenant)
        try:
            deployment.start()
            yield deployment
        finally:
            deployment.close()


def is_ready(host: str) -> bool:
    """Ask a gateway's readiness address as the platform does."""
    try:
        with socket.create_connection((host, READY_PORT), 1.0) as connection:
            connection.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            return connection.recv(64).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


def _resident_bytes(process: subprocess.Popen[bytes]) -> int:
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def _route(prefix: str, kind: str) -> list[object]:
    return [HOST, prefix, kind, 10_000, 1_000, 2, "desk"]


def _shop_routes(first: int, count: int) -> list[list[object]]:
    return [
        [
            f"shop-{number % 97}.example",
            f"/section-{number}/",
            "safe",
            2_000,
            500,
            2,
            "desk",
        ]
        for number in range(first, first + count)
    ]


def _configuration(further_routes: int, tenant: Tenant | None) -> dict[str, object]:
    rows = [
        _route("/statements/", "safe"),
        _route("/orders/", "unsafe"),
    ]
    rows += _shop_routes(0, further_routes)
    service_columns = ["name", "healthPath", "maximumConnections"]
    tenants = {}
    if tenant is not None:
        row = [tenant.name, [tenant.key], tenant.requests_per_s, tenant.burst]
        columns = ["name", "apiKeys", "requestsPerS", "burst"]
        tenants = {"tenants": {"columns": columns, "rows": [row]}}
    return {
        "version": 1,
        **tenants,
        "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
        "services": {"columns": service_columns, "rows": [["desk", "/health", 220]]},
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 1048576,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 75000,
        },
    }


def _free_network() -> str:
    """Return a loopback network of which the first address can be bound."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (f"{network}.1", f"{network}.10"):
                with socket.socket() as probe:
                    probe.bind((host, METRICS_PORT))
        except OSError:
            continue
        return network
    raise RuntimeError("no free loopback network")


def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 1.0).close()
    except OSError:
        return False
    return True


def _wait_until(condition, name: str) -> None:  # type: ignore[no-untyped-def]
    ends_at = time.monotonic() + START_LIMIT_S
    while not condition():
        if time.monotonic() > ends_at:
            raise RuntimeError(f"{name} did not start")
        time.sleep(0.05)
