"""Encodes core messages as Thrift envelopes in the Thrift binary protocol.

Messages are mapped by name: a message class to the struct of the same name and its
fields to the struct's fields. A new field is therefore added only to the message class
and to the ``.thrift`` file.

Example:
    ``decode(encode(ConfigFetch(above_version=3))) == ConfigFetch(above_version=3)``

"""

import re
import types
import typing
from collections.abc import Callable
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport.memory import TCyMemoryBuffer

from banyanshelf_core import call_messages, messages
from banyanshelf_core.errors import CodecError
from banyanshelf_core.messages import PeerMessage
from banyanshelf_wire.structure import check_structure

_MESSAGE_MODULES = frozenset({messages.__name__, call_messages.__name__})
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_PEER = thriftpy2.load(
    str(Path(__file__).with_name("peer.thrift")),
    module_name="banyanshelf_peer_thrift",
)


def _field_name(message_class: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", message_class.__name__).lower()


_MESSAGE_CLASSES: tuple[type, ...] = typing.get_args(PeerMessage)
_CLASS_BY_FIELD = {_field_name(each): each for each in _MESSAGE_CLASSES}
_FIELD_BY_CLASS = {each: name for name, each in _CLASS_BY_FIELD.items()}

Converter = Callable[[Any], Any]


def _unchanged(value: Any) -> Any:
    return value


def _check_string(value: Any) -> Any:
    # The C decoder returns invalid UTF-8 as ``bytes``.
    if not isinstance(value, str):
        raise CodecError("a string field is not valid UTF-8; the link is closed")
    return value


def _check_strings(values: Any) -> Any:
    return [_check_string(value) for value in values]


def _leaf_decoder(hint: Any) -> Converter:
    if hint is str:
        return _check_string
    return _check_strings if hint == list[str] else _unchanged


def _nested_class(hint: Any) -> tuple[type | None, bool]:
    """Return the message class nested in a type hint and whether it is in a list."""
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        hint = next(each for each in typing.get_args(hint) if each is not type(None))
    is_list = typing.get_origin(hint) is list
    if is_list:
        hint = typing.get_args(hint)[0]
    module = getattr(hint, "__module__", "")
    nested = hint if module in _MESSAGE_MODULES else None
    return nested, is_list


def _converter(
    hint: Any,
    convert: Callable[[type], Converter],
    leaf: Callable[[Any], Converter] = lambda hint: _unchanged,
) -> Converter:
    nested, is_list = _nested_class(hint)
    if nested is None:
        return leaf(hint)
    convert_nested = convert(nested)
    if is_list:
        return lambda values: [convert_nested(value) for value in values]
    return lambda value: None if value is None else convert_nested(value)


def _to_struct(message_class: type) -> Converter:
    struct_class = getattr(_PEER, message_class.__name__)
    hints = typing.get_type_hints(message_class)
    converters = [
        (each.name, _converter(hints[each.name], _to_struct))
        for each in fields(message_class)
    ]

    def convert(message: Any) -> Any:
        return struct_class(
            **{name: apply(getattr(message, name)) for name, apply in converters},
        )

    return convert


def _fields_with_default(message_class: type) -> frozenset[str]:
    """Return the fields that messages of older daemons may omit."""
    return frozenset(
        each.name
        for each in fields(message_class)
        if each.default is not MISSING or each.default_factory is not MISSING
    )


def _from_struct(message_class: type) -> Converter:
    hints = typing.get_type_hints(message_class)
    with_default = _fields_with_default(message_class)
    converters = [
        (each.name, _converter(hints[each.name], _from_struct, _leaf_decoder))
        for each in fields(message_class)
    ]

    def convert(struct: Any) -> Any:
        values = {}
        for name, apply in converters:
            value = getattr(struct, name)
            if value is None and name in with_default:
                continue
            if value is None:
                raise CodecError(
                    f"message {message_class.__name__} lacks field {name!r}; "
                    "check that both daemons run compatible versions",
                )
            values[name] = apply(value)
        return message_class(**values)

    return convert


_ENCODER_BY_CLASS = {each: _to_struct(each) for each in _MESSAGE_CLASSES}
_DECODER_BY_FIELD = {name: _from_struct(each) for name, each in _CLASS_BY_FIELD.items()}


def encode(message: PeerMessage) -> bytes:
    """Encode one message without its length prefix."""
    message_class = type(message)
    struct = _ENCODER_BY_CLASS[message_class](message)
    envelope = _PEER.Envelope(**{_FIELD_BY_CLASS[message_class]: struct})
    buffer = TCyMemoryBuffer()
    envelope.write(TCyBinaryProtocol(buffer))
    return bytes(buffer.getvalue())


def decode(content: bytes) -> PeerMessage:
    """Decode one message; raises :class:`CodecError` if ``content`` is invalid."""
    if len(content) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"message of {len(content)} bytes exceeds {MAX_MESSAGE_BYTES}; "
            "split the content",
        )
    check_structure(content)
    envelope = _PEER.Envelope()
    protocol = TCyBinaryProtocol(
        TCyMemoryBuffer(content),
    )
    try:
        envelope.read(protocol)
    except Exception as error:  # Malformed input raises many exception types.
        raise CodecError(
            f"malformed message ({error!r}); the link is closed"
        ) from error
    present = [
        (name, getattr(envelope, name))
        for name in _DECODER_BY_FIELD
        if getattr(envelope, name) is not None
    ]
    if len(present) != 1:
        raise CodecError(
            f"envelope holds {len(present)} messages instead of one; "
            "check that both daemons run compatible versions",
        )
    name, struct = present[0]
    return typing.cast(PeerMessage, _DECODER_BY_FIELD[name](struct))
