"""Callers that keep their connections open until the gateway closes them."""

from __future__ import annotations

import http.client
import random
import threading
import time
from typing import NamedTuple

from soak.site import (
    HOST_NAME,
    LASTING_KEY,
    LASTING_TENANT,
    SoakSite,
    version_key,
    version_tenant,
)

DEADLINE_MS = 2500
# A gateway answers at the route's timeout; a paused one later.
ANSWER_LIMIT_S = 8.0
PAUSE_BETWEEN_CALLS_S = 0.03
UNSAFE_SHARE = 0.3
# Share of the calls that test which version is in force.
VERSION_SHARE = 0.1
NEW_CONNECTION_SHARE = 0.1


class Call(NamedTuple):
    """One call as its caller saw it; times are monotonic seconds.

    ``status`` is 0 if no whole answer came. ``version`` is the version whose route was
    asked with its key, or 0. ``tenant`` holds the key. ``is_first`` tells a call that
    was the first of its connection.
    """

    attempt: str
    gateway: int
    is_unsafe: bool
    version: int
    sent_at: float
    ended_at: float
    status: int
    named_attempt: str
    is_signed: bool
    body: bytes
    error: str
    is_first: bool
    tenant: str = LASTING_TENANT


class Callers:
    """Threads that call all gateways; ``calls`` holds what they saw."""

    def __init__(self, site: SoakSite, seed: int, count: int) -> None:
        self._site = site
        self._stop = threading.Event()
        self.calls: list[Call] = []
        self._threads = [
            threading.Thread(
                target=self._run, args=(number, random.Random(f"{seed}/{number}"))
            )
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End after the calls in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, rng: random.Random) -> None:
        gateway = rng.randrange(len(self._site.gateways))
        connection: http.client.HTTPConnection | None = None
        calls = 0
        while not self._stop.wait(PAUSE_BETWEEN_CALLS_S * rng.uniform(0.5, 1.5)):
            if connection is not None and rng.random() < NEW_CONNECTION_SHARE:
                connection.close()
                connection = None
            is_first = connection is None
            if connection is None:
                host, port = self._site.callers_address(gateway)
                connection = http.client.HTTPConnection(
                    host, port, timeout=ANSWER_LIMIT_S
                )
            calls += 1
            call = self._call(connection, gateway, f"{number}-{calls}", is_first, rng)
            self.calls.append(call)
            if not call.status or connection.sock is None:
                connection.close()
                connection = None

    def _call(
        self,
        connection: http.client.HTTPConnection,
        gateway: int,
        attempt: str,
        is_first: bool,
        rng: random.Random,
    ) -> Call:
        is_unsafe = rng.random() < UNSAFE_SHARE
        version, key, tenant = 0, LASTING_KEY, LASTING_TENANT
        path = "/unsafe/" if is_unsafe else "/safe/"
        if not is_unsafe and rng.random() < VERSION_SHARE:
            # The newest version, or the one before, whose route has been removed.
            version = max(1, self._site.version - rng.randrange(2))
            path = f"/v{version}/"
            key, tenant = version_key(version), version_tenant(version)
        headers = {
            "Host": HOST_NAME,
            "X-Banyanshelf-Attempt-Id": attempt,
            "X-Banyanshelf-Deadline-Milliseconds": str(DEADLINE_MS),
            "X-Banyanshelf-Credential": key,
            "X-Banyanshelf-Tenant": "chosen-by-the-caller",
        }
        sent_at = time.monotonic()
        status, named, is_signed, body, error = 0, "", False, b"", ""
        try:
            connection.request(
                "POST" if is_unsafe else "GET", path + attempt, b"", headers
            )
            answer = connection.getresponse()
            body = answer.read()
            status = answer.status
            named = answer.getheader("X-Banyanshelf-Attempt-Id", "")
            is_signed = answer.getheader("X-Banyanshelf-Response-Signature") is not None
        except (OSError, http.client.HTTPException) as failure:
            error = repr(failure)
        return Call(
            attempt,
            gateway,
            is_unsafe,
            version,
            sent_at,
            time.monotonic(),
            status,
            named,
            is_signed,
            body,
            error,
            is_first,
            tenant,
        )
