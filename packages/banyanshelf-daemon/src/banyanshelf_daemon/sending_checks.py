"""What a call checks at the moment of sending."""

from __future__ import annotations

from banyanshelf_daemon.call_results import ResolvableCall
from banyanshelf_daemon.interfaces import Permit


class CheckedCall(ResolvableCall):
    """A call that checks its limits again when a permit arrives.

    Between the request for a permit and its arrival, another attempt may have been
    sent, the request may have been quarantined, and the upstream may have left.
    """

    def _has_attempts_left(self) -> bool:
        """Whether one more attempt may be sent, be it a retry or a hedged attempt.

        Permits for both can be pending at the same time, so this is asked at the moment
        of sending.
        """
        limit = self.route.max_attempts or self.route.service.max_attempts
        return self._attempt_count < limit

    def _is_used(self, permit: Permit) -> bool:
        """Whether an attempt that was sent meanwhile went to the same upstream."""
        return permit.upstream.id in self._used_upstreams

    def _wants_no_requests(self, permit: Permit) -> bool:
        """Whether the upstream of a permit is in a pause; it is not tried again then.

        What chose the upstream may not know of the pause.
        """
        upstream = permit.upstream
        left_s = self.services.paused_for_s(upstream)
        if not left_s:
            return False
        self._used_upstreams |= {upstream.id}
        self._shortest_pause_s = min(self._shortest_pause_s, left_s)
        self.services.log.event(
            "upstream wants no requests",
            request_id=self.request_id,
            upstream=upstream.id,
            left_s=round(left_s, 3),
        )
        return True

    def _left_quarantine_s(self) -> float | None:
        crashes = self.services.crashes
        if not crashes.guard.has_tracked_requests:
            return None
        return crashes.refused_for_s(self.fingerprint(), self.request_id)

    def _is_quarantined(self) -> bool:
        refused_for_s = self._left_quarantine_s()
        if refused_for_s is None:
            return False
        self.finish_problem(
            503,
            "this request has crashed the servers that ran it; do not repeat it",
            "http_request_denied",
            refused_for_s,
        )
        return True
