"""The owner of one claim shard, which decides the claims of its keys.

The rules handle these cases:

- *Lost grant.* The claim is in the store, but its runner never received the grant. A
  repeated request with the same attempt id gets the grant again. A runner that no
  longer waits sends ``released``. If the runner has left the group or was restarted,
  the claim becomes ``unknown``.
- *Request to a second owner while a write of the first one is in flight.* The takeover
  fences that write (see ``shard_log``), so the second owner knows whether the claim
  exists before it answers. For a claim that it could not commit, the former owner
  replies only NOT_OWNER or UNAVAILABLE.
- *Stale owner.* An owner that does not know of a takeover yet replies with committed
  state only: a grant to the attempt that holds the claim, an outcome, or that a call is
  running. A grant repeated after the attempt has ended is ignored by its runner.
- *Lost runner.* An ``unknown`` claim is never granted to another attempt, so a runner
  that was only paused may still run the call and report its outcome.
- *Restored store.* A store that comes back from an older copy may lack claims that this
  owner has committed. The owner keeps its table, takes the shard over anew and writes
  every claim again before it grants further ones.
- *Expiry after takeover.* The new owner does not know the age of a batch and counts its
  retention time from the moment at which it loads the batch. Claims may be kept longer,
  never shorter. A claim without an outcome is written again instead of deleted.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from random import Random

import msgspec

from banyanshelf_core.call_messages import ClaimStatus
from banyanshelf_core.claims.claim_table import (
    WRITE_BURST,
    WRITES_PER_SECOND,
    ClaimTable,
)
from banyanshelf_core.claims.records import (
    ClaimRecord,
    ClaimState,
    StoreEffect,
    StoreResult,
    instance_of,
    to_answer_record,
    to_stored_answer,
)
from banyanshelf_core.claims.shard_log import Committed, Fenced, Loaded, ShardLog
from banyanshelf_core.claims.waiting import Waiter, WaitingRequests
from banyanshelf_core.messages import ClaimComplete, ClaimCompleteAck, ClaimRequest
from banyanshelf_core.model import MemberId, Send

# Requests are refused once the store has not answered for this long; a store call
# normally takes a few milliseconds.
UNAVAILABLE_AFTER_S = 0.3
# The same limit during a takeover, whose store calls compete with everything else that
# a membership change starts. With 0.3 s, payments were refused during a rolling restart
# on a saturated host.
TAKEOVER_UNAVAILABLE_AFTER_S = 1.0
# Delay before a fenced owner takes the shard over again. Without it, members that
# disagree about the ranking would take it from each other on every round trip.
TAKEOVER_DELAY_S = 0.5
# Delay after loading before runners that are not live members count as lost: a daemon
# that has just started may not know all members yet.
LOST_RUNNER_GRACE_S = 2.0

OwnerEffect = Send | StoreEffect


class ShardOwner:
    """Decides claims of one shard and handles its duplicates and takeovers.

    ``retention_s`` is the retention time from the operators' text; it may be changed at
    any time.

    Example:
        ``owner.take_over(now)`` starts the takeover;
        ``owner.receive(now, sender, request)`` returns a reply or the store effects
        that precede it.

    """

    def __init__(
        self,
        shard: int,
        member_id: MemberId,
        instance: str,
        retention_s: float,
        rng: Random,
    ) -> None:
        self.shard = shard
        self.retention_s = retention_s
        self.transaction_count = 0
        self._log = ShardLog(shard, member_id, instance, rng)
        self._members: frozenset[MemberId] = frozenset()
        self._is_assigned = False
        self._is_handing_over = False
        self._takeover_at: float | None = None
        self._runner_check_at: float | None = None
        self._next_write_at = 0.0
        self._clear_state()

    def _clear_state(self) -> None:
        self._table = ClaimTable()
        self._requests_before_load = WaitingRequests()
        self._duplicate_requests = WaitingRequests()
        self._instance_by_runner: dict[MemberId, str] = {}
        self._runner_check_at = None

    @property
    def _store_timeout_s(self) -> float:
        if self._log.is_loaded:
            return UNAVAILABLE_AFTER_S
        return TAKEOVER_UNAVAILABLE_AFTER_S

    @property
    def is_idle(self) -> bool:
        """Whether this member neither has nor wants the shard."""
        return not self._is_assigned

    @property
    def is_loaded(self) -> bool:
        """Whether this member has taken the shard over and knows its claims."""
        return self._log.is_loaded

    def next_wake(self) -> float | None:
        """Return when :meth:`tick` has something to do; None if never."""
        return min(self._wake_times(), default=None)

    def snapshot(self) -> dict[str, int | bool]:
        """Return counts for the status page."""
        return {
            "shard": self.shard,
            "owned": self._log.is_loaded,
            "epoch": self._log.epoch,
            "claims": len(self._table),
            "batches": self._table.batch_count,
            "waiting": len(self._duplicate_requests),
        }

    def take_over(self, now: float) -> list[OwnerEffect]:
        """Start taking over the shard, for which this member now ranks first."""
        if self._is_assigned:
            return []
        self._is_assigned = True
        self._is_handing_over = False
        return [*self._log.open(now)]

    def relinquish(self) -> list[OwnerEffect]:
        """Give up the shard immediately; pending changes are not written."""
        self._is_assigned = False
        self._takeover_at = None
        return self._drop_state()

    def on_store_restored(self, now: float) -> list[OwnerEffect]:
        """Take the shard over anew and write all known claims again.

        The copy from which the store was restored may lack some of them, and another
        runner would be granted their keys.
        """
        if not self._is_assigned or self._takeover_at is not None:
            return []
        refused = self._table.refuse_requests(ClaimStatus.UNAVAILABLE)
        self._table.forget_store()
        return [*refused, *self._log.open(now)]

    def hand_over(self, now: float) -> list[OwnerEffect]:
        """Refuse new requests, commit the pending changes, then give up the shard.

        :attr:`is_idle` is true when the handover has finished.
        """
        if not self._log.is_loaded:
            return self.relinquish()
        self._is_handing_over = True
        self._table.mark_urgent()
        return self.tick(now)

    def set_members(
        self, now: float, member_ids: Collection[MemberId]
    ) -> list[OwnerEffect]:
        """Set the live members; running claims of departed members become unknown."""
        self._members = frozenset(member_ids)
        if not self._log.is_loaded or self._runner_check_at is not None:
            return []
        return [*self._mark_lost_runners_unknown(now), *self.tick(now)]

    def receive(
        self,
        now: float,
        sender: MemberId,
        message: ClaimRequest | ClaimComplete,
    ) -> list[OwnerEffect]:
        """Handle a message from a runner."""
        match message:
            case ClaimRequest():
                return [*self._receive_request(now, sender, message), *self.tick(now)]
            case ClaimComplete() if self._log.is_loaded:
                return [*self._handle_completion(now, sender, message), *self.tick(now)]
        # The runner repeats a ClaimComplete until it is acknowledged.
        return []

    def handle(self, now: float, result: StoreResult) -> list[OwnerEffect]:
        """Handle a result from the store."""
        store_effects, event = self._log.handle(now, result)
        effects: list[OwnerEffect] = [*store_effects]
        match event:
            case Loaded():
                effects.extend(self._load(now, event))
            case Committed():
                effects.extend(
                    self._table.finish_transaction(now, self._log.next_batch - 1)
                )
            case Fenced():
                effects.extend(self._drop_state())
                self._takeover_at = now + TAKEOVER_DELAY_S
        return [*effects, *self.tick(now)]

    def tick(self, now: float) -> list[OwnerEffect]:
        """Run the actions that are due: retries, refusals, expiry, transactions."""
        effects: list[OwnerEffect] = []
        if self._takeover_at is not None and now >= self._takeover_at:
            self._takeover_at = None
            effects.extend(
                self.relinquish() if self._is_handing_over else self._log.open(now)
            )
        effects.extend(self._log.tick(now))
        if self._runner_check_at is not None and now >= self._runner_check_at:
            self._runner_check_at = None
            effects.extend(self._mark_lost_runners_unknown(now))
        effects.extend(self._answer_expired_waiters(now))
        if self._log.is_blocked(now, self._store_timeout_s):
            effects.extend(self._refuse_pending())
        if self._log.can_write:
            self._table.expire(now, self.retention_s)
            effects.extend(self._write(now))
            if (
                self._is_handing_over
                and self._log.can_write
                and not self._table.has_changes
            ):
                effects.extend(self.relinquish())
        return effects

    def _write(self, now: float) -> list[OwnerEffect]:
        write_time = self._table.write_time(self._next_write_at)
        if write_time is None or now < write_time:
            return []
        claims, deleted_batches = self._table.start_transaction()
        earliest = now - (WRITE_BURST - 1) / WRITES_PER_SECOND
        self._next_write_at = max(self._next_write_at, earliest) + 1 / WRITES_PER_SECOND
        self.transaction_count += 1
        return [*self._log.write(now, claims, deleted_batches)]

    def _receive_request(
        self, now: float, sender: MemberId, request: ClaimRequest
    ) -> list[OwnerEffect]:
        waiter = Waiter(sender, request, now + request.wait_ms / 1000)
        if (
            not self._is_assigned
            or self._is_handing_over
            or self._takeover_at is not None
        ):
            return [waiter.reply(ClaimStatus.NOT_OWNER)]
        if self._log.is_loaded:
            lost = self._mark_former_instance_unknown(now, sender, request.attempt_id)
            return [*lost, *self._decide_request(now, waiter)]
        if self._log.is_blocked(now, self._store_timeout_s):
            return [waiter.reply(ClaimStatus.UNAVAILABLE)]
        self._requests_before_load.add(waiter)
        return []

    def _decide_request(self, now: float, waiter: Waiter) -> list[OwnerEffect]:
        claim = self._table.get(waiter.key)
        if claim is not None and claim.attempt_id == waiter.request.attempt_id:
            return self._reply_when_durable(waiter, claim, claim.state.holder_status)
        if claim is None or claim.state is ClaimState.RELEASED:
            return self._grant_claim(now, waiter)
        if claim.body_digest != waiter.request.body_digest:
            return self._reply_when_durable(waiter, claim, ClaimStatus.CONFLICT)
        match claim.state:
            case ClaimState.CLAIMED:
                self._duplicate_requests.add(waiter)
                return []
            case ClaimState.COMPLETED:
                return self._reply_when_durable(waiter, claim, ClaimStatus.COMPLETED)
            case _:
                return self._reply_when_durable(waiter, claim, ClaimStatus.UNKNOWN)

    def _grant_claim(self, now: float, waiter: Waiter) -> list[OwnerEffect]:
        if self._log.is_blocked(now, self._store_timeout_s):
            return [waiter.reply(ClaimStatus.UNAVAILABLE)]
        claim = ClaimRecord(
            waiter.key,
            waiter.request.body_digest,
            waiter.sender,
            waiter.request.attempt_id,
            ClaimState.CLAIMED,
        )
        self._table.put(now, claim, urgent=True)
        return self._reply_when_durable(waiter, claim, ClaimStatus.GRANTED)

    def _handle_completion(
        self, now: float, sender: MemberId, message: ClaimComplete
    ) -> list[OwnerEffect]:
        key, attempt_id = message.key_digest, message.attempt_id
        acknowledgement = Send(sender, ClaimCompleteAck(attempt_id))
        claim = self._table.get(key)
        self._duplicate_requests.remove(key, attempt_id)
        if claim is not None and claim.attempt_id != attempt_id:
            # A stale owner may not know that the attempt holds the claim. Only a
            # committed transaction proves that it does not.
            self._table.send_after_next_commit(now, key, attempt_id, acknowledgement)
            return []
        state = ClaimState.from_outcome(message.outcome)
        if claim is not None and (
            claim.state in (ClaimState.COMPLETED, ClaimState.RELEASED)
            or claim.state is state
        ):
            return [*self._table.send_when_durable(key, attempt_id, acknowledgement)]
        self._table.discard_reply(key, attempt_id)
        outcome = ClaimRecord(
            key,
            message.body_digest,
            sender if claim is None else claim.runner,
            attempt_id,
            state,
            to_answer_record(message.answer),
        )
        self._table.put(now, outcome, urgent=False)
        self._table.send_after_next_commit(now, key, attempt_id, acknowledgement)
        return self._decide_duplicates(now, key)

    def _decide_duplicates(self, now: float, key: str) -> list[OwnerEffect]:
        """Decide the duplicate requests that waited for the outcome of a call."""
        effects: list[OwnerEffect] = []
        for waiter in self._duplicate_requests.pop_key(key):
            self._table.mark_urgent()
            effects.extend(self._decide_request(now, waiter))
        return effects

    def _mark_lost_runners_unknown(self, now: float) -> list[OwnerEffect]:
        effects: list[OwnerEffect] = []
        for runner in self._table.runners():
            if runner not in self._members:
                for claim in self._table.running_claims(runner):
                    effects.extend(self._mark_unknown(now, claim))
        return effects

    def _mark_former_instance_unknown(
        self, now: float, runner: MemberId, attempt_id: str
    ) -> list[OwnerEffect]:
        """Mark the claims of the former process of a restarted member as unknown."""
        instance = instance_of(attempt_id)
        if self._instance_by_runner.get(runner) == instance:
            return []
        self._instance_by_runner[runner] = instance
        effects: list[OwnerEffect] = []
        for claim in self._table.running_claims(runner):
            if claim.instance != instance:
                effects.extend(self._mark_unknown(now, claim))
        return effects

    def _mark_unknown(self, now: float, claim: ClaimRecord) -> list[OwnerEffect]:
        unknown = msgspec.structs.replace(claim, state=ClaimState.UNKNOWN)
        self._table.put(now, unknown, urgent=False)
        return self._decide_duplicates(now, claim.key_digest)

    def _reply_when_durable(
        self, waiter: Waiter, claim: ClaimRecord, status: ClaimStatus
    ) -> list[OwnerEffect]:
        answer = None
        if status is ClaimStatus.COMPLETED:
            answer = to_stored_answer(claim.answer)
        reply = waiter.reply(status, answer)
        attempt_id = waiter.request.attempt_id
        return [*self._table.send_when_durable(waiter.key, attempt_id, reply)]

    def _refuse_pending(self) -> list[OwnerEffect]:
        """Refuse the requests that wait for the store.

        A claim of one of them may still be committed; its runner then releases it.
        """
        return [
            *(
                each.reply(ClaimStatus.UNAVAILABLE)
                for each in self._requests_before_load.pop_all()
            ),
            *self._table.refuse_requests(ClaimStatus.UNAVAILABLE),
        ]

    def _drop_state(self) -> list[OwnerEffect]:
        self._log.close()
        waiters = [
            *self._requests_before_load.pop_all(),
            *self._duplicate_requests.pop_all(),
        ]
        refused = self._table.refuse_requests(ClaimStatus.NOT_OWNER)
        self._clear_state()
        return [*(each.reply(ClaimStatus.NOT_OWNER) for each in waiters), *refused]

    def _answer_expired_waiters(self, now: float) -> list[OwnerEffect]:
        effects: list[OwnerEffect] = [
            waiter.reply(ClaimStatus.UNAVAILABLE)
            for waiter in self._requests_before_load.pop_expired(now)
        ]
        for waiter in self._duplicate_requests.pop_expired(now):
            claim = self._table.get(waiter.key)
            assert claim is not None  # Running claims do not expire.
            effects.extend(self._reply_when_durable(waiter, claim, ClaimStatus.RUNNING))
        return effects

    def _load(self, now: float, event: Loaded) -> list[OwnerEffect]:
        self._table.load(now, event.claims_by_batch)
        self._runner_check_at = now + LOST_RUNNER_GRACE_S
        effects: list[OwnerEffect] = []
        for waiter in self._requests_before_load.pop_all():
            effects.extend(self._decide_request(now, waiter))
        return effects

    def _wake_times(self) -> Iterator[float]:
        for time in (
            self._takeover_at,
            self._log.next_wake,
            self._runner_check_at,
            self._requests_before_load.next_expiry,
            self._duplicate_requests.next_expiry,
        ):
            if time is not None:
                yield time
        if self._log.can_write:
            write_time = self._table.write_time(self._next_write_at)
            if write_time is not None:
                yield write_time
            kept_since = self._table.oldest_batch_kept_since
            if kept_since is not None:
                yield kept_since + self.retention_s
        elif self._log.blocked_since is not None and (
            self._requests_before_load or self._table.has_waiting_requests
        ):
            yield self._log.blocked_since + self._store_timeout_s
