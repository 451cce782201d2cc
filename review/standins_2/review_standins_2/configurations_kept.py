"""Case: gateways keep every version of the configuration until their memory is gone."""

from __future__ import annotations

import signal
import time

from review_standins_2.case import Record, run_case
from review_standins_2.client import Client
from review_standins_2.deployment import (
    Changes,
    Deployment,
    Machine,
    running_deployment,
)

# The value of the configuration stays below ``valueBytes`` of the settings.
ROUTES = 13_600
VERSIONS = 900
# The quick storms of the users' site files: the pause between two versions, and 2 s.
GAP_S = 0.08
STORM_VERSIONS, REST_S = 25, 0.7
WATCHED_S = 104.0
PERIOD_S = 0.1
REQUEST_PERIOD_S = 4.0
RESTART_DELAY_S = 0.5
# The rule: three ends on a tenth of the machines, two at least
ENDS, MACHINES = 3, 2


class Platform:
    """Kills a process that exceeds its memory, and starts it again after a delay."""

    def __init__(self, deployment: Deployment, record: Record, limit_mb: float) -> None:
        self._deployment = deployment
        self._record = record
        self._limit_mb = limit_mb
        self._starts_at: dict[str, float] = {}
        self.ends = dict.fromkeys(deployment.gateway_hosts, 0)
        self.most_mb = 0.0

    def check(self) -> None:
        """Look at each process once."""
        used_mb = self._deployment.memory_mb_by_host()
        for host in self._deployment.gateway_hosts:
            if host in self._starts_at:
                if time.monotonic() >= self._starts_at[host]:
                    del self._starts_at[host]
                    self._deployment.start_gateway(host)
                    self._record.note("started again", gateway=host)
                continue
            self.most_mb = max(self.most_mb, used_mb[host])
            if used_mb[host] > self._limit_mb:
                self._end(host, used_mb[host])

    def _end(self, host: str, used_mb: float) -> None:
        gateway = self._deployment.gateways.pop(host)
        gateway.send_signal(signal.SIGKILL)
        gateway.wait()
        self.ends[host] += 1
        version = self._deployment.newest_version()
        self._record.note("killed", gateway=host, mb=used_mb, version=version)
        self._starts_at[host] = time.monotonic() + RESTART_DELAY_S

    @property
    def has_rule_broken(self) -> bool:
        """Whether enough processes have ended often enough."""
        return sum(ends >= ENDS for ends in self.ends.values()) >= MACHINES


def ask_all(deployment: Deployment, record: Record) -> None:
    """Send one request to each gateway."""
    for host in deployment.gateway_hosts:
        try:
            client = Client(host)
        except OSError as error:
            record.note("no connection", gateway=host, error=str(error))
            continue
        client.send("/statements/w10-b100/", 1000)
        answer = client.read(1.0)
        client.close()
        record.note("answer", gateway=host, **answer._asdict())


def play(record: Record, with_trouble: bool) -> bool:
    """Write versions in quick succession and end processes without memory."""
    machine = Machine()
    changes = Changes(VERSIONS if with_trouble else 0, GAP_S, 3.0, ROUTES)
    changes = changes._replace(storm=STORM_VERSIONS, rest_s=REST_S)
    with running_deployment(MACHINES, 3, machine, changes) as deployment:
        platform = Platform(deployment, record, machine.memory_mb)
        ends_at = time.monotonic() + WATCHED_S
        asks_at = 0.0
        while time.monotonic() < ends_at and not platform.has_rule_broken:
            platform.check()
            if time.monotonic() >= asks_at:
                asks_at = time.monotonic() + REQUEST_PERIOD_S
                ask_all(deployment, record)
                used_mb = deployment.memory_mb_by_host()
                record.note("memory in use", mb_by_gateway=used_mb)
            time.sleep(PERIOD_S)
        record.copy(deployment.journal())
    record.note("ends", by_gateway=platform.ends, most_mb=platform.most_mb)
    return not platform.has_rule_broken


if __name__ == "__main__":
    run_case(play)
