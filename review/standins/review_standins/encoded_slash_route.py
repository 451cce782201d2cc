"""Case: a route is split off, and requests for the old route go to the new one.

The paths contain an encoded slash or a doubled one. As sent, they begin with the prefix
of the old route only.
"""

from __future__ import annotations

import asyncio

from review_standins.case import has_trouble, run_case
from review_standins.client import HOST, Client, new_attempt
from review_standins.deployment import CONFIGURATION_S, Deployment
from review_standins.upstream import total_runs

REQUESTS = 20
DEADLINE_MS = 2000
OLD_ROUTE = [HOST, "/orders/", "commissions", "unsafe", 2, 3000, 1000, 1]
SPLIT_OFF_ROUTE = [HOST, "/orders/proofs/", "scriptorium", "unsafe", 2, 3000, 1000, 1]
# As sent, these begin with "/orders/" and not with "/orders/proofs/".
PATHS = ["/orders/proofs%2F{}", "/orders//proofs/{}"]


async def play(deployment: Deployment) -> bool:
    """Send orders whose route leads to one service in every configuration."""
    commissions = deployment.add_upstreams("commissions", 2)
    scriptorium = deployment.add_upstreams("scriptorium", 2)
    proof_route = [HOST, "/proofs/", "scriptorium", "unsafe", 2, 3000, 1000, 1]
    deployment.configure([OLD_ROUTE, proof_route])
    await deployment.start(2)
    if has_trouble():
        deployment.configure([OLD_ROUTE, SPLIT_OFF_ROUTE, proof_route])
    await asyncio.sleep(CONFIGURATION_S + 0.5)
    misrouted = 0
    for number in range(REQUESTS):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        attempt = new_attempt()
        path = PATHS[number // 2 % len(PATHS)].format(number)
        client = await Client.connect(gateway)
        client.send("POST", path, attempt, DEADLINE_MS, b"order")
        answer = await client.receive(DEADLINE_MS / 1000)
        client.close()
        expected = total_runs(commissions)[attempt]
        foreign = total_runs(scriptorium)[attempt]
        misrouted += foreign
        deployment.record.write(
            f"client sent {attempt} for {path} to {gateway.name}, got {answer.status}; "
            f"runs at commissions: {expected}, at scriptorium: {foreign}"
        )
    deployment.record.write(
        f"{misrouted} of {REQUESTS} orders for commissions were run by scriptorium"
    )
    return misrouted == 0


if __name__ == "__main__":
    run_case(play)
