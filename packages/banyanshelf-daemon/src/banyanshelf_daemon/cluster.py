"""Cluster state that all daemons share: membership and configuration."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred

from banyanshelf_core.configuration import (
    Adopted,
    ConfigurationEffect,
    ConfigurationTracker,
    ReadFromStore,
    Rejected,
)
from banyanshelf_core.membership import (
    MembersChanged,
    MembershipEffect,
    MembershipProtocol,
    SelfRemoved,
)
from banyanshelf_core.messages import (
    Ack,
    ConfigFetch,
    ConfigNotice,
    ConfigText,
    Hello,
    Leaving,
    Ping,
    PingRequest,
)
from banyanshelf_core.model import Broadcast, Member, MemberId, Send
from banyanshelf_core.store_records import ConfigHead
from banyanshelf_daemon.background import PeriodicTask
from banyanshelf_daemon.cluster_store import MemberLease, StoreWatcher
from banyanshelf_daemon.interfaces import ActiveText, ClusterNetwork
from banyanshelf_daemon.settings import Settings
from banyanshelf_daemon.store_client import StoreClient

TICK_S = 0.1
_MEMBERSHIP_MESSAGES: tuple[type, ...] = (Ping, Ack, PingRequest, Leaving)
_CONFIGURATION_MESSAGES: tuple[type, ...] = (
    Ping,
    Ack,
    ConfigNotice,
    ConfigFetch,
    ConfigText,
)

log = Logger("cluster")


def member_from_settings(settings: Settings, now: float) -> Member:
    """Return this daemon as a member; a restart has a higher incarnation.

    ``now`` is in seconds since the epoch. A clock that was set back is harmless, as
    the other members refute the lower incarnation.
    """
    return Member(
        settings.member_id, settings.peer_listen, settings.zone, int(now * 1000)
    )


class Cluster:
    """Implements ``MembershipSource`` and ``ConfigurationSource``.

    While the store is unavailable, members are learned from the peers that connect, and
    store reads are retried until the daemon stops.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        store: StoreClient,
        network: ClusterNetwork,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._members = MembershipProtocol(network.identity, rng, reactor.seconds())
        self._tracker = ConfigurationTracker(rng)
        self._store_watcher = StoreWatcher(reactor, store, rng, self)
        self._lease = MemberLease(reactor, store, rng, lambda: self._members.identity)
        self._active: ActiveText | None = None
        self._ticker = PeriodicTask(reactor, self._tick, "cluster")
        self._reading_version = 0
        self._member_handlers: list[Callable[[], None]] = []
        self._removed_handlers: list[Callable[[], None]] = []
        self._text_handlers: list[Callable[[ActiveText], None]] = []
        network.subscribe(Hello, self._on_hello)
        network.on_link_change(self._on_link_change)
        for message_class in _MEMBERSHIP_MESSAGES:
            network.subscribe(message_class, self._on_membership_message)
        for message_class in _CONFIGURATION_MESSAGES:
            network.subscribe(message_class, self._on_configuration_message)

    # MembershipSource

    def members_by_id(self) -> Mapping[MemberId, Member]:
        """Return the live members, this daemon included."""
        return self._members.members_by_id

    def on_members_change(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of the live members."""
        self._member_handlers.append(handler)

    def on_self_removed(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` when the other members have removed this daemon."""
        self._removed_handlers.append(handler)

    # ConfigurationSource

    def active(self) -> ActiveText | None:
        """Return the active configuration text, or None before the first arrives."""
        return self._active

    def on_change(self, handler: Callable[[ActiveText], None]) -> None:
        """Call ``handler`` after each newly adopted version."""
        self._text_handlers.append(handler)

    # Start, stop, status

    def start(self) -> None:
        """Join the cluster and watch the store; the links must be listening."""
        self._ticker.start(TICK_S)
        self._lease.start()
        self._store_watcher.start()

    def leave(self, roles: Sequence[str] = ()) -> Deferred[None]:
        """Announce a graceful shutdown and revoke the member record.

        Pings are still acknowledged until :meth:`stop`, so that calls in progress can
        finish. Fires when the record is revoked or the store call has timed out.
        """
        self._store_watcher.stop()
        self._run_membership(self._members.leave(list(roles)))
        return self._lease.revoke()

    def stop(self) -> None:
        """Stop at once; without :meth:`leave`, the others detect a failed member."""
        self._store_watcher.stop()
        self._lease.stop()
        self._ticker.stop()

    def snapshot(self) -> dict[str, Any]:
        """Return members and configuration version for the status page."""
        offers = self._tracker.offers.items()
        return {
            "identity": self._members.identity._asdict(),
            "members": {
                member_id: member._asdict()
                for member_id, member in sorted(self.members_by_id().items())
            },
            "suspects": sorted(self._members.suspects_by_id),
            "removed": sorted(self._members.removed_by_id),
            "config_version": self._tracker.version,
            "config_digest": self._tracker.digest,
            "config_offers": {str(version): dict(each) for version, each in offers},
            "has_lease": self._lease.is_held,
        }

    # StoreListener

    def on_members_read(self, members: list[Member]) -> None:
        """Merge the members that the store lists."""
        self._members.mark_member_list_complete()
        self._run_membership(self._members.observe(members, self._reactor.seconds()))

    def on_member_written(self, member: Member) -> None:
        """Merge a new member or incarnation from the store."""
        self._run_membership(self._members.observe([member], self._reactor.seconds()))

    def on_head(self, head: ConfigHead | None) -> None:
        """Compare the version in the store with the active one."""
        now = self._reactor.seconds()
        if head is None:
            self._run_configuration(self._tracker.on_no_newer_in_store(now))
            return
        effects = self._tracker.on_store_head(
            head.version, head.digest, head.parts, now
        )
        self._run_configuration(effects)

    def on_text(self, version: int, digest: str, text: str) -> None:
        """Handle a configuration text from the store."""
        now = self._reactor.seconds()
        self._run_configuration(self._tracker.on_store_text(version, digest, text, now))

    def is_still_needed(self, version: int) -> bool:
        """Return whether no higher version is active or being read."""
        return version == self._reading_version and version > self._tracker.version

    def text_in_effect(self) -> tuple[int, str, str]:
        """Return version, digest and text in effect; version 0 if there is none."""
        return self._tracker.version, self._tracker.digest, self._tracker.text

    # Messages and effects

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self._run_membership(self._members.tick(now))
        self._run_configuration(self._tracker.tick(now))

    def _on_hello(self, sender: MemberId, hello: Hello) -> None:
        member = Member(hello.id, hello.address, hello.zone, hello.incarnation)
        self._run_membership(self._members.on_hello(member, self._reactor.seconds()))

    def _on_link_change(self, member_id: MemberId, is_up: bool) -> None:
        if is_up:
            self._run_configuration(self._tracker.on_link_up(member_id))

    def _on_membership_message(
        self, sender: MemberId, message: Ping | Ack | PingRequest | Leaving
    ) -> None:
        now = self._reactor.seconds()
        self._run_membership(self._members.receive(sender, message, now))

    def _on_configuration_message(
        self,
        sender: MemberId,
        message: Ping | Ack | ConfigNotice | ConfigFetch | ConfigText,
    ) -> None:
        now = self._reactor.seconds()
        self._run_configuration(self._tracker.receive(sender, message, now))

    def _run_membership(self, effects: list[MembershipEffect]) -> None:
        if self._network.identity != self._members.identity:
            self._network.set_identity(self._members.identity)
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._network.send(to, message)
                case Broadcast(message):
                    self._network.broadcast(message)
                case SelfRemoved(_, reason):
                    log.warn("all roles dropped and incarnation raised: {}", reason)
                    for handler in self._removed_handlers:
                        handler()
                case MembersChanged(joined, removed):
                    log.info("members joined: {}; removed: {}", joined, removed)
                    self._members_changed()

    def _members_changed(self) -> None:
        live = self._members.members_by_id
        self._network.update_members(live, self._members.removed_by_id)
        others = [each for each in live if each != self._members.identity.id]
        now = self._reactor.seconds()
        self._run_configuration(self._tracker.set_peers(others, now))
        for handler in self._member_handlers:
            handler()

    def _run_configuration(self, effects: list[ConfigurationEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._network.send(to, message)
                case Adopted():
                    self._adopt(effect)
                case ReadFromStore(version, digest, parts):
                    if version > self._reading_version:
                        self._reading_version = version
                        self._store_watcher.read_text(version, digest, parts)
                case Rejected():
                    log.error("configuration text rejected: {}", effect)

    def _adopt(self, adopted: Adopted) -> None:
        parsed = self._tracker.parsed
        if parsed is None:
            return
        log.info("configuration {} ({}) is active", adopted.version, adopted.digest)
        self._active = ActiveText(adopted.version, adopted.digest, parsed)
        self._members.set_version(adopted.version, adopted.digest)
        self._network.set_budget(parsed.measuring.control_bytes_per_second)
        for handler in self._text_handlers:
            handler(self._active)
