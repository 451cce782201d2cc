"""Steps for periodic tasks and supervised coroutines on a controlled clock."""

from behave import given, then, when
from twisted.internet.task import Clock

from banyanshelf_daemon.background import BackgroundTasks, PeriodicTask

STEP_S = 0.05


@given("a periodic task of {interval:g} s that raises at its call {number:d}")
def step_periodic(context, interval, number):
    context.clock, context.calls = Clock(), 0

    def tick():
        context.calls += 1
        if context.calls == number:
            raise RuntimeError("unexpected")

    context.task = PeriodicTask(context.clock, tick, "test")
    context.task.start(interval)


@given("a supervised coroutine that raises at once")
def step_supervised(context):
    context.clock, context.calls = Clock(), 0

    async def fail():
        context.calls += 1
        raise RuntimeError("unexpected")

    context.task = BackgroundTasks(context.clock)
    context.task.supervise(fail, "test")


@when("{seconds:d} s of it passes")
def step_pass(context, seconds):
    context.clock.pump([STEP_S] * round(seconds / STEP_S))


@when("it is stopped and {seconds:d} s of it passes")
@when("its owner stops and {seconds:d} s of it passes")
def step_stop(context, seconds):
    context.task.stop()
    step_pass(context, seconds)


@then("it was called {count:d} times and has counted {failures:d} failure")
def step_called(context, count, failures):
    assert (context.calls, context.task.failures) == (count, failures)


@then("it was started {low:d} to {high:d} times")
def step_started(context, low, high):
    assert low <= context.calls <= high, context.calls
