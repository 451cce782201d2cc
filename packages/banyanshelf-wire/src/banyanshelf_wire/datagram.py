"""Encodes the datagrams between gateways in MessagePack.

A load update is sent for each call to every gateway in the zone. MessagePack encodes it
in a few microseconds; a Thrift envelope takes about ten times as long.
"""

from __future__ import annotations

from ipaddress import ip_address

import msgspec

from banyanshelf_core.datagrams import (
    Datagram,
    Greeting,
    LimitQuery,
    QuotaDraw,
    RoomQuery,
    ZoneDigest,
)
from banyanshelf_core.errors import CodecError

# Fits into one Ethernet frame, as the loss of one fragment loses the whole datagram.
MAX_DATAGRAM_BYTES = 1400
MAX_PORT = 65535

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode one datagram."""
    return _encoder.encode(datagram)


def decode_datagram(content: bytes) -> Datagram:
    """Decode one datagram; raises :class:`CodecError` if ``content`` is invalid."""
    try:
        datagram = _decoder.decode(content)
        _check_addresses(datagram)
    except (ValueError, RecursionError) as error:
        # Includes the errors of msgspec; an unknown field can be nested too deeply.
        raise CodecError(f"malformed datagram ({error}); it is ignored") from error
    return datagram


def _check_addresses(datagram: Datagram) -> None:
    """Raise :class:`ValueError` for a member that no datagram can be sent to."""
    match datagram:
        case Greeting():
            addresses = [row[1] for row in [datagram.sender, *datagram.members]]
        case ZoneDigest():
            addresses = [row[1] for row in datagram.members]
        case LimitQuery() | QuotaDraw() | RoomQuery():
            addresses = [datagram.reply_to]
        case _:
            return
    for address in addresses:
        host, _, port = address.rpartition(":")
        ip_address(host.strip("[]"))
        if not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"port {port} of a member is out of range")
