"""Output for people and for programs, and the exit codes."""

from __future__ import annotations

import enum
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from tabulate import tabulate


class ExitCode(enum.IntEnum):
    """Exit codes of every command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


class Output:
    """Prints tables and sentences, or one JSON document with ``as_json``."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    def table(self, name: str, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows that share their keys."""
        if self._as_json:
            self._print_json({name: list(rows)})
        elif rows:
            print(tabulate([dict(row) for row in rows], headers="keys"))
        else:
            print(f"no {name}")

    def result(self, sentence: str, **content: Any) -> None:
        """Print a sentence for people, or the content for programs."""
        if self._as_json:
            self._print_json(content)
        else:
            print(sentence)

    def error(self, sentence: str) -> None:
        """Print an error for people, or as a document with the key ``error``."""
        if self._as_json:
            self._print_json({"error": sentence})
        else:
            print(f"banyanshelf: {sentence}", file=sys.stderr)

    def _print_json(self, content: Mapping[str, Any]) -> None:
        print(msgspec.json.format(msgspec.json.encode(content)).decode())
