"""A small deployment on loopback: real gateways, a store and upstreams.

The gateways are separate processes. The store, the upstreams and the clients run in the
process of the case.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from pathlib import Path
from typing import Any

from banyanshelf_standins.platform_site import MetadataStore
from review_standins.gateway import Gateway, settings_text
from review_standins.record import Record
from review_standins.upstream import ZONE, Upstream

READY_LIMIT_S = 30.0
# Rules with a time bound hold for machines without disruption for this long.
STABLE_WINDOW_S = 3.0
CONFIGURATION_S = 2.0
ROUTE_COLUMNS = [
    "host",
    "prefix",
    "service",
    "kind",
    "attempts",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
]
SERVICE_COLUMNS = ["name", "healthPath", "maximumConnections"]
DEFAULT_LIMITS = {
    "headerBytes": 16384,
    "bodyBytes": 65536,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 30000,
}


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """The store, the upstreams and the gateways of one case."""

    def __init__(self, repository: Path, folder: Path, record: Record) -> None:
        self._repository = repository
        self._folder = folder
        self.record = record
        rng = random.Random()
        self._network = f"127.{rng.randint(64, 250)}.{rng.randint(1, 250)}"
        self._store_address = f"{self._network}.250:{free_port()}"
        self.store = MetadataStore(self._store_address)
        self.upstreams: list[Upstream] = []
        self.gateways: list[Gateway] = []
        self.version = 0

    def add_upstreams(self, service: str, count: int) -> list[Upstream]:
        """Start upstreams of a service and write their entries."""
        added = []
        for _ in range(count):
            number = len(self.upstreams) + 1
            upstream = Upstream(
                f"i-{number:08x}",
                f"{self._network}.{100 + number}:{free_port()}",
                service,
                self.record,
            )
            upstream.server.open()
            self.store.write(f"servers/{upstream.instance_id}", upstream.entry())
            self.upstreams.append(upstream)
            added.append(upstream)
        return added

    def configure(
        self, routes: list[list[Any]], limits: dict[str, int] | None = None
    ) -> None:
        """Write the next version of the configuration, which acknowledges it."""
        self.version += 7
        services = sorted({route[2] for route in routes})
        self.store.write(
            "op/config",
            {
                "version": self.version,
                "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
                "services": {
                    "columns": SERVICE_COLUMNS,
                    "rows": [[each, "/health", 220] for each in services],
                },
                "limits": DEFAULT_LIMITS | (limits or {}),
            },
        )
        self.record.write(f"configuration {self.version} is acknowledged")

    async def start(self, gateway_count: int) -> None:
        """Start the store and the gateways, and wait until they are in touch."""
        self.store.server.open()
        ports = {
            name: free_port() for name in ("front", "ready", "control", "internal")
        }
        hosts = [f"{self._network}.{number + 1}" for number in range(gateway_count)]
        for number, host in enumerate(hosts, 1):
            settings = self._folder / f"gateway-{number}.toml"
            gateway = Gateway(f"edge-{ZONE}-{number}", host, ports, settings)
            settings.write_text(settings_text(gateway, hosts[:3], self._store_address))
            with (self._folder / f"gateway-{number}.log").open("wb") as log:
                gateway.start(self._repository, log)
            self.gateways.append(gateway)
        await self._wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    def end(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.end()

    async def _wait_until_ready(self) -> None:
        limit = time.monotonic() + READY_LIMIT_S
        for gateway in self.gateways:
            while not await self._is_ready(gateway):
                if time.monotonic() > limit:
                    raise CaseError(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.1)
            self.record.write(f"{gateway.name} is ready")

    async def _is_ready(self, gateway: Gateway) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                gateway.host, gateway.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return line.startswith(b"HTTP/1.1 200")


def free_port() -> int:
    """Return a port that is free at any loopback address."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        port: int = probe.getsockname()[1]
    return port
