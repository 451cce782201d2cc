"""Steps for the metrics and the decision log."""

import io
import os
import socket

from behave import given, then, when
from twisted.internet.testing import MemoryReactorClock

from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.metrics import MAX_DATAGRAM_BYTES, Metrics
from banyanshelf_daemon.settings import Address


@given('metrics of member "{member}" for a statsd server')
def step_metrics(context, member):
    context.statsd_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.statsd_server.bind(("127.0.0.1", 0))
    context.statsd_server.setblocking(False)
    context.add_cleanup(context.statsd_server.close)
    context.lines = []
    context.reactor = MemoryReactorClock()
    address = Address(*context.statsd_server.getsockname())
    context.metrics = Metrics(context.reactor, address, member)
    context.metrics.gauge("g", lambda: 7)


@when("the statsd server is unreachable")
def step_gone(context):
    context.statsd_server.close()


@when("{calls:d} calls and {timings:d} timings are measured")
def step_measure(context, calls, timings):
    for metrics in (context.metrics, Metrics(context.reactor)):
        for _ in range(calls):
            metrics.count("c")
        for _ in range(timings):
            metrics.timing("t", 1.5)
    assert len(context.reactor.getDelayedCalls()) == 1


@when("the metrics are flushed by the clock")
def step_flush(context):
    context.reactor.advance(1.0)


@then('the statsd server has received {count:d} of "{line}"')
def step_received(context, count, line):
    while True:
        try:
            datagram = context.statsd_server.recv(65536)
        except BlockingIOError:
            break
        assert len(datagram) <= MAX_DATAGRAM_BYTES
        context.lines += datagram.decode().split("\n")
    assert context.lines.count(line) == count, context.lines.count(line)


@then("the metrics can be stopped")
def step_stop(context):
    context.metrics.stop()
    assert not context.reactor.getDelayedCalls()


@then(
    'a decision logged at level "{level}" to a stream that is {state} keeps {n:d} lines'
)
def step_log(context, level, state, n):
    ends = os.pipe()
    reader, writer = io.FileIO(ends[0]), io.FileIO(ends[1], "w")
    log = DecisionLog(MemoryReactorClock(), level, writer)
    for _ in range(30_000 if state == "stalled" else 1):
        log.decision(service="desk", upstream="desk-1")
    if state == "closed":
        reader.close()
    log.flush()
    found = b"" if state == "closed" else reader.read(64) if n else b""
    assert found.startswith(b'{"time":') == bool(n), found
    assert bool(log.dropped_bytes) == (state == "stalled")
