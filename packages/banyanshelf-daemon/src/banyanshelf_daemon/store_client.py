"""The only client of the configuration store.

It uses the JSON gateway of the etcd v3 API. Every call counts against the call budget
of this process; an open watch counts as one call.
"""

from __future__ import annotations

import base64
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec
from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.internet.error import TimeoutError as ConnectTimeoutError

from banyanshelf_core.errors import StoreBudgetError, StoreUnavailableError
from banyanshelf_core.store_transactions import KeyValue, Transaction, TransactionResult
from banyanshelf_daemon.background import BackgroundTasks
from banyanshelf_daemon.http_client import (
    BytesBody,
    DiscardedBody,
    PooledHttpClient,
    await_with_timeout,
    read_body,
)
from banyanshelf_daemon.store_watch import StoreWatch, WatchEvent
from banyanshelf_daemon.token_bucket import TokenBucket

CALL_TIMEOUT_S = 2.0
# The largest value is 1 MB, base64 adds a third, and a prefix can hold many values.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

log = Logger("store_client")

# A start or a takeover makes many calls at once: 32 calls for 16 claim shards.
BURST_S = 3.0


class RangeResult(NamedTuple):
    """Records with a prefix at one revision of the store."""

    revision: int
    records: list[KeyValue]


class StoreSettings(Protocol):
    """Settings of the store client, which several programs provide."""

    @property
    def store_url(self) -> str:
        """Base URL of the store."""

    @property
    def store_prefix(self) -> str:
        """Prefix of every key."""

    @property
    def store_calls_per_second(self) -> float:
        """Call budget of this process."""

    @property
    def seed(self) -> int:
        """Seed of the backoff jitter, or 0 for a random seed."""


class StoreClient:
    """Reads, writes, leases and watches below ``settings.store_prefix``.

    Calls fail with :class:`StoreUnavailableError` if the store does not answer in time;
    a write may or may not have taken effect then. They fail with
    :class:`StoreBudgetError` if the budget is used up; nothing was sent then.
    """

    def __init__(
        self,
        reactor: Any,
        settings: StoreSettings,
        agent: Any = None,
        rng: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.rng = rng or random.Random(settings.seed or None)
        self.tasks = BackgroundTasks(reactor)
        self._base_url = settings.store_url.rstrip("/")
        self._prefix = settings.store_prefix
        self._connections = PooledHttpClient(reactor, agent)
        rate = settings.store_calls_per_second
        self._budget = TokenBucket(rate, rate * BURST_S, reactor.seconds())
        self._call_counts: Counter[str] = Counter()
        self._cluster_id = ""
        self._restore_handlers: list[Callable[[], None]] = []

    # Records

    async def get(self, key: str) -> KeyValue | None:
        """Return one record, or None if it does not exist."""
        result = await self._request_json("range", {"key": self._encode_key(key)})
        records = self._parse_records(result)
        return records[0] if records else None

    async def get_prefix(self, prefix: str) -> RangeResult:
        """Return all records whose keys start with ``prefix``."""
        result = await self._request_json("range", self.prefix_range(prefix))
        return RangeResult(parse_revision(result), self._parse_records(result))

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a record and return the store's revision."""
        result = await self._request_json("put", self._put_body(key, value, lease))
        return parse_revision(result)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction."""
        body = {
            "compare": [
                {
                    "key": self._encode_key(each.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(each.mod_revision),
                }
                for each in transaction.compares
            ],
            "success": [
                *({"request_put": self._put_body(*each)} for each in transaction.puts),
                *(
                    {"request_delete_range": {"key": self._encode_key(key)}}
                    for key in transaction.deletes
                ),
            ],
            "failure": [
                {"request_range": {"key": self._encode_key(key)}}
                for key in transaction.reads
            ],
        }
        result = await self._request_json("txn", body)
        if result.get("succeeded"):
            return TransactionResult(True, parse_revision(result))
        reads = []
        for response in result.get("responses", []):
            records = self._parse_records(response.get("response_range", {}))
            reads.append(records[0] if records else None)
        return TransactionResult(False, parse_revision(result), tuple(reads))

    # Leases

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        result = await self._request_json("lease_grant", {"TTL": str(ttl_s)})
        return _parse_int(result, "ID")

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease; returns its remaining seconds, 0 if it has expired."""
        result = await self._request_json("lease_keepalive", {"ID": str(lease)})
        return _parse_int(result.get("result", {}), "TTL")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its records."""
        await self._request_json("lease_revoke", {"ID": str(lease)})

    # Watches

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_event: Callable[[WatchEvent], None],
        on_reset: Callable[[], None],
    ) -> StoreWatch:
        """Report changes below ``prefix`` from ``start_revision`` on, until stopped.

        The watch reconnects with backoff and resumes at the next revision. ``on_reset``
        is called if the store no longer has that revision; the caller must then read
        all records again.
        """
        watch = StoreWatch(self, prefix, start_revision, on_event, on_reset)
        watch.start()
        return watch

    # Restores

    def on_restore(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` when the store was restored from a snapshot.

        Records, leases and revisions from after the snapshot are gone then, and the
        revisions are given out again. The handler is called before the answer that
        shows the restore is handed on, so that it must not cancel a call.
        """
        self._restore_handlers.append(handler)

    def note_header(self, answer: Any) -> None:
        """Detect a restore by the cluster id in the header of an answer."""
        header = answer.get("header") if isinstance(answer, dict) else None
        if not isinstance(header, dict):
            return
        cluster_id = str(header.get("cluster_id", ""))
        known, self._cluster_id = self._cluster_id, cluster_id or self._cluster_id
        if not known or known == self._cluster_id:
            return
        log.warning("the store was restored: its cluster id has changed")
        for handler in self._restore_handlers:
            handler()

    # Start, stop, status

    def budget_left(self) -> float:
        """Return the number of calls that the budget allows now."""
        return self._budget.available(self.reactor.seconds())

    def snapshot(self) -> dict[str, Any]:
        """Return the number of calls by kind for the status page."""
        return {"calls": dict(self._call_counts), "budget_left": self.budget_left()}

    def stop(self) -> Any:
        """Stop watches and close connections; returns a Deferred or None."""
        self.tasks.stop()
        return self._connections.stop()

    # Requests

    def relative_key(self, encoded: str) -> str:
        """Decode the key of a record and remove the store prefix."""
        key = base64.b64decode(encoded).decode()
        return key.removeprefix(self._prefix)

    def prefix_range(self, prefix: str) -> dict[str, Any]:
        """Return the encoded key range of a prefix."""
        start = (self._prefix + prefix).encode()
        end = start[:-1] + bytes([start[-1] + 1])
        return {"key": _encode_base64(start), "range_end": _encode_base64(end)}

    async def send_request(self, kind: str, body: dict[str, Any]) -> Any:
        """Charge the budget, send a call and return the response without its body."""
        if not self._budget.take(1.0, self.reactor.seconds()):
            self._call_counts["refused_by_budget"] += 1
            raise StoreBudgetError(
                "the store call budget of this process is used up; try again later or "
                "raise store_calls_per_second",
            )
        self._call_counts[kind] += 1
        path = f"/v3/{_PATHS[kind]}"
        request: Deferred[Any] = self._connections.client.post(
            self._base_url + path,
            data=BytesBody(msgspec.json.encode(body)),
            headers={b"Content-Type": [b"application/json"]},
            allow_redirects=False,
            unbuffered=True,
        )
        try:
            response = await await_with_timeout(CALL_TIMEOUT_S, request, self.reactor)
        except CancelledError:
            raise
        except Exception as error:
            self._call_counts["failed"] += 1
            never_sent = isinstance(error, ConnectError | ConnectTimeoutError)
            effect = "nothing was sent" if never_sent else "a write may have happened"
            raise StoreUnavailableError(
                f"store call {path} failed ({error!r}); {effect}; "
                "check that the store at store_url is up",
            ) from error
        if response.code != 200:
            self._call_counts["failed"] += 1
            response.deliverBody(DiscardedBody())
            raise StoreUnavailableError(
                f"store call {path} failed with status {response.code}; "
                "check the log of the store",
            )
        return response

    async def _request_json(self, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        response = await self.send_request(kind, body)
        reading = Deferred.fromCoroutine(read_body(response, MAX_RESPONSE_BYTES))
        try:
            content = await await_with_timeout(CALL_TIMEOUT_S, reading, self.reactor)
            result = msgspec.json.decode(content)
        except CancelledError:
            raise
        except Exception as error:
            self._call_counts["failed"] += 1
            raise StoreUnavailableError(
                f"the response to store call {kind} was lost ({error!r}); a write may "
                "have happened; read the record back",
            ) from error
        if not isinstance(result, dict):
            raise StoreUnavailableError(f"store call {kind} returned no JSON object")
        # The header of a renewal stands one level deeper.
        self.note_header(result.get("result", result))
        return result

    def _encode_key(self, key: str) -> str:
        return _encode_base64((self._prefix + key).encode())

    def _put_body(self, key: str, value: bytes, lease: int) -> dict[str, Any]:
        body = {"key": self._encode_key(key), "value": _encode_base64(value)}
        if lease:
            body["lease"] = str(lease)
        return body

    def _parse_records(self, result: dict[str, Any]) -> list[KeyValue]:
        return [self.parse_record(each) for each in result.get("kvs", [])]

    def parse_record(self, raw: dict[str, Any]) -> KeyValue:
        """Decode a record of a response."""
        return KeyValue(
            self.relative_key(raw["key"]),
            base64.b64decode(raw.get("value", "")),
            _parse_int(raw, "mod_revision"),
        )


_PATHS = {
    "range": "kv/range",
    "put": "kv/put",
    "txn": "kv/txn",
    "lease_grant": "lease/grant",
    "lease_keepalive": "lease/keepalive",
    "lease_revoke": "lease/revoke",
    "watch": "watch",
}


def _encode_base64(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _parse_int(raw: dict[str, Any], name: str) -> int:
    # The JSON gateway encodes 64-bit numbers as strings and omits zeros.
    return int(raw.get(name, 0))


def parse_revision(result: dict[str, Any]) -> int:
    """Return the store's revision from the header of a response."""
    return _parse_int(result.get("header", {}), "revision")
