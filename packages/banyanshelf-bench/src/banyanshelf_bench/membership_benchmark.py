"""Cost of the membership protocol alone, without sockets.

Drives the core code and the codec of a whole group on a simulated clock and prints, per
member: bytes sent a second (with the length prefix of each message), microseconds of
CPU a second for protocol and codec, and memory of the protocol's state.

Example:
    ``python -m banyanshelf_bench.membership_benchmark --sizes=14,50,200 --seed=7``

"""

from __future__ import annotations

import heapq
import itertools
import random
import time
import tracemalloc
from typing import NamedTuple

import fire

from banyanshelf_core.membership import MembershipEffect, MembershipProtocol
from banyanshelf_core.model import Member, MemberId, Send
from banyanshelf_wire.codec import decode, encode

LATENCY_S = 0.001
TICK_S = 0.1
LENGTH_PREFIX_BYTES = 4
# Joining spreads news about every member; the steady state is measured after that.
SETTLE_S = 30.0
MEASURED_S = 30.0
DIGEST = "0123456789abcdef" * 4
ZONES = ("Port Louis", "Moka", "Curepipe", "Mahébourg")


class Cost(NamedTuple):
    """Figures per member; memory is in bytes."""

    size: int
    bytes_per_second: float
    messages_per_second: float
    cpu_us_per_second: float
    memory_bytes: float


class Group:
    """Members on one simulated clock; every message passes through the codec."""

    def __init__(self, size: int, seed: int) -> None:
        members = [
            Member(
                f"gateway-{index}",
                f"10.20.30.{index}:7300",
                ZONES[index % 4],
                1 + index,
            )
            for index in range(size)
        ]
        self.now = 0.0
        self.bytes_sent = 0
        self.messages_sent = 0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, MemberId, MemberId, bytes]] = []
        self._protocols: dict[MemberId, MembershipProtocol] = {}
        for index, member in enumerate(members):
            protocol = MembershipProtocol(member, random.Random(seed + index), 0.0)
            protocol.set_version(1, DIGEST)
            protocol.mark_member_list_complete()
            self._protocols[member.id] = protocol
            self._push(index * TICK_S / size, member.id, "", b"")
        for protocol in self._protocols.values():
            protocol.observe(members, 0.0)

    def _push(self, at: float, to: MemberId, sender: MemberId, content: bytes) -> None:
        event = (at, next(self._numbers), to, sender, content)
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Deliver all messages and ticks up to a time."""
        while self._events[0][0] <= end:
            self.now, _, to, sender, content = heapq.heappop(self._events)
            protocol = self._protocols[to]
            if sender:
                message = decode(content)
                effects = protocol.receive(sender, message, self.now)  # type: ignore[arg-type]
            else:
                effects = protocol.tick(self.now)
                self._push(self.now + TICK_S, to, "", b"")
            self._send(to, effects)

    def _send(self, sender: MemberId, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                content = encode(effect.message)
                self.bytes_sent += LENGTH_PREFIX_BYTES + len(content)
                self.messages_sent += 1
                self._push(self.now + LATENCY_S, effect.to, sender, content)

    def all_agree(self) -> bool:
        """Return whether every member counts every member as live."""
        size = len(self._protocols)
        return all(len(each.members_by_id) == size for each in self._protocols.values())


def measure(size: int, seed: int) -> Cost:
    """Return the cost of a group in steady state."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    group = Group(size, seed)
    group.run_until(SETTLE_S)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sent, messages = group.bytes_sent, group.messages_sent
    started = time.process_time()
    group.run_until(SETTLE_S + MEASURED_S)
    cpu_s = time.process_time() - started
    if not group.all_agree():
        raise RuntimeError("the group did not stay complete; the figures are void")
    scale = 1.0 / (size * MEASURED_S)
    return Cost(
        size,
        (group.bytes_sent - sent) * scale,
        (group.messages_sent - messages) * scale,
        cpu_s * 1e6 * scale,
        (after - before) / size,
    )


def report(sizes: tuple[int, ...] | int = (14, 50, 200), seed: int = 7) -> None:
    """Print one line per group size."""
    print("members  bytes/s  messages/s  CPU us/s  memory KB (all per member)")
    for size in (sizes,) if isinstance(sizes, int) else sizes:
        cost = measure(size, seed)
        print(
            f"{cost.size:7}  {cost.bytes_per_second:7.0f}"
            f"  {cost.messages_per_second:10.2f}  {cost.cpu_us_per_second:8.0f}"
            f"  {cost.memory_bytes / 1024:9.1f}",
        )


if __name__ == "__main__":
    fire.Fire(report)
