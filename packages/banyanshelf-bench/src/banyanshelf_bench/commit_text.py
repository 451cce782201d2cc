"""Commits an operators' text to the store, as design section 2.5 describes."""

from __future__ import annotations

import base64
import time
import uuid
from typing import Any, NamedTuple

import msgspec

from banyanshelf_bench.control import call_json
from banyanshelf_core.hashing import digest

PART_BYTES = 512 * 1024
STORE_PREFIX = "banyanshelf/"

Head = tuple[int, dict[str, Any] | None]


class Committed(NamedTuple):
    """Version and digest of an accepted text, and when it was accepted."""

    version: int
    digest: str
    accepted_at: float


class CommitRefusedError(Exception):
    """Another change was committed first."""


def _encode(value: str | bytes) -> str:
    content = value.encode() if isinstance(value, str) else value
    return base64.b64encode(content).decode()


def read_head(store: str) -> Head:
    """Return the head's revision and record; 0 and None before the first commit."""
    key = _encode(STORE_PREFIX + "config/head")
    entries = call_json("POST", store, "/v3/kv/range", {"key": key}).get("kvs", [])
    if not entries:
        return 0, None
    record = msgspec.json.decode(base64.b64decode(entries[0]["value"]))
    return int(entries[0]["mod_revision"]), record


def commit_text(
    store: str,
    text: str,
    author: str = "fleet",
    seen: Head | None = None,
) -> Committed:
    """Upload the parts and commit the head.

    ``seen`` is the head that the author has read, by default the present one. Raises
    :class:`CommitRefusedError` if the head has changed since.
    """
    revision, head = read_head(store) if seen is None else seen
    version = (head["version"] if head else 0) + 1
    content = text.encode()
    text_digest = digest(content)
    parts = [
        content[start : start + PART_BYTES]
        for start in range(0, len(content), PART_BYTES)
    ]
    for index, part in enumerate(parts):
        part_key = f"{STORE_PREFIX}config/parts/{text_digest}/{index}"
        put = {"key": _encode(part_key), "value": _encode(part)}
        call_json("POST", store, "/v3/kv/put", put)
    record = {
        "version": version,
        "digest": text_digest,
        "parts": len(parts),
        "apply_id": uuid.uuid4().hex,
        "author": author,
        "time": time.time(),
    }
    value = _encode(msgspec.json.encode(record))
    head_key = _encode(STORE_PREFIX + "config/head")
    history_key = _encode(f"{STORE_PREFIX}config/history/{version}")
    transaction = {
        "compare": [
            {"key": head_key, "target": "MOD", "mod_revision": str(revision)},
        ],
        "success": [
            {"request_put": {"key": head_key, "value": value}},
            {"request_put": {"key": history_key, "value": value}},
        ],
    }
    answer = call_json("POST", store, "/v3/kv/txn", transaction)
    if not answer.get("succeeded", False):
        raise CommitRefusedError(f"version {version} was committed by somebody else")
    return Committed(version, text_digest, time.monotonic())
