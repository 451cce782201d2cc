"""Measures 14 daemons over loopback, one scenario and policy at a time.

Example:
    ``python -m banyanshelf_bench.measure --scenario steady --load 0.8
    --policy permits --deployment umujyi --seed 7``

"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import fire
import msgspec
from tabulate import tabulate

from banyanshelf_bench.bench_run import BenchRun, RunOptions
from banyanshelf_bench.deployments import DEPLOYMENT_BY_NAME, FULL_FLEET
from banyanshelf_bench.fleet import running_fleet
from banyanshelf_bench.scenarios import SCENARIO_BY_NAME

RESULTS = Path("docs/measurements")
# New upstreams ramp up from one slot over 5 s. Full load meanwhile builds up
# a queue that lasts longer than the warm-up.
RAMP_S = 6.0
# The first attempt of a hedged call counts as latency above the service time of the
# second one, so the added latency is measured with equal service times.
BACKEND_FLAGS_BY_SCENARIO = {"added_latency": {"distribution": "fixed"}}


def measure(
    scenario: str = "steady",
    policy: str = "permits",
    deployment: str = "umujyi",
    seed: int = 1,
    load: float = 0.7,
    seconds: float = 20.0,
    warm_up_s: float = 5.0,
    daemons: int = FULL_FLEET,
    scale: float = 1.0,
    save: bool = True,
) -> None:
    """Run one scenario, print its table and write its JSON file."""
    options = RunOptions(
        scenario,
        policy,
        DEPLOYMENT_BY_NAME[deployment],
        seed,
        load,
        seconds,
        warm_up_s,
        daemons,
        scale,
    )
    shape = options.deployment.shape(
        daemons,
        policy,
        mean_ms=options.mean_ms,
        backend_flags=BACKEND_FLAGS_BY_SCENARIO.get(scenario),
    )
    with running_fleet(shape) as fleet:
        time.sleep(RAMP_S)
        result = SCENARIO_BY_NAME[scenario](BenchRun(options, fleet))
    result = {"command": command(options), **described(options), **result}
    print_result(result)
    if save:
        RESULTS.mkdir(parents=True, exist_ok=True)
        path = RESULTS / f"{file_stem(options)}.json"
        content = msgspec.json.format(msgspec.json.encode(result), indent=1)
        path.write_bytes(content + b"\n")
        print(f"written to {path}")


def described(options: RunOptions) -> dict[str, Any]:
    """Return the options as they stand in the JSON file."""
    return {**options._asdict(), "deployment": options.deployment.name}


def command(options: RunOptions) -> str:
    """Return the command that repeats a measurement."""
    flags = [f"--{name} {value}" for name, value in described(options).items()]
    return f'make measure ARGS="{" ".join(flags)}"'


def file_stem(options: RunOptions) -> str:
    """Return the name of the result file without its suffix."""
    parts = [options.scenario, options.policy, options.deployment.name]
    if options.scenario == "steady":
        parts.append(f"{round(options.load * 100)}")
    return "-".join([*parts, f"seed{options.seed}"])


def print_result(result: dict[str, Any]) -> None:
    """Print the table of a measurement."""
    rows = [
        [
            name,
            phase,
            stream["rate"],
            times["latency_ms"].get("count", 0),
            *(times["latency_ms"].get(key, "") for key in ("p50", "p99", "p99_9")),
            *(
                times["above_service_ms"].get(key, "")
                for key in ("p50", "p99", "p99_9")
            ),
        ]
        for name, stream in result["streams"].items()
        for phase, times in stream["phases"].items()
    ]
    headers = ["stream", "phase", "per s", "calls", "p50", "p99", "p99.9"]
    headers += ["above p50", "above p99", "above p99.9"]
    print(result["command"])
    print(tabulate(rows, headers=headers))
    for section in ("usage", "backends", "checks", "events", "machine", "generator"):
        print(tabulate(list(result[section].items()), headers=[section, ""]))
    for name, stream in result["streams"].items():
        print(name, stream["outcomes"], *stream["failures"][:3], sep="\n  ")


if __name__ == "__main__":
    fire.Fire(measure)
