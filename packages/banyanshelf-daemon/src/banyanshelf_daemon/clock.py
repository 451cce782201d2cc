"""The clock by which a process decides whether a permission is still valid."""

from __future__ import annotations

import time

# CLOCK_MONOTONIC stands still while a host is suspended: a lease that ran out meanwhile
# would look valid. Systems without CLOCK_BOOTTIME have no other steady clock.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def elapsed_s() -> float:
    """Return the seconds since the host started, suspended time included."""
    return time.clock_gettime(_CLOCK_ID)
