"""Plays a case and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review_standins import loop
from review_standins.deployment import Deployment
from review_standins.record import Record

EXIT_HELD = 0
# ``run-case.sh`` turns this into 1; Python itself exits with 1 after an error.
EXIT_BROKEN = 3
EXIT_NOT_RUN = 2
# Longest time of a case; its processes are ended then.
CASE_LIMIT_S = 110.0


def has_trouble() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Play a case in a deployment and exit; ``play`` returns whether the rule held."""
    case_folder = Path(sys.argv[1]).resolve()
    repository = case_folder.parent.parent
    record = Record(case_folder / "record.txt")
    exit_code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(repository, Path(folder), record)

        async def main() -> bool:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await play(deployment)

        try:
            record.write(f"TROUBLE={int(has_trouble())}")
            held = loop.run_until_complete(main())
            exit_code = EXIT_HELD if held else EXIT_BROKEN
            record.write("the rule held" if held else "the rule was broken")
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            traceback.print_exc()
        finally:
            deployment.end()
            if os.environ.get("KEEP_LOGS"):
                for log in Path(folder).glob("*.log"):
                    (case_folder / log.name).write_bytes(log.read_bytes())
            record.close()
    print((case_folder / "record.txt").read_text().splitlines()[-1])
    sys.exit(exit_code)
