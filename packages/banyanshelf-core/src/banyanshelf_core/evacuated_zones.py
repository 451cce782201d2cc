"""Availability zones whose upstreams get no requests, as the operators ask."""

from __future__ import annotations

from collections.abc import Collection

from banyanshelf_core.model import Upstream, UpstreamState

# Time in which operators can ask again for what a restored store has forgotten.
FORGOTTEN_HOLD_S = 300.0

# An availability zone as in ``Upstream.zone``
ZoneName = str


def evacuated(upstream: Upstream, zones: Collection[ZoneName]) -> Upstream:
    """Return the upstream, marked as evacuated if it is live in one of the zones."""
    if upstream.state is UpstreamState.LIVE and upstream.zone in zones:
        return upstream._replace(state=UpstreamState.EVACUATED)
    return upstream


class EvacuatedZones:
    """The evacuated zones, across a restore of the store from an older copy.

    A copy without an evacuation does not end it: nobody has taken it back. It holds
    until the zone is evacuated anew and taken back, or for ``FORGOTTEN_HOLD_S`` seconds
    at most, as the operators may have taken it back just before the restore. An
    evacuation that only the copy lists counts, because the operators see it there.

    Example:
        After ``zones.add("b")``, ``zones.names()`` contains ``"b"`` until
        ``zones.remove("b")``, and after ``zones.forget(now, "b")`` for a time.

    """

    def __init__(self) -> None:
        self._listed: set[ZoneName] = set()
        self._held_until_by_zone: dict[ZoneName, float] = {}

    def names(self) -> frozenset[ZoneName]:
        """Return the evacuated zones."""
        return frozenset(self._listed) | self._held_until_by_zone.keys()

    def add(self, zone: ZoneName) -> None:
        """Record that a zone is evacuated."""
        self._held_until_by_zone.pop(zone, None)
        self._listed.add(zone)

    def remove(self, zone: ZoneName) -> None:
        """Record that the evacuation of a zone was taken back."""
        self._held_until_by_zone.pop(zone, None)
        self._listed.discard(zone)

    def forget(self, now: float, zone: ZoneName) -> None:
        """Record that a restored store does not list the evacuation of a zone."""
        if zone in self._listed:
            self._listed.discard(zone)
            self._held_until_by_zone[zone] = now + FORGOTTEN_HOLD_S

    def expire(self, now: float) -> list[ZoneName]:
        """Return the zones whose forgotten evacuation ends now."""
        expired = [
            zone for zone, until in self._held_until_by_zone.items() if now >= until
        ]
        for zone in expired:
            del self._held_until_by_zone[zone]
        return expired
