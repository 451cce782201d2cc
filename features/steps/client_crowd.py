"""A crowd of callers that send large bodies at once, and what it costs a process."""

import selectors
import socket
import time
from collections import deque
from pathlib import Path

CROWD_LIMIT_S = 60.0
SEND_BYTES = 64 * 1024
SAMPLE_PERIOD_S = 0.02
BLOCK = b"b" * 0x10000
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
SMALL_CHUNKS = b"2\r\nab\r\n" * 4096
SMALL_CHUNK_ROUNDS = 25
OVER_LIMIT_FACTOR = 2
# Of those that stop short of their end, the others complete their requests.
COMPLETE_CLIENTS = 4


def wire_parts(kind, head, body_bytes, is_complete):
    """Return what one client of a kind sends."""
    length = f"Content-Length: {body_bytes}\r\n\r\n".encode()
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    blocks = body_bytes // len(BLOCK)
    last_chunk = b"0\r\n\r\n" * is_complete
    match kind:
        case "whole bodies" | "bodies in pieces":
            return [head + length, *[BLOCK] * blocks]
        case "bodies that stop short":
            last = BLOCK if is_complete else BLOCK[1:]
            return [head + length, *[BLOCK] * (blocks - 1), last]
        case "large chunks that stop short":
            return [head + chunked, *[CHUNK] * blocks, last_chunk]
        case "small chunks that stop short":
            return [head + chunked, *[SMALL_CHUNKS] * SMALL_CHUNK_ROUNDS, last_chunk]
        case "announced bodies far over the limit":
            length = f"Content-Length: {1000 * body_bytes}\r\n\r\n".encode()
            return [head + length, *[BLOCK] * (OVER_LIMIT_FACTOR * blocks)]
        case "endless chunks":
            return [head + chunked, *[CHUNK] * (OVER_LIMIT_FACTOR * blocks)]
        case "heads that stop short":
            return [head]
    raise AssertionError(kind)


class _Client:
    def __init__(self, address, parts, piece_bytes):
        self.socket = socket.create_connection(address, timeout=CROWD_LIMIT_S)
        self.socket.setblocking(False)
        self.left = deque(memoryview(part) for part in parts if part)
        self.piece_bytes = piece_bytes
        self.is_answered = self.is_over = False
        self.answer = b""

    def receive(self):
        try:
            data = self.socket.recv(SEND_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.answer += data
        self.is_answered = bool(self.answer)
        self.is_over = self.is_over or not data

    def send(self):
        try:
            sent = self.socket.send(self.left[0][: self.piece_bytes])
        except BlockingIOError:
            return
        except OSError:
            self.is_over = True
            return
        part = self.left.popleft()[sent:]
        if part:
            self.left.appendleft(part)


class Crowd:
    """Clients of one kind, and the most descriptors of the process while they send."""

    def __init__(self, address, process_id, parts_by_client, kind):
        host, _, port = address.partition(":")
        piece_bytes = 4096 if kind == "bodies in pieces" else SEND_BYTES
        self._process = Path(f"/proc/{process_id}")
        self._selector = selectors.DefaultSelector()
        self.clients = []
        self.descriptors = 0
        self._sampled_at = 0.0
        for parts in parts_by_client:
            client = _Client((host, int(port)), parts, piece_bytes)
            self.clients.append(client)
            self._selector.register(client.socket, selectors.EVENT_READ, client)
            self._sample()

    def send_all(self, must_answer):
        """Send everything; then wait for the answers to ``must_answer`` clients."""
        ends_at = time.monotonic() + CROWD_LIMIT_S
        for client in self.clients:
            self._selector.modify(
                client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client
            )
        waited = self.clients[:must_answer]
        while any(not each.is_over and each.left for each in self.clients) or any(
            not (each.is_over or each.is_answered) for each in waited
        ):
            assert time.monotonic() < ends_at, "the crowd's requests are not read"
            self._step()

    def _step(self):
        for key, events in self._selector.select(SAMPLE_PERIOD_S):
            client = key.data
            if events & selectors.EVENT_READ:
                client.receive()
            if events & selectors.EVENT_WRITE and not client.is_over:
                client.send()
            if client.is_over:
                self._selector.unregister(client.socket)
            elif not client.left:
                self._selector.modify(client.socket, selectors.EVENT_READ, client)
        self._sample()

    def _sample(self):
        now = time.monotonic()
        if now - self._sampled_at >= SAMPLE_PERIOD_S:
            self._sampled_at = now
            count = sum(1 for _ in (self._process / "fd").iterdir())
            self.descriptors = max(self.descriptors, count)

    def close(self):
        for client in self.clients:
            client.socket.close()
        self._selector.close()


def peak_resident_bytes(process_id):
    """Return the most resident memory of a process so far."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has ended")
