"""Runs the claim shards and the claim runner of one daemon."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple, Protocol

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from banyanshelf_core.call_messages import ClaimOutcome, ClaimStatus, StoredAnswer
from banyanshelf_core.claims.records import (
    SHARD_COUNT,
    RangeEntry,
    RangeResult,
    StoreRange,
    StoreResult,
    StoreTransaction,
    TransactionResult,
)
from banyanshelf_core.claims.runner import (
    ClaimRunner,
    Decided,
    Recorded,
    RunnerEffect,
    shard_owner_of,
)
from banyanshelf_core.claims.shard_owner import OwnerEffect, ShardOwner
from banyanshelf_core.errors import StoreError
from banyanshelf_core.messages import (
    ClaimComplete,
    ClaimCompleteAck,
    ClaimReply,
    ClaimRequest,
    PeerMessage,
)
from banyanshelf_core.model import MemberId, Send
from banyanshelf_core.text import Claims
from banyanshelf_daemon.interfaces import (
    ClaimDecision,
    ConfigurationSource,
    MembershipSource,
    PeerNetwork,
)
from banyanshelf_daemon.loopback_queue import LoopbackQueue
from banyanshelf_daemon.settings import Settings

log = Logger("claims")

# Component index of the runner; a shard owner has the number of its shard.
_RUNNER = SHARD_COUNT


class TransactionOutcome(NamedTuple):
    """Result of a store transaction; ``revision`` is the mod revision of its puts."""

    succeeded: bool
    revision: int


class ClaimStore(Protocol):
    """Store operations that the claim shards need.

    Both operations fail with ``StoreUnavailableError`` if their effect is unknown and
    with ``StoreBudgetError`` if nothing was sent. Every Deferred must fire eventually.
    """

    def transact(
        self,
        compares: Sequence[tuple[str, int]],
        puts: Sequence[tuple[str, bytes]],
        deletes: Sequence[str],
    ) -> Deferred[TransactionOutcome]:
        """Apply all puts and deletes if every key has the given mod revision.

        Revision 0 requires that the key does not exist.
        """

    def get_range(self, prefix: str) -> Deferred[list[tuple[str, bytes, int]]]:
        """Return (key, value, mod revision) of every key with the prefix."""


class ClaimTask:
    """Claims idempotency keys and owns the shards for which this member ranks first.

    ``reactor`` provides the monotonic clock and ``rng`` the jitter of store retries.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        settings: Settings,
        configuration: ConfigurationSource,
        members: MembershipSource,
        network: PeerNetwork,
        store: ClaimStore,
        rng: Random,
    ) -> None:
        self._reactor = reactor
        self._member_id = settings.member_id
        self._configuration = configuration
        self._members = members
        self._network = network
        self._store = store
        # A restarted process may use the same seed. With equal attempt ids it would be
        # granted the claims of the previous process.
        instance = secrets.token_hex(8)
        limits = Claims()
        self._owners = [
            ShardOwner(shard, self._member_id, instance, limits.retention_s, rng)
            for shard in range(SHARD_COUNT)
        ]
        self._runner = ClaimRunner(self._member_id, instance, limits.kept_answer_bytes)
        self._wake_times: list[float | None] = [None] * (SHARD_COUNT + 1)
        self._wake_call: IDelayedCall | None = None
        self._wake_at = 0.0
        self._loopback_queue = LoopbackQueue(self._receive_loopback)
        self._decisions_by_id: dict[str, Deferred[ClaimDecision]] = {}
        self._records_by_id: dict[str, Deferred[None]] = {}
        self._handover_waiters: list[Deferred[None]] = []
        self._drain_waiters: list[Deferred[None]] = []
        self._is_leaving = False

    def start(self) -> None:
        """Subscribe to messages and membership, and take over this member's shards."""
        self._network.subscribe(ClaimRequest, self._receive_at_owner)
        self._network.subscribe(ClaimComplete, self._receive_at_owner)
        self._network.subscribe(ClaimReply, self._receive_at_runner)
        self._network.subscribe(ClaimCompleteAck, self._receive_at_runner)
        self._members.on_members_change(self._members_changed)
        self._configuration.on_change(lambda _: self._apply_limits())
        self._apply_limits()
        self._members_changed()

    def claim(
        self,
        service_name: str,
        key_digest: str,
        body_digest: str,
        wait_s: float,
    ) -> Deferred[ClaimDecision]:
        """Claim a key; cancelling the Deferred abandons the attempt."""
        attempt_id, effects = self._runner.claim(
            self._now(), service_name, key_digest, body_digest, wait_s
        )

        def cancel(_: Deferred[ClaimDecision]) -> None:
            self._decisions_by_id.pop(attempt_id, None)
            self._apply(_RUNNER, self._runner.abandon(self._now(), attempt_id))

        decision: Deferred[ClaimDecision] = Deferred(cancel)
        self._decisions_by_id[attempt_id] = decision
        self._apply(_RUNNER, effects)
        return decision

    def complete(
        self,
        attempt_id: str,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> Deferred[None]:
        """Record the outcome of a granted attempt; fires once it is stored."""
        recorded: Deferred[None] = Deferred()
        self._records_by_id[attempt_id] = recorded
        effects = self._runner.complete(self._now(), attempt_id, outcome, answer)
        self._apply(_RUNNER, effects)
        return recorded

    def hand_over(self) -> Deferred[None]:
        """Write pending changes and release all shards for a graceful shutdown.

        Fires when this daemon owns no shard. Claims of its own calls go to the next
        owners. It does not fire while the store is down, so the caller needs a timeout.
        """
        handed_over: Deferred[None] = Deferred()
        self._handover_waiters.append(handed_over)
        if not self._is_leaving:
            self._is_leaving = True
            for owner in self._owners:
                self._apply(owner.shard, owner.hand_over(self._now()))
            self._members_changed()
        self._fire_waiters()
        return handed_over

    def drop_shards(self) -> None:
        """Drop all shards without handing them over, then take them over again.

        Used when this member learns that the others had removed it from the cluster.
        """
        for owner in self._owners:
            self._apply(owner.shard, owner.relinquish())
        self._members_changed()

    def on_store_restored(self) -> None:
        """Write the claims of the own shards to the restored store again."""
        log.warning("the store was restored; taking over the claim shards again")
        for owner in self._owners:
            self._apply(owner.shard, owner.on_store_restored(self._now()))

    def wait_until_drained(self) -> Deferred[None]:
        """Return a Deferred that fires once every outcome is recorded."""
        drained: Deferred[None] = Deferred()
        self._drain_waiters.append(drained)
        self._fire_waiters()
        return drained

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the status page."""
        return {
            "shards": [owner.snapshot() for owner in self._owners if not owner.is_idle],
            "transactions": sum(owner.transaction_count for owner in self._owners),
            **self._runner.snapshot(),
        }

    def _now(self) -> float:
        return float(self._reactor.seconds())

    def _apply_limits(self) -> None:
        active = self._configuration.active()
        if active is None:
            return
        limits = active.text.claims
        self._runner.kept_answer_bytes = limits.kept_answer_bytes
        for owner in self._owners:
            owner.retention_s = limits.retention_s
            self._schedule(owner.shard)

    def _members_changed(self) -> None:
        members_by_id = self._members.members_by_id()
        candidates = set(members_by_id)
        if self._is_leaving:
            candidates.discard(self._member_id)
        for owner in self._owners:
            effects: list[OwnerEffect] = []
            is_first = shard_owner_of(owner.shard, candidates) == self._member_id
            if not (is_first or self._is_leaving or owner.is_idle):
                log.info("claim shard {} dropped: not ranked first", owner.shard)
                effects.extend(owner.relinquish())
            if is_first and owner.is_idle:
                log.info("taking over claim shard {}", owner.shard)
                effects.extend(owner.take_over(self._now()))
            effects.extend(owner.set_members(self._now(), members_by_id))
            self._apply(owner.shard, effects)
        self._apply(_RUNNER, self._runner.set_members(self._now(), candidates))

    def _receive_at_owner(
        self, sender: MemberId, message: ClaimRequest | ClaimComplete
    ) -> None:
        if not 0 <= message.shard < SHARD_COUNT:
            log.warning("claim from {} has unknown shard {}", sender, message.shard)
            return
        owner = self._owners[message.shard]
        self._apply(owner.shard, owner.receive(self._now(), sender, message))

    def _receive_at_runner(
        self, _: MemberId, message: ClaimReply | ClaimCompleteAck
    ) -> None:
        self._apply(_RUNNER, self._runner.receive(self._now(), message))

    def _apply(
        self, component: int, effects: Sequence[OwnerEffect | RunnerEffect]
    ) -> None:
        """Execute the effects of a shard owner or of the runner."""
        for effect in effects:
            match effect:
                case Send(to=to, message=message) if to == self._member_id:
                    self._loopback_queue.put(message)
                case Send(to=to, message=message):
                    # The message is lost if there is no link; the runner resends it.
                    self._network.send(to, message)
                case StoreTransaction():
                    self._transact(component, effect)
                case StoreRange():
                    self._read_range(component, effect)
                case Decided():
                    self._decide(effect)
                case Recorded(attempt_id=attempt_id):
                    recorded = self._records_by_id.pop(attempt_id, None)
                    if recorded is not None:
                        recorded.callback(None)
        self._schedule(component)
        self._loopback_queue.deliver()
        self._fire_waiters()

    def _receive_loopback(self, message: PeerMessage) -> None:
        match message:
            case ClaimRequest() | ClaimComplete():
                self._receive_at_owner(self._member_id, message)
            case ClaimReply() | ClaimCompleteAck():
                self._receive_at_runner(self._member_id, message)

    def _decide(self, decided: Decided) -> None:
        decision = self._decisions_by_id.pop(decided.attempt_id, None)
        if decision is not None:
            decision.callback(
                ClaimDecision(decided.status, decided.attempt_id, decided.answer)
            )
        elif decided.status is ClaimStatus.GRANTED:
            released = self._runner.complete(
                self._now(), decided.attempt_id, ClaimOutcome.RELEASED, None
            )
            self._apply(_RUNNER, released)

    def _transact(self, shard: int, transaction: StoreTransaction) -> None:
        operation_id = transaction.operation_id

        def succeeded(outcome: TransactionOutcome) -> StoreResult:
            return TransactionResult(operation_id, outcome.succeeded, outcome.revision)

        self._forward_result(
            shard,
            self._store.transact(
                [(each.key, each.mod_revision) for each in transaction.compares],
                [(each.key, each.value) for each in transaction.puts],
                list(transaction.deletes),
            ),
            succeeded,
            TransactionResult(operation_id, None),
        )

    def _read_range(self, shard: int, read: StoreRange) -> None:
        def succeeded(entries: list[tuple[str, bytes, int]]) -> StoreResult:
            return RangeResult(
                read.operation_id, tuple(RangeEntry(*entry) for entry in entries)
            )

        self._forward_result(
            shard,
            self._store.get_range(read.prefix),
            succeeded,
            RangeResult(read.operation_id, None),
        )

    def _forward_result(
        self,
        shard: int,
        answer: Deferred[Any],
        succeeded: Callable[[Any], StoreResult],
        unknown: StoreResult,
    ) -> None:
        def failed(failure: Failure) -> StoreResult:
            failure.trap(StoreError)
            log.debug("claim shard {}: store: {}", shard, failure.getErrorMessage())
            return unknown

        def handle(result: StoreResult) -> None:
            owner = self._owners[shard]
            self._apply(shard, owner.handle(self._now(), result))

        answer.addCallbacks(succeeded, failed)
        answer.addCallback(handle)
        answer.addErrback(
            lambda fault: log.error("claim shard {} failed: {}", shard, fault)
        )

    def _schedule(self, component: int) -> None:
        """Schedule a timer for the earliest wake time of all components."""
        if component == _RUNNER:
            self._wake_times[component] = self._runner.next_wake()
        else:
            self._wake_times[component] = self._owners[component].next_wake()
        times = [each for each in self._wake_times if each is not None]
        earliest = min(times, default=None)
        if self._wake_call is not None:
            if earliest is not None and earliest >= self._wake_at:
                return
            self._wake_call.cancel()
            self._wake_call = None
        if earliest is not None:
            self._wake_at = earliest
            delay_s = max(0.0, earliest - self._now())
            self._wake_call = self._reactor.callLater(delay_s, self._wake)

    def _wake(self) -> None:
        self._wake_call = None
        now = self._now()
        for component, time in enumerate(list(self._wake_times)):
            if time is None or time > now:
                continue
            if component == _RUNNER:
                self._apply(component, self._runner.tick(now))
            else:
                self._apply(component, self._owners[component].tick(now))
        if self._wake_call is None:
            self._schedule(_RUNNER)

    def _fire_waiters(self) -> None:
        if self._handover_waiters and all(owner.is_idle for owner in self._owners):
            waiting, self._handover_waiters = self._handover_waiters, []
            for each in waiting:
                each.callback(None)
        if self._drain_waiters and self._runner.is_idle:
            waiting, self._drain_waiters = self._drain_waiters, []
            for each in waiting:
                each.callback(None)
