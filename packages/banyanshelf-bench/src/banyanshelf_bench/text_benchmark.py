"""Cost of the operators' text by number of services.

Prints, for each size, the bytes of the text, the time to parse and check it, the time
to match one request, and the memory that text and matcher keep.

Example:
    ``python -m banyanshelf_bench.text_benchmark --sizes=2,71,710``

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


def text_of(services: int) -> str:
    """Return a text in which each service depends on the one before it."""
    return "".join(
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


def measure(services: int) -> list[float]:
    """Return the row of one size."""
    content = text_of(services)
    tracemalloc.start()
    matcher = RequestMatcher.from_text(parse_text(content))
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    parse_us = elapsed_us(lambda: parse_text(content), rounds=5)
    host = f"service-{services // 2}.example"
    match_us = elapsed_us(lambda: matcher.match(host, "/payments", "GET", {}), MATCHES)
    return [services, len(content), parse_us, match_us, kept / 1024]


def main(sizes: Sequence[int] = (2, 71, 710)) -> None:
    """Print one row per number of services."""
    rows = [measure(each) for each in sizes]
    headers = ["services", "bytes", "parse us", "match us", "memory KB"]
    print(tabulate(rows, headers=headers, floatfmt=".1f"))


if __name__ == "__main__":
    fire.Fire(main)
