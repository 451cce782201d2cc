"""HTTP client with timeouts and bounded bodies, for the store and the host list."""

from __future__ import annotations

from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

CONNECT_TIMEOUT_S = 2.0


@implementer(IBodyProducer)
class BytesBody:
    """Request body that is written at once."""

    def __init__(self, content: bytes) -> None:
        self._content = content
        self.length = len(content)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802 - Twisted's name
        """Write the body."""
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; the body is written already."""

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; the body is written already."""

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; the body is written already."""


class BoundedBody(Protocol):
    """Collects a response body up to ``limit`` bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._content = bytearray()
        self.done: Deferred[bytes] = Deferred(self._cancel)

    def _cancel(self, _: Any) -> None:
        # Closing may call connectionLost at once, which must not fire the result.
        self.done.errback(CancelledError())
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Buffer a part, up to the limit."""
        self._content += data
        if len(self._content) > self._limit and not self.done.called:
            self.done.errback(ValueError(f"response exceeds {self._limit} bytes"))
            if self.transport is not None:
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fire the result with the complete body, or with the failure."""
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(bytes(self._content))
        else:
            self.done.errback(reason)


class DiscardedBody(Protocol):
    """Reads and discards a response body, so that its connection can be reused."""


class PooledHttpClient:
    """A treq client with its own connection pool."""

    def __init__(self, reactor: Any, agent: Any = None) -> None:
        self._pool = None
        if agent is None:
            self._pool = HTTPConnectionPool(reactor)
            # An automatic retry could apply a write twice.
            self._pool.retryAutomatically = False
            agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self.client = HTTPClient(agent)

    def stop(self) -> Any:
        """Close idle connections; return a Deferred, or None without a pool."""
        return self._pool.closeCachedConnections() if self._pool else None


def _timed_out(result: Any, seconds: float) -> Any:
    if isinstance(result, Failure):
        raise TimeoutError(f"no answer within {seconds:g} s")
    return result


async def await_with_timeout(
    seconds: float, pending: Deferred[Any], reactor: Any
) -> Any:
    """Return the result of a request or a body; raises ``TimeoutError``.

    The agent wraps the cancellation of a request in an error of its own. It is raised
    as ``CancelledError`` here, so that retry loops end instead of trying again.
    """
    pending.addTimeout(seconds, reactor, onTimeoutCancel=_timed_out)
    try:
        return await pending
    except Exception as error:
        reasons = getattr(error, "reasons", ())
        if any(each.check(CancelledError) for each in reasons):
            raise CancelledError from error
        raise


async def read_body(response: Any, limit: int) -> bytes:
    """Return the body of a response; fails if it exceeds ``limit`` bytes."""
    body = BoundedBody(limit)
    response.deliverBody(body)
    return await body.done
