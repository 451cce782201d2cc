"""Steps for the replica of the store.

An item is written as ``key=revision``, a removed one as ``key-revision``. A position is
written as ``generation:revision``, or ``revision`` in generation 1.
"""

import re

from behave import given, then, when

from banyanshelf_core.replica import Replica, StoredItem, StorePosition


def read_items(words):
    items = []
    for word in words:
        key, sign, revision = re.fullmatch(r"(\w+)([=-])(\d+)", word).groups()
        items.append(StoredItem(key, int(revision), "", sign == "-"))
    return items


def read_position(word):
    generation, _, revision = word.rpartition(":")
    return StorePosition(int(generation or 1), int(revision))


def format_items(items):
    signs = {False: "=", True: "-"}
    return " ".join(f"{each.key}{signs[each.deleted]}{each.revision}" for each in items)


@given("a replica")
def step_replica(context):
    context.replica = Replica()


@when('the replica receives "{events}"')
def step_events(context, events):
    for word, position, *items in (event.split() for event in events.split("; ")):
        getattr(context.replica, word)(read_items(items), read_position(position))


@then('the replica holds "{items}" at revision {position}')
@then('the replica holds "" at revision {position}')
def step_holds(context, position, items=""):
    items_in_order = [
        context.replica.items_by_key[key]
        for key in sorted(context.replica.items_by_key)
    ]
    assert (format_items(items_in_order), context.replica.position) == (
        items,
        read_position(position),
    ), format_items(items_in_order)


@then('the replica returns "{expected}" after revision {position}')
def step_returns(context, expected, position):
    changes = context.replica.changes_after(read_position(position))
    found = "unknown" if changes is None else format_items(changes) or "nothing"
    assert found == expected, found
