"""What the cases share: their record, their exit code and the switch of the trouble."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w", buffering=1)

    def note(self, event: str, **fields: Any) -> None:
        """Add one line."""
        at = round(time.monotonic() - self._started, 3)
        self._file.write(json.dumps({"at": at, "event": event, **fields}) + "\n")

    def copy(self, journal: list[dict[str, Any]]) -> None:
        """Add what the upstreams have written down."""
        for line in journal:
            at = round(float(line["at"]) - self._started, 3)
            event = {"event": f"stand-in: {line['event']}"}
            self._file.write(json.dumps(line | {"at": at} | event) + "\n")


def run_case(play: Callable[[Record, bool], bool]) -> None:
    """Play a case and exit; ``play`` returns whether the rule held.

    The second argument of ``play`` is whether there is any trouble.
    """
    # The context managers of a case end its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[1]) / "record.txt")
    try:
        has_held = play(record, with_trouble)
    except Exception as error:
        record.note("could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    verdict = "held" if has_held else "broken"
    record.note("verdict", rule=verdict, trouble=with_trouble)
    print(f"the rule was {verdict}")
    sys.exit(HELD if has_held else BROKEN)
