"""Stand-in for the platform, some of whose upstreams are in need for a while.

These name a ``Server-Limit`` in their answers as long as a file of the name
``NEED_FILE`` lies beside the settings.
"""

from __future__ import annotations

import sys
from pathlib import Path

from banyanshelf_standins.http_server import Exchange
from review_standins_2.site import Upstream, serve

NEED_FILE = "in-need"
# Two of three upstreams; they work on 100 requests a second at most.
LIMITED_INSTANCES = frozenset({"i-0", "i-1"})
LIMIT_PER_S = 50


class LimitedUpstream(Upstream):
    """An upstream that names a limit while it is in need; it does not enforce it."""

    def _headers(self, exchange: Exchange) -> list[tuple[str, str]]:
        headers = super()._headers(exchange)
        is_in_need = Path(sys.argv[1]).with_name(NEED_FILE).exists()
        if is_in_need and self.instance in LIMITED_INSTANCES:
            headers.append(("Server-Limit", str(LIMIT_PER_S)))
        return headers


if __name__ == "__main__":
    serve(sys.argv[1], upstream_type=LimitedUpstream)
