"""Blocking HTTP calls to control listeners and operator interfaces."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

CALL_TIMEOUT_S = 5.0
POLL_S = 0.05


class ControlError(Exception):
    """A control call that was not answered with success."""


class Reply(NamedTuple):
    """Status, headers by lower-case name, and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


def send(
    method: str,
    address: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Send one request on a connection of its own.

    Raises ``OSError`` or ``http.client.HTTPException`` without a whole answer.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, target, body or None, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, fields, content)
    finally:
        connection.close()


def call_json(method: str, address: str, target: str, value: Any = None) -> Any:
    """Send JSON and return the decoded answer; raises :class:`ControlError`."""
    body = b"" if value is None else msgspec.json.encode(value)
    try:
        reply = send(method, address, target, body)
    except (OSError, http.client.HTTPException) as error:
        raise ControlError(f"{method} {address}{target}: {error!r}") from error
    if reply.status != 200:
        raise ControlError(f"{method} {address}{target}: {reply.status} {reply.body!r}")
    return reply.json()


def try_status(address: str, target: str) -> int:
    """Return the status of a GET, 0 without an answer."""
    try:
        return send("GET", address, target, timeout_s=1.0).status
    except (OSError, http.client.HTTPException):
        return 0


def wait_until(
    condition: Callable[[], bool],
    what: str,
    limit_s: float = 30.0,
    poll_s: float = POLL_S,
) -> float:
    """Poll until a condition holds and return the time taken in seconds.

    Raises ``TimeoutError`` that names ``what``.
    """
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > limit_s:
            raise TimeoutError(f"{what}: not seen within {limit_s} s")
        time.sleep(poll_s)
    return time.monotonic() - begin
