"""Repeats crash marks between gateways that know each other by datagrams.

A mark is sent once to all known gateways when a crash is noticed. The exchange reaches
those that lost the datagram, were cut off, or have started since.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from banyanshelf_core.crash_records import CrashRow
from banyanshelf_core.datagrams import CrashDigest
from banyanshelf_core.model import Member
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.crash_sharing import CrashSharing
from banyanshelf_daemon.gossip_link import GossipLink

EXCHANGE_PERIOD_S = 0.5
# A gateway without any crash asks the others for this long after a member has joined
# or it has started itself.
ASK_S = 3.0
# Every so many exchanges go to another zone; bytes between zones are dear.
REMOTE_EXCHANGE_INTERVAL = 16
# Rows that fit into one Ethernet frame, at least those of one request.
MAX_ROWS = 10


class CrashExchange:
    """Exchanges crash records with one other gateway at a time, chosen at random."""

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        sharing: CrashSharing,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._sharing = sharing
        self._rng = rng
        self._ticks = rng.randrange(REMOTE_EXCHANGE_INTERVAL)
        self._asks_until = reactor.seconds() + ASK_S
        self._task = PeriodicTask(reactor, self._exchange, "crash exchange")
        self._known_members = 0

    def start(self) -> None:
        """Begin to exchange records."""
        self._gossip.on_datagram(CrashDigest, self._on_digest)
        self._gossip.on_members_change(self._on_members_change)
        self._task.start(EXCHANGE_PERIOD_S)

    def stop(self) -> None:
        """Stop exchanging records."""
        self._task.stop()

    def _on_members_change(self) -> None:
        members = len(self._gossip.members.members_by_id())
        if members > self._known_members:
            self._asks_until = self._reactor.seconds() + ASK_S
        self._known_members = members

    def _exchange(self) -> None:
        now = self._reactor.seconds()
        rows = self._sharing.next_rows(MAX_ROWS)
        wants_answer = now < self._asks_until
        receiver = self._select_receiver() if rows or wants_answer else None
        if receiver is not None:
            self._send(receiver.address, rows, wants_answer=wants_answer)

    def _select_receiver(self) -> Member | None:
        members = self._gossip.members
        own_zone = members.zone_members_by_id()
        others = [each for each in members.recently_heard() if each.id not in own_zone]
        self._ticks += 1
        is_remote = self._ticks % REMOTE_EXCHANGE_INTERVAL == 0
        candidates = others if (is_remote and others) else list(own_zone.values())
        candidates = candidates or others
        return self._rng.choice(candidates) if candidates else None

    def _on_digest(self, digest: CrashDigest, sender_address: str) -> None:
        rows = [CrashRow(*row) for row in digest.rows]
        answer = self._sharing.receive_rows(digest.sender, rows)
        if digest.wants_answer:
            answer += self._sharing.top_rows(MAX_ROWS)
        if answer:
            self._send(sender_address, answer[:MAX_ROWS], wants_answer=False)

    def _send(
        self, address: str, rows: Iterable[CrashRow], *, wants_answer: bool
    ) -> None:
        own_id = self._gossip.members.identity.id
        self._gossip.send_to([address], CrashDigest(own_id, list(rows), wants_answer))
