"""The request limits that the upstreams of one service state, and what they leave."""

from __future__ import annotations

from collections.abc import Callable, Collection

from banyanshelf_core.model import UpstreamId
from banyanshelf_core.request_limit import NO_STATEMENT, StatedLimit
from banyanshelf_core.request_rate import RECHECK_PERIOD_S, RequestRates


class LimitGate:
    """Rations the requests of limited upstreams at one decision maker.

    ``share_of`` returns the part of an upstream's limit that this decision maker may
    use. The coordinator uses all but the parts of gateways that it has no link to;
    these use their own parts until it has one.

    Example:
        ``gate.take(now, "desk-1")`` returns whether a request may be sent now; an
        upstream that states no limit takes any.

    """

    def __init__(self, share_of: Callable[[UpstreamId], float]) -> None:
        self._share_of = share_of
        self._stated_by_id: dict[UpstreamId, StatedLimit] = {}
        self._rates = RequestRates()

    def note(self, upstream_id: UpstreamId, stated: StatedLimit) -> bool:
        """Record what an upstream states; returns whether its limit has changed.

        A statement that is older than the known one is ignored.
        """
        known = self._stated_by_id.get(upstream_id, NO_STATEMENT)
        if stated.stated_at < known.stated_at:
            return False
        if stated.per_s is not None or upstream_id in self._stated_by_id:
            self._stated_by_id[upstream_id] = stated
        return stated.per_s != known.per_s

    def statements(self) -> dict[UpstreamId, StatedLimit]:
        """Return the last statements of upstreams that state a limit or did so."""
        return dict(self._stated_by_id)

    def limited(self) -> list[UpstreamId]:
        """Return the upstreams that state a limit."""
        return [
            upstream_id
            for upstream_id, stated in self._stated_by_id.items()
            if stated.per_s is not None
        ]

    def per_s(self, upstream_id: UpstreamId) -> float | None:
        """Return the limit of an upstream for all gateways, or None without one."""
        return self._stated_by_id.get(upstream_id, NO_STATEMENT).per_s

    def is_open(self, now: float, upstream_id: UpstreamId) -> bool:
        """Whether a request may be sent to an upstream now."""
        per_s = self.per_s(upstream_id)
        return per_s is None or not self._rates.wait_s(
            now, upstream_id, self._share_of(upstream_id) * per_s
        )

    def take(
        self, now: float, upstream_id: UpstreamId, *, is_probe: bool = False
    ) -> bool:
        """Take one request; returns whether it may be sent now."""
        per_s = self.per_s(upstream_id)
        return per_s is None or not self._rates.take(
            now, upstream_id, self._share_of(upstream_id) * per_s, is_probe=is_probe
        )

    def unheard(self, now: float) -> list[UpstreamId]:
        """Return the limited upstreams whose limit may have changed unnoticed."""
        return [
            upstream_id
            for upstream_id in self.limited()
            if now - self._stated_by_id[upstream_id].stated_at >= RECHECK_PERIOD_S
        ]

    def retain(self, upstream_ids: Collection[UpstreamId]) -> None:
        """Forget the statements of all upstreams but these."""
        for upstream_id in self._stated_by_id.keys() - set(upstream_ids):
            del self._stated_by_id[upstream_id]
