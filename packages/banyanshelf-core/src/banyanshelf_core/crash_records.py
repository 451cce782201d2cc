"""What the members know about requests that crash upstreams.

Each member keeps a copy, and copies are merged without an order: a crash is known by
its id, and a clear names the crashes that it revokes. A message that is lost, repeated
or late therefore neither revives a revoked crash nor counts one twice.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import NamedTuple

from banyanshelf_core.model import UpstreamId

# These limits bound the memory; the entry changed longest ago is dropped first.
MAX_FINGERPRINTS = 4096
MAX_CRASHES_PER_FINGERPRINT = 16
# Requests with the most crashes, which the members repeat to each other.
MAX_REPEATED_FINGERPRINTS = 24


class CrashRow(NamedTuple):
    """One crash as members tell each other of it; ``age_s`` is in seconds."""

    fingerprint: str
    crash_id: str
    upstream: UpstreamId
    age_s: float
    is_cleared: bool = False


@dataclass(slots=True)
class _Crash:
    upstream: UpstreamId
    noticed_at: float
    is_cleared: bool = False


@dataclass(slots=True)
class _Entry:
    expires: float
    crash_by_id: dict[str, _Crash] = field(default_factory=dict)

    def count(self) -> int:
        """Return the number of crashes that have not been cleared."""
        return sum(not each.is_cleared for each in self.crash_by_id.values())


class CrashRecords:
    """Crashes by request fingerprint; times are in seconds.

    Example:
        After ``records.add(row, now, keep_s=600.0)``, ``records.count(fingerprint,
        now)`` includes the crash until it is cleared or ``keep_s`` have passed.

    """

    def __init__(self) -> None:
        self._entry_by_fingerprint: OrderedDict[str, _Entry] = OrderedDict()
        self._repeated = 0

    def __len__(self) -> int:
        """Return the number of requests that a crash is known of."""
        return len(self._entry_by_fingerprint)

    def add(self, row: CrashRow, now: float, keep_s: float) -> bool:
        """Add a crash; return whether it was not known."""
        noticed_at = now - row.age_s
        entry = self._entry(row.fingerprint, now, noticed_at + keep_s)
        known = entry.crash_by_id.get(row.crash_id)
        if known is not None:
            known.is_cleared = known.is_cleared or row.is_cleared
            return False
        entry.crash_by_id[row.crash_id] = _Crash(
            row.upstream, noticed_at, row.is_cleared
        )
        if len(entry.crash_by_id) > MAX_CRASHES_PER_FINGERPRINT:
            self._drop_one(entry)
        entry.expires = max(entry.expires, noticed_at + keep_s)
        return True

    def clear(self, fingerprint: str) -> list[str]:
        """Clear all known crashes of a request; return their ids."""
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            return []
        cleared = [
            crash_id
            for crash_id, crash in entry.crash_by_id.items()
            if not crash.is_cleared
        ]
        for crash_id in cleared:
            entry.crash_by_id[crash_id].is_cleared = True
        return cleared

    def count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes of a request that have not been cleared."""
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            return 0
        if now >= entry.expires:
            del self._entry_by_fingerprint[fingerprint]
            return 0
        return entry.count()

    def expires(self, fingerprint: str) -> float:
        """Return the time until which the crashes of a known request are kept."""
        return self._entry_by_fingerprint[fingerprint].expires

    def merge(
        self, rows: Iterable[CrashRow], now: float, keep_s: float
    ) -> list[CrashRow]:
        """Add the rows of another member; return those that it must correct."""
        corrections = []
        for row in rows:
            if row.age_s >= keep_s:
                continue
            self.add(row, now, keep_s)
            entry = self._entry_by_fingerprint[row.fingerprint]
            known = entry.crash_by_id.get(row.crash_id)
            if known is not None and known.is_cleared and not row.is_cleared:
                corrections.append(row._replace(is_cleared=True))
        return corrections

    def top_rows(self, now: float, limit: int) -> list[CrashRow]:
        """Return the crashes of the requests with the most of them."""
        return self._rows(now)[:limit]

    def next_rows(self, now: float, limit: int) -> list[CrashRow]:
        """Return some of these crashes, in turn from call to call."""
        rows = self._rows(now)
        if len(rows) <= limit:
            return rows
        start = self._repeated % len(rows)
        self._repeated = start + limit
        return (rows + rows)[start : start + limit]

    def _rows(self, now: float) -> list[CrashRow]:
        for fingerprint in [
            each
            for each, entry in self._entry_by_fingerprint.items()
            if now >= entry.expires
        ]:
            del self._entry_by_fingerprint[fingerprint]
        chosen = nlargest(
            MAX_REPEATED_FINGERPRINTS,
            self._entry_by_fingerprint.items(),
            key=lambda item: (item[1].count(), item[1].expires),
        )
        return [
            CrashRow(
                fingerprint,
                crash_id,
                crash.upstream,
                max(0.0, now - crash.noticed_at),
                crash.is_cleared,
            )
            for fingerprint, entry in chosen
            for crash_id, crash in entry.crash_by_id.items()
        ]

    def _entry(self, fingerprint: str, now: float, expires: float) -> _Entry:
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None or now >= entry.expires:
            entry = self._entry_by_fingerprint[fingerprint] = _Entry(expires)
            while len(self._entry_by_fingerprint) > MAX_FINGERPRINTS:
                self._entry_by_fingerprint.popitem(last=False)
        self._entry_by_fingerprint.move_to_end(fingerprint)
        return entry

    def _drop_one(self, entry: _Entry) -> None:
        """Drop a cleared crash, or the one noticed first."""
        crashes = entry.crash_by_id
        dropped = min(
            crashes,
            key=lambda each: (not crashes[each].is_cleared, crashes[each].noticed_at),
        )
        del crashes[dropped]
