"""One subprocess of a fleet: start, pause, kill, and what it wrote."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from typing import IO, Any

OUTPUT_TAIL_BYTES = 20_000
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class FleetProcess:
    """A Python module run as a subprocess, with its output in a temporary file."""

    def __init__(
        self,
        id: str,  # noqa: A002
        module: str,
        flags: dict[str, Any],
        environment: dict[str, str] | None = None,
    ) -> None:
        self.id = id
        self.module = module
        self.flags = flags
        self._environment = environment or {}
        # Closed by close(), since the file outlives single runs of the process.
        self.output: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False

    @property
    def command(self) -> list[str]:
        """The command line."""
        flags = [
            f"--{name.replace('_', '-')}={value}" for name, value in self.flags.items()
        ]
        return [sys.executable, "-m", self.module, *flags]

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    @property
    def serves(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.running and not self.paused

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last run, None while it runs."""
        return None if self.process is None else self.process.poll()

    def start(self) -> None:
        """Start the process; its output is appended to that of earlier runs."""
        self.paused = False
        self.process = subprocess.Popen(
            self.command,
            stdin=subprocess.DEVNULL,
            stdout=self.output,
            stderr=self.output,
            env=os.environ | self._environment,
        )

    def signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stop the process without its knowledge."""
        self.signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        """Let a paused process go on."""
        self.signal(signal.SIGCONT)
        self.paused = False

    def terminate(self) -> None:
        """Ask for a planned stop."""
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once and wait until it is gone."""
        self.signal(signal.SIGKILL)
        self.wait(10)

    def wait(self, limit_s: float) -> int:
        """Wait for the exit; raises ``subprocess.TimeoutExpired``."""
        return 0 if self.process is None else self.process.wait(limit_s)

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, 0 after the exit."""
        if not self.running or self.process is None:
            return 0.0
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def resident_kilobytes(self) -> int:
        """Return the resident memory in KiB, 0 after the exit."""
        if not self.running or self.process is None:
            return 0
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as statm:
            pages = int(statm.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") // 1024

    def output_tail(self) -> str:
        """Return the end of what the process wrote."""
        size = self.output.seek(0, os.SEEK_END)
        self.output.seek(max(0, size - OUTPUT_TAIL_BYTES))
        content = self.output.read()
        self.output.seek(0, os.SEEK_END)
        return content.decode("utf-8", "replace")

    def close(self) -> None:
        """End the process and discard its output."""
        self.kill()
        self.output.close()
