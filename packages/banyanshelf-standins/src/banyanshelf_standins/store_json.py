"""JSON forms of the store's requests and answers.

As in etcd's gateway, keys and values are base64, 64-bit integers are strings, and
fields with a zero value are left out of answers.
"""

from __future__ import annotations

import base64
from typing import Any

from banyanshelf_standins.key_space import (
    Comparison,
    DeleteRange,
    Event,
    KeySpace,
    KeyValue,
    Operation,
    Put,
    Range,
    StoreRequestError,
)

Json = dict[str, Any]

FIELD_BY_TARGET = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
}


def decode_bytes(value: str) -> bytes:
    """Decode a base64 field."""
    return base64.b64decode(value, validate=True)


def encode_bytes(value: bytes) -> str:
    """Encode a base64 field."""
    return base64.b64encode(value).decode()


def header(keys: KeySpace) -> Json:
    """Return the answer header."""
    return {
        "cluster_id": str(keys.cluster_id),
        "member_id": "1",
        "revision": str(keys.revision),
        "raft_term": "1",
    }


def error(code: int, message: str) -> Json:
    """Return an error answer."""
    return {"error": message, "code": code, "message": message}


def key_value_json(entry: KeyValue) -> Json:
    """Return one key with its revisions."""
    numbers = {
        "create_revision": entry.create_revision,
        "mod_revision": entry.mod_revision,
        "version": entry.version,
        "lease": entry.lease,
    }
    result: Json = {"key": encode_bytes(entry.key)}
    result.update({name: str(number) for name, number in numbers.items() if number})
    if entry.value:
        result["value"] = encode_bytes(entry.value)
    return result


def event_json(event: Event) -> Json:
    """Return one event of a watch; the type PUT is left out."""
    content: Json = {"kv": key_value_json(event.entry)}
    return {"type": "DELETE", **content} if event.deleted else content


def read_range(body: Json) -> Range:
    """Read a range request."""
    return Range(
        decode_bytes(body["key"]),
        decode_bytes(body.get("range_end", "")),
        int(body.get("limit", 0)),
    )


def read_put(body: Json) -> Put:
    """Read a put request."""
    return Put(
        decode_bytes(body["key"]),
        decode_bytes(body.get("value", "")),
        int(body.get("lease", 0)),
    )


def read_delete_range(body: Json) -> DeleteRange:
    """Read a delete-range request."""
    range_end = decode_bytes(body.get("range_end", ""))
    return DeleteRange(decode_bytes(body["key"]), range_end)


def read_operation(body: Json) -> Operation:
    """Read one operation of a transaction, in either spelling of its key."""
    for name, content in body.items():
        match name.replace("_", "").lower():
            case "requestrange":
                return read_range(content)
            case "requestput":
                return read_put(content)
            case "requestdeleterange":
                return read_delete_range(content)
    raise StoreRequestError(f"unknown operation {sorted(body)}")


def read_comparison(body: Json) -> Comparison:
    """Read one condition of a transaction."""
    target = body.get("target", "VERSION")
    if target not in FIELD_BY_TARGET:
        raise StoreRequestError(f"unknown comparison target {target!r}")
    field = FIELD_BY_TARGET[target]
    wanted: int | bytes
    if field == "value":
        wanted = decode_bytes(body.get("value", ""))
    else:
        wanted = int(body.get(field, 0))
    result = body.get("result", "EQUAL")
    return Comparison(decode_bytes(body["key"]), field, result, wanted)


def range_result(keys: KeySpace, wanted: Range, entries: list[KeyValue]) -> Json:
    """Return the answer to a range request."""
    result: Json = {"header": header(keys)}
    shown = entries[: wanted.limit] if wanted.limit else entries
    if shown:
        result["kvs"] = [key_value_json(entry) for entry in shown]
    if len(shown) < len(entries):
        result["more"] = True
    if entries:
        result["count"] = str(len(entries))
    return result


def delete_result(keys: KeySpace, deleted: int) -> Json:
    """Return the answer to a delete-range request."""
    result: Json = {"header": header(keys)}
    if deleted:
        result["deleted"] = str(deleted)
    return result


def lease_result(keys: KeySpace, lease: int, ttl_s: int) -> Json:
    """Return the answer to a lease call; a missing lease has no TTL."""
    result: Json = {"header": header(keys), "ID": str(lease)}
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return result


def run_transaction(keys: KeySpace, body: Json) -> Json:
    """Run a transaction and return its answer."""
    comparisons = [read_comparison(item) for item in body.get("compare", [])]
    success = [read_operation(item) for item in body.get("success", [])]
    failure = [read_operation(item) for item in body.get("failure", [])]
    succeeded, results = keys.transact(comparisons, success, failure)
    answer: Json = {"header": header(keys)}
    if succeeded:
        answer["succeeded"] = True
    responses = [
        _response(keys, operation, result)
        for operation, result in zip(
            success if succeeded else failure, results, strict=True
        )
    ]
    if responses:
        answer["responses"] = responses
    return answer


def _response(keys: KeySpace, operation: Operation, result: Any) -> Json:
    match operation:
        case Range():
            return {"response_range": range_result(keys, operation, result)}
        case DeleteRange():
            return {"response_delete_range": delete_result(keys, result)}
        case Put():
            return {"response_put": {"header": header(keys)}}
