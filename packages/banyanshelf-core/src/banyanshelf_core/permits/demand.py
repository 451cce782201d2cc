"""Recent demand of one gateway for one service."""

PEAK_WINDOW_S = 1.0


class RecentPeak:
    """Highest value in a window of one to two seconds."""

    __slots__ = ("_current", "_previous", "_started")

    def __init__(self) -> None:
        self._started = float("-inf")
        self._current = 0
        self._previous = 0

    def note(self, now: float, value: int) -> None:
        """Record a value."""
        if now - self._started >= PEAK_WINDOW_S:
            self._roll(now)
        if value > self._current:
            self._current = value

    def value_at(self, now: float) -> int:
        """Return the recent peak as of ``now``."""
        if now - self._started >= PEAK_WINDOW_S:
            self._roll(now)
        return max(self._previous, self._current)

    def _roll(self, now: float) -> None:
        is_recent = now - self._started < 2 * PEAK_WINDOW_S
        self._previous = self._current if is_recent else 0
        self._current = 0
        self._started = now
