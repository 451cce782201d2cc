"""Steps that run the operators' client against a local fleet."""

import itertools
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from urllib.request import urlopen

from behave import given, then, when

from banyanshelf_bench.deployments import UMUJYI
from banyanshelf_bench.fleet import running_fleet

COMMAND_TIMEOUT_S = 60
_comment_numbers = itertools.count(1)


@given("an operator's client beside a local fleet of {daemons:d} daemon")
def step_client(context, daemons):
    if not hasattr(context.feature, "fleet"):
        manager = running_fleet(UMUJYI.shape(daemons=daemons, upstreams=2))
        context.feature.fleet = manager.__enter__()
        context.add_cleanup(manager.__exit__, None, None, None, layer="feature")
    context.fleet = context.feature.fleet
    context.store_url = f"http://{context.fleet.store}"


def run_module(context, module, *arguments):
    result = subprocess.run(
        [sys.executable, "-m", module, *arguments],
        env=os.environ | {"BANYANSHELF_STORE_URL": context.store_url},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    context.exit_code = result.returncode
    context.output = result.stdout + result.stderr


def apply_text(context, text, *flags):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "text.toml"
        path.write_text(text)
        run_module(context, "banyanshelf_client", "apply", str(path), *flags)


def apply_with_comment(context, *flags):
    context.comment = f"# change {next(_comment_numbers)}"
    apply_text(context, f"{context.fleet.shape.text}\n{context.comment}\n", *flags)


@when(
    'the operator applies the fleet\'s text with the workspace "{name}" and its key '
    '"{key}"'
)
def step_apply_workspace(context, name, key):
    lines = f'[workspaces.{name}]\nkeys = ["{key}"]\n'
    apply_text(context, f"{context.fleet.shape.text}\n{lines}")


@when("the operator applies the fleet's text with a new comment")
def step_apply(context):
    apply_with_comment(context)


@when("the operator applies the fleet's text with a new comment and base {base:d}")
def step_apply_with_base(context, base):
    apply_with_comment(context, f"--base={base}")


@when('the operator applies the fleet\'s text with a new comment and flag "{flag}"')
def step_apply_with_flag(context, flag):
    apply_with_comment(context, flag)


@when("the operator applies the text {text}")
def step_apply_inline_text(context, text):
    apply_text(context, text.replace("/", "\n") + "\n")


@when("the operator applies the fleet's text to an unreachable store")
def step_apply_without_store(context):
    context.store_url = f"http://{context.fleet.store.rpartition(':')[0]}:1"
    apply_with_comment(context)


@when('the operator queries the daemons with "{command}"')
def step_query_daemons(context, command):
    daemons = ",".join(map(context.fleet.operator_address, context.fleet.daemon_ids))
    flag = f"--daemons={daemons}"
    run_module(context, "banyanshelf_client", *command.split(), flag)


@when('a daemon is started with the flag "{flag}"')
def step_start_daemon(context, flag):
    run_module(context, "banyanshelf_daemon", flag)


@then("the client exits with {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code, (context.exit_code, context.output)


@then('the client\'s output names "{words}"')
def step_output(context, words):
    assert words in context.output, context.output


@then("the client's show command prints that comment")
def step_show_prints_comment(context):
    run_module(context, "banyanshelf_client", "show")
    assert context.comment in context.output, context.output


@then("the client's show command does not print that comment")
def step_show_omits_comment(context):
    run_module(context, "banyanshelf_client", "show")
    assert context.comment not in context.output, context.output


@then('the client\'s show command prints "{shown}" and not "{hidden}"')
def step_show_hides(context, shown, hidden):
    run_module(context, "banyanshelf_client", "show")
    assert shown in context.output, context.output
    assert hidden not in context.output, context.output


@then('the client\'s show command with "{flag}" prints "{shown}"')
def step_show_with(context, flag, shown):
    run_module(context, "banyanshelf_client", "show", flag)
    assert shown in context.output, context.output


@then('no daemon shows "{hidden}" in its configuration')
def step_daemon_configuration(context, hidden):
    for daemon_id in context.fleet.daemon_ids:
        address = context.fleet.operator_address(daemon_id)
        content = urlopen(f"http://{address}/config", timeout=10).read().decode()
        assert "one" in content, content
        assert hidden not in content, content
