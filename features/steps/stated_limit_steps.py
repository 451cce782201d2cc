"""Steps for reading the request limits that upstreams state."""

from behave import then

from banyanshelf_core.errors import RequestLimitError
from banyanshelf_core.request_limit import parse_request_limit


@then('the request limit "{text}" is {per_s:g} requests a second')
def step_read(context, text, per_s):
    assert parse_request_limit(text.encode()) == per_s


@then('the request limit "{text}" is refused with a remedy')
def step_refused(context, text):
    try:
        found = parse_request_limit(text.encode())
    except RequestLimitError as error:
        assert "must" in str(error), error
    else:
        raise AssertionError(f"{text} was read as {found}")
