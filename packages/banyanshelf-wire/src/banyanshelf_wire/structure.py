"""Validates the structure of a Thrift binary message before it is decoded.

The C decoder of ``thriftpy2`` runs for minutes when it skips an unknown container whose
element count exceeds the message. Every length is therefore first compared with the
number of remaining bytes.
"""

from struct import Struct

from banyanshelf_core.errors import CodecError

MAX_DEPTH = 8

_STOP, _BOOL, _I8, _DOUBLE, _I16, _I32, _I64 = 0, 2, 3, 4, 6, 8, 10
_STRING, _STRUCT, _MAP, _SET, _LIST = 11, 12, 13, 14, 15
_FIXED_SIZES = {_BOOL: 1, _I8: 1, _DOUBLE: 8, _I16: 2, _I32: 4, _I64: 8}
_FIELD_HEADER_SIZE = 3

_read_i32 = Struct(">i").unpack_from


def check_structure(content: bytes) -> None:
    """Raise :class:`CodecError` unless ``content`` is one well-formed struct."""
    try:
        end = _skip_struct(content, 0, 0)
    except (IndexError, ValueError) as error:
        raise CodecError("message is truncated or malformed; link closed") from error
    if end != len(content):
        raise CodecError(f"{len(content) - end} extra bytes after message; link closed")


def _skip_struct(content: bytes, position: int, depth: int) -> int:
    if depth > MAX_DEPTH:
        raise ValueError("nested too deeply")
    while True:
        field_type = content[position]
        if field_type == _STOP:
            return position + 1
        position = _skip_value(
            content, position + _FIELD_HEADER_SIZE, field_type, depth
        )


def _skip_value(content: bytes, position: int, value_type: int, depth: int) -> int:
    size = _FIXED_SIZES.get(value_type)
    if size is not None:
        return position + size
    if value_type == _STRING:
        return position + 4 + _read_length(content, position)
    if value_type == _STRUCT:
        return _skip_struct(content, position, depth + 1)
    if value_type in (_LIST, _SET):
        return _skip_container(content, position, [content[position]], depth)
    if value_type == _MAP:
        return _skip_container(
            content, position, list(content[position : position + 2]), depth
        )
    raise ValueError(f"unknown type {value_type}")


def _skip_container(
    content: bytes, position: int, item_types: list[int], depth: int
) -> int:
    position += len(item_types)
    count = _read_length(content, position)
    position += 4
    if depth > MAX_DEPTH:
        raise ValueError("nested too deeply")
    for _ in range(count):
        for item_type in item_types:
            position = _skip_value(content, position, item_type, depth + 1)
    return position


def _read_length(content: bytes, position: int) -> int:
    if position + 4 > len(content):
        raise IndexError("length is truncated")
    length: int = _read_i32(content, position)[0]
    # Every item has at least one byte, so the message size bounds the work.
    if not 0 <= length <= len(content) - position - 4:
        raise ValueError(f"length {length} exceeds the message")
    return length
