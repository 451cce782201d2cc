"""Steps for metrics and the decision log."""

import io
import socket

from behave import given, then, when
from twisted.internet.testing import MemoryReactorClock

from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.settings import Address


def received(context):
    """Return the lines of all datagrams that have arrived on loopback."""
    while True:
        try:
            context.datagrams.append(context.collector.recv(65536))
        except BlockingIOError:
            break
    return [line for data in context.datagrams for line in data.decode().split("\n")]


@given('metrics of member "{member}" for a collector')
def step_metrics(context, member):
    context.collector = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.collector.bind(("127.0.0.1", 0))
    context.collector.setblocking(False)
    context.add_cleanup(context.collector.close)
    context.datagrams = []
    context.reactor = MemoryReactorClock()
    address = Address(*context.collector.getsockname())
    context.metrics = Metrics(context.reactor, address, member)
    context.metrics.gauge("g", lambda: 7)


@given("metrics without a collector")
def step_no_collector(context):
    context.reactor = MemoryReactorClock()
    context.metrics = Metrics(context.reactor)


@when("the collector is gone")
def step_gone(context):
    context.collector.close()


@when("{count:d} calls are counted and {timings:d} timings of {ms:f} ms are taken")
def step_measure(context, count, timings, ms):
    for _ in range(count):
        context.metrics.count("c")
    for _ in range(timings):
        context.metrics.timing("t", ms)


@when("{seconds:f} seconds pass for the metrics")
def step_pass(context, seconds):
    context.reactor.advance(seconds)


@then('the collector has received {count:d} timings named "{name}"')
def step_timings(context, count, name):
    lines = [line for line in received(context) if line.startswith(f"{name}:")]
    assert lines == [f"{name}:1.500000|ms"] * count, len(lines)


@then('the collector has received "{line}"')
def step_line(context, line):
    assert line in received(context), context.datagrams


@then("no datagram is longer than {count:d} bytes")
def step_short(context, count):
    assert max(map(len, context.datagrams)) <= count


@then("the metrics can be stopped")
def step_stop(context):
    context.metrics.stop()
    step_no_timer(context)


@then("the clock of the metrics holds no timer")
def step_no_timer(context):
    assert not context.reactor.getDelayedCalls()


@given('a log at level "{level}"')
def step_log(context, level):
    context.stream = io.BytesIO()
    context.lines = context.stream.getvalue
    context.log = DecisionLog(MemoryReactorClock(), level, context.stream)


@given('a log at level "{level}" on a closed stream')
def step_closed_log(context, level):
    step_log(context, level)
    context.stream.close()
    context.lines = bytes


@when("a decision is logged")
def step_decision(context):
    context.log.decision(service="desk", upstream="desk-1")
    context.log.flush()


@then("{count:d} lines are kept")
def step_lines(context, count):
    assert len(context.lines().splitlines()) == count
