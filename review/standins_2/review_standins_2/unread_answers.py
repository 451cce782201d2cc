"""Case: answers that clients do not read use up the memory of a gateway."""

from __future__ import annotations

import time

from review_standins_2.case import Record, run_case
from review_standins_2.client import Client
from review_standins_2.deployment import Machine, running_deployment

# The smallest machines of the users' deployments.
MACHINE = Machine(memory_mb=152, descriptors=1535)
CLIENTS = 700
CLIENT_PERIOD_S = 0.01
ANSWER_BYTES = 250_000
WATCHED_S = 3.0
DEADLINE_MS = 10_000


def play(record: Record, with_trouble: bool) -> bool:
    """Let clients ask for statements and, with trouble, not read them."""
    most_mb = 0.0
    clients: list[Client] = []
    with running_deployment(1, 6, MACHINE) as deployment:
        host = deployment.gateway_hosts[0]
        record.note("memory in use", mb_by_gateway=deployment.memory_mb_by_host())
        for number in range(CLIENTS):
            client = Client(host)
            client.send(f"/statements/w5-b{ANSWER_BYTES}/", DEADLINE_MS)
            record.note("sent", attempt=client.attempt)
            clients.append(client)
            if not with_trouble:
                record.note("answer", **client.read(5.0)._asdict())
            time.sleep(CLIENT_PERIOD_S)
            if number % 50 == 49:
                used_mb = deployment.memory_mb_by_host()
                most_mb = max(most_mb, *used_mb.values())
                record.note("memory in use", mb_by_gateway=used_mb)
        ends_at = time.monotonic() + WATCHED_S
        while time.monotonic() < ends_at:
            most_mb = max(most_mb, *deployment.memory_mb_by_host().values())
            time.sleep(0.2)
        record.note("memory in use", mb_by_gateway=deployment.memory_mb_by_host())
        record.copy(deployment.journal())
        for client in clients:
            client.close()
    record.note("most memory", mb=most_mb, limit_mb=MACHINE.memory_mb)
    return most_mb <= MACHINE.memory_mb


if __name__ == "__main__":
    run_case(play)
