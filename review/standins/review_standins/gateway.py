"""A gateway process, started as the platform starts it."""

from __future__ import annotations

import os
import shlex
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from review_standins.upstream import ZONE


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


def settings_text(gateway: Gateway, seed_hosts: list[str], store: str) -> str:
    """Return the settings file of a gateway of a small deployment."""
    ports = gateway.ports
    seeds = ", ".join(f'"{host}:{ports["control"]}"' for host in seed_hosts)
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
address = "{store}"
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
