"""Steps that run a daemon in a process of its own."""

import subprocess
import sys

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


@given("a process that disables garbage collection and then runs a daemon")
def step_process(context):
    context.command = [sys.executable, "-c", SCRIPT]


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
