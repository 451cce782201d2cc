"""A client with the connection of a slow network, which reads at its own speed."""

from __future__ import annotations

import itertools
import math
import re
import socket
import time
from typing import NamedTuple

from review_standins_2.deployment import FRONT_PORT, HOST

# A segment of an Ethernet network; on loopback, one segment holds 64 KB.
SEGMENT_BYTES = 1400
WINDOW_BYTES = 4096
READ_PERIOD_S = 0.02
_LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n", re.IGNORECASE)
_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a client has received, and how the answer ended."""

    attempt: str
    status: int
    expected_bytes: int
    received_bytes: int
    ending: str
    seconds: float

    @property
    def is_whole(self) -> bool:
        """Whether the whole body has arrived."""
        return self.status != 0 and self.received_bytes == self.expected_bytes


class Speed(NamedTuple):
    """How fast a client reads: ``bytes_per_s``, and more from ``better_after_s`` on."""

    bytes_per_s: float = math.inf
    better_after_s: float = math.inf
    better_bytes_per_s: float = math.inf

    def bytes_after(self, seconds: float) -> float:
        """Return how many bytes have been read after a time."""
        begun = self.bytes_per_s * min(seconds, self.better_after_s)
        if seconds <= self.better_after_s:
            return begun
        return begun + self.better_bytes_per_s * (seconds - self.better_after_s)


AT_ONCE = Speed()


class Client:
    """One connection with one request, whose answer is read at its ``speed``."""

    def __init__(self, host: str, speed: Speed = AT_ONCE) -> None:
        self._speed = speed
        self._socket = socket.socket()
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self._socket.settimeout(2.0)
        self._socket.connect((host, FRONT_PORT))
        self.attempt = f"{next(_numbers):016x}"
        self.sent_at = 0.0

    def send(self, path: str, deadline_ms: int, host: str = HOST) -> None:
        """Send the request."""
        self.sent_at = time.monotonic()
        self._socket.sendall(
            f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Banyanshelf-Attempt-Id: {self.attempt}\r\n"
            f"X-Banyanshelf-Deadline-Milliseconds: {deadline_ms}\r\n\r\n".encode()
        )

    def read(self, limit_s: float) -> Answer:
        """Read the answer until it is whole, the connection ends or time is over."""
        data, ending = b"", "time over"
        head_end, length, status = -1, 0, 0
        begun = time.monotonic()
        while (passed_s := time.monotonic() - begun) < limit_s:
            allowed = self._speed.bytes_after(passed_s) - len(data)
            if allowed >= 1:
                try:
                    part = self._socket.recv(int(min(allowed, WINDOW_BYTES)))
                except TimeoutError:
                    continue
                except OSError as error:
                    ending = f"connection lost: {error}"
                    break
                if not part:
                    ending = "closed"
                    break
                data += part
            if head_end < 0 and b"\r\n\r\n" in data:
                head_end = data.index(b"\r\n\r\n") + 4
                found = _LENGTH.search(data[:head_end])
                length = int(found.group(1)) if found else 0
                status = int(data.split(b" ", 2)[1])
            if head_end >= 0 and len(data) - head_end >= length:
                ending = "whole"
                break
            if math.isfinite(self._speed.bytes_per_s):
                time.sleep(READ_PERIOD_S)
        received = max(0, len(data) - head_end) if head_end >= 0 else 0
        seconds = time.monotonic() - self.sent_at
        return Answer(self.attempt, status, length, received, ending, round(seconds, 2))

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
