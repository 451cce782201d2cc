"""Cost of the operators' text by number of services.

Prints, for each size, the bytes of the text, the time to parse and check it, the time
to match one request, and the memory that text and matcher keep. With workspaces, each
of which has two keys, the match includes the look-up of a key.

Example:
    ``python -m banyanshelf_bench.text_benchmark --sizes=2,71,710 --workspaces=84``

"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import fire
from tabulate import tabulate

from banyanshelf_core.matching import RequestMatcher
from banyanshelf_core.text import parse_text
from banyanshelf_core.workspaces import WorkspaceKeys

MATCHES = 2000

SERVICE_TEMPLATE = """\
[services.service-{number}]
hosts = ["service-{number}.example"]
slots_per_upstream = 3
timeout_ms = 2000
depends_on = [{dependency}]

[[services.service-{number}.routes]]
path_prefix = "/payments"
methods = ["POST"]
require_key = true

"""


WORKSPACE_TEMPLATE = """\
[workspaces.workspace-{number}]
keys = ["key-of-20-letters-{number}a", "key-of-20-letters-{number}b"]
requests_per_s = 40
burst = 40

"""


def text_of(services: int, workspaces: int = 0) -> str:
    """Return a text in which each service depends on the one before it."""
    content = "".join(
        WORKSPACE_TEMPLATE.format(number=number) for number in range(workspaces)
    )
    return content + "".join(
        SERVICE_TEMPLATE.format(
            number=number,
            dependency=f'"service-{number - 1}"' if number % 11 else "",
        )
        for number in range(services)
    )


def elapsed_us(work: Callable[[], Any], rounds: int) -> float:
    """Return the mean processor time of one round in microseconds."""
    begin = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - begin) / rounds * 1e6


def measure(services: int, workspaces: int = 0) -> list[float]:
    """Return the row of one size."""
    content = text_of(services, workspaces)
    tracemalloc.start()
    text = parse_text(content)
    matcher = RequestMatcher.from_text(text)
    keys = WorkspaceKeys.from_text(text)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    parse_us = elapsed_us(lambda: parse_text(content), rounds=5)
    host = f"service-{services // 2}.example"
    key = f"key-of-20-letters-{workspaces // 2}a".encode()

    def match() -> None:
        keys.admit(matcher.match(host, "/payments", "GET", {}), key)

    match_us = elapsed_us(match, MATCHES)
    return [services, len(content), parse_us, match_us, kept / 1024]


def main(sizes: Sequence[int] = (2, 71, 710), workspaces: int = 0) -> None:
    """Print one row per number of services."""
    rows = [measure(each, workspaces) for each in sizes]
    headers = ["services", "bytes", "parse us", "match us", "memory KB"]
    print(tabulate(rows, headers=headers, floatfmt=".1f"))


if __name__ == "__main__":
    fire.Fire(main)
