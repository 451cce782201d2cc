"""Command line of ``banyanshelfd``.

Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.
"""

from __future__ import annotations

import os
import sys
from importlib.metadata import PackageNotFoundError, version
from typing import Any

import fire

from banyanshelf_core.errors import SettingsError
from banyanshelf_daemon.process import EXIT_USAGE, run_until_stopped
from banyanshelf_daemon.settings import Settings, describe_settings

DISTRIBUTION = "banyanshelf-daemon"


def serve(**flags: Any) -> None:
    """Run the gateway daemon until SIGTERM or SIGINT.

    Every setting is a flag or a BANYANSHELF_* variable; ``banyanshelfd --help`` lists
    them.
    """
    try:
        settings = Settings.from_config(
            {name: str(value) for name, value in flags.items()},
            os.environ,
        )
    except SettingsError as error:
        print(f"banyanshelfd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(_run(settings))


def _run(settings: Settings) -> int:
    return run_until_stopped("banyanshelfd", lambda reactor: _daemon(reactor, settings))


def _daemon(reactor: Any, settings: Settings) -> Any:
    # Imported here, as help and usage errors do not need Twisted.
    from banyanshelf_daemon.daemon import Daemon

    return Daemon(reactor, settings)


def run(arguments: list[str] | None = None) -> None:
    """Parse the command line and run the daemon."""
    words = sys.argv[1:] if arguments is None else arguments
    if words in (["--help"], ["-h"], ["help"]):
        print(describe_settings())
        return
    if words == ["--version"]:
        try:
            print(version(DISTRIBUTION))
        except PackageNotFoundError:
            print("not installed; run make install")
        return
    fire.Fire(serve, command=words, name="banyanshelfd")
