"""Steps for single connections of callers, on real sockets."""

import socket

from behave import given, then, when
from planned_stop_steps import REQUEST, _Caller, step, step_until

from banyanshelf_daemon.caller_connection import SLOW_READER_TIMEOUT_S
from banyanshelf_daemon.request_reader import CallerLimits

LAST_REQUEST = REQUEST[:-2] + b"Connection: close\r\n\r\n"
WINDOW_BYTES = 4096
ARRIVALS = 20


@given("calls that take {seconds:g} s and are answered with {size:d} bytes")
def step_long_answers(context, seconds, size):
    context.handler.delay_s = seconds
    context.handler.body = b"a" * size


@when("a caller with a small window connects")
def step_small_window(context):
    context.callers = [_Caller(context.port_number, WINDOW_BYTES)]
    step(context)


@when("the caller sends {count:d} requests, one after another")
def step_requests(context, count):
    for _ in range(count):
        context.callers[0].send()
        step(context, 0.01)
    step_until(context, lambda: context.handler.calls)


@when("more of the caller's requests arrive while it reads slowly")
def step_more(context):
    [caller] = context.callers
    step_until(context, lambda: caller.received)
    for _ in range(ARRIVALS):
        try:
            caller.socket.send(REQUEST)
        except OSError:
            return
        step(context, 0.005)


@when("the caller sends a body of {size:d} bytes")
def step_body(context, size):
    [caller] = context.callers
    head = f"POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {size}\r\n\r\n"
    left = memoryview(head.encode() + b"b" * size)
    # Like a simple client, it reads the answer once it has sent everything.
    context.callers = []
    while left:
        try:
            left = left[caller.socket.send(left) :]
        except BlockingIOError:
            step(context)
        except OSError:
            break
    context.callers = [caller]


@when("the caller sends its last request and does not read")
def step_last_request(context):
    [caller] = context.callers
    caller.socket.send(LAST_REQUEST)
    context.callers = []
    step_until(context, lambda: context.handler.calls)
    step(context, 0.2)
    context.callers = [caller]


@given("at most {count:d} connection")
def step_max_connections(context, count):
    context.factory._max_connections = count


@when("the kernel takes few bytes of its answer at once")
def step_small_buffer(context):
    [connection] = context.factory._connections
    handle = connection.transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)


@when("another caller connects, and is refused with 503")
def step_other_refused(context):
    callers, context.callers = context.callers, [_Caller(context.port_number)]
    [other] = context.callers
    step_until(context, lambda: other.is_closed)
    other.socket.close()
    assert other.received.startswith(b"HTTP/1.1 503"), other.received
    context.callers = callers


@when("the connection is unused for 1 s")
def step_unused(context):
    for connection in context.factory._connections:
        connection._waits_since -= 1.0


@when("another caller connects, and is admitted")
def step_other_admitted(context):
    context.callers.append(_Caller(context.port_number))
    step_until(context, lambda: context.callers[0].is_closed)
    assert not context.callers[1].is_closed


@then("the first caller is refused with 503")
def step_first_refused(context):
    received = context.callers[0].received
    assert received.startswith(b"HTTP/1.1 503"), received


@when("the caller sends a request just before the limit is reached")
def step_request_at_limit(context):
    context.callers[0].send()
    context.factory._displace_connections()


@then("the caller gets its answer")
def step_gets_answer(context):
    [caller] = context.callers
    step_until(context, lambda: caller.received.endswith(b"ok") or caller.is_closed)
    assert caller.received.startswith(b"HTTP/1.1 200"), caller.received


@when("the time to wait for the caller is over")
def step_wait_over(context):
    for connection in list(context.factory._connections):
        connection.check_deadline(context.factory.now() + SLOW_READER_TIMEOUT_S)


@when("the caller closes its connection")
def step_close(context):
    context.callers.pop().socket.close()


@when("the limit on bodies is raised to {size:d} bytes")
def step_raise_limit(context, size):
    context.factory.limits = CallerLimits(body_bytes=size)


@then("the caller gets {size:d} bytes")
def step_whole(context, size):
    [caller] = context.callers
    step_until(context, lambda: caller.is_closed)
    head, _, body = caller.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    assert len(body) == size, len(body)
    context.callers.pop().socket.close()


@then("the call in progress learns that its caller has left")
def step_left(context):
    step_until(context, lambda: context.handler.departures)


@then("its body is accepted")
def step_accepted(context):
    step_until(context, lambda: context.callers[0].received.endswith(b"ok"))
    assert context.handler.bodies[-1] == 1500000, context.handler.bodies
