"""Steps for calls through the in-memory data path."""

from behave import given, then, when
from datapath_support import DataPath, split_answers


@given("a data path to {count:d} upstreams of the desk")
def step_data_path(context, count):
    context.path = DataPath(upstream_count=count)
    context.caller = context.path.connect_caller()


@when('the caller sends "{request}" with body "{body}"')
def step_send_body(context, request, body):
    head = f"{request} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {len(body)}"
    context.path.send(context.caller, f"{head}\r\n\r\n{body}".encode())


@when('the caller sends "{request}" without a body')
def step_send(context, request):
    context.path.send(
        context.caller, f"{request} HTTP/1.1\r\nHost: desk.example\r\n\r\n".encode()
    )


@when('the upstream answers {status:d} with body "{body}"')
def step_answer(context, status, body):
    [transport] = context.path.requests_at_upstreams()
    context.request = transport.value()
    context.path.answer(
        transport,
        f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode(),
    )


@then('the caller receives {status:d} with body "{body}"')
def step_received(context, status, body):
    context.answers = split_answers(context.caller.take())
    assert [(found[0], found[2]) for found in context.answers] == [
        (status, body.encode())
    ], context.answers


@then('the upstream received a request that starts with "{start}"')
def step_request_start(context, start):
    assert context.request.startswith(start.encode()), context.request
