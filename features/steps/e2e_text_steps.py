"""Steps about the operators' text in effect in a local fleet."""

from behave import given, then, when

from banyanshelf_bench.commit_text import CommitRefusedError, commit_text, read_head
from banyanshelf_bench.control import wait_until
from banyanshelf_bench.deployments import UMUJYI

LIMIT_S = 30.0


@given("an operator commits a text with a time limit of {timeout_ms:d} ms")
@when("an operator commits a text with a time limit of {timeout_ms:d} ms")
def step_commit(context, timeout_ms):
    text = UMUJYI.operators_text(timeout_ms=timeout_ms)
    context.committed = context.fleet.commit(text)


def versions(context):
    return {
        name: (status.get("version"), status.get("digest"))
        for name in context.fleet.daemon_ids
        for status in [context.fleet.try_status(name)]
    }


@then("that text is in effect on every daemon")
def step_in_effect(context):
    wanted = (context.committed.version, context.committed.digest)
    try:
        wait_until(lambda: set(versions(context).values()) == {wanted}, "text", LIMIT_S)
    except TimeoutError as error:
        raise AssertionError(f"{wanted} wanted, seen {versions(context)}") from error


@when("two operators commit different texts over the same version")
def step_two_operators(context):
    seen = read_head(context.fleet.store)
    texts = [UMUJYI.operators_text(timeout_ms=limit) for limit in (1500, 1600)]
    context.committed = commit_text(context.fleet.store, texts[0], "Aline")
    try:
        commit_text(context.fleet.store, texts[1], "Bosco", seen)
        context.refused = False
    except CommitRefusedError:
        context.refused = True


@then("the second operator is refused")
def step_refused(context):
    assert context.refused
