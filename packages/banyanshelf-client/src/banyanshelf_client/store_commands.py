"""Commands that read and change the operators' text in the store."""

from __future__ import annotations

import difflib
import getpass
import random
import time
import uuid
from typing import Any

from twisted.internet.task import deferLater

from banyanshelf_client.output import ExitCode, Output
from banyanshelf_core.apply_protocol import (
    Accepted,
    ApplyProtocol,
    ApplyResult,
    BaseVersion,
    Commit,
    NotSent,
    PutRecord,
    ReadRecord,
    Refused,
    Unknown,
    WaitFor,
    resolve,
)
from banyanshelf_core.errors import StoreError, StoreRecordError
from banyanshelf_core.store_records import (
    CONFIG_HEAD_KEY,
    ConfigHead,
    decode_record,
    history_key,
    join_parts,
    part_key,
)
from banyanshelf_core.text import parse_text
from banyanshelf_core.workspace_text import hide_keys
from banyanshelf_daemon.store_client import StoreClient


async def apply_text(
    reactor: Any,
    store: StoreClient,
    output: Output,
    content: str,
    base: int | None,
) -> ExitCode:
    """Validate a text, commit it by compare-and-swap and print the outcome."""
    parse_text(content)
    base_version = None if base is None else await _read_base_version(store, base)
    protocol = ApplyProtocol(
        content,
        getpass.getuser(),
        uuid.uuid4().hex,
        time.time(),
        random.Random(),
        base_version,
    )
    result = await _run_protocol(reactor, store, protocol)
    return _print_result(output, result)


async def _read_base_version(store: StoreClient, base: int) -> BaseVersion:
    record = await store.get(CONFIG_HEAD_KEY)
    head = decode_record(record.value, ConfigHead) if record else None
    if record is not None and head is not None and head.version == base:
        return BaseVersion(base, record.mod_revision)
    # No record has revision -1, so the protocol refuses the change and reports which
    # change came first.
    return BaseVersion(base, -1)


async def _run_protocol(
    reactor: Any,
    store: StoreClient,
    protocol: ApplyProtocol,
) -> ApplyResult:
    effect = protocol.start(reactor.seconds())
    while not isinstance(effect, ApplyResult):
        if isinstance(effect, WaitFor):
            await deferLater(reactor, effect.seconds)
            effect = protocol.on_wait_over()
            continue
        try:
            answer = await _perform(store, effect)
        except StoreError as error:
            effect = protocol.on_failure(str(error), reactor.seconds())
        else:
            effect = protocol.on_answer(answer, reactor.seconds())
    return effect


async def _perform(store: StoreClient, effect: Any) -> Any:
    match effect:
        case ReadRecord(key):
            return await store.get(key)
        case PutRecord(key, value):
            await store.put(key, value)
            return None
        case Commit(transaction):
            return await store.transact(transaction)
    raise TypeError(f"unknown effect {effect!r}")


def _print_result(output: Output, result: ApplyResult) -> ExitCode:
    match result:
        case Accepted(version, text_digest, was_in_effect):
            state = "is in effect already" if was_in_effect else "is accepted"
            output.result(
                f"version {version} {state} (digest {text_digest[:12]})",
                result="accepted",
                version=version,
                digest=text_digest,
            )
            return ExitCode.DONE
        case Refused(first, based_on, remedy):
            output.result(
                f"refused: the change was based on version {based_on}; {remedy}",
                result="refused",
                based_on=based_on,
                first=first,
                remedy=remedy,
            )
            return ExitCode.REFUSED
        case NotSent(reason, remedy):
            output.result(
                f"not applied: {reason}; {remedy}",
                result="not_sent",
                reason=reason,
                remedy=remedy,
            )
            return ExitCode.REFUSED
        case Unknown(version, apply_id, command):
            output.result(
                f"unknown whether version {version} was accepted; run `{command}`",
                result="unknown",
                version=version,
                apply_id=apply_id,
                command=command,
            )
            return ExitCode.UNKNOWN


async def resolve_commit(
    store: StoreClient,
    output: Output,
    version: int,
    apply_id: str,
) -> ExitCode:
    """Print the outcome of a commit whose result was unknown."""
    record = await store.get(history_key(version))
    return _print_result(output, resolve(version, apply_id, record))


async def read_head(store: StoreClient, version: int | None = None) -> ConfigHead:
    """Return the accepted version's head record, or the history record of a version."""
    key = CONFIG_HEAD_KEY if version is None else history_key(version)
    record = await store.get(key)
    if record is None:
        raise StoreRecordError(
            (
                "no text has been applied yet; run `banyanshelf apply FILE`"
                if version is None
                else f"version {version} does not exist; run `banyanshelf history`"
            ),
        )
    return decode_record(record.value, ConfigHead)


async def read_text(store: StoreClient, head: ConfigHead) -> str:
    """Read the parts of a version's text and join them."""
    parts = []
    for index in range(head.parts):
        record = await store.get(part_key(head.digest, index))
        parts.append(record.value if record else b"")
    return join_parts(parts, head.digest)


async def show_text(
    store: StoreClient,
    output: Output,
    version: int | None,
    *,
    with_keys: bool,
) -> ExitCode:
    """Print a version's text, by default the accepted one.

    The keys of workspaces are hidden unless ``with_keys``.
    """
    head = await read_head(store, version)
    text = await read_text(store, head)
    if not with_keys:
        text = hide_keys(text)
    output.result(
        text.rstrip("\n"), version=head.version, digest=head.digest, text=text
    )
    return ExitCode.DONE


async def show_diff(store: StoreClient, output: Output, content: str) -> ExitCode:
    """Print a unified diff from the accepted text to ``content``.

    Keys of workspaces are hidden; different ones look different. The exit code is 1 if
    the text is not valid.
    """
    parse_text(content)
    head = await read_head(store)
    accepted = hide_keys(await read_text(store, head))
    content = hide_keys(content)
    lines = list(
        difflib.unified_diff(
            accepted.splitlines(),
            content.splitlines(),
            f"version {head.version}",
            "FILE",
            lineterm="",
        ),
    )
    output.result("\n".join(lines) or "no change", version=head.version, diff=lines)
    return ExitCode.DONE


async def show_history(store: StoreClient, output: Output, limit: int) -> ExitCode:
    """Print the most recent versions, the newest first."""
    newest = await read_head(store)
    rows = []
    for version in range(newest.version, max(0, newest.version - limit), -1):
        head = await read_head(store, version)
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(head.time))
        rows.append(
            {
                "version": head.version,
                "author": head.author,
                "time": when,
                "digest": head.digest[:12],
                "apply_id": head.apply_id,
            },
        )
    output.table("versions", rows)
    return ExitCode.DONE
