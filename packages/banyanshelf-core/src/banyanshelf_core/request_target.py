"""Hosts and paths as they are compared, in requests and in configurations."""

from __future__ import annotations

import re
from urllib.parse import unquote

_REPEATED_SLASHES = re.compile("//+")


def host_name(host: str) -> str:
    """Return a host in lower case without its port.

    Example:
        ``host_name("Desk.example:80")`` is ``"desk.example"``.

    """
    host = host.lower()
    if ":" not in host:
        return host
    name, _, port = host.rpartition(":")
    return name if port.isdigit() else host


def normalize_path(path: str) -> str:
    """Decode percent-encoding and merge repeated slashes.

    Example:
        ``normalize_path("//a%62")`` is ``"/ab"``.

    """
    if "%" in path:
        path = unquote(path, errors="replace")
    if "//" in path:
        path = _REPEATED_SLASHES.sub("/", path)
    return path


def has_dot_segments(normalized: str) -> bool:
    """Whether a server may resolve the path to one with another prefix."""
    return "/." in normalized and not {".", ".."}.isdisjoint(normalized.split("/"))
