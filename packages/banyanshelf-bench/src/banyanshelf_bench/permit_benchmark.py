"""Measures the CPU time of acquiring and releasing a permit.

Run it with ``python -m banyanshelf_bench.permit_benchmark``. The idle-permit path takes
a permit that the gateway already holds. The coordinator path sends each call through
the coordinator and back; its time is that of both sides without the network. Both go
through the whole task, without sockets and without the cost of the reactor.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any, NamedTuple

import fire
from twisted.internet.defer import Deferred, succeed

from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.messages import PeerMessage
from banyanshelf_core.model import Member, MemberId, Upstream, UpstreamId
from banyanshelf_core.text import parse_text
from banyanshelf_daemon.coordination import Coordination
from banyanshelf_daemon.interfaces import ActiveText, Permit, PermitRequest

SEED = 7
SERVICE_TIME_US = 20_000
SLOTS = 3


class Size(NamedTuple):
    """Numbers of gateways and upstreams of one service."""

    gateways: int
    upstreams: int


SIZES = (Size(14, 13), Size(50, 100), Size(100, 400))


class TurnClock:
    """A reactor that runs what is due in this turn and drops what is due later."""

    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[Callable[[], Any]] = []

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self.now

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[[], Any]
    ) -> SimpleNamespace:
        """Keep a function for the next turn if it is due by then."""
        if delay == 0:
            self.due.append(function)
        return SimpleNamespace(cancel=lambda: None, active=lambda: False)

    def turn(self) -> None:
        """Run what is due."""
        due, self.due = self.due, []
        for function in due:
            function()


class LocalNetwork:
    """Delivers messages between the tasks of one process at once, in order."""

    def __init__(
        self, member_id: MemberId, peers: dict[MemberId, LocalNetwork]
    ) -> None:
        self.member_id = member_id
        self.peers = peers
        self.handlers: dict[type[Any], Callable[[MemberId, Any], None]] = {}
        self.queue: list[tuple[LocalNetwork, PeerMessage]] = []

    def send(self, member_id: MemberId, message: PeerMessage) -> bool:
        """Keep a message until the next :meth:`deliver`."""
        self.queue.append((self.peers[member_id], message))
        return True

    def broadcast(self, message: PeerMessage) -> None:
        """Keep a message to all others until the next :meth:`deliver`."""
        for member_id in self.peers:
            if member_id != self.member_id:
                self.send(member_id, message)

    def subscribe(
        self, message_class: type[Any], handler: Callable[[MemberId, Any], None]
    ) -> None:
        """Register a handler."""
        self.handlers[message_class] = handler

    def on_link_change(self, handler: Callable[[MemberId, bool], None]) -> None:
        """Ignore the handler; links stay up."""

    def deliver(self) -> int:
        """Deliver what was kept; returns the number of messages."""
        queue, self.queue = self.queue, []
        for peer, message in queue:
            peer.handlers[type(message)](self.member_id, message)
        return len(queue)


class Fleet:
    """The coordination tasks of a fleet in one process."""

    def __init__(self, size: Size) -> None:
        self.clock = TurnClock()
        text = ActiveText(1, "", parse_text("[services.desk]\n"))
        self.members = {
            f"gateway-{number}": Member(
                f"gateway-{number}", "", f"zone-{number % 3}", 1
            )
            for number in range(size.gateways)
        }
        upstreams = {
            f"desk-{number}": Upstream(
                f"desk-{number}", "desk", "", f"zone-{number % 3}", SLOTS
            )
            for number in range(size.upstreams)
        }
        self.networks: dict[MemberId, LocalNetwork] = {}
        self.tasks = {
            member.id: self._task(member, text, upstreams)
            for member in self.members.values()
        }
        for task in self.tasks.values():
            task.start()
        self.settle(list(self.tasks))

    def _task(
        self,
        member: Member,
        text: ActiveText,
        upstreams: Mapping[UpstreamId, Upstream],
    ) -> Coordination:
        network = LocalNetwork(member.id, self.networks)
        self.networks[member.id] = network
        settings: Any = SimpleNamespace(member_id=member.id, zone=member.zone)
        configuration: Any = SimpleNamespace(
            active=lambda: text, on_change=lambda handler: None
        )
        members: Any = SimpleNamespace(
            members_by_id=lambda: self.members, on_members_change=lambda handler: None
        )
        directory: Any = SimpleNamespace(
            upstreams_by_id=lambda name: upstreams,
            on_upstreams_change=lambda handler: None,
        )

        def send_probe(
            upstream: Upstream, *, is_repeated: bool = True
        ) -> Deferred[bool]:
            return succeed(True)

        return Coordination(
            self.clock,
            settings,
            configuration,
            members,
            directory,
            network,
            random.Random(SEED),
            send_probe,
        )

    def settle(self, member_ids: list[MemberId]) -> None:
        """Deliver messages of some members until nothing is left to do."""
        while True:
            self.clock.turn()
            if not sum(self.networks[each].deliver() for each in member_ids):
                return

    def coordinator_id(self) -> MemberId:
        """Return the member that coordinates the service."""
        return next(
            member_id
            for member_id, task in self.tasks.items()
            if "desk" in task.coordinators_by_service
        )

    def gateway_id(self) -> MemberId:
        """Return a member that does not coordinate the service."""
        return next(each for each in self.tasks if each != self.coordinator_id())

    def run_call(self, member_id: MemberId, number: int, peers: list[MemberId]) -> None:
        """Acquire a permit and release it; ``peers`` are those that take part."""
        task = self.tasks[member_id]
        deadline = self.clock.seconds() + 2.0
        request = PermitRequest(f"request-{number}", "", 0, deadline, True)
        permits: list[Permit] = []
        task.acquire("desk", request).addCallback(permits.append)
        if not permits:
            self.settle(peers)
        sample = AnswerSample(permits[0].upstream.id, SERVICE_TIME_US, "answered")
        task.release(permits[0], sample)


def measure_idle(size: Size, calls: int) -> float:
    """Return the microseconds of a call that finds an idle permit."""
    fleet = Fleet(size)
    member_id = fleet.gateway_id()
    peers = [member_id, fleet.coordinator_id()]
    fleet.run_call(member_id, 0, peers)
    fleet.settle(peers)
    started = time.process_time()
    for number in range(calls):
        fleet.run_call(member_id, number, peers)
    return (time.process_time() - started) / calls * 1e6


def measure_coordinator(size: Size, calls: int) -> float:
    """Return the microseconds of a call that asks the coordinator."""
    fleet = Fleet(size)
    member_id = fleet.gateway_id()
    peers = [member_id, fleet.coordinator_id()]
    holder = fleet.tasks[member_id].holders_by_service["desk"]
    started = time.process_time()
    for number in range(calls):
        holder.return_idle_permits()
        fleet.run_call(member_id, number, peers)
        fleet.settle(peers)
    return (time.process_time() - started) / calls * 1e6


def measure_ticks(size: Size, ticks: int) -> tuple[float, float]:
    """Return the microseconds of a tick of the holder and of the coordinator."""
    fleet = Fleet(size)
    holder = fleet.tasks[fleet.gateway_id()].holders_by_service["desk"]
    task = fleet.tasks[fleet.coordinator_id()]
    coordinator = task.coordinators_by_service["desk"]
    times = []
    for tick in (holder.tick, coordinator.tick):
        started = time.process_time()
        for number in range(ticks):
            tick(number * 0.025)
        times.append((time.process_time() - started) / ticks * 1e6)
    return times[0], times[1]


def main(calls: int = 20_000) -> None:
    """Print microseconds per acquire and release, and per tick, at three sizes."""
    print("microseconds per acquire and release, and per tick (40 a second)")
    print("gateways upstreams idle_permit coordinator holder_tick coordinator_tick")
    for size in SIZES:
        idle = measure_idle(size, calls)
        coordinator = measure_coordinator(size, calls // 4)
        holder_tick, coordinator_tick = measure_ticks(size, calls // 100)
        print(
            f"{size.gateways:8} {size.upstreams:9} {idle:11.1f} {coordinator:11.1f} "
            f"{holder_tick:11.1f} {coordinator_tick:16.1f}"
        )


if __name__ == "__main__":
    fire.Fire(main)
