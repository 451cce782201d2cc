"""Error answers as problem details (RFC 9457) with ``outcome`` and ``Proxy-Status``."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import Any

import msgspec

from banyanshelf_core.model import Outcome
from banyanshelf_daemon.http_message import Answer, header

PROXY_NAME = "banyanshelf"
# RFC 9110, section 11.6.1: a 401 names what a request has to carry.
AUTHENTICATION_SCHEME = "Banyanshelf-Workspace-Key"


def problem_answer(
    status: int,
    detail: str,
    outcome: Outcome | None,
    error: str,
    *,
    retry_after_s: float | None = None,
    request_id: str = "",
) -> Answer:
    """Build an error answer.

    ``outcome`` is None if the request ran and only its answer is missing. ``error`` is
    an error type of RFC 9209, section 2.3.
    """
    content: dict[str, Any] = {
        "type": "about:blank",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
    }
    if outcome is not None:
        content["outcome"] = outcome.value
    if request_id:
        content["request_id"] = request_id
    headers = [
        header("Content-Type", "application/problem+json"),
        header("Proxy-Status", f"{PROXY_NAME}; error={error}"),
    ]
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append(header("WWW-Authenticate", AUTHENTICATION_SCHEME))
    if retry_after_s is not None:
        seconds = max(1, math.ceil(retry_after_s))
        headers.append(header("Retry-After", str(seconds)))
    return Answer(status, headers, msgspec.json.encode(content))
