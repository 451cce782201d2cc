"""Case: an evacuation is missed for good when a relay of the store starts again."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
import urllib.request
from typing import Any, NamedTuple

from review_standins_2.case import Record, run_case
from review_standins_2.deployment import (
    FRONT_PORT,
    HOST,
    Changes,
    Deployment,
    Machine,
    running_deployment,
)

# The usual machine of the deployment's site file.
MACHINE = Machine(memory_mb=200, descriptors=4100, link_mbit_per_s=10.0, cpu_share=0.43)
# The value of the configuration fills a page of the store.
ROUTES = 12_200
GATEWAYS, UPSTREAMS = 4, 6
ZONES = ("zone-b", "zone-c")
EVACUATION_KEY = f"op/evacuate/{ZONES[0]}"
# ``evacuationMs`` of the deployment
EVACUATION_S = 5.0
EVACUATED_AFTER_S, CHANGED_AFTER_S = 0.7, 1.0
# How long the power is away in the site file, and what a start may take.
AWAY_S, START_S = 3.5, 4.0
WATCHED_S = 8.0
BACK_S = 3.0
PERIOD_S = 0.1
DEADLINE_MS = 1500
ANSWER_LIMIT_S = 2.0


class Span(NamedTuple):
    """The time of an evacuation, and the gateway that lost power before it."""

    begun_at: float
    ended_at: float
    restarted: str


class TwoZones(Deployment):
    """A deployment whose upstreams are in two zones."""

    site_module = "review_standins_2.paged_site"

    def entry(self, number: int, version: str) -> dict[str, Any]:
        """Return the entry of an upstream."""
        entry = super()._entries()[f"servers/i-{number}"]
        assert isinstance(entry, dict)
        zone = ZONES[number % len(ZONES)]
        information = entry["information"] | {"zone": zone, "version": version}
        return entry | {"information": information}

    def _entries(self) -> dict[str, object]:
        return {
            f"servers/i-{number}": self.entry(number, "v1")
            for number in range(UPSTREAMS)
        }

    def _settings(self, host: str) -> str:
        zones = "".join(f'{zone} = "region-a"\n' for zone in ZONES)
        settings = super()._settings(host)
        settings = settings.replace("[network.zones]\n", f"[network.zones]\n{zones}")
        return settings.replace("drainMs = 2000", "drainMs = 2000\nevacuationMs = 5000")

    def order(self, path: str, what: object) -> Any:
        """Give the store's stand-in an order of the case, and return its answer."""
        body = json.dumps(what).encode()
        url = f"http://{self.store}/case/{path}"
        with urllib.request.urlopen(url, body, timeout=5.0) as answer:
            return json.load(answer)


class Load:
    """Clients that send a request to each gateway in turn."""

    def __init__(self, record: Record, hosts: list[str]) -> None:
        self._record = record
        self._hosts = hosts
        self.sent: dict[str, tuple[float, str]] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        requests = set()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                for host in self._hosts:
                    attempt = f"{len(self.sent):016x}"
                    self.sent[attempt] = (time.monotonic(), host)
                    requests.add(asyncio.create_task(self._request(host, attempt)))
                await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*requests)

    async def _request(self, host: str, attempt: str) -> None:
        status = 0
        with contextlib.suppress(OSError, ValueError, IndexError, TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                reader, writer = await asyncio.open_connection(host, FRONT_PORT)
                writer.write(
                    f"GET /statements/w5-b10/ HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Banyanshelf-Attempt-Id: {attempt}\r\n"
                    f"X-Banyanshelf-Deadline-Milliseconds: {DEADLINE_MS}\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                status = int((await reader.readline()).split()[1])
                writer.close()
        self._record.note("answer", gateway=host, attempt=attempt, status=status)


async def evacuate_once(
    deployment: TwoZones, record: Record, host: str, number: int, with_trouble: bool
) -> Span | None:
    """Evacuate a zone while a gateway starts again, and take that back.

    Returns None if the gateway did not read the store, but another gateway's copy.
    """
    entry = {"key": "servers/i-1", "value": deployment.entry(1, f"v{number + 2}")}
    plan = [
        {"after_s": EVACUATED_AFTER_S, "key": EVACUATION_KEY, "value": {}},
        {"after_s": CHANGED_AFTER_S, **entry},
    ]
    known = len(deployment.order("done", {}))
    if with_trouble:
        gateway = deployment.gateways[host]
        # Until its power is back, the machine is silent; then its processes are gone.
        gateway.send_signal(signal.SIGSTOP)
        record.note("power lost", gateway=host)
        await asyncio.sleep(AWAY_S)
        gateway.send_signal(signal.SIGKILL)
        await asyncio.to_thread(gateway.wait)
        deployment.order("plan", plan)
        deployment.start_gateway(host)
        record.note("started again", gateway=host)
    else:
        for change in plan:
            deployment.order("write", change)
    await asyncio.sleep(START_S)
    deployment.order("plan", [])
    evacuated_at = [
        each["at"]
        for each in deployment.order("done", {})[known:]
        if each["key"] == EVACUATION_KEY
    ]
    if not evacuated_at:
        record.note("did not read the store", gateway=host)
        return None
    await asyncio.sleep(WATCHED_S)
    ended_at = time.monotonic()
    deployment.order("write", {"after_s": 0.0, "key": EVACUATION_KEY, "value": None})
    record.note("taken back")
    await asyncio.sleep(BACK_S)
    return Span(evacuated_at[0], ended_at, host)


async def evacuate_all(
    deployment: TwoZones, record: Record, with_trouble: bool
) -> tuple[Load, list[Span]]:
    """Restart the gateways in turn, with an evacuation at each."""
    load = Load(record, deployment.gateway_hosts)
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(4.0)
    spans = []
    for number, host in enumerate(deployment.gateway_hosts):
        spans.append(
            await evacuate_once(deployment, record, host, number, with_trouble)
        )
    spans = [each for each in spans if each is not None]
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    return load, spans


def play(record: Record, with_trouble: bool) -> bool:
    """Count the requests that reach the evacuated zone too late."""
    changes = Changes(routes=ROUTES)
    with running_deployment(
        GATEWAYS, UPSTREAMS, MACHINE, changes, kind=TwoZones
    ) as deployment:
        assert isinstance(deployment, TwoZones)
        load, spans = asyncio.run(evacuate_all(deployment, record, with_trouble))
        journal = deployment.journal()
        record.copy(journal)
        for host in deployment.gateway_hosts:
            for text in ("evacuat", "used again", "excluding", "overdue"):
                for line in deployment.log_lines(host, text):
                    record.note("log", gateway=host, line=line)
    evacuated = {f"i-{n}" for n in range(UPSTREAMS) if n % len(ZONES) == 0}
    late: dict[str, int] = {}
    for line in journal:
        if line["event"] != "runs" or line["upstream"] not in evacuated:
            continue
        _, host = load.sent[str(line["attempt"])]
        for span in spans:
            binds_from = span.begun_at + EVACUATION_S
            is_late = binds_from < float(line["at"]) < span.ended_at
            if is_late and host != span.restarted:
                key = f"{host} after the power loss of {span.restarted}"
                late[key] = late.get(key, 0) + 1
    record.note("reached the evacuated zone too late", requests=late)
    print(late)
    return not late


if __name__ == "__main__":
    run_case(play)
