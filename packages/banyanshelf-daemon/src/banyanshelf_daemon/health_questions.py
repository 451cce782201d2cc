"""Health probes of upstreams whose last load report is stale."""

from __future__ import annotations

from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred

from banyanshelf_core.datagrams import ProbeRequest
from banyanshelf_core.hashing import rank_members
from banyanshelf_core.model import (
    AnswerKind,
    MemberId,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from banyanshelf_core.placement.choice import PlacementSelector, due_probes
from banyanshelf_core.placement.upstream_load import UpstreamLoad
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.interfaces import ProbeSender
from banyanshelf_daemon.load_sharing import LoadSharing
from banyanshelf_daemon.request_limiter import RequestLimiter
from banyanshelf_daemon.service_loads import ServiceLoads

# The pace of an upstream holds for some hundred milliseconds. While its service gets
# calls, an upstream with an older report is probed for a new one.
REPORT_STALE_AFTER_S = 0.1

log = Logger("questions")


class HealthProber:
    """Probes upstreams on behalf of the zone; each upstream has one probing gateway.

    In a large zone the aggregator, which receives every load report, tells the gateways
    which upstreams to probe. A probe of an upstream that states a request limit is sent
    if the limit has a request left.
    """

    def __init__(
        self,
        reactor: Any,
        zone: str,
        loads: ServiceLoads,
        sharing: LoadSharing,
        gossip: GossipLink,
        limiter: RequestLimiter,
        probe: ProbeSender,
    ) -> None:
        self._reactor = reactor
        self._limiter = limiter
        self._zone = zone
        self._loads = loads
        self._sharing = sharing
        self._gossip = gossip
        self._probe = probe
        self._probing: set[UpstreamId] = set()
        self._prober_by_upstream: dict[UpstreamId, MemberId] = {}
        gossip.on_datagram(ProbeRequest, self._on_probe_request)
        gossip.on_members_change(self._prober_by_upstream.clear)

    def probe_stale_upstreams(self) -> None:
        """Probe the upstreams whose last load report is stale."""
        now = self._reactor.seconds()
        if self._sharing.peer_aggregator is not None:
            return
        delegated: dict[MemberId, list[UpstreamId]] = {}
        for selector in self._loads.active_selectors():
            loads = selector.loads_by_id
            for upstream_id in due_probes(
                now, loads, probe_after_s=REPORT_STALE_AFTER_S
            ):
                load = loads[upstream_id]
                if upstream_id in self._probing:
                    continue
                if load.needs_probe or self._is_prober(upstream_id, load.upstream):
                    load.probed_at = now
                    self.probe_upstream(selector, load.upstream)
                elif self._sharing.is_aggregator and load.upstream.zone == self._zone:
                    load.probed_at = now
                    prober = self._prober_of(upstream_id)
                    delegated.setdefault(prober, []).append(upstream_id)
        self._delegate(delegated)

    def _delegate(self, delegated: dict[MemberId, list[UpstreamId]]) -> None:
        """Let other gateways probe upstreams; reports arrive in their load updates."""
        own_id = self._gossip.members.identity.id
        members = self._gossip.members.zone_members_by_id()
        for member_id, upstream_ids in delegated.items():
            member = members.get(member_id)
            if member is not None:
                self._gossip.send_to(
                    [member.address], ProbeRequest(own_id, upstream_ids)
                )

    def _on_probe_request(self, request: ProbeRequest, _address: str) -> None:
        for upstream_id in request.upstreams:
            selector = self._loads.selector_for(upstream_id)
            if selector is None or upstream_id in self._probing:
                continue
            load = selector.loads_by_id[upstream_id]
            # The aggregator may not know yet what the upstream has told this gateway.
            is_live = load.upstream.state is UpstreamState.LIVE
            if is_live and not load.is_paused(self._reactor.seconds()):
                self.probe_upstream(selector, load.upstream)

    def _is_prober(self, upstream_id: UpstreamId, upstream: Upstream) -> bool:
        """Whether this gateway probes an upstream on behalf of its zone."""
        if upstream.zone != self._zone:
            return False
        return self._prober_of(upstream_id) == self._gossip.members.identity.id

    def _prober_of(self, upstream_id: UpstreamId) -> MemberId:
        """Return the gateway that probes an upstream of this zone."""
        prober_id = self._prober_by_upstream.get(upstream_id)
        if prober_id is None:
            own_id = self._gossip.members.identity.id
            members = [own_id, *self._gossip.members.zone_members_by_id()]
            prober_id = rank_members(f"question/{upstream_id}", members)[0]
            self._prober_by_upstream[upstream_id] = prober_id
        return prober_id

    def check(self, selector: PlacementSelector, upstream: Upstream) -> None:
        """Probe an upstream, unless a probe is on its way or it wants no requests."""
        load = selector.loads_by_id.get(upstream.id)
        if load is None or upstream.id in self._probing:
            return
        if not load.is_paused(self._reactor.seconds()):
            self.probe_upstream(selector, load.upstream)

    def probe_upstream(
        self, selector: PlacementSelector, upstream: Upstream
    ) -> Deferred[None]:
        """Probe one upstream; its report, if any, is applied before the result."""
        self._probing.add(upstream.id)
        load = selector.loads_by_id.get(upstream.id)
        if load is None or load.stated_limit.per_s is None:
            return self._send_probe(selector, upstream, is_repeated=True)
        taken = self._limiter.take(load, is_probe=True)
        return taken.addCallback(self._limit_asked, selector, load)

    def _limit_asked(
        self, wait_s: float, selector: PlacementSelector, load: UpstreamLoad
    ) -> Deferred[None] | None:
        if not wait_s:
            log.info(
                "health probe of upstream {}, which states a limit", load.upstream.id
            )
            return self._send_probe(selector, load.upstream, is_repeated=False)
        self._probing.discard(load.upstream.id)
        if load.needs_probe:
            load.ejected_until = self._reactor.seconds() + wait_s
        return None

    def _send_probe(
        self, selector: PlacementSelector, upstream: Upstream, *, is_repeated: bool
    ) -> Deferred[None]:
        def answered(result: object) -> None:
            self._probing.discard(upstream.id)
            now = self._reactor.seconds()
            if result is True:
                selector.note_probe_success(now, upstream.id)
            else:
                selector.note_probe_failure(now, upstream.id)
                # Gateways that place calls must learn that the upstream is down.
                self._sharing.publish_result(upstream.id, AnswerKind.REFUSED)
                log.info("health probe of upstream {} failed", upstream.id)

        return self._probe(upstream, is_repeated=is_repeated).addBoth(answered)
