"""Background coroutines that are cancelled when their owner stops."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

log = Logger("background")


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

    def sleep(self, seconds: float) -> Deferred[None]:
        """Return a Deferred that fires after ``seconds``."""
        return deferLater(self._reactor, seconds)

    def stop(self) -> None:
        """Cancel every unfinished coroutine."""
        for task in list(self._running):
            task.cancel()
