"""Steps for requests that arrive late in a planned stop of a gateway process."""

import socket
import time

from behave import then, when
from platform_e2e_steps import GATEWAYS, LIMIT_S, total_runs

HEAD = (
    b"POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\n"
    b"X-Banyanshelf-Attempt-Id: late-in-the-stop\r\n"
    b"X-Banyanshelf-Deadline-Milliseconds: 5000\r\nContent-Length: 2\r\n\r\n"
)


@when(
    "the first gateway gets SIGTERM and the last byte of a request follows "
    "{seconds:g} s later"
)
def step_late_byte(context, seconds):
    context.runs_before = total_runs()
    with socket.create_connection((GATEWAYS[0], 8144), timeout=LIMIT_S) as caller:
        caller.sendall(HEAD + b"a")
        context.site.gateways[0].terminate()
        time.sleep(seconds)
        caller.sendall(b"b")
        context.answer = b""
        while data := caller.recv(4096):
            context.answer += data


@then("the request is refused as not run")
def step_refused(context):
    assert context.answer.startswith(b"HTTP/1.1 503"), context.answer
    assert b"retry-after" in context.answer.lower(), context.answer
    assert total_runs() == context.runs_before, "the request has run"
