"""Steps for the listener of callers, on real sockets of a reactor that is stepped."""

import socket
import time
from unittest.mock import Mock

from behave import given, then, when
from twisted.internet.epollreactor import EPollReactor

from banyanshelf_daemon.caller_listener import IDLE_LINGER_S, CallerListener
from banyanshelf_daemon.caller_server import CallerServerFactory
from banyanshelf_daemon.http_message import Answer
from banyanshelf_daemon.settings import Settings

REQUEST = b"GET /a HTTP/1.1\r\nHost: desk.example\r\n\r\n"
STEP_S = 0.002
LIMIT_S = 5.0


class _Handler:
    """Answers each request with 200 after a delay."""

    def __init__(self, reactor):
        self.reactor, self.delay_s, self.calls = reactor, 0.0, 0
        self.body, self.bodies, self.departures = b"ok", [], 0
        self.refusals = []

    def start(self, request, exchange, *, trust_internal_headers):
        self.calls += 1
        self.bodies.append(len(request.body))
        exchange.call = _Call(self, exchange)
        answer = Answer(200, [], self.body)
        if self.delay_s:
            self.reactor.callLater(self.delay_s, exchange.answer, answer)
        else:
            exchange.answer(answer)

    def refused(self, status, detail):
        self.refusals.append((status, detail))

    add_gauge = Mock()


class _Call:
    """A call that can be ended by a shutdown, and counts callers that leave."""

    def __init__(self, handler, exchange):
        self.handler, self.exchange = handler, exchange

    def end_by_shutdown(self):
        self.exchange.answer(Answer(503, [], b"unknown"))

    def caller_disconnected(self):
        self.handler.departures += 1
        return False


class _Caller:
    """A blocking client socket; answers are read without waiting."""

    def __init__(self, port, window_bytes=0):
        self.socket = socket.socket()
        if window_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        self.socket.settimeout(LIMIT_S)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.read_bytes = window_bytes or 65536
        self.received, self.is_closed = b"", False

    def send(self):
        self.socket.send(REQUEST)

    def read(self):
        try:
            data = self.socket.recv(self.read_bytes)
        except BlockingIOError:
            return
        except ConnectionResetError:
            data = b""
        self.received += data
        self.is_closed = self.is_closed or not data


@given("a caller listener on a loopback port")
def step_listener(context):
    # A reactor of its own can be stepped, and is not the one that a process runs.
    reactor = context.reactor = EPollReactor()
    reactor.seconds = time.monotonic
    reactor.running = True
    addresses = {
        name: f"127.0.0.1:{at}"
        for at, name in enumerate(
            ("listen", "service_listen", "peer_listen", "operator_listen"), 1
        )
    }
    settings = Settings(
        member_id="g",
        zone="Huye",
        store_url="http://127.0.0.1:5",
        host_list_url="http://127.0.0.1:6",
        **addresses,
    )
    context.handler = _Handler(reactor)
    factory = context.factory = CallerServerFactory(context.handler, settings, False)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    context.port_number = port.getHost().port
    context.listener = CallerListener(reactor, port, factory, Mock())
    context.callers, context.stopped = [], []
    context.add_cleanup(close_all, context)


def close_all(context):
    for caller in context.callers:
        caller.socket.close()
    context.callers = []
    step(context, 0.02)
    context.reactor.disconnectAll()


def step(context, seconds=0.0):
    """Run the reactor until ``seconds`` have passed, at least twice."""
    end, steps = time.monotonic() + seconds, 0
    while steps < 2 or time.monotonic() < end:
        context.reactor.runUntilCurrent()
        context.reactor.doIteration(STEP_S)
        for caller in context.callers:
            caller.read()
        steps += 1


def step_until(context, is_reached):
    end = time.monotonic() + LIMIT_S
    while not is_reached():
        assert time.monotonic() < end, "the expected state was not reached"
        step(context)


@given("calls that take {seconds:g} s")
def step_slow_calls(context, seconds):
    context.handler.delay_s = seconds


@when("{count:d} callers connect and send a request before the gateway reads")
def step_queued(context, count):
    context.callers = [_Caller(context.port_number) for _ in range(count)]
    for caller in context.callers:
        caller.send()


@when("a caller connects, and sends nothing")
def step_connect(context):
    context.callers = [_Caller(context.port_number)]
    step(context)


@when("a caller connects, and gets one answer")
def step_one_answer(context):
    step_connect(context)
    [caller] = context.callers
    caller.send()
    step_until(context, lambda: caller.received.endswith(b"ok"))
    assert b"connection: close" not in caller.received.lower()
    caller.received = b""


@when("the stop begins")
def step_begin(context):
    context.listener.begin_stop()


@when("the listener stops")
def step_stop(context):
    step_stop_within(context, LIMIT_S)


@when("the listener stops within {seconds:g} s")
def step_stop_within(context, seconds):
    closed = context.listener.close()
    closed.addCallback(lambda _: context.listener.drain(seconds))
    closed.addCallback(context.stopped.append)


@when("the caller sends a part of a request after {seconds:g} s")
def step_send_part(context, seconds):
    step(context, seconds)
    context.callers[0].socket.send(REQUEST[:-4])


@then('its request is answered with {status:d} and "Connection: close"')
def step_answered_status(context, status):
    [caller] = context.callers
    step_until(context, lambda: caller.is_closed)
    assert caller.received.startswith(f"HTTP/1.1 {status}".encode()), caller.received
    assert b"connection: close" in caller.received.lower(), caller.received


@when("the caller sends a request after {seconds:g} s")
def step_send(context, seconds):
    step(context, seconds)
    context.callers[0].send()


@when("the caller's request arrives in the step that closes idle connections")
def step_unread(context):
    original = context.factory.stop_accepting

    def stop_accepting(**options):
        context.callers[0].send()
        return original(**options)

    context.factory.stop_accepting = stop_accepting
    step(context, IDLE_LINGER_S)


@then('all {count:d} requests are answered with "Connection: close"')
def step_all_answered(context, count):
    assert len(context.callers) == count
    assert not context.handler.refusals, context.handler.refusals
    step_until(context, lambda: all(each.is_closed for each in context.callers))
    for caller in context.callers:
        assert caller.received.startswith(b"HTTP/1.1 200"), caller.received
        assert b"connection: close" in caller.received.lower(), caller.received
        assert caller.received.endswith(b"ok"), caller.received


@then('its request is answered with "Connection: close"')
def step_answered(context):
    step_all_answered(context, 1)


@then("the stop has ended")
def step_ended(context):
    step_until(context, lambda: context.stopped)


@then("the stop has not ended {seconds:g} s later")
def step_not_ended(context, seconds):
    step(context, seconds)
    assert not context.stopped


@then("the stop ends and the connection is closed")
def step_ends(context):
    step_ended(context)
    step_until(context, lambda: context.callers[0].is_closed)
