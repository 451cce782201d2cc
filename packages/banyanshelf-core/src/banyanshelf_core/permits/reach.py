"""Whether a gateway can reach the coordinator, and whether its permits hold."""

from __future__ import annotations

# A coordinator with waiting calls on record sends something every 100 ms.
SILENCE_TIMEOUT_S = 0.3


class CoordinatorReachability:
    """Link state and silence of the coordinator, as one gateway sees them."""

    def __init__(self, permit_life_s: float) -> None:
        self.is_reachable = False
        self.is_silent = False
        self._is_linked = False
        self._permit_life_s = permit_life_s
        self._heard_at = 0.0
        self._inquired_at = 0.0
        self._unreachable_since = 0.0
        self._ticked_at = float("inf")

    def set_link(self, now: float, *, is_up: bool) -> None:
        """Note that the link came up or went down."""
        if is_up:
            self._heard_at = now
        elif self.is_reachable:
            self._unreachable_since = now
        self._is_linked = self.is_reachable = is_up
        self.is_silent = False

    def note_heard(self, now: float) -> bool:
        """Note a message; returns whether it ended a silence."""
        self._heard_at = now
        was_silent = self.is_silent
        self.is_silent = False
        self.is_reachable = self._is_linked
        return was_silent and self._is_linked

    def note_holdings_sent(self, now: float) -> None:
        """Note that holdings were sent, which the coordinator answers."""
        self._inquired_at = now

    def may_resend_holdings(self, now: float) -> bool:
        """Whether a silent coordinator should be asked again."""
        return self.is_silent and now - self._inquired_at >= SILENCE_TIMEOUT_S

    def tick(self, now: float, waiting_since: float | None) -> None:
        """Notice a coordinator that leaves waiting calls without any word."""
        self._ticked_at = now
        if not self.is_reachable or waiting_since is None:
            return
        if now - max(self._heard_at, waiting_since) >= SILENCE_TIMEOUT_S:
            self.is_silent = True
            self.is_reachable = False
            self._unreachable_since = now

    def have_permits_expired(self, now: float) -> bool:
        """Whether a coordinator may have reclaimed this gateway's permits by now.

        Without a tick for that long, this process was paused and may not know yet.
        """
        if now - self._ticked_at >= self._permit_life_s:
            return True
        if self.is_reachable:
            return False
        return now - self._unreachable_since >= self._permit_life_s
