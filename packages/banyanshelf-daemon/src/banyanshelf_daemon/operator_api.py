"""HTTP interface for operators and for the platform's health check.

``GET /healthz`` answers 200 while the daemon serves and 503 otherwise; ``GET /status``
describes the daemon; ``GET /config`` returns the text in effect; ``GET /explain`` says
how a request would be routed. Nothing here changes the daemon.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from klein import Klein
from twisted.web.http import Request
from twisted.web.server import Site

from banyanshelf_core.errors import RequestError

JSON_TYPE = "application/json"

Snapshot = Callable[[], Mapping[str, Any]]
Explain = Callable[[str, str, str], Mapping[str, Any]]


class OperatorApi:
    """Routes of the operator interface; every answer is JSON."""

    app = Klein()

    def __init__(
        self,
        is_serving: Callable[[], bool],
        status: Snapshot,
        configuration: Snapshot,
        explain: Explain,
    ) -> None:
        self._is_serving = is_serving
        self._status = status
        self._configuration = configuration
        self._explain = explain

    def site(self) -> Site:
        """Return the site to listen with."""
        return Site(self.app.resource())

    @app.route("/healthz", methods=["GET", "HEAD"])
    def healthz(self, request: Request) -> bytes:
        """Answer the platform's health check."""
        serving = self._is_serving()
        return _answer(request, {"serving": serving}, 200 if serving else 503)

    @app.route("/status", methods=["GET"])
    def status(self, request: Request) -> bytes:
        """Describe the daemon's state."""
        return _answer(request, self._status())

    @app.route("/config", methods=["GET"])
    def configuration(self, request: Request) -> bytes:
        """Return the text in effect with its version and digest."""
        return _answer(request, self._configuration())

    @app.route("/explain", methods=["GET"])
    def explain(self, request: Request) -> bytes:
        """Say which service and upstreams a request would be routed to."""
        try:
            result = self._explain(
                _argument(request, b"host", "*"),
                _argument(request, b"path", "/"),
                _argument(request, b"method", "GET"),
            )
        except RequestError as error:
            return _answer(request, {"error": str(error)}, error.status)
        return _answer(request, result)


def _argument(request: Request, name: bytes, default: str) -> str:
    values = request.args.get(name)
    return values[0].decode("utf-8", "replace") if values else default


def _answer(request: Request, content: Mapping[str, Any], status: int = 200) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", JSON_TYPE)
    return msgspec.json.encode(content) + b"\n"
