"""Messages of a member to itself, which skip the network."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from banyanshelf_core.messages import PeerMessage


class LoopbackQueue:
    """Delivers messages in order, one after the other has been handled."""

    def __init__(self, handle: Callable[[PeerMessage], None]) -> None:
        self._handle = handle
        self._messages: deque[PeerMessage] = deque()
        self._is_delivering = False

    def put(self, message: PeerMessage) -> None:
        """Add a message to the next delivery."""
        self._messages.append(message)

    def deliver(self) -> None:
        """Handle all messages, those that arise meanwhile included."""
        if self._is_delivering or not self._messages:
            return
        self._is_delivering = True
        try:
            while self._messages:
                self._handle(self._messages.popleft())
        finally:
            self._is_delivering = False
