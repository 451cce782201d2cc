"""The record of a case."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """What was sent, answered and run, one line each, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start of the case."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
