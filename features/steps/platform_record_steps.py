"""Steps for the records and settings of the operators' platform."""

import copy

import msgspec
from behave import then

from banyanshelf_core.errors import SettingsError, StoreRecordError
from banyanshelf_platform.node_settings import NodeSettings
from banyanshelf_platform.records import (
    RetryRules,
    decode_configuration,
    decode_upstream,
)

ENTRY = {
    "address": "127.0.0.1:80",
    "information": {"service": "s", "version": "v1", "zone": "huye", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "warmupLeftMs": 2500},
    "born": 1700,
}
COLUMNS = "name host prefix kind timeoutMs targetLatencyMs priority service attempts"
SPLIT = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
CONFIGURATION = {
    "version": 7,
    "routes": {
        "columns": [*COLUMNS.split(), "trafficSplit"],
        "rows": [
            ["r1", "a.example", "/x/", "unsafe", 600, 250, 1, "s", 2, None],
            ["r2", "a.example", "/y/", "safe", 500, 200, 2, None, 2, SPLIT],
        ],
    },
    "services": {
        "columns": ["name", "healthPath", "maximumConnections", "protocol", "tls"],
        "rows": [["s", "/health", 220, "h1", False], ["t", "/up", 220, "h1", False]],
    },
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": {
        "columns": ["name", "apiKeys", "priority", "requestsPerS", "burst"],
        "rows": [
            ["one", ["k-1", "k-2"], 0, 147, 20],
            ["two", ["k-3"], None, None, None],
        ],
    },
    "baseVersion": 5,
}
NODE = {
    "localNode": {"node": "edge-1", "ipAddress": "127.0.0.1", "zone": "huye"},
    "network": {
        "internalPorts": [7660, 7675],
        "seeds": ["127.0.0.2:8146"],
        "listen": {
            "front": "127.0.0.1:1",
            "ready": "127.0.0.1:2",
            "control": "127.0.0.1:3",
        },
    },
    "platform": {"platform": {"address": "127.0.0.9:4", "form": "kv"}},
    "terms": {"bounds": {"graceS": 6, "another": True}},
}


def changed(name, value, change):
    """Return a copy of a record after a Python statement on it."""
    record = copy.deepcopy(value)
    exec(change, {name: record})
    return record


def configuration(record):
    return decode_configuration(msgspec.json.encode(record), RetryRules(0.2, 1))


DEPTH = 100_000
ODD_BYTES = {
    "DEEP_LIST": "[" * DEPTH + "]" * DEPTH,
    "DEEP_OBJECT": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "HUGE": "1" + "0" * 400,
    "SLOTS": "3",
    "BORN": "1700",
}


def assert_refused(key, content):
    try:
        found = decode_upstream(key, content)
    except StoreRecordError:
        return
    raise AssertionError(found)


@then(
    'the upstream entry with the bytes "{found}" in place of "{given}" is refused',
)
def step_entry_bytes_refused(context, found, given):
    found, given = found.replace("'", '"'), given.replace("'", '"')
    for name, value in ODD_BYTES.items():
        found, given = found.replace(name, value), given.replace(name, value)
    content = msgspec.json.encode(ENTRY).decode()
    head, separator, tail = content.rpartition(given)
    assert separator, content
    decode_upstream("servers/i-1", content.encode())
    assert_refused("servers/i-1", (head + found + tail).encode())


@then('the upstream entry with the id "{text}" is refused')
def step_id_refused(context, text):
    key = "servers/" + text.encode("latin-1").decode("unicode_escape")
    assert_refused(key, msgspec.json.encode(ENTRY))


@then('the upstream entry changed by "{change}" is refused')
def step_entry_refused(context, change):
    record = changed("entry", ENTRY, change)
    try:
        found = decode_upstream("servers/i-1", msgspec.json.encode(record))
    except StoreRecordError:
        return
    raise AssertionError(found)


@then(
    'the upstream entry is decoded with state "{state}", incarnation {born:d} '
    "and {cold:d} ms cold"
)
def step_entry(context, state, born, cold):
    found = decode_upstream("servers/i-1", msgspec.json.encode(ENTRY))
    assert (found.id, found.service, found.zone) == ("i-1", "s", "huye"), found
    assert (found.state, found.incarnation, found.cold_ms) == (state, born, cold), found


@then('the upstream entry of a draining server has state "{state}"')
def step_draining(context, state):
    record = changed("entry", ENTRY, 'entry["status"]["state"] = "draining"')
    found = decode_upstream("servers/i-1", msgspec.json.encode(record))
    assert found.state == state, found


@then('the configuration changed by "{change}" is refused')
def step_configuration_refused(context, change):
    try:
        found = configuration(changed("config", CONFIGURATION, change))
    except StoreRecordError:
        return
    raise AssertionError(found)


@then(
    "the configuration is decoded to {routes:d} routes, {services:d} services "
    "and an idle time of {idle:d} ms"
)
def step_configuration(context, routes, services, idle):
    context.found = configuration(CONFIGURATION)
    text = context.found.text
    assert (len(text.routes), len(text.services)) == (routes, services)
    assert context.found.limits.idleTimeoutMs == idle


@then(
    "its route {index:d} is not idempotent with {attempts:d} attempts, "
    "a time limit of {limit:d} and a target of {target:d} ms"
)
def step_route(context, index, attempts, limit, target):
    route = context.found.text.routes[index]
    found = (route.idempotent, route.max_attempts, route.timeout_ms, route.target_ms)
    assert found == (False, attempts, limit, target), found


@then("its route {index:d} is split {first:d} to {second:d}")
def step_split(context, index, first, second):
    split = context.found.text.routes[index].split
    assert [part.weight for part in split] == [first, second], split


@then(
    'workspace "{name}" has the keys "{keys}", priority {priority}, {rate:g} requests '
    "a second and a burst of {burst:g}"
)
def step_workspace(context, name, keys, priority, rate, burst):
    found = configuration(CONFIGURATION).text.workspaces[name]
    assert found.keys == keys.split(), found.keys
    assert str(found.priority) == priority, found.priority
    assert (found.requests_per_s, found.burst) == (rate, burst)
    assert "k-" not in repr(found), found


@then("a configuration without tenants needs no keys")
def step_no_workspaces(context):
    record = changed("config", CONFIGURATION, 'del config["tenants"]')
    assert configuration(record).text.workspaces is None


@then(
    'the refusal of the configuration changed by "{change}" names "{name}" and no key'
)
def step_refusal_without_key(context, change, name):
    try:
        configuration(changed("config", CONFIGURATION, change))
    except StoreRecordError as error:
        assert name in str(error), error
        assert "k-" not in str(error), error
        return
    raise AssertionError("the configuration was accepted")


@then('the node settings changed by "{change}" are refused')
def step_settings_refused(context, change):
    try:
        found = NodeSettings.from_config(changed("node", NODE, change))
    except SettingsError:
        return
    raise AssertionError(found)


@then(
    'the node settings give the peers\' address "{peers}" and the seed "{seed}"',
)
def step_settings(context, peers, seed):
    found = NodeSettings.from_config(NODE)
    assert (found.peers, found.seeds) == (peers, (seed,)), found
