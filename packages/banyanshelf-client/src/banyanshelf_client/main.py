"""Command line of the operators' client ``banyanshelf``.

Exit codes: 0 done, 1 refused, 2 usage, 3 unknown outcome.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Coroutine
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any, NoReturn

import fire
from twisted.internet.task import react

from banyanshelf_client import daemon_commands, store_commands
from banyanshelf_client.output import ExitCode, Output
from banyanshelf_client.settings import ClientSettings
from banyanshelf_core.errors import BanyanshelfError, SettingsError
from banyanshelf_core.text import parse_text
from banyanshelf_daemon.store_client import StoreClient

DISTRIBUTION = "banyanshelf-client"
JSON_FLAG = "--json"

Job = Callable[[Any], Coroutine[Any, Any, ExitCode]]


class Plan:
    """A parsed command that has not run yet.

    Commands return a plan instead of acting at once, because ``fire`` calls a command
    before it detects an unknown flag after it: ``apply FILE --bsae=3`` would otherwise
    apply the text without checking the base version.
    """

    def __init__(self, job: Job) -> None:
        self._job = job

    async def run(self, reactor: Any) -> ExitCode:
        """Run the command and return its exit code."""
        return await self._job(reactor)


class Commands:
    """Reads and applies the operators' text, and reads the daemons' state.

    ``--store-url`` or BANYANSHELF_STORE_URL names the store, ``--daemons`` or
    BANYANSHELF_DAEMONS the operator addresses of daemons. ``--json`` prints a JSON
    document. Exit codes: 0 done, 1 refused, 2 usage, 3 unknown outcome.
    """

    def __init__(
        self,
        store_url: str = "",
        store_prefix: str = "",
        daemons: Any = "",
        json: bool = False,
    ) -> None:
        self._output = Output(json)
        names = ",".join(daemons) if isinstance(daemons, tuple | list) else daemons
        flags = {"store_url": store_url, "store_prefix": store_prefix, "daemons": names}
        try:
            self._settings = ClientSettings.from_config(flags, os.environ)
        except SettingsError as error:
            self._exit(error)

    def check(self, file: str) -> Plan:
        """Check a text without applying it."""

        async def job(_: Any) -> ExitCode:
            text = parse_text(_read_file(file))
            self._output.result(
                f"{file} is valid: {len(text.services)} services",
                valid=True,
                services=sorted(text.services),
            )
            return ExitCode.DONE

        return Plan(job)

    def diff(self, file: str) -> Plan:
        """Print what applying a text would change."""
        return self._with_store(
            lambda store, _: store_commands.show_diff(
                store, self._output, _read_file(file)
            ),
        )

    def apply(self, file: str, base: int | None = None) -> Plan:
        """Apply a text; --base refuses it unless that version is the accepted one."""
        return self._with_store(
            lambda store, reactor: store_commands.apply_text(
                reactor,
                store,
                self._output,
                _read_file(file),
                base,
            ),
        )

    def resolve(self, version: int, apply_id: str) -> Plan:
        """Say what became of an apply whose outcome was unknown."""
        return self._with_store(
            lambda store, _: store_commands.resolve_commit(
                store,
                self._output,
                version,
                str(apply_id),
            ),
        )

    def show(self, version: int | None = None, with_keys: bool = False) -> Plan:
        """Print the accepted text, or that of an earlier version.

        The keys of workspaces are hidden; ``apply`` needs a text ``--with-keys``.
        """
        return self._with_store(
            lambda store, _: store_commands.show_text(
                store, self._output, version, with_keys=with_keys
            ),
        )

    def history(self, limit: int = 20) -> Plan:
        """Print the most recent versions, the newest first."""
        return self._with_store(
            lambda store, _: store_commands.show_history(store, self._output, limit),
        )

    def status(self) -> Plan:
        """Print each daemon's state; exit code 1 if one is unreachable or behind."""
        return self._with_daemons(daemon_commands.show_status)

    def upstreams(self) -> Plan:
        """Print each upstream's state, slots in use and measuring cost."""
        return self._with_daemons(daemon_commands.show_upstreams)

    def explain(self, request: str, method: str = "GET") -> Plan:
        """Say where a request would go, for example desk.umujyi.example/payments."""
        return self._with_daemons(
            lambda output, addresses: daemon_commands.explain_request(
                output,
                addresses,
                request,
                method,
            ),
        )

    def _with_store(
        self,
        command: Callable[[StoreClient, Any], Coroutine[Any, Any, ExitCode]],
    ) -> Plan:
        async def job(reactor: Any) -> ExitCode:
            self._settings.require_store()
            store = StoreClient(reactor, self._settings)
            try:
                return await command(store, reactor)
            finally:
                await _await_optional(store.stop())

        return Plan(job)

    def _with_daemons(
        self,
        command: Callable[[Output, list[str]], Coroutine[Any, Any, ExitCode]],
    ) -> Plan:
        async def job(_: Any) -> ExitCode:
            return await command(self._output, self._settings.daemon_addresses())

        return Plan(job)

    def _exit(self, error: BanyanshelfError) -> NoReturn:
        self._output.error(str(error))
        sys.exit(exit_code_of(error))


def exit_code_of(error: BanyanshelfError) -> ExitCode:
    """Return the exit code for an error."""
    return ExitCode.USAGE if isinstance(error, SettingsError) else ExitCode.REFUSED


async def _await_optional(waiting: Any) -> None:
    if waiting is not None:
        await waiting


def _read_file(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {file}: {error}; check the path") from error


def run(arguments: list[str] | None = None) -> None:
    """Parse the command line and run one command."""
    words = sys.argv[1:] if arguments is None else arguments
    if words == ["--version"]:
        try:
            print(version(DISTRIBUTION))
        except PackageNotFoundError:
            print("not installed; run make install")
        return
    as_json = JSON_FLAG in words
    # At the end of the line, fire cannot parse the next argument as the flag's value.
    words = [word for word in words if word != JSON_FLAG] + [JSON_FLAG] * as_json
    plan = fire.Fire(Commands, command=words, name="banyanshelf", serialize=_no_output)
    if not isinstance(plan, Plan):
        sys.exit(ExitCode.USAGE)
    _run_plan(plan, Output(as_json))


def _no_output(_: Any) -> None:
    return None


def _run_plan(plan: Plan, output: Output) -> NoReturn:
    async def run_and_exit(reactor: Any) -> None:
        try:
            code = await plan.run(reactor)
        except BanyanshelfError as error:
            output.error(str(error))
            code = exit_code_of(error)
        sys.exit(code)

    react(run_and_exit)
    raise AssertionError("react ends the process")
