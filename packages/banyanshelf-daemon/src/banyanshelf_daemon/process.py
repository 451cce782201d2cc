"""Runs a daemon in the reactor until it is told to stop."""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections.abc import Callable
from typing import Any, Protocol

EXIT_USAGE = 2
EXIT_FAILURE = 1


class Runnable(Protocol):
    """A daemon as the process runs it."""

    def start(self) -> None:
        """Open the listeners and start every task."""

    def stop(self) -> Any:
        """Stop as planned; returns a Deferred."""

    def reload(self) -> None:
        """Take over changed settings, or refuse them as a whole."""


def run_until_stopped(name: str, build: Callable[[Any], Runnable]) -> int:
    """Build a daemon, run it until SIGTERM or SIGINT and return the exit code.

    SIGHUP makes it reload its settings.
    """
    # The reactor is installed on import, so it is imported only to run.
    from twisted.internet import reactor

    any_reactor: Any = reactor
    # The reactor's clock is the wall clock, and a step of it would look like a pause.
    any_reactor.seconds = time.monotonic
    # Until the daemon runs, a request to reload has nothing to act on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    daemon = build(any_reactor)
    exit_codes: list[int] = []

    def finish(result: Any, exit_code: int) -> None:
        if exit_code:
            print(f"{name}: {result.getTraceback()}", file=sys.stderr)
        exit_codes.append(exit_code)
        any_reactor.stop()

    def stop_as_planned(*_: Any) -> None:
        if not stopping:
            stopping.append(True)
            any_reactor.callFromThread(start_stop)

    def reload(*_: Any) -> None:
        any_reactor.callFromThread(daemon.reload)

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
            # A start script may have disabled it while modules are imported.
            gc.enable()
        except Exception as error:
            print(f"{name}: cannot start: {error}", file=sys.stderr)
            exit_codes.append(EXIT_FAILURE)
            any_reactor.stop()

    stopping: list[bool] = []
    any_reactor.callWhenRunning(start)
    any_reactor.callWhenRunning(signal.signal, signal.SIGTERM, stop_as_planned)
    any_reactor.callWhenRunning(signal.signal, signal.SIGINT, stop_as_planned)
    any_reactor.callWhenRunning(signal.signal, signal.SIGHUP, reload)
    any_reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else EXIT_FAILURE
