"""Entry point of ``python -m banyanshelf_daemon``."""

from banyanshelf_daemon.main import run

run()
