"""Steps that feed damaged settings, texts and configurations to their decoders."""

import copy
import json

import msgspec
from behave import then
from hypothesis import given as draw
from hypothesis import settings, strategies
from platform_record_steps import CONFIGURATION, NODE

from banyanshelf_core.errors import BanyanshelfError
from banyanshelf_core.text import parse_text
from banyanshelf_platform.node_settings import NodeSettings
from banyanshelf_platform.records import RetryRules, decode_configuration

TEXT = {
    "policy": "permits",
    "services": {
        "desk": {
            "hosts": ["desk.example"],
            "timeout_ms": 500,
            "routes": [{"path_prefix": "/pay", "methods": ["POST"]}],
        }
    },
    "routes": [
        {"host": "a.example", "path_prefix": "/a/", "service": "desk"},
    ],
}
_VALUES = (
    strategies.none()
    | strategies.booleans()
    | strategies.sampled_from([-1, 0, 1, 10**12, -(2**63), 2**63 - 1])
    | strategies.sampled_from([-1.0, 0.5, 1e300])
    | strategies.sampled_from(["", "/", "desk", "a.example", "127.0.0.1:1", "\0", "é"])
    | strategies.sampled_from([[], {}, [1], ["x"], {"a": 1}, [[]], [None]])
)


def _paths(value, path=()):
    """Return the paths of all values inside a tree of mappings and lists."""
    found = [path] if path else []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        return found
    return found + [
        each for key, item in children for each in _paths(item, (*path, key))
    ]


def _damage(original, path, value):
    damaged = copy.deepcopy(original)
    holder = damaged
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = value
    return damaged


def _inline_toml(value):
    """Return a value in TOML, tables and lists on one line."""
    match value:
        case dict():
            pairs = (f"{json.dumps(k)} = {_inline_toml(v)}" for k, v in value.items())
            return "{" + ", ".join(pairs) + "}"
        case list():
            return "[" + ", ".join(_inline_toml(each) for each in value) + "]"
        case _:
            return json.dumps(value)


def _decode_text(damaged):
    lines = (f"{name} = {_inline_toml(value)}" for name, value in damaged.items())
    parse_text("\n".join(lines))


def _decode_platform(damaged):
    decode_configuration(msgspec.json.encode(damaged), RetryRules(0.2, 5))


KINDS = {
    "node settings": (NODE, NodeSettings.from_config),
    "operators' texts": (TEXT, _decode_text),
    "platform configurations": (CONFIGURATION, _decode_platform),
}


@then("{count:d} damaged {kind} are decoded or refused with a typed error")
def step_damaged(context, count, kind):
    original, decode = KINDS[kind]
    # TOML has no null.
    values = _VALUES.filter(lambda value: value not in (None, [None]))

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @draw(strategies.sampled_from(_paths(original)), values)
    def check(path, value):
        try:
            decode(_damage(original, path, value))
        except BanyanshelfError:
            return

    decode(original)
    check()
