"""Requests whose upstreams have gone silent, until it is known whether they crashed."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from banyanshelf_core.model import Upstream, UpstreamId

# An unanswered health check later than this says nothing of the silent request.
SILENCE_WINDOW_S = 3.0
# A request that was sent later than this after the first silent one has found its
# upstream down.
BLAME_WINDOW_S = 0.5
# An upstream that has been silent for longer is no longer listed.
SILENCE_KEPT_S = 60.0
# These limits bound the memory; the oldest entry is dropped first.
MAX_SILENT_UPSTREAMS = 1024
MAX_REQUESTS_PER_UPSTREAM = 64


class SilentCrash(NamedTuple):
    """A crash by which an upstream went silent.

    All members give it the same id, as an upstream goes silent once per incarnation;
    a single bad link or frozen upstream therefore counts once.
    """

    crash_id: str
    fingerprints: list[str]


@dataclass(slots=True)
class _Silence:
    crash_id: str
    first_sent_at: float
    last_ended_at: float
    fingerprints: set[str] = field(default_factory=set)


class SilentAttempts:
    """Attempts that ended without any byte of an answer; times are in seconds.

    Example:
        After ``attempts.add(upstream, "f1", sent_at=1.0, now=1.6)`` and no answer,
        ``attempts.take(upstream.id, now=2.6, heard_at=0.9)`` blames request ``f1``.

    """

    def __init__(self) -> None:
        self._silence_by_upstream: OrderedDict[UpstreamId, _Silence] = OrderedDict()

    @property
    def has_suspects(self) -> bool:
        """Whether it is not known yet why some request was not answered."""
        return any(each.fingerprints for each in self._silence_by_upstream.values())

    def add(
        self, upstream: Upstream, fingerprint: str, *, sent_at: float, now: float
    ) -> None:
        """Add a request that was sent to an upstream and not answered."""
        silences = self._silence_by_upstream
        silence = silences.get(upstream.id)
        crash_id = f"silent/{upstream.id}/{upstream.incarnation}"
        if silence is None or silence.crash_id != crash_id:
            silence = silences[upstream.id] = _Silence(crash_id, sent_at, now)
        silences.move_to_end(upstream.id)
        self._drop_oldest(now)
        silence.first_sent_at = min(silence.first_sent_at, sent_at)
        silence.last_ended_at = now
        is_blamed = sent_at <= silence.first_sent_at + BLAME_WINDOW_S
        if is_blamed and len(silence.fingerprints) < MAX_REQUESTS_PER_UPSTREAM:
            silence.fingerprints.add(fingerprint)

    def take(
        self, upstream_id: UpstreamId, now: float, heard_at: float
    ) -> SilentCrash | None:
        """Return the crash that an unanswered connection or health check confirms.

        ``heard_at`` is the last time that any member has heard of the upstream.
        """
        silence = self._silence_by_upstream.get(upstream_id)
        if silence is None or not silence.fingerprints:
            return None
        if heard_at > silence.last_ended_at:
            del self._silence_by_upstream[upstream_id]
            return None
        fingerprints = sorted(silence.fingerprints)
        silence.fingerprints.clear()
        if now - silence.last_ended_at > SILENCE_WINDOW_S:
            return None
        return SilentCrash(silence.crash_id, fingerprints)

    def answered(self, upstream_id: UpstreamId) -> None:
        """Drop what an upstream that answers has not crashed of."""
        self._silence_by_upstream.pop(upstream_id, None)

    def _drop_oldest(self, now: float) -> None:
        silences = self._silence_by_upstream
        while len(silences) > 1:
            oldest = next(iter(silences))
            is_old = now - silences[oldest].last_ended_at > SILENCE_KEPT_S
            if not is_old and len(silences) <= MAX_SILENT_UPSTREAMS:
                break
            del silences[oldest]

    def forget(self, fingerprint: str) -> None:
        """Drop a request that an upstream has run to its end."""
        for silence in self._silence_by_upstream.values():
            silence.fingerprints.discard(fingerprint)
