"""What the members know about requests that crash upstreams.

Each member keeps a copy, and copies are merged without an order: a crash is known by
its id, and a clear names the crashes that it revokes. A message that is lost, repeated
or late therefore neither revives a revoked crash nor counts one twice.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import NamedTuple

from banyanshelf_core.model import UpstreamId
from banyanshelf_core.text import Protection

# These limits bound the memory; the entry changed longest ago is dropped first.
MAX_FINGERPRINTS = 4096
MAX_CRASHES_PER_FINGERPRINT = 8
# Requests with the most crashes, which the members repeat to each other.
MAX_REPEATED_FINGERPRINTS = 24
# The quarantine does not grow beyond 16 times its first length.
MAX_DOUBLINGS = 4
# Members notice one crash of an upstream within this time of each other; an upstream
# takes longer to start again.
SAME_CRASH_S = 1.0


class QuarantineRules(NamedTuple):
    """How long a request is refused after it has crashed upstreams.

    The quarantine begins with ``crash_limit`` crashes and lasts ``first_s`` seconds;
    each further crash doubles it. The crashes are kept for twice as long, so that one
    more of them ends the trial that follows a quarantine.
    """

    crash_limit: int
    first_s: float

    @classmethod
    def from_protection(cls, protection: Protection) -> QuarantineRules:
        """Return the rules that an operators' text sets."""
        return cls(protection.crash_limit, protection.crash_quarantine_s)

    def quarantine_s(self, crashes: int) -> float:
        """Return the length of the quarantine after so many crashes."""
        if crashes < self.crash_limit:
            return 0.0
        return self.first_s * 2.0 ** min(crashes - self.crash_limit, MAX_DOUBLINGS)

    def kept_s(self, crashes: int) -> float:
        """Return how long so many crashes are known, counted from the last one."""
        return max(self.first_s, 2 * self.quarantine_s(crashes))


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
    crash_by_id: dict[str, _Crash] = field(default_factory=dict)

    def count(self) -> int:
        """Return the number of crashes that have not been cleared.

        What several members have noticed at one upstream is one crash.
        """
        counted_at: dict[UpstreamId, float] = {}
        count = 0
        for crash in sorted(
            self.crash_by_id.values(), key=lambda each: each.noticed_at
        ):
            if crash.is_cleared:
                continue
            earlier = counted_at.get(crash.upstream, -math.inf)
            if not crash.upstream or crash.noticed_at - earlier > SAME_CRASH_S:
                counted_at[crash.upstream] = crash.noticed_at
                count += 1
        return count

    def last_noticed_at(self) -> float:
        """Return the time of the newest crash."""
        return max(each.noticed_at for each in self.crash_by_id.values())

    def is_kept(self, now: float, rules: QuarantineRules) -> bool:
        """Whether the crashes still matter; cleared ones are kept as long as others."""
        kept_s = rules.kept_s(len(self.crash_by_id))
        return now < self.last_noticed_at() + kept_s

    def add(self, row: CrashRow, now: float) -> bool:
        """Add a crash or its clear; return whether the crash was not known."""
        known = self.crash_by_id.get(row.crash_id)
        if known is not None:
            known.is_cleared = known.is_cleared or row.is_cleared
            return False
        self.crash_by_id[row.crash_id] = _Crash(
            row.upstream, now - row.age_s, row.is_cleared
        )
        if len(self.crash_by_id) > MAX_CRASHES_PER_FINGERPRINT:
            self._drop_one()
        return True

    def clear(self) -> list[str]:
        """Clear all crashes; return the ids of those that were not."""
        cleared = [
            crash_id
            for crash_id, crash in self.crash_by_id.items()
            if not crash.is_cleared
        ]
        for crash_id in cleared:
            self.crash_by_id[crash_id].is_cleared = True
        return cleared

    def rows(self, fingerprint: str, now: float) -> list[CrashRow]:
        """Return the crashes as members tell each other of them."""
        return [
            CrashRow(
                fingerprint,
                crash_id,
                crash.upstream,
                max(0.0, now - crash.noticed_at),
                crash.is_cleared,
            )
            for crash_id, crash in self.crash_by_id.items()
        ]

    def _drop_one(self) -> None:
        """Drop a cleared crash, or the one noticed first."""
        crashes = self.crash_by_id
        del crashes[
            min(
                crashes,
                key=lambda each: (
                    not crashes[each].is_cleared,
                    crashes[each].noticed_at,
                ),
            )
        ]


class CrashRecords:
    """Crashes by request fingerprint; times are in seconds.

    Example:
        After ``records.add(row, now, rules)``, ``records.refused_for_s(row.fingerprint,
        now, rules)`` is the rest of the quarantine once the limit is reached.

    """

    def __init__(self) -> None:
        self._entry_by_fingerprint: OrderedDict[str, _Entry] = OrderedDict()
        self._repeated = 0

    def __len__(self) -> int:
        """Return the number of requests that a crash is known of."""
        return len(self._entry_by_fingerprint)

    def add(self, row: CrashRow, now: float, rules: QuarantineRules) -> bool:
        """Add a crash; return whether it was not known."""
        self._live_entry(row.fingerprint, now, rules)
        return self._entry(row.fingerprint).add(row, now)

    def clear(self, fingerprint: str) -> list[str]:
        """Clear all known crashes of a request; return their ids."""
        entry = self._entry_by_fingerprint.get(fingerprint)
        return [] if entry is None else entry.clear()

    def count(self, fingerprint: str, now: float, rules: QuarantineRules) -> int:
        """Return the number of crashes of a request that have not been cleared."""
        entry = self._live_entry(fingerprint, now, rules)
        return 0 if entry is None else entry.count()

    def refused_for_s(
        self, fingerprint: str, now: float, rules: QuarantineRules
    ) -> float | None:
        """Return the seconds of quarantine left, or None if the request may run."""
        entry = self._live_entry(fingerprint, now, rules)
        if entry is None:
            return None
        quarantine_s = rules.quarantine_s(entry.count())
        left_s = entry.last_noticed_at() + quarantine_s - now
        return left_s if quarantine_s and left_s > 0 else None

    def merge(
        self, rows: Iterable[CrashRow], now: float, rules: QuarantineRules
    ) -> list[CrashRow]:
        """Add the rows of another member; return those that it must correct.

        How long crashes are kept depends on their number, so that all rows of a request
        are added before old ones are dropped.
        """
        corrections = []
        fingerprints = set()
        for row in rows:
            if row.fingerprint not in fingerprints:
                fingerprints.add(row.fingerprint)
                self._live_entry(row.fingerprint, now, rules)
            entry = self._entry(row.fingerprint)
            entry.add(row, now)
            known = entry.crash_by_id.get(row.crash_id)
            if known is not None and known.is_cleared and not row.is_cleared:
                corrections.append(row._replace(is_cleared=True))
        for fingerprint in fingerprints:
            self._live_entry(fingerprint, now, rules)
        return corrections

    def top_rows(
        self, now: float, rules: QuarantineRules, limit: int
    ) -> list[CrashRow]:
        """Return the crashes of the requests with the most of them."""
        return _whole_entries(self._repeated_entries(now, rules), now, limit)

    def next_rows(
        self, now: float, rules: QuarantineRules, limit: int
    ) -> list[CrashRow]:
        """Return some of these crashes, in turn from call to call."""
        entries = self._repeated_entries(now, rules)
        start = self._repeated % max(1, len(entries))
        rows = _whole_entries(entries[start:] + entries[:start], now, limit)
        self._repeated = start + len({each.fingerprint for each in rows})
        return rows

    def _repeated_entries(
        self, now: float, rules: QuarantineRules
    ) -> list[tuple[str, _Entry]]:
        for fingerprint in list(self._entry_by_fingerprint):
            self._live_entry(fingerprint, now, rules)
        return nlargest(
            MAX_REPEATED_FINGERPRINTS,
            self._entry_by_fingerprint.items(),
            key=lambda item: (item[1].count(), item[1].last_noticed_at()),
        )

    def _live_entry(
        self, fingerprint: str, now: float, rules: QuarantineRules
    ) -> _Entry | None:
        """Return the entry of a request, or None; an old one is dropped."""
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None or entry.is_kept(now, rules):
            return entry
        del self._entry_by_fingerprint[fingerprint]
        return None

    def _entry(self, fingerprint: str) -> _Entry:
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            entry = self._entry_by_fingerprint[fingerprint] = _Entry()
            while len(self._entry_by_fingerprint) > MAX_FINGERPRINTS:
                self._entry_by_fingerprint.popitem(last=False)
        self._entry_by_fingerprint.move_to_end(fingerprint)
        return entry


def _whole_entries(
    entries: list[tuple[str, _Entry]], now: float, limit: int
) -> list[CrashRow]:
    """Return all rows of the first entries that fit into the limit."""
    rows: list[CrashRow] = []
    for fingerprint, entry in entries:
        if len(rows) + len(entry.crash_by_id) > limit:
            break
        rows += entry.rows(fingerprint, now)
    return rows
