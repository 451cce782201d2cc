"""Detects requests that crash upstreams, and quarantines them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

from banyanshelf_core.call_messages import CrashClear, CrashMark
from banyanshelf_core.crash_records import CrashRecords, CrashRow, QuarantineRules
from banyanshelf_core.model import Broadcast, MemberId, Upstream, UpstreamId
from banyanshelf_core.silent_attempts import SilentAttempts
from banyanshelf_core.text import Protection

INCIDENT_WINDOW_S = 0.5
MICROSECONDS_PER_SECOND = 1_000_000
# One cut connection may be a network failure. An upstream that crashed also cuts or
# refuses another connection.
MIN_CUTS_PER_CRASH = 2
# These limits bound the memory; the oldest entry is dropped first.
MAX_INCIDENTS = 1024
MAX_FINGERPRINTS_PER_INCIDENT = 64
# A server gives these to requests that it has not processed.
UNPROCESSED_STATUSES = frozenset({408, 421, 425, 429})


def shows_completed_run(status: int) -> bool:
    """Whether a server that answers with ``status`` has run the request to its end.

    Errors of the server do not show it: they can precede the part of the request that
    crashes it.
    """
    return status < 500 and status not in UNPROCESSED_STATUSES


def request_fingerprint(
    scope: str,
    method: str,
    target: bytes,
    content_type: bytes,
    body_blocks: Iterable[bytes] = (),
    body_bytes: int = 0,
) -> str:
    """Return a digest that is equal for equal requests, whoever sends them.

    ``scope`` tells requests to different hosts or services apart.
    """
    content = sha256()
    # Without the length prefixes, different requests could give the same bytes.
    for part in (scope.encode(), method.encode(), target, content_type):
        content.update(b"%d:" % len(part))
        content.update(part)
    content.update(b"%d:" % body_bytes)
    for block in body_blocks:
        content.update(block)
    return content.hexdigest()


@dataclass(slots=True)
class _Incident:
    started: float
    crash_id: str
    cut_connections: int = 0
    fingerprints: set[str] = field(default_factory=set)


class CrashGuard:
    """Counts crashes by request fingerprint and refuses requests at the crash limit.

    A request is marked when its connection is cut before the answer and the upstream
    refuses or cuts another connection within 500 ms. All cuts in that time belong to
    one crash, which marks a request once. Marks are shared with all members.

    A request whose upstream goes silent is marked when the upstream's next connection
    or health check fails too.

    Example:
        After ``guard.record_connection_cut("desk-1", now, protection, fingerprint)``
        for the call, ``guard.record_connection_cut("desk-1", now, protection)`` for
        another connection returns the ``Broadcast`` of a ``CrashMark``.

    """

    def __init__(self, member_id: MemberId, start_id: str) -> None:
        """Create a guard; ``start_id`` differs for each start of the member."""
        self._crash_id_prefix = f"{member_id}/{start_id}"
        self._crashes = 0
        self._incidents: OrderedDict[UpstreamId, _Incident] = OrderedDict()
        self.records = CrashRecords()
        self._suspects: set[str] = set()
        self._silent = SilentAttempts()

    @property
    def has_tracked_requests(self) -> bool:
        """Whether any request is marked or suspected.

        If not, callers need not compute fingerprints.
        """
        return bool(len(self.records) or self._suspects or self._silent.has_suspects)

    def record_connection_cut(
        self,
        upstream_id: UpstreamId,
        now: float,
        protection: Protection,
        fingerprint: str | None = None,
    ) -> list[Broadcast]:
        """Record a connection that the upstream refused or cut.

        ``fingerprint`` is that of the request whose answer is incomplete, if any.
        """
        incident = self._incidents.get(upstream_id)
        if incident is None or now - incident.started > INCIDENT_WINDOW_S:
            incident = self._begin_incident(upstream_id, now)
        incident.cut_connections += 1
        if fingerprint is not None and (
            len(incident.fingerprints) < MAX_FINGERPRINTS_PER_INCIDENT
        ):
            incident.fingerprints.add(fingerprint)
            self._suspects.add(fingerprint)
        if incident.cut_connections < MIN_CUTS_PER_CRASH:
            return []
        return self._mark(
            incident.crash_id,
            sorted(incident.fingerprints),
            upstream_id,
            now,
            protection,
        )

    def record_silence(
        self, upstream: Upstream, fingerprint: str, *, sent_at: float, now: float
    ) -> None:
        """Record a request that was sent and got no byte of an answer."""
        self._silent.add(upstream, fingerprint, sent_at=sent_at, now=now)

    def record_unanswered_check(
        self,
        upstream_id: UpstreamId,
        now: float,
        protection: Protection,
        heard_at: float,
    ) -> list[Broadcast]:
        """Record a connection or health check that got no answer.

        ``heard_at`` is the last time that any member has heard of the upstream: a link
        may have failed instead.
        """
        crash = self._silent.take(upstream_id, now, heard_at)
        if crash is None:
            return []
        return self._mark(
            crash.crash_id, crash.fingerprints, upstream_id, now, protection
        )

    def record_upstream_answer(self, upstream_id: UpstreamId) -> None:
        """Record that an upstream has answered a request or a health check."""
        self._silent.answered(upstream_id)

    def record_answer(self, fingerprint: str) -> list[Broadcast]:
        """Remove the marks of a request that an upstream has run to its end."""
        self._silent.forget(fingerprint)
        if fingerprint in self._suspects:
            self._suspects.discard(fingerprint)
            for incident in self._incidents.values():
                incident.fingerprints.discard(fingerprint)
        cleared = self.records.clear(fingerprint)
        return [Broadcast(CrashClear(fingerprint, cleared))] if cleared else []

    def receive_mark(self, mark: CrashMark, now: float, protection: Protection) -> None:
        """Add a mark received from another member."""
        age_s = max(0, mark.age_us) / MICROSECONDS_PER_SECOND
        row = CrashRow(mark.fingerprint, mark.crash_id, mark.upstream, age_s)
        self.receive_rows([row], now, protection)

    def receive_clear(
        self, clear: CrashClear, now: float, protection: Protection
    ) -> None:
        """Remove the marks of a request that another member saw answered."""
        if not clear.crash_ids:
            self.records.clear(clear.fingerprint)
        # A mark that arrives after its clear must not count.
        self.receive_rows(
            [
                CrashRow(clear.fingerprint, crash_id, "", 0.0, is_cleared=True)
                for crash_id in clear.crash_ids
            ],
            now,
            protection,
        )

    def receive_rows(
        self, rows: Iterable[CrashRow], now: float, protection: Protection
    ) -> list[CrashRow]:
        """Merge what another member knows; return what it has to be corrected in."""
        rules = QuarantineRules.from_protection(protection)
        return self.records.merge(rows, now, rules)

    def is_suspect(self, fingerprint: str, now: float, protection: Protection) -> bool:
        """Whether a request may have crashed as many upstreams as the limit allows.

        Unconfirmed cuts count too, because a retry can be sent before the refused
        connection that confirms the crash.
        """
        rules = QuarantineRules.from_protection(protection)
        marked = self.records.count(fingerprint, now, rules)
        unconfirmed = sum(
            1
            for incident in self._incidents.values()
            if fingerprint in incident.fingerprints
            and incident.cut_connections < MIN_CUTS_PER_CRASH
            and now - incident.started <= INCIDENT_WINDOW_S
        )
        return marked + unconfirmed >= protection.crash_limit

    def refused_for_s(
        self, fingerprint: str, now: float, protection: Protection
    ) -> float | None:
        """Return the seconds of quarantine left, or None if the request may run."""
        rules = QuarantineRules.from_protection(protection)
        return self.records.refused_for_s(fingerprint, now, rules)

    def _mark(
        self,
        crash_id: str,
        fingerprints: list[str],
        upstream_id: UpstreamId,
        now: float,
        protection: Protection,
    ) -> list[Broadcast]:
        rules = QuarantineRules.from_protection(protection)
        return [
            Broadcast(CrashMark(marked, crash_id, upstream_id))
            for marked in fingerprints
            if self.records.add(
                CrashRow(marked, crash_id, upstream_id, 0.0), now, rules
            )
        ]

    def _begin_incident(self, upstream_id: UpstreamId, now: float) -> _Incident:
        self._crashes += 1
        self._forget(self._incidents.pop(upstream_id, None))
        incident = _Incident(now, f"{self._crash_id_prefix}/{self._crashes}")
        self._incidents[upstream_id] = incident
        while len(self._incidents) > MAX_INCIDENTS:
            self._forget(self._incidents.popitem(last=False)[1])
        return incident

    def _forget(self, incident: _Incident | None) -> None:
        if incident is not None:
            self._suspects -= incident.fingerprints
