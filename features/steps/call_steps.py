"""Steps for calls through the in-memory data path."""

import json

from behave import given, then, when
from datapath_support import TEXT, DataPath, split_answers

from banyanshelf_core.messages import (
    ClaimOutcome,
    ClaimStatus,
    CrashMark,
    StoredAnswer,
)
from banyanshelf_core.retry import MIN_HEDGE_SAMPLES
from banyanshelf_daemon.interfaces import NotAdmittedError


def unescape(text):
    return text.encode().decode("unicode_escape").encode("latin-1")


def start(context, **options):
    context.path = DataPath(**options)
    context.caller = context.path.connect_caller()


def problem_of(answer):
    assert answer[1]["content-type"] == "application/problem+json", answer
    return json.loads(answer[2])


@given("a data path to {count:d} upstreams of the desk")
def step_data_path(context, count):
    start(context, upstream_count=count)


@given("a data path for backend servers to {count:d} upstreams of the desk")
def step_trusted_data_path(context, count):
    start(context, upstream_count=count, trusted=True)


@given("a data path that takes bodies up to {count:d} bytes")
def step_limited_bodies(context, count):
    start(context, max_body_bytes=count)


@given("a data path that takes {count:d} connection")
def step_limited_connections(context, count):
    start(context, max_connections=count)


@given("a data path whose crash limit is {count:d}")
def step_crash_limit(context, count):
    start(context, text=f"[protection]\ncrash_limit = {count}\n{TEXT}")


@given("upstream {number:d} of the desk refuses connections")
def step_refuses(context, number):
    context.path.refused_hosts.add(f"127.0.0.{number}")


@given("no permit is available at the desk")
def step_no_permit(context):
    context.path.permits.refusal = NotAdmittedError("the queue is full", 3.0)


@given("permits are held back")
def step_held_permits(context):
    context.path.permits.is_holding_back = True


@given('claims are decided as "{status}"')
def step_claim_status(context, status):
    context.path.claims.status = ClaimStatus(status)


@given('the claim was completed with status {status:d} and body "{body}"')
def step_completed(context, status, body):
    context.path.claims.status = ClaimStatus.COMPLETED
    context.path.claims.answer = StoredAnswer(
        status, ["Location: /p/1"], body.encode(), True
    )


@given("the claim was completed with an answer too large to keep")
def step_completed_large(context):
    context.path.claims.status = ClaimStatus.COMPLETED
    context.path.claims.answer = StoredAnswer(200, [], b"", False)


@given("the desk has answered often enough to hedge")
def step_answered_often(context):
    for _ in range(MIN_HEDGE_SAMPLES):
        step_send(context, "GET /warm")
        context.path.advance(0.01)
        step_answer(context, 200, "warm")
    context.caller.take()
    for transport in context.path.upstream_transports:
        transport.history.clear()


@when('the caller sends "{request}" with body "{body}"')
def step_send_body(context, request, body):
    head = f"{request} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {len(body)}"
    context.path.send(context.caller, f"{head}\r\n\r\n{body}".encode())


@when('the caller sends "{request}" without a body')
def step_send(context, request):
    step_send_header(context, request, "Accept: text/plain")


@when('the caller sends "{request}" with header "{line}"')
def step_send_header(context, request, line):
    head = f"{request} HTTP/1.1\r\nHost: desk.example\r\n".encode()
    context.path.send(context.caller, head + unescape(line) + b"\r\n\r\n")


@when('the caller sends the bytes "{data}"')
def step_send_bytes(context, data):
    context.path.send(context.caller, unescape(data))


@when("another caller connects")
def step_another_caller(context):
    context.caller = context.path.connect_caller()


@when("the caller disconnects")
def step_disconnect(context):
    context.caller.cut()
    context.path.settle()


@when("the caller reads slowly")
def step_slow(context):
    context.caller.protocol.pauseProducing()


@when("{seconds:f} seconds pass on the data path")
def step_pass(context, seconds):
    context.path.advance(seconds)


@when('the upstream answers {status:d} with body "{body}"')
def step_answer(context, status, body):
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n\r\n"
    step_answer_bytes(context, (head + body).replace("\r\n", "\\r\\n"))


@when('the upstream sends the bytes "{data}"')
def step_answer_bytes(context, data):
    transport = context.path.requests_at_upstreams()[0]
    context.request = transport.value()
    context.transport = transport
    context.path.answer(transport, unescape(data))


@when('the same upstream sends the bytes "{data}"')
def step_more_bytes(context, data):
    context.path.answer(context.transport, unescape(data))


@when("the same upstream sends {count:d} bytes of body")
def step_body_bytes(context, count):
    context.path.answer(context.transport, b"y" * count)


@when("the upstream cuts the connection")
def step_cut(context):
    context.transport = context.path.requests_at_upstreams()[0]
    context.transport.clear()
    context.transport.cut()
    context.path.settle()


@when("the upstream crashes")
def step_crash(context):
    [busy] = context.path.requests_at_upstreams()
    context.path.refused_hosts.add(busy.host)
    busy.clear()
    for transport in context.path.upstream_transports:
        if transport.host == busy.host:
            transport.cut()
    context.path.settle()


@when("the record of the claim is held back")
def step_hold_record(context):
    from twisted.internet.defer import Deferred

    context.path.claims.record_waiter = Deferred()


@when("the record of the claim arrives")
def step_record_arrives(context):
    context.path.claims.record_waiter.callback(None)


@when("the data path stops accepting")
def step_stop(context):
    context.drained = context.path.factory.stop_accepting()


@when("another member marks the last request twice")
def step_marks(context):
    call_mark = context.path.neighbours.handler_by_class[CrashMark]
    marks = list(context.path.neighbours.messages)
    assert len(marks) == 1, marks
    call_mark("gateway-9", CrashMark(marks[0].fingerprint, "other-crash"))


@then('the caller receives {status:d} with body "{body}"')
def step_received(context, status, body):
    context.answers = split_answers(context.caller.take())
    assert [(found[0], found[2]) for found in context.answers] == [
        (status, body.encode())
    ], context.answers


@then('the caller receives the bodies "{bodies}" in order')
def step_bodies(context, bodies):
    found = [answer[2].decode() for answer in split_answers(context.caller.take())]
    assert found == bodies.split(), found


@then('the caller receives problem {status:d} with outcome "{outcome}"')
def step_problem(context, status, outcome):
    context.answers = split_answers(context.caller.take())
    [answer] = context.answers
    problem = problem_of(answer)
    assert answer[0] == problem["status"] == status, answer
    assert problem.get("outcome", "none") == outcome, problem
    assert answer[1]["proxy-status"].startswith("banyanshelf; error="), answer


@then("the caller receives nothing")
def step_nothing(context):
    assert context.caller.value() == b"", context.caller.value()


@then('the answer has header "{name}" with "{value}"')
def step_answer_header(context, name, value):
    assert context.answers[-1][1].get(name.lower()) == value, context.answers


@then('the answer has no header "{name}"')
def step_no_answer_header(context, name):
    assert name.lower() not in context.answers[-1][1], context.answers


@then("the caller's connection is closed")
def step_closed(context):
    context.path.settle()
    assert context.caller.is_closed


@then("the caller's connection is cut")
def step_caller_cut(context):
    context.path.settle()
    assert context.caller.was_aborted


@then("the caller's connection stays open")
def step_open(context):
    context.path.settle()
    assert not context.caller.is_closed


@then('the upstream received a request that starts with "{begin}"')
def step_request_start(context, begin):
    assert context.request.startswith(begin.encode()), context.request


@then('the upstream received the header "{line}"')
def step_request_header(context, line):
    assert line.encode() in context.request.split(b"\r\n"), context.request


@then('the upstream received no header that contains "{text}"')
def step_no_request_header(context, text):
    head = context.request.partition(b"\r\n\r\n")[0].lower()
    assert text.lower().encode() not in head, context.request


@then("{count:d} requests have reached the upstreams")
def step_sent(context, count):
    sent = context.path.sent_requests()
    assert len(sent) == count, sent


@then("{count:d} connections to the upstreams have been opened")
def step_opened(context, count):
    assert len(context.path.upstream_transports) == count


@then("the connection to the upstream is closed")
def step_upstream_closed(context):
    context.path.settle()
    assert context.transport.is_closed


@then("the upstream's connection is {state}")
def step_paused(context, state):
    expected = {"paused": "paused", "read again": "producing"}[state]
    assert context.transport.producerState == expected


@then('the permits were released as "{kinds}"')
def step_released(context, kinds):
    found = [str(kind) for _, kind in context.path.permits.released]
    assert found == kinds.replace("nothing", "").split(), found


@then('the claim is recorded as "{outcome}"')
def step_recorded(context, outcome):
    recorded = [str(found) for _, found, _ in context.path.claims.recorded]
    assert recorded == [ClaimOutcome(outcome)], recorded


@then("nothing is recorded for the claim")
def step_not_recorded(context):
    assert not context.path.claims.recorded


@then('the recorded answer has body "{body}"')
def step_recorded_body(context, body):
    _, _, stored = context.path.claims.recorded[0]
    assert (stored.body, stored.body_kept) == (body.encode(), True), stored


@then("the recorded answer has no body")
def step_recorded_no_body(context):
    _, _, stored = context.path.claims.recorded[0]
    assert (stored.body, stored.body_kept) == (b"", False), stored


@then("the last {count:d} claims have {which} digests")
def step_digests(context, count, which):
    digests = {claim[1:3] for claim in context.path.claims.claims[-count:]}
    assert len(digests) == (1 if which == "equal" else count), digests


@then('"{upstream}" is reported as leaving once')
def step_leaving(context, upstream):
    assert [found[0] for found in context.path.neighbours.leaving] == [upstream]


@then("the load of {in_flight:d} of {slots:d} slots is noted")
def step_load(context, in_flight, slots):
    assert context.path.permits.reports[-1][1:] == (in_flight, slots)


@then("the permit was asked for at depth {depth:d} by {caller}")
def step_depth(context, depth, caller):
    request = context.path.permits.requests[-1]
    assert (request.depth, request.caller_service or "nobody") == (depth, caller)


@then("{count:d} crash mark is sent to the other members")
def step_mark_sent(context, count):
    marks = list(context.path.neighbours.messages)
    assert len(marks) == count, marks


@then("no call is in progress")
def step_no_calls(context):
    assert context.path.factory.calls_in_progress == 0
    assert context.drained.called


@then("a call is still in progress")
def step_calls(context):
    assert context.path.factory.calls_in_progress == 1
    assert not context.drained.called


@then('the log has {count:d} decisions with reason "{reason}"')
def step_log(context, count, reason):
    lines = [line for line in context.path.log_lines() if line.get("reason") == reason]
    assert len(lines) == count, lines
    for line in lines:
        assert line["event"] == "decision"
        assert (line["version"], line["epoch"], line["candidates"]) == (7, 4, 3), line
        assert line["service"] == "desk"
        assert line["upstream"].startswith("desk-")
        assert line["request_id"]


@then('the log does not contain "{text}"')
def step_log_without(context, text):
    context.path.log.flush()
    assert text.encode() not in context.path.log_stream.getvalue()


@given("a data path of {members:d} members to {count:d} upstreams of the desk")
def step_members(context, members, count):
    start(context, members=members, upstream_count=count)


@when('the caller sends {count:d} times the bytes "{data}" after a request line')
def step_repeat(context, count, data):
    context.caller.receive(b"GET /a HTTP/1.1\r\nHost: desk.example\r\n")
    for _ in range(count):
        context.caller.receive(unescape(data))
    context.path.settle()


@when("the caller reads again")
def step_read_again(context):
    context.caller.protocol.resumeProducing()


@when("the same upstream cuts the connection")
def step_same_cut(context):
    context.transport.cut()
    context.path.settle()


@when("upstream 1 is probed")
def step_probe(context):
    context.probe = []
    result = context.path.handler.probe(context.path.upstreams[0])
    result.addCallback(context.probe.append)
    context.path.settle()


@then("the probe result is {result}")
def step_probe_result(context, result):
    assert context.probe == [result == "True"], context.probe


@then('the caller receives {status:d} with body ""')
def step_received_empty(context, status):
    step_received(context, status, "")


@then("{count:d} bytes of a body of {total:d} have been sent to the caller")
def step_bytes_sent(context, count, total):
    head, _, body = context.caller.value().partition(b"\r\n\r\n")
    assert b"Content-Length: %d" % total in head, head
    assert len(body) == count, len(body)
