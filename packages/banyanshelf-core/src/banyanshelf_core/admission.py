"""The queue of calls that wait for a permit of one service at one gateway."""

from __future__ import annotations

from bisect import insort
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from banyanshelf_core.model import CallId, UpstreamId


class WaitingCall(NamedTuple):
    """A call that needs a permit; ``arrived`` and ``deadline`` are in seconds."""

    call_id: CallId
    caller_service: str
    depth: int
    arrived: float
    deadline: float
    idempotent: bool = True
    excluded: frozenset[UpstreamId] = frozenset()

    def sort_key(self) -> tuple[int, float, CallId]:
        """Return the sort key: deeper calls first, then older ones.

        Deeper calls go first so that requests in progress can finish.
        """
        return (-self.depth, self.arrived, self.call_id)


class AdmissionQueue:
    """Waiting calls by caller service, with weighted shares of the concurrency.

    A caller service below its share is served before one that exceeds its share. If no
    other caller service has waiting calls, one may use the whole concurrency.
    """

    def __init__(self, limit: int, weights_by_caller: Mapping[str, int]) -> None:
        self.limit = limit
        self.weights_by_caller = weights_by_caller
        self._calls_by_caller: dict[str, list[WaitingCall]] = {}
        self._callers_by_id: dict[CallId, WaitingCall] = {}
        self.in_use_by_caller: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._callers_by_id)

    def __iter__(self) -> Iterator[WaitingCall]:
        return iter(list(self._callers_by_id.values()))

    def weight(self, caller_service: str) -> int:
        """Return the weight of a caller service; 1 unless configured."""
        return max(1, self.weights_by_caller.get(caller_service, 1))

    def add(self, call: WaitingCall) -> WaitingCall | None:
        """Queue a call.

        If the queue is full, returns the call that is shed, which may be the new one.
        """
        shed = self._select_shed_call(call) if len(self) >= self.limit else None
        if shed is call:
            return call
        if shed is not None:
            self.remove(shed.call_id)
        calls = self._calls_by_caller.setdefault(call.caller_service, [])
        insort(calls, call, key=WaitingCall.sort_key)
        self._callers_by_id[call.call_id] = call
        return shed

    def remove(self, call_id: CallId) -> WaitingCall | None:
        """Remove and return a call, or return None if it is not in the queue."""
        call = self._callers_by_id.pop(call_id, None)
        if call is None:
            return None
        calls = self._calls_by_caller[call.caller_service]
        calls.remove(call)
        if not calls:
            del self._calls_by_caller[call.caller_service]
        return call

    def take(
        self, upstream_id: UpstreamId, *, only_idempotent: bool = False
    ) -> WaitingCall | None:
        """Remove and return the next call that may use a permit of an upstream."""
        candidates = []
        for caller, calls in self._calls_by_caller.items():
            for call in calls:
                if upstream_id not in call.excluded and (
                    call.idempotent or not only_idempotent
                ):
                    candidates.append((caller, call))
                    break
        if not candidates:
            return None
        if len(candidates) == 1:
            return self.remove(candidates[0][1].call_id)
        shares = self._shares()
        below_share = [
            call
            for caller, call in candidates
            if self.in_use_by_caller[caller] < shares[caller]
        ]
        if below_share:
            return self.remove(min(below_share, key=WaitingCall.sort_key).call_id)
        _, call = min(
            candidates,
            key=lambda each: (
                self.in_use_by_caller[each[0]] / self.weight(each[0]),
                each[1].sort_key(),
            ),
        )
        return self.remove(call.call_id)

    def oldest_arrival(self) -> float | None:
        """Return the arrival time of the call that has waited longest."""
        if not self._callers_by_id:
            return None
        # The dict keeps insertion order, which is the order of arrival.
        return next(iter(self._callers_by_id.values())).arrived

    def urgent_count(self) -> int:
        """Return the number of waiting calls of caller services below their share.

        Calls in the longest weighted queue do not count, because they are what the
        others wait for.
        """
        if len(self._calls_by_caller) < 2:
            return 0
        lengths = {
            caller: len(calls) / self.weight(caller)
            for caller, calls in self._calls_by_caller.items()
        }
        longest = max(lengths.values())
        shares = self._shares()
        return sum(
            len(self._calls_by_caller[caller])
            for caller, length in lengths.items()
            if length < longest and self.in_use_by_caller[caller] < shares[caller]
        )

    def count_ahead(self, depth: int) -> int:
        """Return how many waiting calls precede a new call of the given depth."""
        return sum(1 for each in self._callers_by_id.values() if each.depth >= depth)

    def excluded_by_all(self) -> frozenset[UpstreamId]:
        """Return the upstreams that no waiting call can use."""
        result: frozenset[UpstreamId] | None = None
        for call in self._callers_by_id.values():
            if not call.excluded:
                return frozenset()
            result = call.excluded if result is None else result & call.excluded
        return result or frozenset()

    def _shares(self) -> dict[str, float]:
        """Return each active caller service's share of the concurrency."""
        callers = set(self._calls_by_caller) | {
            caller for caller, count in self.in_use_by_caller.items() if count
        }
        total_weight = sum(self.weight(each) for each in callers)
        concurrency = sum(self.in_use_by_caller.values()) + 1
        return {
            each: self.weight(each) * concurrency / total_weight for each in callers
        }

    def _select_shed_call(self, call: WaitingCall) -> WaitingCall:
        """Return the call to shed: the last one in the longest weighted queue."""
        lengths = {
            caller: (len(calls) + (caller == call.caller_service)) / self.weight(caller)
            for caller, calls in self._calls_by_caller.items()
        }
        lengths.setdefault(call.caller_service, 1 / self.weight(call.caller_service))
        longest = max(lengths, key=lambda each: (lengths[each], each))
        calls = list(self._calls_by_caller.get(longest, []))
        if longest == call.caller_service:
            calls.append(call)
        return max(calls, key=WaitingCall.sort_key)
