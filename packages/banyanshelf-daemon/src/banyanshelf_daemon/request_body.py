"""The body of a request, which is held once and sent in blocks."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

# Blocks of one size leave no unusable gaps on the heap when they are freed.
BLOCK_BYTES = 64 * 1024


class RequestBody:
    """Collects a body from parts of any size.

    Small parts, such as those of tiny chunks, are merged, so that a body takes its own
    size and no memory for each part.

    Example:
        ``body.append(b"ab")``, then ``for block in body.blocks(): send(block)``.

    """

    __slots__ = ("_blocks", "_last")

    def __init__(self, data: bytes = b"") -> None:
        self._blocks: list[bytes] = []
        self._last: bytes | bytearray = b""
        self.append(data)

    def __len__(self) -> int:
        """Return the size in bytes."""
        return len(self._blocks) * BLOCK_BYTES + len(self._last)

    def append(self, data: bytes) -> None:
        """Add a part at the end."""
        if not self._last and len(data) <= BLOCK_BYTES:
            self._last = data
            return
        if isinstance(self._last, bytes):
            self._last = bytearray(self._last)
        self._last += data
        while len(self._last) > BLOCK_BYTES:
            self._blocks.append(bytes(memoryview(self._last)[:BLOCK_BYTES]))
            del self._last[:BLOCK_BYTES]

    def blocks(self) -> Iterator[bytes]:
        """Yield the body in blocks of at most ``BLOCK_BYTES``."""
        yield from self._blocks
        if self._last:
            yield bytes(self._last)

    def to_bytes(self) -> bytes:
        """Return the body as one value; for a long body, this copies it."""
        return b"".join(self.blocks())


class BodySender:
    """Sends a long body block by block, as fast as the receiver reads.

    It is a pull producer of the transport, so that the transport holds one block.
    """

    def __init__(self, transport: Any, body: RequestBody) -> None:
        self._transport = transport
        self._blocks: Iterator[bytes] | None = body.blocks()

    @property
    def is_done(self) -> bool:
        """Whether the whole body has been handed to the transport."""
        return self._blocks is None

    def start(self) -> None:
        """Send the first block and register for the others."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next block (called by the transport)."""
        if self._blocks is None:
            return
        block = next(self._blocks, None)
        if block is None:
            self._blocks = None
            self._transport.unregisterProducer()
        else:
            self._transport.write(block)

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the body, as the connection is lost (called by the transport)."""
        self._blocks = None
