"""Steps for the replica of the store.

An item is written as ``key=revision``, a removed one as ``key-revision``.
"""

import re

from behave import given, then, when

from banyanshelf_core.replica import Replica, StoredItem


def read_items(words):
    items = []
    for word in words:
        key, sign, revision = re.fullmatch(r"(\w+)([=-])(\d+)", word).groups()
        items.append(StoredItem(key, int(revision), "", sign == "-"))
    return items


def format_items(items):
    signs = {False: "=", True: "-"}
    return " ".join(f"{each.key}{signs[each.deleted]}{each.revision}" for each in items)


@given("a replica")
def step_replica(context):
    context.replica = Replica()


@when('the replica receives "{events}"')
def step_events(context, events):
    for word, revision, *items in (event.split() for event in events.split("; ")):
        getattr(context.replica, word)(read_items(items), int(revision))


@then('the replica holds "{items}" at revision {revision:d}')
@then('the replica holds "" at revision {revision:d}')
def step_holds(context, revision, items=""):
    items_in_order = [
        context.replica.items_by_key[key]
        for key in sorted(context.replica.items_by_key)
    ]
    assert (format_items(items_in_order), context.replica.revision) == (
        items,
        revision,
    ), format_items(items_in_order)


@then('the replica returns "{expected}" after revision {revision:d}')
def step_returns(context, expected, revision):
    changes = context.replica.changes_after(revision)
    found = "unknown" if changes is None else format_items(changes) or "nothing"
    assert found == expected, found
