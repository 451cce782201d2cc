"""Command line of ``banyanshelfd``.

Exit codes: 0 after a planned stop, 1 after a failure, 2 for unusable settings.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from importlib.metadata import PackageNotFoundError, version
from typing import Any

import fire

from banyanshelf_core.errors import SettingsError
from banyanshelf_daemon.settings import Settings, describe_settings

EXIT_USAGE = 2
EXIT_FAILURE = 1
DISTRIBUTION = "banyanshelf-daemon"


def serve(**flags: Any) -> None:
    """Run the gateway daemon until SIGTERM or SIGINT.

    Every setting is a flag or a BANYANSHELF_* variable; ``banyanshelfd --help`` lists
    them.
    """
    try:
        settings = Settings.from_config(
            {name: str(value) for name, value in flags.items()},
            os.environ,
        )
    except SettingsError as error:
        print(f"banyanshelfd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(_run(settings))


def _run(settings: Settings) -> int:
    # The reactor is installed on import, so it is imported only to run.
    from twisted.internet import reactor

    from banyanshelf_daemon.daemon import Daemon

    any_reactor: Any = reactor
    # The reactor's clock is the wall clock, and a step of it would look like a pause.
    any_reactor.seconds = time.monotonic
    daemon = Daemon(any_reactor, settings)
    exit_codes: list[int] = []

    def finish(result: Any, exit_code: int) -> None:
        if exit_code:
            print(f"banyanshelfd: {result.getTraceback()}", file=sys.stderr)
        exit_codes.append(exit_code)
        any_reactor.stop()

    def stop_as_planned(*_: Any) -> None:
        if not stopping:
            stopping.append(True)
            any_reactor.callFromThread(start_stop)

    def start_stop() -> None:
        daemon.stop().addCallbacks(
            finish,
            finish,
            callbackArgs=(0,),
            errbackArgs=(EXIT_FAILURE,),
        )

    def start() -> None:
        try:
            daemon.start()
            # Modules and settings live as long as the process; not scanning them again
            # shortens the collector's pauses.
            gc.collect()
            gc.freeze()
        except Exception as error:
            print(f"banyanshelfd: cannot start: {error}", file=sys.stderr)
            exit_codes.append(EXIT_FAILURE)
            any_reactor.stop()

    stopping: list[bool] = []
    any_reactor.callWhenRunning(start)
    any_reactor.callWhenRunning(signal.signal, signal.SIGTERM, stop_as_planned)
    any_reactor.callWhenRunning(signal.signal, signal.SIGINT, stop_as_planned)
    any_reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else EXIT_FAILURE


def run(arguments: list[str] | None = None) -> None:
    """Parse the command line and run the daemon."""
    words = sys.argv[1:] if arguments is None else arguments
    if words in (["--help"], ["-h"], ["help"]):
        print(describe_settings())
        return
    if words == ["--version"]:
        try:
            print(version(DISTRIBUTION))
        except PackageNotFoundError:
            print("not installed; run make install")
        return
    fire.Fire(serve, command=words, name="banyanshelfd")
