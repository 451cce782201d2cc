"""Stand-in of a client of the platform."""

from __future__ import annotations

import asyncio
import random
import socket

from review_standins.gateway import Gateway

HOST = "orders.example"


class Answer:
    """An answer as a client has read it; ``status`` is 0 without a head."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_complete = False


class Client:
    """One connection of a client to a gateway."""

    def __init__(
        self,
        gateway: Gateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.gateway = gateway
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, gateway: Gateway, window_bytes: int = 0) -> Client:
        """Open a connection to a gateway, with a receive window if one is given."""
        handle = socket.socket()
        handle.setblocking(False)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if window_bytes:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        address = gateway.host, gateway.ports["front"]
        await asyncio.get_running_loop().sock_connect(handle, address)
        reader, writer = await asyncio.open_connection(sock=handle, limit=1 << 20)
        return cls(gateway, reader, writer)

    def send(
        self,
        method: str,
        path: str,
        attempt: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> None:
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Banyanshelf-Attempt-Id: {attempt}",
            f"X-Banyanshelf-Deadline-Milliseconds: {deadline_ms}",
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def receive(self, limit_s: float) -> Answer:
        """Read an answer; it is incomplete if the connection or the time ends."""
        answer = Answer()
        try:
            async with asyncio.timeout(limit_s):
                await self._read(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            answer.is_complete = False
        return answer

    async def _read(self, answer: Answer) -> None:
        line = await self.reader.readuntil(b"\r\n")
        answer.status = int(line.split()[1])
        while (line := await self.reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readuntil(b"\r\n")
        else:
            missing = int(answer.fields.get("content-length", "0"))
            while missing:
                part = await self.reader.read(min(missing, 65536))
                if not part:
                    return
                answer.body += part
                missing -= len(part)
        answer.is_complete = True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def new_attempt() -> str:
    """Return the id of a new client attempt."""
    return f"{random.getrandbits(64):016x}"
