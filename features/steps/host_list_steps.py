"""Steps for host lists with odd entries."""

import msgspec
from behave import given, then, when

from banyanshelf_core.store_records import DECODE_ERRORS
from banyanshelf_daemon.host_list import decode_host_list

DEPTH = 100_000


def host(name):
    address = f"10.0.0.{name[-1]}:80"
    return {
        "id": name,
        "service": "desk",
        "address": address,
        "zone": "Huye",
        "slots": 3,
    }


@given('a host list with the entries "{first}" and "{second}"')
def step_list(context, first, second):
    context.hosts = [host(first), host(second)]


def encoded(context):
    content = msgspec.json.encode({"hosts": context.hosts}).decode()
    return content.replace('"ODD"', context.odd).encode()


@when('the field "{field}" of "{name}" becomes nested too deeply')
def step_deep(context, field, name):
    step_odd(context, field, name, "[" * DEPTH + "]" * DEPTH)


@when('the field "{field}" of "{name}" becomes {value}')
def step_odd(context, field, name, value):
    [entry] = [each for each in context.hosts if each["id"] == name]
    decode_host_list(msgspec.json.encode({"hosts": context.hosts}))
    entry[field] = "ODD"
    context.odd = value


@then('the host list gives the upstreams "{names}"')
def step_gives(context, names):
    found = [each.id for each in decode_host_list(encoded(context))]
    assert found == names.split(), found


@then("the host list is refused as a whole")
def step_refused(context):
    try:
        found = decode_host_list(encoded(context))
    except DECODE_ERRORS:
        return
    raise AssertionError(found)
