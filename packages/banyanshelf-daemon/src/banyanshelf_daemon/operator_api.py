"""HTTP interface for operators and for the platform's health check.

``GET /healthz`` answers 200 while the daemon serves and 503 otherwise; ``GET /status``
returns the state of the daemon; ``GET /config`` returns the active configuration text;
``GET /explain`` shows how a request would be routed. The interface is read-only.
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
    """HTTP routes of the operator interface; every response is JSON."""

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
        """Return the site that serves the routes."""
        return Site(self.app.resource())

    @app.route("/healthz", methods=["GET", "HEAD"])
    def healthz(self, request: Request) -> bytes:
        """Answer the platform's health check."""
        serving = self._is_serving()
        return _json_response(request, {"serving": serving}, 200 if serving else 503)

    @app.route("/status", methods=["GET"])
    def status(self, request: Request) -> bytes:
        """Return the state of the daemon."""
        return _json_response(request, self._status())

    @app.route("/config", methods=["GET"])
    def configuration(self, request: Request) -> bytes:
        """Return the active configuration text with its version and digest."""
        return _json_response(request, self._configuration())

    @app.route("/explain", methods=["GET"])
    def explain(self, request: Request) -> bytes:
        """Return the service and the upstreams to which a request would be routed."""
        try:
            result = self._explain(
                _query_argument(request, b"host", "*"),
                _query_argument(request, b"path", "/"),
                _query_argument(request, b"method", "GET"),
            )
        except RequestError as error:
            return _json_response(request, {"error": str(error)}, error.status)
        return _json_response(request, result)


def _query_argument(request: Request, name: bytes, default: str) -> str:
    values = request.args.get(name)
    return values[0].decode("utf-8", "replace") if values else default


def _json_response(
    request: Request, content: Mapping[str, Any], status: int = 200
) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", JSON_TYPE)
    return msgspec.json.encode(content) + b"\n"
