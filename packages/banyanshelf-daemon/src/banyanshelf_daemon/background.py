"""Background work that survives unexpected errors and ends with its owner.

An exception in one step of periodic work, or in a coroutine that runs as long as the
process, must not end the work: the gateway would go on serving with state that is no
longer updated.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

# Pause before a coroutine that has failed is started again.
RESTART_DELAY_S = 0.2

log = Logger("background")


class PeriodicTask:
    """Calls a function at an interval; an exception ends only the call that raised it.

    Example:
        ``PeriodicTask(reactor, tick, "admission").start(0.025)`` calls ``tick`` 40
        times a second until ``stop``.

    """

    def __init__(self, reactor: Any, function: Callable[[], object], name: str) -> None:
        self._function = function
        self._name = name
        self._loop = LoopingCall(self._run)
        self._loop.clock = reactor
        self.failures = 0

    @property
    def is_running(self) -> bool:
        """Whether the task has been started and not stopped."""
        return bool(self._loop.running)

    def start(self, interval_s: float, *, now: bool = False) -> None:
        """Call the function every ``interval_s`` seconds, with ``now`` at once too."""
        self._loop.start(interval_s, now=now)

    def stop(self) -> None:
        """Make no further calls; has no effect on a stopped task."""
        if self._loop.running:
            self._loop.stop()

    def _run(self) -> None:
        try:
            self._function()
        except Exception:
            self.failures += 1
            log.error(
                "periodic task {} failed: {}", self._name, Failure().getTraceback()
            )


class BackgroundTasks:
    """Runs coroutines and cancels the unfinished ones on :meth:`stop`."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._running: set[Deferred[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> None:
        """Start ``coroutine``; an unexpected error is logged under ``name``."""
        task = Deferred.fromCoroutine(coroutine)
        self._running.add(task)

        def finished(result: Any) -> None:
            self._running.discard(task)
            if isinstance(result, Failure) and not result.check(CancelledError):
                log.error("background task {} failed: {}", name, result.getTraceback())

        task.addBoth(finished)

    def supervise(
        self, start: Callable[[], Coroutine[Any, Any, Any]], name: str
    ) -> None:
        """Run the coroutine that ``start`` returns, and again whenever it fails."""

        async def run_again() -> None:
            while True:
                try:
                    await start()
                    return
                except CancelledError:
                    raise
                except Exception:
                    log.error(
                        "background task {} failed and is started again: {}",
                        name,
                        Failure().getTraceback(),
                    )
                await self.sleep(RESTART_DELAY_S)

        self.spawn(run_again(), name)

    def sleep(self, seconds: float) -> Deferred[None]:
        """Return a Deferred that fires after ``seconds``."""
        return deferLater(self._reactor, seconds)

    def stop(self) -> None:
        """Cancel every unfinished coroutine."""
        for task in list(self._running):
            task.cancel()
