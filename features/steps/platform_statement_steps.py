"""Steps for what upstreams of the platform say of themselves in their answers."""

from behave import then, when
from platform_call_steps import ATTEMPT_ID, SIGNATURE, send_probe, step_request

from banyanshelf_core.errors import RetryAfterError
from banyanshelf_core.retry_after import parse_retry_after

NOT_EXECUTED = "X-Banyanshelf-Not-Executed: 1\r\n"
UNIX_TIME_S = 784_111_777.0


def head_of(context, status, header):
    body_length = 0 if status >= 300 else 4
    named = f"{ATTEMPT_ID}: {context.answer_id}\r\n" if context.answer_id else ""
    proof = NOT_EXECUTED if status in (421, 503) else SIGNATURE
    return (
        f"HTTP/1.1 {status} Any\r\n{named}{proof}{header}\r\n"
        f"Content-Length: {body_length}\r\n\r\n"
    ).encode()


@when('an upstream answers a call with {status:d} and "{header}"')
def step_answered(context, status, header):
    context.answer_id = "mine"
    step_request(context, "unsafe", 900)
    body = b"" if status >= 300 else b"body"
    context.path.answer(context.transport, head_of(context, status, header) + body)


@when('an upstream answers a call with the head of a 200 and "{header}"')
def step_head(context, header):
    context.answer_id = "mine"
    step_request(context, "unsafe", 900)
    context.path.answer(context.transport, head_of(context, 200, header))
    context.transport.cut()
    context.path.settle()


@when('an upstream answers a probe with {status:d} and "{header}"')
def step_probe(context, status, header):
    context.answer_id = ""
    send_probe(context)
    body = b"" if status >= 300 else b"body"
    content = head_of(context, status, header) + body
    context.path.answer(context.probe_transport, content)


@when('an answer to another request comes with {status:d} and "{header}"')
def step_other_request(context, status, header):
    context.answer_id = "another"
    step_request(context, "unsafe", 900)
    body = b"" if status >= 300 else b"body"
    context.path.answer(context.transport, head_of(context, status, header) + body)


@when(
    'an upstream that has started again answers a call with {status:d} and "{header}"'
)
def step_outdated(context, status, header):
    context.answer_id = "mine"
    step_request(context, "unsafe", 900)
    context.path.collaborators.upstreams_by_id.return_value = {
        each.id: each._replace(incarnation=7) for each in context.path.upstreams
    }
    body = b"" if status >= 300 else b"body"
    context.path.answer(context.transport, head_of(context, status, header) + body)


@then('the gateway has heard that "{found}"')
@then('the gateway has heard that ""')
def step_heard(context, found=""):
    reported = [
        f"{each.args[0]} leaves"
        for each in context.path.collaborators.report_leaving.call_args_list
        if each.args[1] == "draining"
    ]
    paused = [f"{name} pauses {wait}" for name, wait in context.path.permits.pauses]
    assert " and ".join(reported + paused) == found, (reported, paused)


@then('the Retry-After "{value}" means "{expected}"')
@then('the Retry-After "" means "{expected}"')
def step_parsed(context, expected, value=""):
    try:
        found = str(parse_retry_after(value.encode("latin-1"), UNIX_TIME_S))
    except RetryAfterError:
        found = "nothing"
    assert found == expected, found
