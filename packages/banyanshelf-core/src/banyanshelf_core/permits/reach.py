"""Tracks whether the coordinator is reachable and the gateway's permits are valid."""

from __future__ import annotations

# A coordinator that knows of waiting calls sends a message at least every 100 ms.
SILENCE_TIMEOUT_S = 0.3


class CoordinatorReachability:
    """Link state and last message of the coordinator, as one gateway sees them."""

    def __init__(self, permit_lease_s: float) -> None:
        self.is_reachable = False
        self.is_silent = False
        self._is_linked = False
        self._permit_lease_s = permit_lease_s
        self._last_message_at = 0.0
        self._holdings_sent_at = 0.0
        self._unreachable_since = 0.0
        self._last_tick_at = float("inf")

    def set_link(self, now: float, *, is_up: bool) -> None:
        """Record that the link came up or went down."""
        if is_up:
            self._last_message_at = now
        elif self.is_reachable:
            self._unreachable_since = now
        self._is_linked = self.is_reachable = is_up
        self.is_silent = False

    def note_message(self, now: float) -> bool:
        """Record a message; returns whether it ended a silence while the link is up."""
        self._last_message_at = now
        was_silent = self.is_silent
        self.is_silent = False
        self.is_reachable = self._is_linked
        return was_silent and self._is_linked

    def note_holdings_sent(self, now: float) -> None:
        """Record that holdings were sent, which the coordinator answers."""
        self._holdings_sent_at = now

    def may_resend_holdings(self, now: float) -> bool:
        """Whether to send holdings again to a silent coordinator."""
        return self.is_silent and now - self._holdings_sent_at >= SILENCE_TIMEOUT_S

    def tick(self, now: float, waiting_since: float | None) -> None:
        """Detect a coordinator that sends nothing although calls are waiting."""
        self._last_tick_at = now
        if not self.is_reachable or waiting_since is None:
            return
        if now - max(self._last_message_at, waiting_since) >= SILENCE_TIMEOUT_S:
            self.is_silent = True
            self.is_reachable = False
            self._unreachable_since = now

    def have_permits_expired(self, now: float) -> bool:
        """Whether a coordinator may have reclaimed this gateway's permits by now.

        Without a tick for the length of the permit lease, this process was paused and
        may not have noticed yet that it was removed.
        """
        if now - self._last_tick_at >= self._permit_lease_s:
            return True
        if self.is_reachable:
            return False
        return now - self._unreachable_since >= self._permit_lease_s
