"""Draws on the quota banks of the own zone and of other zones.

A draw and its answer are one datagram each.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from banyanshelf_core.datagrams import QuotaDraw, QuotaGrant
from banyanshelf_core.model import WorkspaceName
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.reply_timer import ReplyTimer

DRAW_NUMBER_BITS = 48


class DrawResult(NamedTuple):
    """The answers to one draw, with the addresses that they came from."""

    sent_at: float
    grants: list[tuple[str, QuotaGrant]]


class _PendingDraw:
    def __init__(self, sent_at: float, expected: int) -> None:
        self.sent_at = sent_at
        self.missing = expected
        self.grants: list[tuple[str, QuotaGrant]] = []
        self.done: Deferred[DrawResult] = Deferred()

    def finish(self) -> None:
        if not self.done.called:
            self.done.callback(DrawResult(self.sent_at, self.grants))


class QuotaExchange:
    """Sends draws to banks and collects their answers.

    ``clock`` is the one by which grants expire.

    Example:
        ``exchange.draw(["10.0.0.1:7280"], {"franchise-12": 5}, 0.04)`` fires with the
        answers within 0.04 s.

    """

    def __init__(
        self,
        reactor: Any,
        gossip: GossipLink,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._clock = clock
        self._pending_by_number: dict[int, _PendingDraw] = {}
        # Grants to a previous run must not match the draws of this one.
        self._last_number = rng.getrandbits(DRAW_NUMBER_BITS)
        gossip.on_datagram(QuotaGrant, self._on_grant)

    def draw(
        self,
        addresses: list[str],
        wanted: Mapping[WorkspaceName, int],
        timeout_s: float,
        returned: Mapping[WorkspaceName, int] | None = None,
    ) -> Deferred[DrawResult]:
        """Draw on banks; fires when all have answered or ``timeout_s`` has passed."""
        pending = _PendingDraw(self._clock(), len(addresses))
        self._last_number += 1
        number = self._last_number
        self._pending_by_number[number] = pending
        timer = ReplyTimer(self._reactor, timeout_s, pending.finish)

        def finished(result: Any) -> Any:
            self._pending_by_number.pop(number, None)
            timer.cancel()
            return result

        pending.done.addBoth(finished)
        self._send(addresses, number, wanted, returned or {})
        return pending.done

    def give_back(self, address: str, returned: Mapping[WorkspaceName, int]) -> None:
        """Return unused requests to a bank, without an answer."""
        self._send([address], 0, {}, returned)

    def forward(self, address: str, draw: QuotaDraw) -> None:
        """Pass a draw on to the bank, which answers the gateway that sent it."""
        forwarded = QuotaDraw(
            draw.reply_to, draw.zone, draw.number, draw.wanted, draw.returned, True
        )
        self._gossip.send_to([address], forwarded)

    def answer(self, draw: QuotaDraw, grant: QuotaGrant) -> None:
        """Send the answer to a draw."""
        self._gossip.send_to([draw.reply_to], grant)

    def _send(
        self,
        addresses: list[str],
        number: int,
        wanted: Mapping[WorkspaceName, int],
        returned: Mapping[WorkspaceName, int],
    ) -> None:
        identity = self._gossip.members.identity
        draw = QuotaDraw(
            identity.address, identity.zone, number, dict(wanted), dict(returned)
        )
        self._gossip.send_to(addresses, draw)

    def _on_grant(self, grant: QuotaGrant, address: str) -> None:
        pending = self._pending_by_number.get(grant.number)
        if pending is None:
            return
        pending.grants.append((address, grant))
        pending.missing -= 1
        if not pending.missing:
            pending.finish()
