"""Steps for the checks that the load generator makes of every answer."""

from hashlib import sha256

from behave import given, then, when

from banyanshelf_bench.caller import CallRequest, judge


def whole_answer(token):
    body = f'{{"echo_token":"{token}","padding":"xyz"}}'.encode()
    headers = {"echo-token": token, "answer-digest": sha256(body).hexdigest()}
    return headers, body


@given('a call with token "{token}"')
def step_call_with_token(context, token):
    context.call = CallRequest("GET", "/", "desk", token, {}, b"", 0.0)


@when("an answer with {fault} arrives")
def step_answer(context, fault):
    status = 200
    headers, body = whole_answer(context.call.token)
    other_headers, other_body = whole_answer("b-2")
    match fault:
        case "the token of another":
            headers["echo-token"] = "b-2"
        case "the body of another":
            headers["answer-digest"] = other_headers["answer-digest"]
            body = other_body
        case "a shortened body":
            body = body[:-4]
        case "a not_run problem":
            status, body = 503, b'{"title": "full", "outcome": "not_run"}'
            headers = {"content-type": "application/problem+json"}
        case "an error without reason":
            status, body = 500, b"failed"
        case "an error meant for another":
            status, body, headers = 500, b"failed", {"echo-token": "b-2"}
    context.result = judge(context.call, status, headers, body)


@then('the answer is judged "{verdict}"')
def step_verdict(context, verdict):
    assert context.result.outcome == verdict, context.result
