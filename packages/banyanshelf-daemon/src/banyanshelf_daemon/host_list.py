"""Upstreams of each service: the platform's host list and leaving notices."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec
from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred

from banyanshelf_core.backoff import Backoff
from banyanshelf_core.errors import SettingsError
from banyanshelf_core.evacuated_zones import evacuated
from banyanshelf_core.messages import UpstreamNotice
from banyanshelf_core.model import (
    MemberId,
    ServiceName,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from banyanshelf_core.store_records import DECODE_ERRORS
from banyanshelf_daemon.background import BackgroundTasks
from banyanshelf_daemon.http_client import (
    DiscardedBody,
    PooledHttpClient,
    await_with_timeout,
    read_body,
)
from banyanshelf_daemon.interfaces import PeerNetwork
from banyanshelf_daemon.settings import Address, Settings

LONG_POLL_WAIT_S = 25
RESPONSE_TIMEOUT_S = LONG_POLL_WAIT_S + 5
BODY_TIMEOUT_S = 10
NOTICE_TTL_S = 600.0
BACKOFF_LIMIT_S = 5.0
# Limits the request rate at a server that ignores Wait-Seconds.
MIN_POLL_INTERVAL_S = 1.0
# 7,700 upstreams take about 1 MB.
MAX_LIST_BYTES = 16 * 1024 * 1024
# More slots mean that the entry is damaged.
MAX_SLOTS = 100_000
PRINTABLE_ID = "^[!-~]+$"

log = Logger("host_list")


class Host(msgspec.Struct, frozen=True):
    """One entry of the host list."""

    id: Annotated[str, msgspec.Meta(pattern=PRINTABLE_ID)]
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: UpstreamState = UpstreamState.LIVE

    def to_upstream(self) -> Upstream:
        """Return the upstream that the entry describes."""
        return Upstream(*msgspec.structs.astuple(self))


class HostList(msgspec.Struct, frozen=True):
    """The body of a host list response; each entry is decoded by itself."""

    hosts: list[msgspec.Raw]


def decode_host_list(content: bytes) -> list[Upstream]:
    """Return the upstreams of a host list, without the entries that cannot be used.

    Raises one of ``DECODE_ERRORS`` if the list itself cannot be read.
    """
    upstreams = []
    for entry in msgspec.json.decode(content, type=HostList).hosts:
        try:
            host = msgspec.json.decode(entry, type=Host)
            Address.of_server(host.address)
        except (*DECODE_ERRORS, SettingsError) as error:
            log.warning("host list entry ignored: {}", error)
            continue
        upstreams.append(host.to_upstream())
    return upstreams


@dataclass(slots=True)
class _Notice:
    message: UpstreamNotice
    expires: float
    resent_to: set[MemberId] = field(default_factory=set)


class HostDirectory:
    """Implements ``UpstreamDirectory``.

    The last list stays in use while the host list is unreachable. A leaving notice
    takes precedence over the list until the list marks the host as leaving or drops it,
    or until the notice expires.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        network: PeerNetwork,
        agent: Any = None,
        rng: random.Random | None = None,
    ) -> None:
        self._reactor = reactor
        self._url = settings.host_list_url
        self._member_id = settings.member_id
        self._network = network
        self._backoff = Backoff(
            rng or random.Random(settings.seed or None), limit_s=BACKOFF_LIMIT_S
        )
        self._connections = PooledHttpClient(reactor, agent)
        self._tasks = BackgroundTasks(reactor)
        self._version = ""
        self._listed: dict[UpstreamId, Upstream] = {}
        self._merged: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        self._notices: dict[UpstreamId, _Notice] = {}
        # Sequence and expiry of notices that the list has confirmed or that expired.
        self._settled: dict[tuple[UpstreamId, MemberId], tuple[int, float]] = {}
        self._sequence = 0
        self._expiry_call: Any = None
        self._evacuated_zones: frozenset[str] = frozenset()
        self._handlers: list[Callable[[], None]] = []
        self._failures = 0
        network.subscribe(UpstreamNotice, self._on_notice)
        network.on_link_change(self._on_link_change)

    # UpstreamDirectory

    def upstreams_by_id(
        self, service_name: ServiceName
    ) -> Mapping[UpstreamId, Upstream]:
        """Return the known upstreams of a service, including leaving ones."""
        return self._merged.get(service_name, {})

    def report_leaving(self, upstream_id: UpstreamId, reason: str) -> None:
        """Notify every member that the upstream has signalled that it is leaving."""
        listed = self._listed.get(upstream_id)
        if upstream_id in self._notices:
            return
        if listed is not None and listed.state is UpstreamState.LEAVING:
            return
        log.info("upstream {} is leaving: {}", upstream_id, reason)
        now = self._reactor.seconds()
        self._sequence = max(self._sequence + 1, int(now * 1000))
        notice = UpstreamNotice(
            upstream_id, UpstreamState.LEAVING.value, self._sequence, self._member_id
        )
        self._notices[upstream_id] = _Notice(notice, now + NOTICE_TTL_S)
        self._network.broadcast(notice)
        self._update_upstreams()

    def on_upstreams_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of any service's upstreams."""
        self._handlers.append(handler)

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Give the upstreams of these availability zones no work."""
        self._evacuated_zones = frozenset(zones)
        self._update_upstreams()

    # Start, stop, status

    def start(self) -> None:
        """Start to poll the host list."""
        self._tasks.supervise(self._poll_until_stopped, "host list")

    def stop(self) -> Any:
        """Stop polling; returns a Deferred or None."""
        self._tasks.stop()
        if self._expiry_call is not None and self._expiry_call.active():
            self._expiry_call.cancel()
        return self._connections.stop()

    def snapshot(self) -> dict[str, Any]:
        """Return version, size and notices for the status page."""
        return {
            "version": self._version,
            "hosts": len(self._listed),
            "notices": sorted(self._notices),
            "failures": self._failures,
            "evacuated_zones": sorted(self._evacuated_zones),
        }

    # Notices

    def _on_notice(self, sender: MemberId, notice: UpstreamNotice) -> None:
        known = self._notices.get(notice.upstream)
        if known is not None and notice.sequence <= known.message.sequence:
            return
        # Ignores a delayed copy of a notice that is already settled.
        key = (notice.upstream, notice.origin)
        if notice.sequence <= self._settled.get(key, (0, 0.0))[0]:
            return
        if notice.state == UpstreamState.LIVE.value:
            self._notices.pop(notice.upstream, None)
        elif notice.state == UpstreamState.LEAVING.value:
            expires = self._reactor.seconds() + NOTICE_TTL_S
            self._notices[notice.upstream] = _Notice(notice, expires)
        self._update_upstreams()

    def _on_link_change(self, member_id: MemberId, is_up: bool) -> None:
        if not is_up:
            return
        for notice in self._notices.values():
            is_own = notice.message.origin == self._member_id
            if is_own and member_id not in notice.resent_to:
                notice.resent_to.add(member_id)
                self._network.send(member_id, notice.message)

    def _expire(self) -> None:
        now = self._reactor.seconds()
        for upstream_id, notice in list(self._notices.items()):
            if now >= notice.expires:
                log.warn("leaving notice of upstream {} expired", upstream_id)
                self._settle(upstream_id)
        self._update_upstreams()

    def _settle(self, upstream_id: UpstreamId) -> None:
        message = self._notices.pop(upstream_id).message
        expires = self._reactor.seconds() + NOTICE_TTL_S
        self._settled[upstream_id, message.origin] = (message.sequence, expires)

    # The list

    async def _poll_until_stopped(self) -> None:
        while True:
            asked_at = self._reactor.seconds()
            try:
                changed = await self._poll()
                self._backoff.reset()
                pause = MIN_POLL_INTERVAL_S - (self._reactor.seconds() - asked_at)
            except CancelledError:
                raise
            except Exception as error:
                self._failures += 1
                log.info("host list is unreachable, keeping the last one: {!r}", error)
                changed = False
                pause = self._backoff.next_delay()
            if not changed and pause > 0:
                await self._tasks.sleep(pause)

    async def _poll(self) -> bool:
        headers = {b"Wait-Seconds": [str(LONG_POLL_WAIT_S).encode()]}
        if self._version:
            headers[b"If-Version-Changed"] = [self._version.encode()]
        request: Deferred[Any] = self._connections.client.get(
            self._url, headers=headers, allow_redirects=False, unbuffered=True
        )
        response = await await_with_timeout(RESPONSE_TIMEOUT_S, request, self._reactor)
        if response.code == 304:
            response.deliverBody(DiscardedBody())
            return False
        if response.code != 200:
            response.deliverBody(DiscardedBody())
            raise ValueError(f"host list request failed with status {response.code}")
        reading = Deferred.fromCoroutine(read_body(response, MAX_LIST_BYTES))
        content = await await_with_timeout(BODY_TIMEOUT_S, reading, self._reactor)
        (version,) = response.headers.getRawHeaders("Host-List-Version") or [""]
        if version and version == self._version:
            return False
        self._apply(decode_host_list(content))
        self._version = version
        return True

    def _apply(self, upstreams: list[Upstream]) -> None:
        listed = {each.id: each for each in upstreams}
        for upstream_id in list(self._notices):
            host = listed.get(upstream_id)
            dropped = host is None and upstream_id in self._listed
            if dropped or (host is not None and host.state is UpstreamState.LEAVING):
                self._settle(upstream_id)
        now = self._reactor.seconds()
        self._settled = {
            key: settled for key, settled in self._settled.items() if settled[1] > now
        }
        self._listed = listed
        self._update_upstreams()

    def _update_upstreams(self) -> None:
        merged: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        for upstream in self._listed.values():
            if upstream.id in self._notices:
                upstream = upstream._replace(state=UpstreamState.LEAVING)
            upstream = evacuated(upstream, self._evacuated_zones)
            merged.setdefault(upstream.service, {})[upstream.id] = upstream
        self._schedule_expiry()
        if merged == self._merged:
            return
        self._merged = merged
        for handler in self._handlers:
            handler()

    def _schedule_expiry(self) -> None:
        if self._expiry_call is not None and self._expiry_call.active():
            self._expiry_call.cancel()
        self._expiry_call = None
        if self._notices:
            first = min(each.expires for each in self._notices.values())
            delay = max(0.0, first - self._reactor.seconds())
            self._expiry_call = self._reactor.callLater(delay, self._expire)
