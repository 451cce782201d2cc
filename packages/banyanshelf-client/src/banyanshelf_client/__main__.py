"""Entry point of ``python -m banyanshelf_client``."""

from banyanshelf_client.main import run

run()
