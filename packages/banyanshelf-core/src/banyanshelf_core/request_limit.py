"""Request limits that upstreams state in their answers."""

from __future__ import annotations

import math
import re
from typing import NamedTuple

from banyanshelf_core.errors import RequestLimitError

_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,32})?")


class StatedLimit(NamedTuple):
    """What an upstream stated last: a limit for all gateways together, or none.

    ``per_s`` is in requests per second; None means that the upstream states no limit.
    ``stated_at`` is the time of the answer, in seconds.
    """

    per_s: float | None
    stated_at: float

    @classmethod
    def from_row(cls, now: float, row: tuple[float | None, float]) -> StatedLimit:
        """Return a statement that was received with its age."""
        per_s, age_s = row
        return cls(per_s, now - age_s)

    def row(self, now: float) -> tuple[float | None, float]:
        """Return the limit and the age of the statement, as datagrams carry them."""
        return self.per_s, max(0.0, now - self.stated_at)


NO_STATEMENT = StatedLimit(None, -math.inf)


def lower_limit(first: StatedLimit, second: StatedLimit) -> StatedLimit:
    """Return the lower of two limits, the first if they are equal.

    Example:
        ``lower_limit(StatedLimit(None, 3.0), StatedLimit(2.0, 4.0))`` is the second.

    """
    if second.per_s is None:
        return first
    if first.per_s is None or second.per_s < first.per_s:
        return second
    return first


def describe_limit(upstream_id: str, stated: StatedLimit) -> str:
    """Return the log line about a changed limit."""
    if stated.per_s is None:
        return f"upstream {upstream_id} states no request limit any more"
    return (
        f"upstream {upstream_id} takes {stated.per_s:g} requests a second from all "
        "gateways"
    )


def parse_request_limit(value: bytes) -> float:
    """Return a limit in requests per second; raises :class:`RequestLimitError`.

    Example:
        ``parse_request_limit(b"2.5")`` is 2.5.

    """
    if not _DECIMAL.fullmatch(value.strip()):
        raise RequestLimitError(
            f"request limit {value[:32]!r} is not a decimal number; the upstream must "
            "state requests per second, such as 2.5"
        )
    return float(value)
