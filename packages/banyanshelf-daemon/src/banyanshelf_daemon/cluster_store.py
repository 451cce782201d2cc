"""Member records and configuration records in the store."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from logbook import Logger
from twisted.internet.defer import Deferred

from banyanshelf_core.backoff import Backoff
from banyanshelf_core.errors import StoreError, StoreRecordError
from banyanshelf_core.head_recovery import HeadRecovery
from banyanshelf_core.model import Member
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    MEMBERS_PREFIX,
    ConfigHead,
    MemberRecord,
    decode_record,
    encode_record,
    history_key,
    join_parts,
    member_key,
    part_key,
    split_text,
)
from banyanshelf_core.store_transactions import Compare, KeyValue, Put, Transaction
from banyanshelf_daemon.background import BackgroundTasks
from banyanshelf_daemon.store_client import RangeResult, StoreClient
from banyanshelf_daemon.store_watch import StoreWatch, WatchEvent

LEASE_TTL_S = 30
KEEPALIVE_INTERVAL_S = 10.0
# Allows several retries before the lease expires after a missed keepalive.
LEASE_BACKOFF_LIMIT_S = 5.0
STORE_BACKOFF_LIMIT_S = 10.0
# Daemons that find an old head in a restored store at the same time write a new one
# after a random part of this time, so that most of them see that another one has.
HEAD_RECOVERY_SPREAD_S = 1.0

log = Logger("cluster_store")


class StoreListener(Protocol):
    """Receives member and configuration records from the store."""

    def on_members_read(self, members: list[Member]) -> None:
        """Handle the initial read of all member records."""

    def on_member_written(self, member: Member) -> None:
        """Handle a written member record."""

    def on_head(self, head: ConfigHead | None) -> None:
        """Handle the configuration head, or None if the store has none."""

    def on_text(self, version: int, digest: str, text: str) -> None:
        """Handle a configuration text read from the store."""

    def is_still_needed(self, version: int) -> bool:
        """Return whether the version being read is still needed."""

    def text_in_effect(self) -> tuple[int, str, str]:
        """Return version, digest and text in effect; version 0 if there is none."""


class StoreWatcher:
    """Reads members and configuration head, then watches them; retries forever."""

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        rng: random.Random,
        listener: StoreListener,
    ) -> None:
        self._store = store
        self._rng = rng
        self._listener = listener
        self._reactor = reactor
        self._is_started = False
        self._tasks = BackgroundTasks(reactor)
        self._watches: dict[str, StoreWatch] = {}
        self._recovery = HeadRecovery()
        self._head_revision = 0
        store.on_restore(self._on_restore)

    def start(self) -> None:
        """Read and watch the store until stopped."""
        self._is_started = True
        self._tasks.supervise(self._read_and_watch, "store records")

    def stop(self) -> None:
        """Stop reading and watching."""
        self._is_started = False
        self._tasks.stop()
        for watch in self._watches.values():
            watch.stop()
        self._watches.clear()

    def read_text(self, version: int, digest: str, parts: int) -> None:
        """Read the parts of a version while it is still needed."""
        self._tasks.spawn(
            self._read_text(version, digest, parts), "configuration text read"
        )

    async def _read_and_watch(self) -> None:
        # Members are read first, so that peers can be asked for newer versions.
        result = await self._read(MEMBERS_PREFIX)
        members = [decode_member(each) for each in result.records]
        self._listener.on_members_read([each for each in members if each is not None])
        self._watch(MEMBERS_PREFIX, result.revision + 1, self._on_member_event)
        result = await self._read(CONFIG_HEAD_KEY)
        self._on_head(result.records[0] if result.records else None)
        self._watch(CONFIG_HEAD_KEY, result.revision + 1, self._on_head_event)

    async def _read(self, prefix: str) -> RangeResult:
        backoff = Backoff(self._rng, limit_s=STORE_BACKOFF_LIMIT_S)
        while True:
            try:
                return await self._store.get_prefix(prefix)
            except StoreError as error:
                log.info(
                    "reading {} from the store failed, retrying: {}", prefix, error
                )
                await self._tasks.sleep(backoff.next_delay())

    def _watch(
        self, prefix: str, revision: int, on_event: Callable[[WatchEvent], None]
    ) -> None:
        previous = self._watches.get(prefix)
        if previous is not None:
            previous.stop()
        self._watches[prefix] = self._store.watch(
            prefix, revision, on_event, self._on_reset
        )

    def _on_restore(self) -> None:
        self._reactor.callLater(0, self._on_reset)

    def _on_reset(self) -> None:
        if self._is_started:
            self.stop()
            self.start()

    def _on_member_event(self, event: WatchEvent) -> None:
        # A deleted record removes no member: only pings tell whether it is alive.
        member = None if event.is_deleted else decode_member(event.record)
        if member is not None:
            self._listener.on_member_written(member)

    def _on_head_event(self, event: WatchEvent) -> None:
        if not event.is_deleted:
            self._on_head(event.record)

    def _on_head(self, record: KeyValue | None) -> None:
        try:
            head = decode_record(record.value, ConfigHead) if record else None
        except StoreRecordError as error:
            log.error("invalid configuration head ignored: {}", error)
            return
        self._head_revision = record.mod_revision if record else 0
        self._listener.on_head(head)
        version, digest, _ = self._listener.text_in_effect()
        missing = (
            self._recovery.missing_head(head, version, digest) if version else None
        )
        if head is not None:
            if head.version < version and not self._recovery.is_known(head):
                log.error(
                    "version {} by {:.64} has no effect, as version {} is in effect; "
                    "apply it again",
                    head.version,
                    head.author,
                    version,
                )
            self._recovery.note(head)
        if missing is not None:
            self._tasks.spawn(
                self._write_head(missing, self._head_revision), "head recovery"
            )

    async def _write_head(self, head: ConfigHead, revision: int) -> None:
        """Commit a head that the store lacks, unless the store's head has changed."""
        log.warning("the store lacks version {}; writing it again", head.version)
        backoff = Backoff(self._rng, limit_s=STORE_BACKOFF_LIMIT_S)
        await self._tasks.sleep(self._rng.uniform(0, HEAD_RECOVERY_SPREAD_S))
        while self._head_revision == revision:
            try:
                is_written = await self._commit_head(head, revision)
            except StoreError as error:
                log.info("writing version {} failed, retrying: {}", head.version, error)
                await self._tasks.sleep(backoff.next_delay())
                continue
            outcome = "written again" if is_written else "superseded"
            log.info("version {} is {}", head.version, outcome)
            return

    async def _commit_head(self, head: ConfigHead, revision: int) -> bool:
        _, digest, text = self._listener.text_in_effect()
        if head.digest == digest:
            for index, part in enumerate(split_text(text)):
                await self._store.put(part_key(digest, index), part)
        record, history = encode_record(head), history_key(head.version)
        result = await self._store.transact(
            Transaction(
                (Compare(CONFIG_HEAD_KEY, revision), Compare(history, 0)),
                (Put(CONFIG_HEAD_KEY, record), Put(history, record)),
            )
        )
        return result.succeeded

    async def _read_text(self, version: int, digest: str, parts: int) -> None:
        backoff = Backoff(self._rng, limit_s=STORE_BACKOFF_LIMIT_S)
        while self._listener.is_still_needed(version):
            try:
                content = []
                for index in range(parts):
                    record = await self._store.get(part_key(digest, index))
                    content.append(record.value if record else b"")
                text = join_parts(content, digest)
            except StoreError as error:
                log.info("reading version {} failed, retrying: {}", version, error)
                await self._tasks.sleep(backoff.next_delay())
                continue
            self._listener.on_text(version, digest, text)
            return


class MemberLease:
    """Keeps this daemon's member record in the store under a lease."""

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        rng: random.Random,
        identity: Callable[[], Member],
    ) -> None:
        self._store = store
        self._rng = rng
        self._identity = identity
        self._reactor = reactor
        self._is_started = False
        self._tasks = BackgroundTasks(reactor)
        self._lease = 0
        store.on_restore(self._on_restore)

    @property
    def is_held(self) -> bool:
        """Whether a lease was granted and is not known to have expired."""
        return self._lease != 0

    def start(self) -> None:
        """Write the record and renew it until stopped."""
        self._is_started = True
        self._tasks.supervise(self._maintain, "member record")

    def stop(self) -> None:
        """Stop renewing the lease; the record is deleted when it expires."""
        self._is_started = False
        self._tasks.stop()

    def _on_restore(self) -> None:
        """Write the record under a new lease.

        The store may give the former one out again, to another member.
        """
        if self._lease:
            self._lease = 0
            self._reactor.callLater(0, self._restart)

    def _restart(self) -> None:
        if self._is_started:
            self.stop()
            self.start()

    def revoke(self) -> Deferred[None]:
        """Delete the record; fires when it is deleted or the store call has failed."""
        self.stop()
        return Deferred.fromCoroutine(self._revoke())

    async def _maintain(self) -> None:
        backoff = Backoff(self._rng, limit_s=LEASE_BACKOFF_LIMIT_S)
        written: Member | None = None
        while True:
            try:
                if self._lease == 0:
                    self._lease = await self._store.grant_lease(LEASE_TTL_S)
                    written = None
                if written != self._identity():
                    written = await self._write()
                backoff.reset()
                await self._tasks.sleep(KEEPALIVE_INTERVAL_S)
                if await self._store.renew_lease(self._lease) <= 0:
                    self._lease = 0
            except StoreError as error:
                log.info("renewing the member record failed, retrying: {}", error)
                await self._tasks.sleep(backoff.next_delay())

    async def _write(self) -> Member:
        identity = self._identity()
        record = encode_record(MemberRecord.from_member(identity))
        try:
            await self._store.put(member_key(identity.id), record, self._lease)
        except StoreError:
            # The lease may have expired, which the store reports as an error.
            self._lease = 0
            raise
        return identity

    async def _revoke(self) -> None:
        lease, self._lease = self._lease, 0
        if lease == 0:
            return
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            log.info("member record not revoked, its lease will expire: {}", error)


def decode_member(record: KeyValue) -> Member | None:
    """Return the member of a record, or None if the record is invalid."""
    try:
        return decode_record(record.value, MemberRecord).to_member()
    except StoreRecordError as error:
        log.error("invalid record {} ignored: {}", record.key, error)
        return None
