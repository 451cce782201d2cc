"""Keys and records of members and of the configuration in the store.

Keys are relative to the store prefix of the settings. Records are JSON; the parts of
the configuration text are UTF-8.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from banyanshelf_core.errors import StoreRecordError
from banyanshelf_core.hashing import digest
from banyanshelf_core.model import Member, MemberId

CONFIG_HEAD_KEY = "config/head"
MEMBERS_PREFIX = "members/"
MAX_PART_BYTES = 512 * 1024
# What decoding JSON of another writer can raise; fields that are skipped can be nested
# too deeply.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class ConfigHead(msgspec.Struct, frozen=True, kw_only=True):
    """The accepted version; its history record has the same content.

    ``time`` is in seconds since the epoch, by the clock of the operator's machine.
    """

    version: int
    digest: str
    parts: int
    apply_id: str
    author: str
    time: float


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of a running daemon, bound to its lease."""

    id: str
    address: str
    zone: str
    incarnation: int

    @classmethod
    def from_member(cls, member: Member) -> MemberRecord:
        """Return the record of a member."""
        return cls(**member._asdict())

    def to_member(self) -> Member:
        """Return the member that the record describes."""
        return Member(self.id, self.address, self.zone, self.incarnation)


RecordT = TypeVar("RecordT", ConfigHead, MemberRecord)


def part_key(text_digest: str, index: int) -> str:
    """Return the key of one content-addressed part."""
    return f"config/parts/{text_digest}/{index}"


def history_key(version: int) -> str:
    """Return the key of the history record of a version."""
    return f"config/history/{version}"


def member_key(member_id: MemberId) -> str:
    """Return the key of a daemon's record."""
    return f"{MEMBERS_PREFIX}{member_id}"


def encode_record(record: ConfigHead | MemberRecord) -> bytes:
    """Encode a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(content: bytes, record_class: type[RecordT]) -> RecordT:
    """Decode a record; raises :class:`StoreRecordError`."""
    try:
        return msgspec.json.decode(content, type=record_class)
    except DECODE_ERRORS as error:
        raise StoreRecordError(
            f"store record is no {record_class.__name__} ({error}); "
            "check that nothing else writes below the store prefix",
        ) from error


def split_text(text: str) -> list[bytes]:
    """Split a text into parts of at most ``MAX_PART_BYTES`` bytes, at least one."""
    content = text.encode()
    starts = range(0, max(1, len(content)), MAX_PART_BYTES)
    return [content[start : start + MAX_PART_BYTES] for start in starts]


def join_parts(parts: Sequence[bytes], text_digest: str) -> str:
    """Join the parts of a text; raises :class:`StoreRecordError` on a mismatch."""
    content = b"".join(parts)
    if digest(content) != text_digest:
        raise StoreRecordError(
            f"the {len(parts)} parts do not have digest {text_digest}; "
            "apply the configuration text again",
        )
    return content.decode()
