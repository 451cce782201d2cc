"""Detects bytes that the kernel has received and the process has not read."""

from __future__ import annotations

import socket
from typing import Any


def has_unread_data(transport: Any) -> bool:
    """Whether the socket of a transport holds bytes that have not been read.

    Transports without a socket, as in tests, hold none.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return False
    try:
        return bool(get_handle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # Nothing to read yet, or the connection is lost, which is reported elsewhere.
        return False
