"""Steps for calls through the in-memory data path.

An event or check is a word with optional arguments: the name of a function ``on_...``
or ``show_...``, or a key of ``EVENTS`` or ``CHECKS``. An event may also be an HTTP
method, for a request of the caller, or a status, for an answer to the upstream request
that has waited longest. The event ``expect`` runs a check between two events.
"""

import json
from collections import Counter
from http import HTTPMethod

from behave import given, then, when
from datapath_support import (
    TEXT,
    DataPath,
    new_text,
    split_answers,
    workspaces_text,
)
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone

from banyanshelf_core.call_messages import ClaimStatus, CrashMark, StoredAnswer
from banyanshelf_core.crash_guard import request_fingerprint
from banyanshelf_core.retry import MIN_HEDGE_SAMPLES
from banyanshelf_daemon.interfaces import NotAdmittedError

NAMED_NOT_RUN = "503 No\\r\\nUpstream-Outcome: not_run"
FINAL_NOT_RUN = "Upstream-Outcome: not_run\\r\\nContent-Length: 0\\r\\n\\r\\n"


def unescape(text):
    return text.encode().decode("unicode_escape").encode("latin-1")


@given("a data path with {options}")
def step_data_path(context, options):
    context.path = DataPath(**eval(f"dict({options})", {"TEXT": TEXT}))
    context.caller = context.path.connect_caller()
    context.headers = b""


@when('these data path events happen: "{events}"')
def step_events(context, events):
    for event in events.split(" >> "):
        word, _, rest = event.partition(" ")
        if word in HTTPMethod.__members__:
            on_request(context, word, *rest.split(" ", 1))
        elif word.isdigit():
            answer = f"Content-Length: {len(rest)}\\r\\n\\r\\n{rest}"
            on_upstream(context, f"HTTP/1.1 {word} Any\\r\\n{answer}")
        else:
            handle = EVENTS.get(word) or globals()[f"on_{word}"]
            handle(context, *([rest] if rest else []))


@then('the data path shows "{checks}"')
def step_checks(context, checks):
    context.path.settle()
    for check in checks.split("; "):
        word, _, expected = check.partition(" ")
        show = CHECKS.get(word) or globals()[f"show_{word}"]
        found = show(context, *([expected] if word in WITH_ARGUMENT else []))
        wanted = True if word in WITH_ARGUMENT else expected
        assert found == wanted, f"{check}: found {found!r}"


@when('an upstream answers {method} with each part of the head "{head}" and closes')
def step_partial_head(context, method, head):
    context.answers = []
    whole = unescape(head)
    for size in range(1, len(whole)):
        step_data_path(context, "upstream_count=1")
        on_request(context, method, "/a")
        context.path.refused_hosts.add(context.path.upstream_transports[0].host)
        [transport] = context.path.waiting()
        context.path.answer(transport, whole[:size])
        transport.cut(ConnectionDone())
        context.path.settle()
        context.answers.append(show_answer(context))


@then('each caller is answered "{expected}"')
def step_each_answered(context, expected):
    assert set(context.answers) == {expected}, Counter(context.answers)


def on_request(context, method, target, body=""):
    head = f"{method} {target} HTTP/1.1\r\nHost: desk.example\r\n".encode()
    if body or method not in ("GET", "HEAD"):
        head += b"Content-Length: %d\r\n" % len(body)
    data = head + context.headers + b"\r\n" + body.encode()
    context.path.send(context.caller, data)


def on_bytes(context, data):
    context.path.send(context.caller, unescape(data))


def on_repeat(context, arguments):
    count, data = arguments.split(" ", 1)
    for _ in range(int(count)):
        context.caller.receive(unescape(data))


def on_pipeline(context, count):
    """Send many pipelined requests, split within a request, and answer them."""
    requests = b"GET /a HTTP/1.1\r\nHost: desk.example\r\n\r\n" * int(count)
    context.path.send(context.caller, requests[:9])
    context.path.send(context.caller, requests[9:-9])
    while context.path.waiting():
        step_events(context, "200 ok")


def on_upstream(context, data):
    context.transport = context.path.waiting()[0]
    context.request = context.transport.value()
    context.path.answer(context.transport, unescape(data))


def on_wait(context, seconds):
    waiting = context.path.waiting()
    context.transport = waiting[0] if waiting else getattr(context, "transport", None)
    context.path.settle(float(seconds))


def on_late(context, data):
    """Deliver bytes on the connection of the last answer, in use again or not."""
    context.path.send(context.transport, unescape(data))


def on_named(context, body):
    """Answer the waiting request with its id."""
    on_upstream(context, answer_with_id(context.path.waiting()[0].value(), body))


def on_named_copy(context):
    """Deliver a copy of the answer to the previous request, with that one's id."""
    deliver_copy(context, "200 OK", "one")


def on_named_not_run(context):
    """Refuse the waiting request with its id."""
    request = context.path.waiting()[0].value()
    on_upstream(context, answer_with_id(request, "", NAMED_NOT_RUN))


def on_named_not_run_copy(context):
    """Deliver a copy of the refusal of the previous request, with that one's id."""
    deliver_copy(context, NAMED_NOT_RUN, "")


def deliver_copy(context, status, body):
    transport = context.path.waiting()[0]
    requests = transport.history
    assert len(requests) > 1, "the connection is not in use again"
    copy = answer_with_id(requests[-2], body, status)
    context.path.send(transport, unescape(copy))


def answer_with_id(request, body, status="200 OK"):
    """Return an answer; ``status`` may be followed by further header lines."""
    [request_id] = [
        line.partition(b": ")[2].decode()
        for line in request.split(b"\r\n")
        if line.startswith(b"Banyanshelf-Request-Id")
    ]
    return (
        f"HTTP/1.1 {status}\\r\\nUpstream-Request-Id: {request_id}\\r\\n"
        f"Content-Length: {len(body)}\\r\\n\\r\\n{body}"
    )


def on_endless(context, piece):
    """Deliver pieces until the connection is closed, at most 2 MB."""
    data = unescape(piece) * (4000 // len(unescape(piece)))
    context.endless = 0
    while not context.transport.is_closed and context.endless < 2_000_000:
        context.path.send(context.transport, data)
        context.endless += len(data)


def on_chunks(context, count):
    for _ in range(int(count)):
        context.path.send(context.transport, b"2000\r\n" + b"y" * 0x2000 + b"\r\n")


def on_not_run(context, extra=""):
    on_upstream(context, f"HTTP/1.1 503 No\\r\\n{extra}{FINAL_NOT_RUN}")


def on_cut(context):
    waiting = context.path.waiting()
    context.transport = waiting[0] if waiting else context.transport
    context.transport.clear()
    context.transport.cut()
    context.path.settle()


def on_crash(context):
    """Close all connections of the upstream that has a request, and refuse new ones."""
    [busy] = context.path.waiting()
    context.path.refused_hosts.add(busy.host)
    busy.clear()
    for transport in context.path.upstream_transports:
        if transport.host == busy.host:
            transport.cut()
    context.path.settle()


def on_mark(context):
    """Receive a second crash mark for the marked request from another member."""
    [call] = context.path.collaborators.broadcast.call_args_list
    subscriptions = context.path.collaborators.subscribe.call_args_list
    [handler] = [each.args[1] for each in subscriptions if each.args[0] is CrashMark]
    handler("other", CrashMark(call.args[0].fingerprint, "other-crash"))


def on_others_mark(context, method):
    """Receive two crash marks for a request to /a from other members."""
    fingerprint = request_fingerprint("desk", method, b"/a", b"")
    subscriptions = context.path.collaborators.subscribe.call_args_list
    [handler] = [each.args[1] for each in subscriptions if each.args[0] is CrashMark]
    for number in range(2):
        handler("other", CrashMark(fingerprint, f"crash-{number}", f"desk-{number}"))


def on_probe_paused(context):
    """Probe the first upstream, which gets nothing while it wants no requests."""
    result = context.path.handler.probe(context.path.upstreams[0])
    context.path.settle()
    assert result.result is False, result


def on_link(context):
    """Let the link to another member come up."""
    [call] = context.path.collaborators.on_link_change.call_args_list
    call.args[0]("other", True)


def on_warm(context):
    """Answer enough calls for slow ones to be hedged."""
    for _ in range(MIN_HEDGE_SAMPLES):
        step_events(context, "GET /warm >> wait 0.01 >> 200 warm")
    for transport in context.path.upstream_transports:
        transport.history.clear()
    context.caller.clear()


def on_completed(context, body=None):
    context.path.claims.status = ClaimStatus.COMPLETED
    answer = StoredAnswer(201, ["Location: /p"], (body or "").encode(), bool(body))
    context.path.claims.answer = answer


def on_probe(context):
    context.probe = []
    result = context.path.handler.probe(context.path.upstreams[0])
    result.addCallback(lambda result: context.probe.append(str(result)))
    context.path.settle()


def on_cut_spare(context):
    """Close the connections that have carried no request."""
    for transport in context.path.upstream_transports:
        if not transport.history:
            transport.cut()
    context.path.settle()


def on_begin_long(context, length):
    """Answer the request that has waited longest up to its last 100,000 bytes."""
    head = f"HTTP/1.1 200 OK\\r\\nContent-Length: {length}\\r\\n\\r\\n"
    on_upstream(context, head)
    context.long_transport = context.transport
    context.path.answer(context.transport, b"y" * (int(length) - 100_000))


def on_end_long(context):
    context.path.answer(context.long_transport, b"y" * 100_000)


def on_expected_late(context):
    """Expect the answers of all calls after their targets."""
    for request in context.path.permits.requests:
        if request.on_late is not None:
            request.on_late()
    context.path.settle()


EVENTS = {
    "stop_within": lambda c, seconds: c.path.handler.refuse_calls_beyond(
        c.path.reactor.seconds() + float(seconds)
    ),
    "shutdown": lambda c: (c.path.factory.end_by_shutdown(), c.path.settle()),
    "silence": lambda c: c.path.waiting()[0].clear(),
    "more": lambda c, data: c.path.answer(c.transport, unescape(data)),
    "long": lambda c, count: c.path.answer(c.transport, b"y" * int(count)),
    "claim": lambda c, status: setattr(c.path.claims, "status", ClaimStatus(status)),
    "text": lambda c, line: setattr(
        c.path.collaborators.active, "return_value", new_text(TEXT + line)
    ),
    "keys": lambda c, words="": setattr(
        c.path.collaborators.active,
        "return_value",
        new_text(TEXT + workspaces_text(words)),
    ),
    "expect": lambda c, check: step_checks(c, check),
    "with": lambda c, lines: setattr(c, "headers", unescape(lines) + b"\r\n"),
    "refuse": lambda c, number: c.path.refused_hosts.add(f"127.0.0.{number}"),
    "no_permit": lambda c: setattr(
        c.path.permits, "refusal", NotAdmittedError("the queue is full", 3.0)
    ),
    "hold_permits": lambda c: setattr(c.path.permits, "is_holding_back", True),
    "grant": lambda c: (c.path.permits.grant_held(), c.path.settle()),
    "grant_one": lambda c, at: (c.path.permits.grant_one(int(at)), c.path.settle()),
    "heard": lambda c: setattr(
        c.path.permits, "last_heard_at", c.path.reactor.seconds()
    ),
    "hold_record": lambda c: setattr(c.path.claims, "record_waiter", Deferred()),
    "record": lambda c: c.path.claims.record_waiter.callback(None),
    "gone": lambda c: c.caller.cut(),
    "pause": lambda c: c.caller.protocol.pauseProducing(),
    "read": lambda c: c.caller.protocol.resumeProducing(),
    "another": lambda c: setattr(c, "caller", c.path.connect_caller()),
    "drain": lambda c: setattr(c, "drained", c.path.factory.stop_accepting()),
}


def show_answer(context):
    """Return the status and body of the last answer, or a problem's outcome."""
    status, headers, body = split_answers(context.caller.value())[-1]
    if headers.get("content-type") != "application/problem+json":
        return f"{status} {body.decode()}".strip()
    problem = json.loads(body)
    assert problem["status"] == status
    assert headers["proxy-status"].startswith("banyanshelf; error="), headers
    return f"{status} {problem.get('outcome', 'no outcome')}"


def show_released_last(context, expected):
    """Check the results of the last attempts, whose number comes first."""
    count, *results = expected.split()
    return context.path.permits.released[-int(count) :] == results


def show_header(context, expected):
    name, _, value = expected.partition("=")
    return split_answers(context.caller.value())[-1][1].get(name.lower(), "") == value


def show_streamed(context):
    head, _, body = context.caller.value().partition(b"\r\n\r\n")
    total = head.partition(b"Content-Length: ")[2].split(b"\r\n")[0].decode()
    return f"{len(body)} of {total}"


def show_decisions(context, expected):
    """Check the number of logged decisions with a reason, and their fields."""
    reason, _, count = expected.partition("=")
    lines = [each for each in context.path.log_lines() if each.get("reason") == reason]
    for line in lines:
        fields = (line["event"], line["service"], line["version"], line["epoch"])
        assert fields == ("decision", "desk", 7, 4), line
        assert line["candidates"] == len(context.path.upstreams)
        assert line["upstream"].startswith("desk-")
        assert line["request_id"]
    return str(len(lines)) == count


WITH_ARGUMENT = {
    "received_most",
    "released_last",
    "header",
    "decisions",
    "got",
    "got_not",
    "log_without",
    "starts",
}
CHECKS = {
    "bodies": lambda c: " ".join(
        each[2].decode() for each in split_answers(c.caller.value())
    ),
    "nothing": lambda c: c.caller.value().decode(),
    "caller": lambda c: (
        "cut" if c.caller.was_aborted else "closed" if c.caller.is_closed else "open"
    ),
    "sent": lambda c: str(
        sum(len(each.history) for each in c.path.upstream_transports)
    ),
    "workspaces": lambda c: " ".join(
        dict.fromkeys(each.workspace for each in c.path.permits.requests)
    ),
    "priorities": lambda c: " ".join(
        dict.fromkeys(str(each.priority) for each in c.path.permits.requests)
    ),
    "draws": lambda c: str(c.path.permits.requests[-1].counts_toward_quota),
    "claims": lambda c: str(len({each[1:3] for each in c.path.claims.claims})),
    "connections": lambda c: str(len(c.path.upstream_transports)),
    "open": lambda c: str(
        sum(not each.is_closed for each in c.path.upstream_transports)
    ),
    "upstream": lambda c: str(c.transport.producerState),
    "upstream_closed": lambda c: str(c.transport.is_closed),
    "released": lambda c: " ".join(c.path.permits.released),
    "recorded": lambda c: " ".join(found for found, _ in c.path.claims.recorded),
    "stored": lambda c: str(c.path.claims.recorded[0][1].body),
    "load": lambda c: str(c.path.permits.reports),
    "leaving": lambda c: " ".join(
        each.args[0] for each in c.path.collaborators.report_leaving.call_args_list
    ),
    "marks": lambda c: str(c.path.collaborators.broadcast.call_count),
    "told": lambda c: " ".join(
        f"{each.args[0]} {type(each.args[1]).__name__}"
        for each in c.path.collaborators.send.call_args_list
    ),
    "permit": lambda c: (
        f"{c.path.permits.requests[-1].depth} "
        f"{c.path.permits.requests[-1].caller_service}".strip()
    ),
    "calls_left": lambda c: str(c.path.factory.calls_in_progress),
    "calls": lambda c: f"{c.path.factory.calls_in_progress} {c.drained.called}",
    "probe": lambda c: " ".join(c.probe),
    "got": lambda c, line: line.encode() in c.request.split(b"\r\n"),
    "received_most": lambda c, limit: c.endless <= int(limit),
    "reused": lambda c: str(
        any(len(each.history) > 1 for each in c.path.upstream_transports)
    ),
    "got_not": lambda c, text: text.encode().lower() not in c.request.lower(),
    "starts": lambda c, text: c.request.startswith(text.encode()),
    "log_without": lambda c, text: text not in str(c.path.log_lines()),
}
