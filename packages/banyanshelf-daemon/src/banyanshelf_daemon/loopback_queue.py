"""Messages that a member sends to itself, without the network."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from banyanshelf_core.messages import PeerMessage


class LoopbackQueue:
    """Delivers messages in order, each after the previous one has been handled."""

    def __init__(self, handle: Callable[[PeerMessage], None]) -> None:
        self._handle = handle
        self._messages: deque[PeerMessage] = deque()
        self._is_delivering = False

    def put(self, message: PeerMessage) -> None:
        """Queue a message for the next :meth:`deliver`."""
        self._messages.append(message)

    def deliver(self) -> None:
        """Handle all messages, including those queued while handling."""
        if self._is_delivering or not self._messages:
            return
        self._is_delivering = True
        try:
            while self._messages:
                self._handle(self._messages.popleft())
        finally:
            self._is_delivering = False
