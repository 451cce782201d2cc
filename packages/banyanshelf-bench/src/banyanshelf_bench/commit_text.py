"""Commits an operators' text to the store, as design section 2.5 describes."""

from __future__ import annotations

import base64
import time
import uuid
from typing import NamedTuple

from banyanshelf_bench.control import call_json
from banyanshelf_core.hashing import digest
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    ConfigHead,
    decode_record,
    encode_record,
    history_key,
    part_key,
    split_text,
)

STORE_PREFIX = "banyanshelf/"

Head = tuple[int, ConfigHead | None]


class Committed(NamedTuple):
    """Version and digest of an accepted text, and when it was accepted."""

    version: int
    digest: str
    accepted_at: float


class CommitRefusedError(Exception):
    """Another change was committed first."""


def _encode(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _key(key: str) -> str:
    return _encode((STORE_PREFIX + key).encode())


def read_head(store: str) -> Head:
    """Return the head's revision and record; 0 and None before the first commit."""
    answer = call_json("POST", store, "/v3/kv/range", {"key": _key(CONFIG_HEAD_KEY)})
    entries = answer.get("kvs", [])
    if not entries:
        return 0, None
    record = decode_record(base64.b64decode(entries[0]["value"]), ConfigHead)
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
    text_digest = digest(text.encode())
    parts = split_text(text)
    for index, part in enumerate(parts):
        put = {"key": _key(part_key(text_digest, index)), "value": _encode(part)}
        call_json("POST", store, "/v3/kv/put", put)
    record = ConfigHead(
        version=(head.version if head else 0) + 1,
        digest=text_digest,
        parts=len(parts),
        apply_id=uuid.uuid4().hex,
        author=author,
        time=time.time(),
    )
    value = _encode(encode_record(record))
    keys = [_key(CONFIG_HEAD_KEY), _key(history_key(record.version))]
    condition = {"key": keys[0], "target": "MOD", "mod_revision": str(revision)}
    puts = [{"request_put": {"key": key, "value": value}} for key in keys]
    transaction = {"compare": [condition], "success": puts}
    answer = call_json("POST", store, "/v3/kv/txn", transaction)
    if not answer.get("succeeded", False):
        raise CommitRefusedError(
            f"version {record.version} was committed by somebody else; read it first",
        )
    return Committed(record.version, text_digest, time.monotonic())
