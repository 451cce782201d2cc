"""Checks the workspaces of an operators' text and hides their keys in what is shown."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from hashlib import sha256
from typing import TYPE_CHECKING

import msgspec

from banyanshelf_core.errors import TextError

if TYPE_CHECKING:
    from banyanshelf_core.text import OperatorText, Workspace

HIDDEN_KEY_PREFIX = "hidden:"
# Enough digits to tell the keys of a text apart, too few to find a key by trying.
HIDDEN_KEY_DIGITS = 6


def check_workspaces(workspace_by_name: Mapping[str, Workspace]) -> None:
    """Check what the schema cannot express; raises :class:`TextError`.

    No message repeats a key, as it is logged.
    """
    owner_by_key: dict[str, str] = {}
    for name, workspace in workspace_by_name.items():
        where = f"workspaces.{name}"
        # The name is sent to upstreams in a header field.
        if not name.isprintable() or name != name.strip() or not name:
            raise TextError(
                "workspaces",
                f"{name!r} cannot be sent in a header field",
                "name the workspace with printable characters",
            )
        for key in workspace.keys:
            if not key or key.startswith(HIDDEN_KEY_PREFIX):
                raise TextError(
                    where,
                    "a key is empty or hidden",
                    "write the key itself; show --with-keys prints it",
                )
            if owner_by_key.setdefault(key, name) != name:
                raise TextError(
                    where,
                    f"workspace {owner_by_key[key]!r} has one of its keys",
                    "give each key to one workspace",
                )
        if min(workspace.requests_per_s, workspace.burst, workspace.priority or 0) < 0:
            raise TextError(
                where,
                "requests_per_s, burst and priority must not be negative",
                "write 0 for no quota and for the highest priority",
            )


def hide_key(key: str) -> str:
    """Return what is shown in place of a key; equal keys look the same."""
    return HIDDEN_KEY_PREFIX + sha256(key.encode()).hexdigest()[:HIDDEN_KEY_DIGITS]


def without_keys(text: OperatorText) -> OperatorText:
    """Return a text whose keys are hidden."""
    if text.workspaces is None:
        return text
    hidden = {
        name: msgspec.structs.replace(each, keys=[hide_key(key) for key in each.keys])
        for name, each in text.workspaces.items()
    }
    return msgspec.structs.replace(text, workspaces=hidden)


def hide_keys(content: str) -> str:
    """Return the content of a text with its keys hidden.

    Raises :class:`TextError` if a key is written with escapes, as it cannot be found.

    Example::

        hide_keys(content)  # keys = ["k-7f21"] becomes keys = ["hidden:5d7a32"]

    """
    keys = _keys_in(content)
    for key in keys:
        for quote in ('"', "'"):
            content = content.replace(
                f"{quote}{key}{quote}", f"{quote}{hide_key(key)}{quote}"
            )
    if keys & _keys_in(content):
        raise TextError(
            "workspaces",
            "a key is written with escapes and cannot be hidden",
            "write it without escapes, or use --with-keys",
        )
    return content


def _keys_in(content: str) -> set[str]:
    workspaces = tomllib.loads(content).get("workspaces", {})
    return {key for each in workspaces.values() for key in each.get("keys", ())}
