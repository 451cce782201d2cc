"""Reads ``Retry-After`` and keeps for how long upstreams want no requests."""

from __future__ import annotations

import math
import re
from collections import OrderedDict
from datetime import UTC
from email.utils import parsedate_to_datetime

from banyanshelf_core.errors import RetryAfterError
from banyanshelf_core.model import Upstream, UpstreamId

# A longer time is shortened to this, so that a faulty upstream is tried again.
MAX_PAUSE_S = 300.0
# Callers that are refused in a pause come back over this share of it after its end.
MAX_RETURN_SPREAD = 0.25
# This limit bounds the memory; the pause that was changed longest ago is dropped first.
MAX_PAUSES = 4096
_DECIMAL = re.compile(r"\d{1,32}(\.\d{1,32})?")


def parse_retry_after(value: bytes, unix_time_s: float) -> float:
    """Return a time in seconds, at most ``MAX_PAUSE_S``.

    ``value`` holds seconds, which may have a fraction, or a date (RFC 9110, section
    10.2.3), which counts from ``unix_time_s``. A date that has passed gives 0.0. Raises
    :class:`RetryAfterError` for anything else.

    Example:
        ``parse_retry_after(b"0.25", now)`` is 0.25.

    """
    text = value.decode("latin-1").strip()
    if _DECIMAL.fullmatch(text):
        return min(float(text), MAX_PAUSE_S)
    try:
        date = parsedate_to_datetime(text)
        if date.tzinfo is None:
            date = date.replace(tzinfo=UTC)
        wait_s = date.timestamp() - unix_time_s
    except (TypeError, ValueError, IndexError, OverflowError) as error:
        raise RetryAfterError(
            f"Retry-After {text[:32]!r} is neither seconds nor a date; the upstream "
            "must send one of them, such as 2 or 0.5"
        ) from error
    return min(max(0.0, wait_s), MAX_PAUSE_S)


class UpstreamPauses:
    """Until when upstreams want no requests; times are in seconds.

    A pause belongs to one incarnation of an upstream. It is not shortened by a later
    answer, and it outlasts the upstream's entry.

    Example:
        After ``pauses.note(upstream, now + 0.5)``, ``pauses.until(upstream)`` is that
        time until the upstream has another incarnation.

    """

    def __init__(self) -> None:
        self._pause_by_id: OrderedDict[UpstreamId, tuple[int, float]] = OrderedDict()

    def note(self, upstream: Upstream, until: float) -> bool:
        """Record a pause; return whether it ends later than what was known."""
        if until <= self.until(upstream):
            return False
        self._pause_by_id.pop(upstream.id, None)
        self._pause_by_id[upstream.id] = (upstream.incarnation, until)
        if len(self._pause_by_id) > MAX_PAUSES:
            self._pause_by_id.popitem(last=False)
        return True

    def until(self, upstream: Upstream) -> float:
        """Return the end of the pause of an upstream, or -inf without one."""
        incarnation, until = self._pause_by_id.get(upstream.id, (None, -math.inf))
        return until if incarnation == upstream.incarnation else -math.inf
