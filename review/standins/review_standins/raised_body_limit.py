"""Case: connections that are kept over a change of the limits keep the old ones."""

from __future__ import annotations

import asyncio

from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import CONFIGURATION_S, STABLE_WINDOW_S, Deployment

CLIENTS = 10
DEADLINE_MS = 2000
OLD_BODY_LIMIT = 4096
NEW_BODY_LIMIT = 65536
BODY = b"o" * 20_000
ROUTES = [[HOST, "/orders/", "commissions", "unsafe", 2, 3000, 1000, 1]]
# The rule allows five and one in 500 of all requests.
ALLOWED_REFUSALS = 5
ALLOWED_SHARE = 1 / 500


async def send_order(
    deployment: Deployment, client: Client, body: bytes, name: str
) -> int:
    """Send an order on a kept connection and return the status of its answer."""
    attempt = new_attempt()
    client.send("POST", f"/orders/{name}", attempt, DEADLINE_MS, body)
    answer = await client.receive(DEADLINE_MS / 1000)
    deployment.record.write(
        f"{attempt} with {len(body)} bytes to {client.gateway.name} got {answer.status}"
    )
    return answer.status


async def play(deployment: Deployment) -> bool:
    """Raise the limit and send longer orders on the connections that are open."""
    deployment.add_upstreams("commissions", 4)
    has_change = has_trouble()
    first_limit = OLD_BODY_LIMIT if has_change else NEW_BODY_LIMIT
    deployment.configure(ROUTES, {"bodyBytes": first_limit})
    await deployment.start(2)
    clients = [
        await Client.connect(deployment.gateways[number % 2])
        for number in range(CLIENTS)
    ]
    for number, client in enumerate(clients):
        await send_order(deployment, client, b"short order", f"short-{number}")
    if has_change:
        deployment.configure(ROUTES, {"bodyBytes": NEW_BODY_LIMIT})
    await asyncio.sleep(CONFIGURATION_S + STABLE_WINDOW_S)
    statuses = [
        await send_order(deployment, client, BODY, f"long-{number}")
        for number, client in enumerate(clients)
    ]
    refused = statuses.count(413)
    allowed = ALLOWED_REFUSALS + ALLOWED_SHARE * 2 * CLIENTS
    deployment.record.write(
        f"{refused} of {CLIENTS} proper orders were refused with 413"
    )
    return refused <= allowed


if __name__ == "__main__":
    run_case(play)
