"""Human-readable and JSON output, and the exit codes."""

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
    """Prints tables and sentences, or a JSON document if ``as_json`` is set."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    def table(self, name: str, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows that all have the same keys."""
        if self._as_json:
            self._print_json({name: list(rows)})
        elif rows:
            print(tabulate([dict(row) for row in rows], headers="keys"))
        else:
            print(f"no {name}")

    def result(self, sentence: str, **content: Any) -> None:
        """Print the sentence, or the content as a JSON document."""
        if self._as_json:
            self._print_json(content)
        else:
            print(sentence)

    def error(self, sentence: str) -> None:
        """Print an error to stderr, or as a JSON document with the key ``error``."""
        if self._as_json:
            self._print_json({"error": sentence})
        else:
            print(f"banyanshelf: {sentence}", file=sys.stderr)

    def _print_json(self, content: Mapping[str, Any]) -> None:
        print(msgspec.json.format(msgspec.json.encode(content)).decode())
