"""Runs a daemon in the reactor until a signal stops it."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

from banyanshelf_daemon.clock import elapsed_s

EXIT_USAGE = 2
EXIT_FAILURE = 1


class Runnable(Protocol):
    """The interface of a daemon that a process runs."""

    def start(self) -> None:
        """Open the listeners and start every task."""

    def stop(self) -> Any:
        """Shut down gracefully; returns a Deferred."""

    def reload(self) -> None:
        """Apply changed settings, or reject all of them."""


def run_until_stopped(name: str, build: Callable[[Any], Runnable]) -> int:
    """Build a daemon, run it until SIGTERM or SIGINT and return the exit code.

    SIGHUP makes the daemon reload its settings.
    """
    # Importing the reactor installs it, so it is imported only here.
    from twisted.internet import reactor

    any_reactor: Any = reactor
    # The reactor uses the wall clock, where a clock step would look like a pause.
    any_reactor.seconds = elapsed_s
    # There is nothing to reload until the daemon runs.
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
            # Modules and settings live as long as the process; excluding them from
            # later collections shortens the pauses of the garbage collector.
            gc.collect()
            gc.freeze()
            # A start script may have disabled it for the imports.
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
