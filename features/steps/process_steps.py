"""Steps that run a daemon in a process of its own."""

import subprocess
import sys
import time

from behave import given, then, when

PROCESS_TIMEOUT_S = 30
SCRIPT = """
import gc, os, signal
gc.disable()
from twisted.internet import defer, reactor
from banyanshelf_daemon.process import run_until_stopped


class Daemon:
    def start(self):
        reactor.callLater(0.05, self.check)

    def check(self):
        print(gc.isenabled(), flush=True)
        os.kill(os.getpid(), signal.SIGTERM)

    def stop(self):
        return defer.succeed(None)

    def reload(self):
        pass


raise SystemExit(run_until_stopped("daemon", lambda any_reactor: Daemon()))
"""

CLOCK_SCRIPT = """
import time
read_clock, clocks = time.clock_gettime, set()


def clock_gettime(clock):
    clocks.add(clock)
    return read_clock(clock)


time.clock_gettime = clock_gettime
""" + SCRIPT.replace("gc.isenabled()", "clocks")


@given("a process that disables garbage collection and then runs a daemon")
def step_process(context):
    context.command = [sys.executable, "-c", SCRIPT]


@given("a process that prints by which clock its timers run")
def step_clock_process(context):
    context.command = [sys.executable, "-c", CLOCK_SCRIPT]


@when("the daemon has started and SIGTERM is sent")
def step_run(context):
    context.result = subprocess.run(
        context.command,
        capture_output=True,
        text=True,
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )


@then("garbage collection was enabled, and the process has ended with code {code:d}")
def step_enabled(context, code):
    result = context.result
    assert result.stdout.strip() == "True", (result.stdout, result.stderr)
    assert result.returncode == code, result


@then("the clock was the one that counts suspended time")
def step_clock(context):
    result = context.result
    expected = str({time.CLOCK_BOOTTIME})
    assert result.stdout.strip() == expected, (result.stdout, result.stderr)
