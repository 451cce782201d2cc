"""Steps for calls with the header fields of the operators' platform."""

from behave import given, then, when
from datapath_support import DataPath, new_text, split_answers, workspaces_text
from twisted.internet.defer import fail
from twisted.internet.error import ConnectionDone

from banyanshelf_daemon.interfaces import NotAdmittedError
from banyanshelf_platform.platform_dialect import PlatformDialect

TEXT = """
policy = "shared_load"
[services.desk]
path_prefixes = []
hedge = true
retry_share = 1.0
[[routes]]
host = "a.example"
path_prefix = "/safe/"
service = "desk"
idempotent = true
max_attempts = 2
[[routes]]
host = "a.example"
path_prefix = "/unsafe/"
service = "desk"
idempotent = false
max_attempts = 2
[[routes]]
host = "a.example"
path_prefix = "/targeted/"
service = "desk"
idempotent = true
target_ms = 200
[[routes]]
host = "a.example"
path_prefix = "/single-attempt/"
service = "desk"
idempotent = true
max_attempts = 1
"""
OPEN_ROUTE = """
[[routes]]
host = "a.example"
path_prefix = "/open/"
service = "desk"
idempotent = true
anonymous = true
"""
CHOSEN_WORKSPACES = (
    "X-Banyanshelf-Tenant: two\r\nx-banyanshelf-TENANT: two\r\n"
    "X_Banyanshelf_Tenant: two\r\nX-Banyanshelf_Tenant: two\r\n"
    "X_Banyanshelf_Credential: k-5\r\n"
)
SIGNATURE = "X-Banyanshelf-Response-Signature: abc\r\n"
ATTEMPT_ID = "X-Banyanshelf-Attempt-Id"
REJECTION = (
    b"HTTP/1.1 %d No\r\nX-Banyanshelf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


@given("a data path of the platform")
def step_data_path(context):
    context.path = DataPath(TEXT, dialect=PlatformDialect())
    context.caller = context.path.connect_caller()
    context.requests = []


@given("a data path of the platform with one upstream")
def step_one_upstream(context):
    context.path = DataPath(TEXT, upstream_count=1, dialect=PlatformDialect())
    context.caller = context.path.connect_caller()
    context.requests = []


@given("a data path of the platform without a configuration")
def step_no_configuration(context):
    step_data_path(context)
    context.path.collaborators.active.return_value = None


@given("the platform's text with no workspaces")
def step_no_workspaces(context):
    context.path.collaborators.active.return_value = new_text(TEXT + OPEN_ROUTE)


@given("the platform's text with keys {words}")
def step_workspaces(context, words):
    text = TEXT + OPEN_ROUTE + workspaces_text(words)
    context.path.collaborators.active.return_value = new_text(text)


@when('a client sends "{path}" with the key "{key}" and workspaces of its own choice')
@when('a client sends "{path}" with the key "" and workspaces of its own choice')
def step_keyed_request(context, path, key=""):
    credential = f"X-Banyanshelf-Credential: {key}\r\n" if key else ""
    context.path.send(
        context.caller,
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\n{ATTEMPT_ID}: mine\r\n"
        f"{CHOSEN_WORKSPACES}{credential}\r\n".encode(),
    )
    note_request(context)


@then('the upstream gets the workspace "{workspace}" and no key')
@then('the upstream gets the workspace "" and no key')
def step_upstream_workspace(context, workspace=""):
    fields = [
        line.partition(": ")
        for line in context.requests[0].lower().replace("_", "-").split("\r\n")
    ]
    found = [value for name, _, value in fields if name == "x-banyanshelf-tenant"]
    assert found == ([workspace] if workspace else []), context.requests
    assert "credential" not in context.requests[0].lower(), context.requests


@when("a client sends a {kind} request with {left:d} ms left")
@when("a client sends an {kind} request with {left:d} ms left")
def step_request(context, kind, left):
    method = "POST" if kind == "unsafe" else "GET"
    context.path.send(
        context.caller,
        f"{method} /{kind}/1 HTTP/1.1\r\nHost: a.example\r\n{ATTEMPT_ID}: mine\r\n"
        f"X-Banyanshelf-Deadline-Milliseconds: {left}\r\n"
        "Content-Length: 0\r\n\r\n".encode(),
    )
    note_request(context)


@when("{count:d} clients send {kind} requests with {left:d} ms left, and get answers")
def step_requests(context, count, kind, left):
    for _ in range(count):
        step_request(context, kind, left)
        step_answer(context, 200, "mine")


@then("the placement is asked for an answer within {left:d} ms")
def step_target(context, left):
    target = context.path.permits.requests[-1].target
    left_ms = 1000 * (target - context.path.reactor.seconds())
    assert abs(left_ms - left) < 1, left_ms


@then("its log line says that {left:d} ms were left")
def step_logged_target(context, left):
    step_answer(context, 200, "mine")
    lines = context.path.log_lines()
    answered = [each for each in lines if each["event"] == "answered"]
    assert abs(answered[-1]["target_ms"] - left) < 1, answered[-1]


def note_request(context):
    waiting = context.path.waiting()
    if waiting:
        context.transport = waiting[-1]
        context.requests.append(context.transport.value().decode())


def answer(status, body, request_id="mine", signature=SIGNATURE):
    return (
        f"HTTP/1.1 {status:03d} Any\r\n{ATTEMPT_ID}: {request_id}\r\n{signature}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def deliver(context, data):
    context.path.answer(context.transport, data)
    note_request(context)


@when('the upstream answers "200 other" and then "200 mine"')
def step_foreign(context):
    deliver(context, answer(200, "other", "another") + answer(200, "mine"))


@when('the upstream answers "{status:d} {body}"')
def step_answer(context, status, body):
    deliver(context, answer(status, body))


@when("the upstream begins a {status:d} of {length:d} bytes")
def step_long_answer(context, status, length):
    head = f"HTTP/1.1 {status} Any\r\n{ATTEMPT_ID}: mine\r\n{SIGNATURE}"
    deliver(context, f"{head}Content-Length: {length}\r\n\r\n".encode())


@when("the upstream answers 200 without a signature")
def step_unsigned(context):
    deliver(context, answer(200, "mine", signature=""))


@when('the upstream answers "{body}" without a length and ends with a {end}')
def step_no_length(context, body, end):
    head = f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: mine\r\n{SIGNATURE}\r\n{body}"
    context.path.answer(context.transport, head.encode())
    if end == "close":
        context.transport.cut(ConnectionDone())
    else:
        context.transport.cut()
    context.path.settle()


def send_probe(context):
    context.probe = []
    result = context.path.handler.probe(context.path.upstreams[0])
    result.addCallback(context.probe.append)
    context.path.settle()
    [context.probe_transport] = context.path.waiting()


@when("a client sends an unsafe request and the upstream closes within the head")
def step_partial_heads(context):
    """Send each part of a head, of an answer with a length and of one without."""
    context.statuses = set()
    unframed = f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: mine\r\n{SIGNATURE}\r\n".encode()
    for head in (answer(200, ""), unframed):
        for size in range(1, len(head)):
            step_one_upstream(context)
            step_request(context, "unsafe", 400)
            context.path.answer(context.transport, head[:size])
            context.transport.cut(ConnectionDone())
            context.statuses |= {each[0] for each in answers(context)}


@then("every client gets {status:d}")
def step_every_status(context, status):
    assert context.statuses == {status}, context.statuses


@when("the health probe of an upstream is answered with a call's 200 and its own 503")
def step_probe(context):
    send_probe(context)
    own = b"HTTP/1.1 503 No\r\nX-Banyanshelf-Instance-Id: desk-1\r\n"
    late = answer(200, "late", "earlier")
    context.path.answer(
        context.probe_transport, late + own + b"Content-Length: 0\r\n\r\n"
    )


@when("the health probe of an upstream is rejected")
def step_probe_rejected(context):
    send_probe(context)
    context.path.answer(context.probe_transport, REJECTION % 503)
    context.path.settle(0.1)


@when("the refusal of the health probe arrives once more")
def step_probe_copy(context):
    context.path.send(context.probe_transport, REJECTION % 503)


@then("the health probe has failed")
def step_probe_failed(context):
    assert context.probe == [False], context.probe


SPLIT_TEXT = TEXT + """
[services.shop]
path_prefixes = []
[[routes]]
host = "b.example"
path_prefix = "/split/"
idempotent = true
max_attempts = 1
split = [{ service = "desk", weight = 7 }, { service = "shop", weight = 3 }]
"""


@given('the placement refuses all calls of service "{service}"')
def step_refusing_service(context, service):
    permits = context.path.permits
    granting = permits.acquire

    def acquire(service_name, request):
        if service_name == service:
            return fail(NotAdmittedError("no upstream is usable", 0.25))
        return granting(service_name, request)

    permits.acquire = acquire


@when(
    "{versions:d} versions take effect and {count:d} requests arrive on a split of "
    "7 to 3 after each one"
)
def step_versions(context, versions, count):
    permits, context.services = context.path.permits, []
    granting = permits.acquire

    def acquire(service_name, request):
        context.services.append(service_name)
        return granting(service_name, request)

    permits.acquire = acquire
    request = b"GET /split/1 HTTP/1.1\r\nHost: b.example\r\n" + (
        f"{ATTEMPT_ID}: mine\r\nContent-Length: 0\r\n\r\n".encode()
    )
    for _ in range(versions):
        context.path.collaborators.active.return_value = new_text(SPLIT_TEXT)
        for _ in range(count):
            context.path.send(context.caller, request)
            note_request(context)
            if context.path.waiting():
                step_answer(context, 200, "mine")


@then("the service of the larger part has got {low:g} to {high:g} of the requests")
def step_split_share(context, low, high):
    share = context.services.count("desk") / len(context.services)
    assert low <= share <= high, share


@then('every request of "{service}" got 503 with a Retry-After')
def step_split_refused(context, service):
    found = answers(context)
    assert len(found) == len(context.services)
    for name, (status, headers, _) in zip(context.services, found, strict=True):
        assert status == (503 if name == service else 200), (name, status)
        assert name != service or float(headers["retry-after"]) > 0


@when("the upstream resets the connection")
def step_reset(context):
    context.transport.clear()
    context.transport.cut()
    context.path.settle()


@when("the upstream rejects it with {status:d}")
def step_reject(context, status):
    deliver(context, REJECTION % status)


@when("the answer is expected late")
def step_late(context):
    [connection] = context.path.factory._connections
    connection._exchange.call.answer_expected_late()
    context.path.settle()
    waiting = context.path.waiting()
    context.requests = [each.value().decode() for each in waiting]


@when("{seconds:g} s pass without an answer")
def step_pass(context, seconds):
    context.path.settle(seconds)


@then("the client gets {status:d}")
def step_status(context, status):
    [(found, context.answer_headers, context.body)] = answers(context)
    assert found == status, (found, context.body)


def answers(context):
    context.path.settle()
    return split_answers(context.caller.value())


@then('the client gets {status:d} with body "{body}"')
def step_body(context, status, body):
    step_status(context, status)
    assert context.body.decode() == body, context.body
    assert "x-banyanshelf-response-signature" in context.answer_headers


@then("the client gets {status:d} with a Retry-After below {limit:g} s")
def step_retry_after(context, status, limit):
    step_status(context, status)
    assert 0 < float(context.answer_headers["retry-after"]) < limit


@then("the upstream gets at most {left:d} ms and its own id as the expected instance")
def step_upstream_fields(context, left):
    lines = context.requests[0].split("\r\n")[1:]
    headers = dict(line.lower().split(": ", 1) for line in lines if line)
    assert 0 < int(headers["x-banyanshelf-deadline-milliseconds"]) <= left, headers
    number = context.transport.host.rpartition(".")[2]
    assert headers["x-banyanshelf-expected-instance"] == f"desk-{number}", headers


@then("the upstream gets the attempt id and none of the gateway's internal fields")
def step_no_internal_fields(context):
    request = context.requests[0].lower()
    assert f"{ATTEMPT_ID.lower()}: mine" in request, request
    assert "\r\nbanyanshelf-" not in request, request
    assert request.count("x-banyanshelf-deadline-milliseconds") == 1, request


@then("{count:d} request has reached an upstream")
@then("{count:d} requests have reached an upstream")
def step_count(context, count):
    assert len(context.requests) == count, context.requests


@then("the upstream's connection is closed")
def step_closed(context):
    assert context.transport.is_closed
