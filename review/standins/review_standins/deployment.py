"""A small deployment on loopback: real gateways, a store and upstreams.

The gateways are separate processes, started with the command of the deploy file. The
store, the upstreams and the clients run in the process of the case.
"""

from __future__ import annotations

import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from banyanshelf_standins.http_server import Exchange
from banyanshelf_standins.platform_site import MetadataStore
from banyanshelf_standins.platform_upstream import ATTEMPT_ID_HEADER, PlatformUpstream
from review_standins import loop

EXIT_HELD = 0
# ``run-case.sh`` turns this into 1; Python itself exits with 1 after an error.
EXIT_BROKEN = 3
EXIT_NOT_RUN = 2
# Longest time of a case; its processes are ended then.
CASE_LIMIT_S = 110.0
READY_LIMIT_S = 30.0
# Rules with a time bound hold for machines without disruption for this long.
STABLE_WINDOW_S = 3.0
CONFIGURATION_S = 2.0
ZONE = "huye"
HOST = "orders.example"
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


class Record:
    """What was sent, answered and run, one line each, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start of the case."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Upstream(PlatformUpstream):
    """The project's stand-in of an upstream, with a record of its runs.

    ``answer_run`` sends the answer of a finished run; cases replace it.
    """

    def __init__(
        self, instance_id: str, listen: str, service: str, record: Record
    ) -> None:
        super().__init__(instance_id, listen)
        self.service = service
        self.listen = listen
        self._record = record
        self.answer_run: Callable[[Upstream, Exchange], None] = answer_ok

    def attempt_of(self, exchange: Exchange) -> str:
        """Return the id of the client's attempt."""
        return exchange.headers.get(ATTEMPT_ID_HEADER, "")

    def answer_fields(self, exchange: Exchange) -> list[tuple[str, str]]:
        """Return the fields of all answers: attempt id, instance and load."""
        return self._headers(exchange)

    def entry(self) -> dict[str, Any]:
        """Return the upstream's entry in the store."""
        return {
            "address": self.listen,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": ZONE,
                "slots": 3,
            },
            "status": {"state": "ready", "sequence": 1, "warmupLeftMs": 0},
            "born": int(time.time() * 1000),
        }

    def _run(self, exchange: Exchange) -> None:
        self._record.write(
            f"upstream {self.instance_id} of {self.service} runs "
            f"{self.attempt_of(exchange)}: {exchange.method} {exchange.target}, "
            f"body of {len(exchange.body)} bytes"
        )
        super()._run(exchange)

    def _finish(self, exchange: Exchange) -> None:
        self.running -= 1
        if not exchange.ended:
            self.answer_run(self, exchange)
        while self.waiting and self.running < 3:
            following = self.waiting.pop(0)
            if not following.ended:
                self._run(following)


def answer_ok(upstream: Upstream, exchange: Exchange) -> None:
    """Answer a run with 200, the signature and a short body."""
    fields = [*upstream.answer_fields(exchange), signature(exchange)]
    body = f"{upstream.instance_id} {upstream.attempt_of(exchange)}\n".encode()
    exchange.answer(200, body, fields)


def signature(exchange: Exchange) -> tuple[str, str]:
    """Return the signature field of an answer."""
    attempt = exchange.headers.get(ATTEMPT_ID_HEADER, "")
    return "X-Banyanshelf-Response-Signature", f"signed.{attempt}"


class Gateway:
    """One gateway process on an address of its own."""

    def __init__(
        self, name: str, host: str, ports: dict[str, int], settings: Path
    ) -> None:
        self.name = name
        self.host = host
        self.ports = ports
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, repository: Path, log: Any) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((repository / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(repository / "target/deps")
        environment["BANYANSHELF_CONFIG"] = str(self.settings)
        self.process = subprocess.Popen(
            shlex.split(role["run"]),
            cwd=repository,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """The store, the upstreams and the gateways of one case."""

    def __init__(self, repository: Path, folder: Path, record: Record) -> None:
        self._repository = repository
        self._folder = folder
        self.record = record
        rng = random.Random()
        self._network = f"127.{rng.randint(64, 250)}.{rng.randint(1, 250)}"
        self.store = MetadataStore(f"{self._network}.250:{free_port()}")
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
            settings.write_text(self._settings_text(gateway, hosts[:3]))
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

    def _settings_text(self, gateway: Gateway, seed_hosts: list[str]) -> str:
        ports = gateway.ports
        seeds = ", ".join(f'"{host}:{ports["control"]}"' for host in seed_hosts)
        store_host, _, store_port = self.store_address.rpartition(":")
        return f"""
[localNode]
node = "{gateway.name}"
role = "gateway"
machineClass = "edge"
serves = ["edge", "control_plane"]
ipAddress = "{gateway.host}"
zone = "{ZONE}"
region = "southern-prov"
countTowardLosses = false
bootstrap = true
[localNode.limits]
cpuShare = 0.86
cores = 1
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [{ports["internal"]}, {ports["internal"] + 15}]
seeds = [{seeds}]
[network.listen]
front = "{gateway.host}:{ports["front"]}"
ready = "{gateway.host}:{ports["ready"]}"
control = "{gateway.host}:{ports["control"]}"
[network.zones]
{ZONE} = "southern-prov"
[platform]
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
[platform.platform]
address = "{store_host}:{store_port}"
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
graceS = 6
lossSlackMs = 200
configurationMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoveryS = 15
probesPerS = 60
"""

    @property
    def store_address(self) -> str:
        """The address of the store."""
        server = self.store.server
        return f"{server._host}:{server._port_number}"


class Answer:
    """An answer as a client has read it; ``status`` is 0 without a head."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_complete = False


class Client:
    """One connection of a client to a gateway."""

    def __init__(
        self,
        gateway: Gateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.gateway = gateway
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, gateway: Gateway, window_bytes: int = 0) -> Client:
        """Open a connection to a gateway, with a receive window if one is given."""
        handle = socket.socket()
        handle.setblocking(False)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if window_bytes:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        address = gateway.host, gateway.ports["front"]
        await asyncio.get_running_loop().sock_connect(handle, address)
        reader, writer = await asyncio.open_connection(sock=handle, limit=1 << 20)
        return cls(gateway, reader, writer)

    def send(
        self,
        method: str,
        path: str,
        attempt: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> None:
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Banyanshelf-Attempt-Id: {attempt}",
            f"X-Banyanshelf-Deadline-Milliseconds: {deadline_ms}",
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def receive(self, limit_s: float) -> Answer:
        """Read an answer; it is incomplete if the connection or the time ends."""
        answer = Answer()
        try:
            async with asyncio.timeout(limit_s):
                await self._read(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            answer.is_complete = False
        return answer

    async def _read(self, answer: Answer) -> None:
        line = await self.reader.readuntil(b"\r\n")
        answer.status = int(line.split()[1])
        while (line := await self.reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readuntil(b"\r\n")
        else:
            missing = int(answer.fields.get("content-length", "0"))
            while missing:
                part = await self.reader.read(min(missing, 65536))
                if not part:
                    return
                answer.body += part
                missing -= len(part)
        answer.is_complete = True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def free_port() -> int:
    """Return a port that is free at any loopback address."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        port: int = probe.getsockname()[1]
    return port


def new_attempt() -> str:
    """Return the id of a new client attempt."""
    return f"{random.getrandbits(64):016x}"


def has_trouble() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def total_runs(upstreams: list[Upstream]) -> Counter[str]:
    """Return how often each attempt has run."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs_by_attempt)
    return runs


def run_case(play: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Play a case in a deployment and exit; ``play`` returns whether the rule held."""
    case_folder = Path(sys.argv[1]).resolve()
    repository = case_folder.parent.parent
    record = Record(case_folder / "record.txt")
    exit_code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(repository, Path(folder), record)

        async def main() -> bool:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await play(deployment)

        try:
            record.write(f"TROUBLE={int(has_trouble())}")
            held = loop.run_until_complete(main())
            exit_code = EXIT_HELD if held else EXIT_BROKEN
            record.write("the rule held" if held else "the rule was broken")
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            traceback.print_exc()
        finally:
            deployment.end()
            if os.environ.get("KEEP_LOGS"):
                for log in Path(folder).glob("*.log"):
                    (case_folder / log.name).write_bytes(log.read_bytes())
            record.close()
    print((case_folder / "record.txt").read_text().splitlines()[-1])
    sys.exit(exit_code)
