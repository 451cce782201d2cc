"""Steps that raise unexpected errors inside a gateway's own parts."""

import base64

import msgspec
from behave import then, when
from hypothesis import given as draw
from hypothesis import settings, strategies
from platform_record_steps import ENTRY
from platform_store_steps import STORE, encoded
from twisted.internet.task import Clock

from banyanshelf_core.replica import StoredItem
from banyanshelf_platform.directory import PlatformDirectory
from banyanshelf_platform.records import RetryRules


def raise_once(owner, name):
    """Make the next call of ``owner.name`` raise an error that nothing expects."""
    original = getattr(owner, name)

    def fail(*arguments, **options):
        setattr(owner, name, original)
        raise RuntimeError(f"unexpected error in {name}")

    setattr(owner, name, fail)


@when("the next handler of items raises an unexpected error")
def step_handler(context):
    handlers = context.view._handlers
    original = handlers[0]

    def fail(items):
        handlers[0] = original
        raise RuntimeError("unexpected error in a handler")

    handlers[0] = fail


@when("the next answer to a watch raises an unexpected error")
def step_watch(context):
    raise_once(context.view.replica, "apply")


@when("the next stale read raises an unexpected error")
def step_stale_read(context):
    context.stale_reads = context.clients[STORE].stale_reads
    raise_once(context.view._store, "read_stale_position")


@then("{count:d} more stale reads have been made")
def step_stale_reads_made(context, count):
    made = context.clients[STORE].stale_reads - context.stale_reads
    assert made >= count, made


class _FixedView:
    """Hands items to a directory as a store view does."""

    is_store_lost = False
    recovered_at = lost_at = -1e9

    def on_items_change(self, handler):
        self.handler = handler

    def on_restore(self, handler):
        self.restore_handler = handler


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


def _damaged_entries():
    """Return entries with any value in place of one of their fields, and any bytes."""
    paths = [(name,) for name in ENTRY] + [
        (name, inner)
        for name, value in ENTRY.items()
        if isinstance(value, dict)
        for inner in value
    ]

    def damage(path, value):
        entry = msgspec.json.decode(msgspec.json.encode(ENTRY))
        holder = entry
        for name in path[:-1]:
            holder = holder[name]
        holder[path[-1]] = value
        return encoded(entry)

    return (
        strategies.builds(damage, strategies.sampled_from(paths), _JSON)
        | strategies.builds(encoded, _JSON)
        | strategies.binary(max_size=40).map(lambda raw: base64.b64encode(raw).decode())
        | strategies.text(max_size=12)
    )


@then("{count:d} entries of any content, read beside a good one, leave that one in use")
def step_any_entries(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @draw(_damaged_entries())
    def check(value):
        view = _FixedView()
        directory = PlatformDirectory(Clock(), view, lambda: RetryRules(0.2, 5))
        bad = StoredItem("servers/i-bad", 2, value)
        good = StoredItem("servers/i-good", 3, encoded(ENTRY))
        view.handler([bad, good])
        assert "servers/i-good" in directory._upstream_by_key

    check()
