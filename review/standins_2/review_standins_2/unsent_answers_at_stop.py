"""Case: a planned stop cuts answers that their clients are still reading."""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from review_standins_2.case import Record, run_case
from review_standins_2.client import Client, Speed
from review_standins_2.deployment import GRACE_S, running_deployment

CLIENTS = 5
ANSWER_BYTES = 250_000
# A phone with bad reception for 3.3 s. The gateway has 6 s after SIGTERM, and the
# client waits for 10 s.
SPEED = Speed(20_000, 3.3, 150_000)
DEADLINE_MS = 10_000
STOP_AFTER_S = 0.5
# More than ``stableWindowMs`` since the start of the gateways
CALM_S = 3.5


def play(record: Record, with_trouble: bool) -> bool:
    """Stop a gateway while clients of slow networks read their answers."""
    with running_deployment(2) as deployment, ThreadPoolExecutor(CLIENTS) as pool:
        host = deployment.gateway_hosts[0]
        time.sleep(CALM_S)
        clients = [Client(host, SPEED) for _ in range(CLIENTS)]
        for client in clients:
            client.send(f"/statements/w20-b{ANSWER_BYTES}/", DEADLINE_MS)
            record.note("sent", attempt=client.attempt, gateway=host)
        reading = [pool.submit(client.read, DEADLINE_MS / 1000) for client in clients]
        time.sleep(STOP_AFTER_S)
        if with_trouble:
            gateway = deployment.gateways[host]
            gateway.send_signal(signal.SIGTERM)
            record.note("SIGTERM", gateway=host)
            code = gateway.wait(GRACE_S)
            record.note("gateway ended", gateway=host, code=code)
        answers = [each.result() for each in reading]
        for client, answer in zip(clients, answers, strict=True):
            record.note("answer", is_whole=answer.is_whole, **answer._asdict())
            client.close()
        record.copy(deployment.journal())
    return all(answer.is_whole for answer in answers)


if __name__ == "__main__":
    run_case(play)
