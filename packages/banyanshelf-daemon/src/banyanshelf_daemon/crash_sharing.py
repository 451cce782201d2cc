"""Shares what the members know about requests that crash upstreams."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from banyanshelf_core.call_messages import CrashClear, CrashMark
from banyanshelf_core.crash_guard import MICROSECONDS_PER_SECOND, CrashGuard
from banyanshelf_core.crash_records import CrashRow, QuarantineRules
from banyanshelf_core.model import Broadcast, MemberId, Upstream, UpstreamId
from banyanshelf_core.text import Protection
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.interfaces import PeerNetwork
from banyanshelf_daemon.metrics import Metrics

# Enough to find a fingerprint in the log lines of all members.
LOGGED_FINGERPRINT_CHARACTERS = 16
MAX_ROWS_PER_LINK = 128


class CrashSharing:
    """Keeps the crash guard of a member, and tells the others what it notices."""

    def __init__(
        self,
        reactor: Any,
        member_id: MemberId,
        start_id: str,
        protection: Callable[[], Protection],
        network: PeerNetwork,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.guard = CrashGuard(member_id, start_id)
        self._now: Callable[[], float] = reactor.seconds
        self._protection = protection
        self._network = network
        self._log = log
        self._metrics = metrics
        network.subscribe(CrashMark, self._receive_mark)
        network.subscribe(CrashClear, self._receive_clear)
        network.on_link_change(self._link_changed)

    def record_cut(
        self,
        upstream_id: UpstreamId,
        fingerprint: str | None = None,
        request_id: str = "",
    ) -> None:
        """Handle a connection that the upstream refused or cut.

        ``fingerprint`` and ``request_id`` are those of the request that was cut, if
        any.
        """
        if fingerprint is not None:
            self._metrics.count("crash.cut")
            self._log.event(
                "request cut",
                request_id=request_id,
                upstream=upstream_id,
                fingerprint=_short(fingerprint),
            )
        effects = self.guard.record_connection_cut(
            upstream_id, self._now(), self._protection(), fingerprint
        )
        self._tell_marks(upstream_id, effects)

    def record_silence(
        self, upstream: Upstream, fingerprint: str, request_id: str, sent_at: float
    ) -> None:
        """Handle a request that its upstream has not answered with any byte."""
        self._metrics.count("crash.silent")
        self._log.event(
            "request unanswered",
            request_id=request_id,
            upstream=upstream.id,
            fingerprint=_short(fingerprint),
        )
        self.guard.record_silence(
            upstream, fingerprint, sent_at=sent_at, now=self._now()
        )

    def record_unanswered_check(self, upstream_id: UpstreamId, heard_at: float) -> None:
        """Handle a connection or health check that an upstream has not answered."""
        effects = self.guard.record_unanswered_check(
            upstream_id, self._now(), self._protection(), heard_at
        )
        self._tell_marks(upstream_id, effects)

    def record_answer(self, fingerprint: str, request_id: str, status: int) -> None:
        """Clear the marks of a request that has been answered."""
        effects = self.guard.record_answer(fingerprint)
        if effects:
            self._metrics.count("crash.cleared")
            self._log.event(
                "crash marks cleared",
                request_id=request_id,
                fingerprint=_short(fingerprint),
                status=status,
            )
        self._broadcast(effects)

    def is_suspect(self, fingerprint: str, request_id: str, attempts: int) -> bool:
        """Whether a request must not be retried, as it may crash a further upstream."""
        if not self.guard.is_suspect(fingerprint, self._now(), self._protection()):
            return False
        self._metrics.count("crash.retry_held_back")
        self._log.event(
            "request suspected of crashes",
            request_id=request_id,
            fingerprint=_short(fingerprint),
            attempts=attempts,
        )
        return True

    def refused_for_s(self, fingerprint: str, request_id: str) -> float | None:
        """Return the seconds of quarantine left, or None if the request may run."""
        left_s = self.guard.refused_for_s(fingerprint, self._now(), self._protection())
        if left_s is not None:
            self._metrics.count("crash.refused")
            self._log.event(
                "request_quarantined",
                request_id=request_id,
                fingerprint=_short(fingerprint),
                left_s=round(left_s, 1),
            )
        return left_s

    def top_rows(self, limit: int) -> list[CrashRow]:
        """Return the crashes of the requests with the most of them."""
        return self.guard.records.top_rows(self._now(), self._rules(), limit)

    def next_rows(self, limit: int) -> list[CrashRow]:
        """Return some of these crashes, in turn from call to call."""
        return self.guard.records.next_rows(self._now(), self._rules(), limit)

    def receive_rows(
        self, sender: MemberId, rows: Iterable[CrashRow]
    ) -> list[CrashRow]:
        """Merge what another member repeats; return what it must be corrected in."""
        known = len(self.guard.records)
        corrections = self.guard.receive_rows(rows, self._now(), self._protection())
        learned = len(self.guard.records) - known
        if learned > 0:
            self._metrics.count("crash.learned_late", learned)
            self._log.event("crashes learned late", sender=sender, requests=learned)
        return corrections

    def _rules(self) -> QuarantineRules:
        return QuarantineRules.from_protection(self._protection())

    def _tell_marks(self, upstream_id: UpstreamId, effects: list[Broadcast]) -> None:
        for effect in effects:
            self._metrics.count("crash.marked")
            self._log.warning(
                "crash_marked",
                upstream=upstream_id,
                fingerprint=_short(_fingerprint_of(effect)),
            )
        self._broadcast(effects)

    def _broadcast(self, effects: list[Broadcast]) -> None:
        for effect in effects:
            self._network.broadcast(effect.message)

    def _receive_mark(self, sender: MemberId, mark: CrashMark) -> None:
        self._metrics.count("crash.mark_received")
        self._log.event(
            "crash mark received",
            sender=sender,
            fingerprint=_short(mark.fingerprint),
            crash=mark.crash_id,
        )
        self.guard.receive_mark(mark, self._now(), self._protection())

    def _receive_clear(self, sender: MemberId, clear: CrashClear) -> None:
        self._metrics.count("crash.clear_received")
        self._log.event(
            "crash clear received", sender=sender, fingerprint=_short(clear.fingerprint)
        )
        self.guard.receive_clear(clear, self._now(), self._protection())

    def _link_changed(self, member_id: MemberId, is_up: bool) -> None:
        """Repeat what the member may have missed without a link."""
        if not is_up:
            return
        for row in self.top_rows(MAX_ROWS_PER_LINK):
            message: CrashMark | CrashClear
            if row.is_cleared:
                message = CrashClear(row.fingerprint, [row.crash_id])
            else:
                age_us = int(row.age_s * MICROSECONDS_PER_SECOND)
                message = CrashMark(row.fingerprint, row.crash_id, row.upstream, age_us)
            self._network.send(member_id, message)


def _fingerprint_of(effect: Broadcast) -> str:
    message = effect.message
    return message.fingerprint if isinstance(message, CrashMark | CrashClear) else ""


def _short(fingerprint: str) -> str:
    return fingerprint[:LOGGED_FINGERPRINT_CHARACTERS]
