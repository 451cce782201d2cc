"""Runs the state machines for some minutes with fresh seeds.

Example:
    ``python -m fuzz.run --seed 7 --minutes 1`` fuzzes each machine for a minute.

"""

from __future__ import annotations

import random
import sys
import time

import fire
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from fuzz.claim_machine import ClaimMachine
from fuzz.configuration_machine import ConfigurationMachine

MACHINES: dict[str, type[RuleBasedStateMachine]] = {
    "claims": ClaimMachine,
    "configuration": ConfigurationMachine,
}
EXAMPLES_PER_ROUND = 50
STEPS_PER_EXAMPLE = 80


def run_machine(
    machine: type[RuleBasedStateMachine],
    seed_value: int,
    examples: int,
    steps: int = STEPS_PER_EXAMPLE,
) -> None:
    """Run one machine with a seed; raises the machine's assertion on a fault."""

    @seed(seed_value)
    class Seeded(machine):  # type: ignore[misc,valid-type]
        """The machine with its seed."""

    run_state_machine_as_test(
        Seeded,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            database=None,
            deadline=None,
            phases=(Phase.generate, Phase.shrink),
            suppress_health_check=list(HealthCheck),
            print_blob=False,
            report_multiple_bugs=False,
        ),
    )


def run(seed: int | None = None, minutes: float = 1.0, only: str = "") -> None:
    """Fuzz each machine for ``minutes``; exits with 1 at the first fault."""
    base = random.SystemRandom().randrange(2**32) if seed is None else seed
    print(f"seed {base}", flush=True)
    for name, machine in MACHINES.items():
        if only not in ("", name):
            continue
        until = time.monotonic() + 60 * minutes
        rounds = 0
        while time.monotonic() < until:
            try:
                run_machine(machine, base + rounds, EXAMPLES_PER_ROUND)
            except Exception as error:
                print(f"{name}: fault with --seed {base + rounds}: {error!r}")
                print("\n".join(getattr(error, "__notes__", [])))
                sys.exit(1)
            rounds += 1
        print(f"{name}: {rounds * EXAMPLES_PER_ROUND} examples, no fault", flush=True)


if __name__ == "__main__":
    fire.Fire(run)
