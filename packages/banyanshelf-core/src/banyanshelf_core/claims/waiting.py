"""Claim requests that wait for a decision of the shard owner."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple

from banyanshelf_core.call_messages import ClaimStatus, StoredAnswer
from banyanshelf_core.messages import ClaimReply, ClaimRequest
from banyanshelf_core.model import MemberId, Send


class Waiter(NamedTuple):
    """A waiting request with its sender and the time by which it must be answered."""

    sender: MemberId
    request: ClaimRequest
    expires_at: float

    @property
    def key(self) -> str:
        """The digest of the claimed key."""
        return self.request.key_digest

    def reply(self, status: ClaimStatus, answer: StoredAnswer | None = None) -> Send:
        """Return the effect that answers the request."""
        message = ClaimReply(self.request.attempt_id, status.value, answer)
        return Send(self.sender, message)


class WaitingRequests:
    """Waiting requests by key and attempt, in order of arrival, with their expiry."""

    def __init__(self) -> None:
        self._waiters_by_key: dict[str, dict[str, Waiter]] = {}
        self._expiries: list[tuple[float, str, str]] = []

    def __len__(self) -> int:
        return sum(map(len, self._waiters_by_key.values()))

    @property
    def next_expiry(self) -> float | None:
        """Earliest expiry time, which may be that of a removed request."""
        return self._expiries[0][0] if self._expiries else None

    def add(self, waiter: Waiter) -> None:
        """Add a request; a repeated one replaces the earlier one."""
        attempt_id = waiter.request.attempt_id
        self._waiters_by_key.setdefault(waiter.key, {})[attempt_id] = waiter
        heappush(self._expiries, (waiter.expires_at, waiter.key, attempt_id))

    def remove(self, key: str, attempt_id: str) -> None:
        """Remove a request if it is waiting."""
        waiting = self._waiters_by_key.get(key, {})
        waiting.pop(attempt_id, None)
        if not waiting:
            self._waiters_by_key.pop(key, None)

    def pop_key(self, key: str) -> list[Waiter]:
        """Remove and return the requests for a key."""
        return list(self._waiters_by_key.pop(key, {}).values())

    def pop_all(self) -> list[Waiter]:
        """Remove and return all requests."""
        waiters = [
            waiter
            for waiting in self._waiters_by_key.values()
            for waiter in waiting.values()
        ]
        self._waiters_by_key.clear()
        self._expiries.clear()
        return waiters

    def pop_expired(self, now: float) -> list[Waiter]:
        """Remove and return the requests that have expired."""
        expired: list[Waiter] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, key, attempt_id = heappop(self._expiries)
            waiter = self._waiters_by_key.get(key, {}).get(attempt_id)
            if waiter is not None and waiter.expires_at <= now:
                self.remove(key, attempt_id)
                expired.append(waiter)
        return expired
