"""Compares the cost of one proxied call between three implementations of the hop.

Each gateway runs in a process of its own on loopback and serves one call at a time.
The CPU time is that of the gateway process; the added latency is the difference of the
99th percentiles with the gateway and without it.

Example:
    ``python -m banyanshelf_bench.hop_benchmark --calls=10000``

"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Generator
from contextlib import contextmanager
from typing import NamedTuple

import fire
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

WARM_UP_CALLS = 500
KINDS = ("klein", "bare", "banyanshelf")
REQUEST = (
    b"GET /sheets/17?view=full HTTP/1.1\r\nHost: desk.example\r\n"
    b"User-Agent: hop-benchmark\r\nAccept: text/plain\r\n\r\n"
)
PROCESS_TIMEOUT_S = 10


class HopResult(NamedTuple):
    """Cost of one implementation; times in microseconds."""

    kind: str
    cpu_us_per_call: float
    p50_us: float
    p99_us: float


class HopProcess:
    """A backend or gateway process."""

    def __init__(self, kind: str, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "banyanshelf_bench.hop_gateways", kind, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())

    def begin_measuring(self) -> None:
        """Count CPU time from here."""
        self._process.send_signal(signal.SIGUSR1)
        time.sleep(0.05)

    def stop(self) -> float:
        """End the process and return its CPU seconds."""
        self._process.terminate()
        output, _ = self._process.communicate(timeout=PROCESS_TIMEOUT_S)
        return float(json.loads(output.splitlines()[-1])["cpu_s"])


@contextmanager
def hop_process(kind: str, *arguments: str) -> Generator[HopProcess]:
    """Run a process; it is ended if the benchmark fails."""
    process = HopProcess(kind, *arguments)
    try:
        yield process
    finally:
        process._process.kill()
        process._process.wait()


def call_repeatedly(port: int, calls: int) -> HdrHistogram:
    """Make calls one after the other and return their latencies in nanoseconds."""
    histogram = HdrHistogram(1, 60_000_000_000, 3)
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(calls):
            started = time.perf_counter_ns()
            connection.sendall(REQUEST)
            receive_answer(connection)
            histogram.record_value(time.perf_counter_ns() - started)
    return histogram


def receive_answer(connection: socket.socket) -> bytes:
    """Read one answer with a Content-Length and return its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(connection)
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise ConnectionError(f"unexpected answer {head!r}")
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    )
    while len(body) < length:
        body += _receive(connection)
    return body


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(65536)
    if not data:
        raise ConnectionError("the connection was closed during an answer")
    return data


def measure_hop(kind: str, backend_port: int, calls: int) -> HopResult:
    """Measure one gateway in a process of its own."""
    with hop_process(kind, str(backend_port)) as gateway:
        call_repeatedly(gateway.port, WARM_UP_CALLS)
        gateway.begin_measuring()
        histogram = call_repeatedly(gateway.port, calls)
        cpu_s = gateway.stop()
    return HopResult(
        kind,
        cpu_s / calls * 1e6,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
    )


def main(calls: int = 10_000, kinds: str = ",".join(KINDS), rounds: int = 1) -> None:
    """Print one row for each implementation and round.

    ``calls`` is the number of calls per row; ``kinds`` lists the implementations.
    """
    selected = [kinds] if isinstance(kinds, str) and "," not in kinds else kinds
    if isinstance(selected, str):
        selected = selected.split(",")
    rows = []
    with hop_process("backend") as backend:
        for _ in range(rounds):
            call_repeatedly(backend.port, WARM_UP_CALLS)
            direct = call_repeatedly(backend.port, calls)
            direct_p99_us = direct.get_value_at_percentile(99) / 1000
            for kind in selected:
                result = measure_hop(kind, backend.port, calls)
                rows.append((*result, result.p99_us - direct_p99_us))
    headers = ["hop", "CPU µs per call", "p50 µs", "p99 µs", "added p99 µs"]
    print(tabulate(rows, headers, floatfmt=".0f"))


if __name__ == "__main__":
    fire.Fire(main)
