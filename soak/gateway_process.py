"""Runs a gateway whose time of day jumps by the seconds in a file.

The file is named by ``SOAK_CLOCK``; it is read at each call, as the gateway asks for
the time of day rarely.
"""

import os
import signal
import sys
import time
from pathlib import Path

# As ``platform/run.py`` does.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_read_clock = time.time


def shifted_time() -> float:
    """Return the time of day with the jump."""
    return _read_clock() + float(Path(os.environ["SOAK_CLOCK"]).read_text() or 0)


if __name__ == "__main__":
    # Modules that keep a reference to the function get the shifted one.
    time.time = shifted_time
    from banyanshelf_platform.main import run

    sys.exit(run())
