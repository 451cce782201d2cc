"""Case: gateways that start together spend a retry budget that is too large."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from review_standins_2.case import Record, run_case
from review_standins_2.client import Client
from review_standins_2.deployment import Deployment, is_ready, running_deployment

ZONES = ("zone-a", "zone-b", "zone-c")
GATEWAYS, UPSTREAMS = 14, 13
DOWN_S = 1.2
# The first gateways are the seeds of all settings files. The machines start within
# 0.3 s of each other, in any order; here the seeds come last.
SEEDS, SEEDS_LATER_S = 3, 0.3
# After the start, so that all gateways have been in touch for long
CALM_S = 8.0
REQUESTS_PER_S, CLIENTS = 100, 60
STEADY_S, SHED_S = 2.0, 8.5
DEADLINE_MS = 1000
STEADY_PATH = "/statements/w30-b400/"
SHED_PATH = "/statements/shed/w30-b400/"
# ``budgetWindowS``, ``retryBudgetRatio`` and ``budgetSlack``
WINDOW_S, RATIO, SLACK = 10.0, 0.2, 58


class ZonedDeployment(Deployment):
    """Gateways and upstreams in three zones; the gateways can be started again."""

    is_first_start = True

    def zone_of(self, number: int) -> str:
        """Return the zone of a gateway or an upstream by its number."""
        return ZONES[number % len(ZONES)]

    def start_again(self) -> None:
        """Kill all gateways at once, and start all of them again."""
        self.is_first_start = False
        for gateway in self.gateways.values():
            gateway.kill()
        for gateway in self.gateways.values():
            gateway.wait()
        time.sleep(DOWN_S)
        for host in self.gateway_hosts[SEEDS:]:
            self.start_gateway(host)
        time.sleep(SEEDS_LATER_S)
        for host in self.gateway_hosts[:SEEDS]:
            self.start_gateway(host)
        ends_at = time.monotonic() + 20.0
        while not all(is_ready(host) for host in self.gateway_hosts):
            if time.monotonic() > ends_at:
                raise RuntimeError("the gateways did not start again")
            time.sleep(0.05)

    def _entries(self) -> dict[str, object]:
        entries: dict[str, Any] = super()._entries()
        for number, entry in enumerate(entries.values()):
            entry["information"]["zone"] = self.zone_of(number)
        return entries

    def _settings(self, host: str) -> str:
        zone = self.zone_of(self.gateway_hosts.index(host))
        zones = "".join(f'{each} = "region-a"\n' for each in ZONES)
        settings = super()._settings(host)
        settings = settings.replace('\nzone = "zone-a"\n', f'\nzone = "{zone}"\n')
        settings = settings.replace('zone-a = "region-a"\n', zones)
        if not self.is_first_start:
            settings = settings.replace("bootstrap = true", "bootstrap = false")
        return settings


class Load:
    """Sends requests at a steady rate to the gateways in turn."""

    def __init__(self, record: Record, hosts: list[str]) -> None:
        self._record = record
        self._hosts = hosts
        self._lock = threading.Lock()
        self.sent_at: list[float] = []

    def run(self) -> None:
        """Send the requests; those of the middle are shed by many upstreams."""
        begun = time.monotonic()
        count = int(REQUESTS_PER_S * (2 * STEADY_S + SHED_S))
        with ThreadPoolExecutor(CLIENTS) as pool:
            for number in range(count):
                at_s = number / REQUESTS_PER_S
                time.sleep(max(0.0, begun + at_s - time.monotonic()))
                is_shed = STEADY_S <= at_s < STEADY_S + SHED_S
                pool.submit(self._send, number, is_shed)

    def _send(self, number: int, is_shed: bool) -> None:
        host = self._hosts[number % len(self._hosts)]
        client = Client(host)
        # Each path is new, as the requests have nothing to do with each other.
        path = f"{SHED_PATH if is_shed else STEADY_PATH}{number}/"
        client.send(path, DEADLINE_MS)
        with self._lock:
            self.sent_at.append(client.sent_at)
        answer = client.read(DEADLINE_MS / 1000 + 0.5)
        client.close()
        self._record.note("answer", gateway=host, path=path, **answer._asdict())


def play(record: Record, with_trouble: bool) -> bool:
    """Let upstreams shed requests, with trouble after a kill of all gateways."""
    with running_deployment(GATEWAYS, UPSTREAMS, kind=ZonedDeployment) as deployment:
        assert isinstance(deployment, ZonedDeployment)
        if with_trouble:
            deployment.start_again()
            record.note("all gateways were killed and are ready again")
        time.sleep(CALM_S)
        load = Load(record, deployment.gateway_hosts)
        load.run()
        journal = deployment.journal()
        record.copy(journal)
    arrivals = [x for x in journal if x["event"] in ("runs", "sheds", "is full")]
    return _is_kept(record, sorted(load.sent_at), arrivals)


def _is_kept(
    record: Record, sent_at: list[float], arrivals: list[dict[str, Any]]
) -> bool:
    """Compare the arrivals beyond the first of each request with what is allowed."""
    known: set[str] = set()
    repeats_at = []
    for arrival in sorted(arrivals, key=lambda each: float(each["at"])):
        if arrival["attempt"] in known:
            repeats_at.append(float(arrival["at"]))
        known.add(str(arrival["attempt"]))

    def requests_from(begin: float) -> int:
        return sum(begin <= at < begin + WINDOW_S for at in sent_at)

    worst: dict[str, float] = {}
    for begin in repeats_at:
        repeats = sum(begin <= at < begin + WINDOW_S for at in repeats_at)
        requests = max(
            requests_from(begin - before_s) for before_s in (0, WINDOW_S / 2, WINDOW_S)
        )
        allowed = RATIO * requests + SLACK
        if not worst or repeats - allowed > worst["repeats"] - worst["allowed"]:
            worst = {"repeats": repeats, "requests": requests, "allowed": allowed}
    record.note("worst window of 10 s", **worst)
    return not worst or worst["repeats"] <= worst["allowed"]


if __name__ == "__main__":
    run_case(play)
