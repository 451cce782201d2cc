"""Steps for the bound on the memory of callers' requests."""

from behave import given, then, when

from banyanshelf_core.errors import RequestMemoryError
from banyanshelf_core.request_memory import Holding, RequestMemory

KB = 1000


@given("a memory for requests of {size:d} KB")
def step_memory(context, size):
    context.memory = RequestMemory(size * KB)
    context.holdings = {}


def resize(context, name, size, now, *, is_receiving=True):
    """Return the names of the connections that are displaced."""
    holding = context.holdings.setdefault(name, Holding(name))
    displaced = context.memory.resize(
        holding, size * KB, now, is_receiving=is_receiving
    )
    held = sum(each.size for each in context.holdings.values())
    assert context.memory.held_bytes == held <= context.memory.capacity_bytes
    return " ".join(each.owner for each in displaced)


@when('connections "{names}" receive {size:d} KB each at {now:g} s')
def step_receive_each(context, names, size, now):
    for name in names.split():
        assert not resize(context, name, size, now)


@when('connection "{name}" has {size:d} KB at {now:g} s')
@then('connection "{name}" is granted {size:d} KB at {now:g} s')
def step_granted(context, name, size, now):
    assert not resize(context, name, size, now)


@then('connection "{name}" is granted {size:d} KB at {now:g} s in place of "{others}"')
def step_granted_in_place(context, name, size, now, others):
    assert resize(context, name, size, now) == others


@then(
    'the complete request of connection "{name}" is granted {size:d} KB at {now:g} s '
    'in place of "{others}"'
)
def step_complete_in_place(context, name, size, now, others):
    assert resize(context, name, size, now, is_receiving=False) == others


@then('connection "{name}" is refused {size:d} KB at {now:g} s')
def step_refused(context, name, size, now):
    before = context.memory.held_bytes
    try:
        resize(context, name, size, now)
    except RequestMemoryError:
        assert context.memory.held_bytes == before
        return
    raise AssertionError("the request was admitted")


@when('connection "{name}" ends')
def step_end(context, name):
    context.memory.release(context.holdings[name])
    context.memory.release(context.holdings[name])


@when('the requests of connections "{names}" are complete')
def step_complete(context, names):
    for name in names.split():
        size = context.holdings[name].size // KB
        assert not resize(context, name, size, 0, is_receiving=False)
