"""Takes requests from the limits of upstreams, at this gateway or at their keepers.

A query and its reply are one datagram each. Without a reply no request is sent, since
the upstream may be getting all that it takes.
"""

from __future__ import annotations

import random
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred, succeed

from banyanshelf_core.datagrams import DepartureNotice, LimitQuery, LimitReply
from banyanshelf_core.limit_keeper import KeeperSelector
from banyanshelf_core.model import Member, MemberId, Upstream, UpstreamId
from banyanshelf_core.placement.upstream_load import UpstreamLoad
from banyanshelf_core.request_limit import StatedLimit, lower_limit
from banyanshelf_core.request_rate import RequestRates
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.reply_timer import ReplyTimer
from banyanshelf_daemon.service_loads import ServiceLoads

# A caller waits at most this long for a keeper.
QUERY_TIMEOUT_S = 0.04
# A keeper that has not answered is not asked again for this long.
SILENCE_HOLD_S = 0.5
# Asked a gateway that is not the keeper either, as the views of the members differ.
NO_KEEPER_WAIT_S = 0.2
# A notice is repeated in case its datagrams are lost.
DEPARTURE_NOTICES = 3
DEPARTURE_NOTICE_PERIOD_S = 0.1
QUERY_NUMBER_BITS = 48

log = Logger("limits")


class RequestLimiter:
    """The limits that this gateway keeps for others, and its queries to other keepers.

    Example:
        ``limiter.take(load)`` fires with the time until a request may be sent, in
        seconds; 0 means that one has been taken and may be sent at once.

    """

    def __init__(
        self, reactor: Any, gossip: GossipLink, loads: ServiceLoads, rng: random.Random
    ) -> None:
        self._reactor = reactor
        self._gossip = gossip
        self._loads = loads
        self._rates = RequestRates()
        self._keepers = KeeperSelector(gossip.members, reactor.seconds())
        self._silent_until_by_id: dict[MemberId, float] = {}
        self._waiting_by_number: dict[int, Deferred[LimitReply | None]] = {}
        # Replies to queries of a previous run must not match those of this one.
        self._last_number = rng.getrandbits(QUERY_NUMBER_BITS)
        gossip.on_datagram(LimitQuery, self._on_query)
        gossip.on_datagram(LimitReply, self._on_reply)
        gossip.on_datagram(DepartureNotice, self._on_departure)
        gossip.on_members_change(self._keepers.members_changed)

    def take(self, load: UpstreamLoad, *, is_probe: bool = False) -> Deferred[float]:
        """Take one request of an upstream that states a limit."""
        upstream = load.upstream
        now = self._reactor.seconds()
        silent = self._silent_members(now)
        # Health probes do not count towards what a cold upstream takes.
        limit = load.stated_limit if is_probe else load.limit(now)
        keeper = self._keepers.select(upstream.id, upstream.zone, silent)
        if self._is_self(keeper):
            reply = self._decide(upstream.id, upstream.zone, limit, is_probe)
            return succeed(self._apply(load, reply))
        if keeper.id in silent:
            reply = LimitReply(0, silent[keeper.id] - now)
            return succeed(self._apply(load, reply))
        is_cold = limit is not load.stated_limit
        query = self._ask(keeper, upstream, limit, is_probe, is_cold=is_cold)
        return query.addCallback(self._answered, load, keeper)

    def announce_departure(self, notices: int = DEPARTURE_NOTICES) -> None:
        """Let other gateways take over the limits that this one keeps."""
        identity = self._gossip.members.identity
        self._note_departure(identity.id, identity.incarnation)
        self._gossip.send_to(
            [each.address for each in self._gossip.members.recently_heard()],
            DepartureNotice(identity.id, identity.incarnation),
        )
        if notices > 1:
            self._reactor.callLater(
                DEPARTURE_NOTICE_PERIOD_S, self.announce_departure, notices - 1
            )

    # Queries of this gateway

    def _ask(
        self,
        keeper: Member,
        upstream: Upstream,
        stated: StatedLimit,
        is_probe: bool,
        *,
        is_cold: bool,
    ) -> Deferred[LimitReply | None]:
        self._last_number += 1
        number = self._last_number
        query = LimitQuery(
            self._gossip.members.identity.address,
            number,
            upstream.id,
            stated.row(self._reactor.seconds()),
            is_probe,
            is_cold=is_cold,
        )
        result: Deferred[LimitReply | None] = Deferred()
        self._waiting_by_number[number] = result
        timer = ReplyTimer(self._reactor, QUERY_TIMEOUT_S, lambda: self._expire(number))
        self._gossip.send_to([keeper.address], query)

        def finished(reply: Any) -> Any:
            self._waiting_by_number.pop(number, None)
            timer.cancel()
            return reply

        return result.addBoth(finished)

    def _on_reply(self, reply: LimitReply, _address: str) -> None:
        waiting = self._waiting_by_number.get(reply.number)
        if waiting is not None:
            waiting.callback(reply)

    def _expire(self, number: int) -> None:
        waiting = self._waiting_by_number.get(number)
        if waiting is not None:
            waiting.callback(None)

    def _answered(
        self, reply: LimitReply | None, load: UpstreamLoad, keeper: Member
    ) -> float:
        if reply is not None:
            return self._apply(load, reply)
        log.info(
            "{} did not answer within {} s how many requests upstream {} takes",
            keeper.id,
            QUERY_TIMEOUT_S,
            load.upstream.id,
        )
        now = self._reactor.seconds()
        self._silent_until_by_id[keeper.id] = now + SILENCE_HOLD_S
        load.limited_until = now + SILENCE_HOLD_S
        return SILENCE_HOLD_S

    def _apply(self, load: UpstreamLoad, reply: LimitReply) -> float:
        """Hold the upstream back until its next request; return the time to wait."""
        wait_s = reply.wait_s or reply.next_s
        load.limited_until = self._reactor.seconds() + wait_s
        return reply.wait_s

    def _silent_members(self, now: float) -> dict[MemberId, float]:
        """Return the members that have not answered, and until when they are left."""
        for member_id, until in list(self._silent_until_by_id.items()):
            if now >= until:
                del self._silent_until_by_id[member_id]
        return self._silent_until_by_id

    # Decisions for all gateways

    def _on_query(self, query: LimitQuery, _address: str) -> None:
        now = self._reactor.seconds()
        stated = StatedLimit.from_row(now, query.limit)
        if not query.is_cold:
            self._loads.note_request_limit(query.upstream, stated)
        load = self._loads.load_of(query.upstream)
        zone = self._gossip.members.identity.zone
        if load is not None:
            zone = load.upstream.zone
            known = load.stated_limit if query.is_probe else load.limit(now)
            # This gateway may not have heard yet that the upstream is cold.
            stated = lower_limit(known, stated) if query.is_cold else known
        keeper = self._keepers.select(query.upstream, zone)
        if self._is_self(keeper):
            reply = self._decide(query.upstream, zone, stated, query.is_probe)
        elif query.is_forwarded:
            reply = LimitReply(0, NO_KEEPER_WAIT_S)
        else:
            forwarded = LimitQuery(
                query.reply_to,
                query.number,
                query.upstream,
                query.limit,
                query.is_probe,
                True,
                query.is_cold,
            )
            self._gossip.send_to([keeper.address], forwarded)
            return
        self._gossip.send_to(
            [query.reply_to], LimitReply(query.number, reply.wait_s, reply.next_s)
        )

    def _decide(
        self, upstream_id: UpstreamId, zone: str, stated: StatedLimit, is_probe: bool
    ) -> LimitReply:
        if stated.per_s is None:
            return LimitReply(0, 0.0)
        now = self._reactor.seconds()
        settling_s = self._keepers.settling_s(now)
        if settling_s:
            return LimitReply(0, settling_s)
        per_s = stated.per_s * self._keepers.share(zone)
        wait_s = self._rates.take(now, upstream_id, per_s, is_probe=is_probe)
        next_s = 0.0 if wait_s else self._rates.wait_s(now, upstream_id, per_s)
        return LimitReply(0, wait_s, next_s)

    def _on_departure(self, notice: DepartureNotice, _address: str) -> None:
        self._note_departure(notice.sender, notice.incarnation)

    def _note_departure(self, member_id: MemberId, incarnation: int) -> None:
        self._gossip.members.note_departure(member_id, incarnation)
        self._keepers.members_changed()

    def _is_self(self, member: Member) -> bool:
        return member.id == self._gossip.members.identity.id
