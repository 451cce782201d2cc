"""Store access of the claim shards, limited by the store call budget."""

from __future__ import annotations

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from banyanshelf_core.errors import StoreBudgetError
from banyanshelf_core.store_transactions import Compare, Put, Transaction
from banyanshelf_daemon.claim_service import TransactionOutcome
from banyanshelf_daemon.store_client import StoreClient

# Store calls that claims leave to membership and configuration, which would otherwise
# be delayed by the takeover of 16 claim shards at the start of a daemon.
RESERVED_CALLS = 10


class BudgetedClaimStore:
    """Implements ``ClaimStore`` on the daemon's store client and its call budget."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def transact(
        self,
        compares: Sequence[tuple[str, int]],
        puts: Sequence[tuple[str, bytes]],
        deletes: Sequence[str],
    ) -> Deferred[TransactionOutcome]:
        """Apply all puts and deletes if every key has the given mod revision."""
        transaction = Transaction(
            compares=tuple(Compare(*each) for each in compares),
            puts=tuple(Put(*each) for each in puts),
            deletes=tuple(deletes),
        )
        return Deferred.fromCoroutine(self._transact(transaction))

    async def _transact(self, transaction: Transaction) -> TransactionOutcome:
        self._check_budget()
        result = await self._store.transact(transaction)
        return TransactionOutcome(result.succeeded, result.revision)

    def get_range(self, prefix: str) -> Deferred[list[tuple[str, bytes, int]]]:
        """Return (key, value, mod revision) of every key with the prefix."""
        return Deferred.fromCoroutine(self._get_range(prefix))

    async def _get_range(self, prefix: str) -> list[tuple[str, bytes, int]]:
        self._check_budget()
        result = await self._store.get_prefix(prefix)
        return [(each.key, each.value, each.mod_revision) for each in result.records]

    def _check_budget(self) -> None:
        if self._store.budget_left() <= RESERVED_CALLS:
            raise StoreBudgetError(
                "the remaining store calls are reserved for membership and "
                "configuration; try again later or raise store_calls_per_second",
            )
