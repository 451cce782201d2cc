"""Writes a Markdown report with plots from the JSON files of measurements.

Example:
    ``python -m banyanshelf_bench.report --folder docs/measurements``

"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import fire
import matplotlib as mpl
import msgspec
from tabulate import tabulate

mpl.use("svg")

from matplotlib import pyplot as plt  # noqa: E402

Json = dict[str, Any]
FIGURE_SIZE_INCHES = (7.0, 3.2)


def write_report(folder: str = "docs/measurements") -> None:
    """Write ``README.md`` and the plots beside the JSON files of a folder."""
    root = Path(folder)
    results = {
        path.stem: msgspec.json.decode(path.read_bytes())
        for path in sorted(root.glob("*.json"))
    }
    steady = [item for item in results.values() if item["scenario"] == "steady"]
    others = {
        stem: item for stem, item in results.items() if item["scenario"] != "steady"
    }
    sections = ["# Measurements", "", INTRODUCTION, ""]
    if steady:
        sections += _steady_section(root, steady)
    for stem, result in others.items():
        sections += _scenario_section(root, stem, result)
    sections += ["## Commands", "", *_commands(results)]
    (root / "README.md").write_text("\n".join(sections) + "\n")


INTRODUCTION = """\
Every figure is from one run of the command listed at the end, on one machine over
loopback, with daemons, backend servers, stand-ins and load generator sharing its
cores. Latency counts from the time a call was due. "Above service" is the latency
less the service time that the backend server states. Times are in milliseconds. The
load average (1 min, before and after) tells how much other work the machine had;
runs with different averages are not comparable in detail."""


def _machine(result: Json) -> str:
    machine = result["machine"]
    before, after = machine["load_before"][0], machine["load_after"][0]
    return f"{before} / {after} on {machine['cores']} cores"


def _first_stream(result: Json) -> Json:
    stream: Json = next(iter(result["streams"].values()))
    return stream


def _steady_section(root: Path, results: list[Json]) -> list[str]:
    ordered = sorted(
        results, key=lambda item: (item["deployment"], item["load"], item["policy"])
    )
    rows = []
    for result in ordered:
        stream, usage = _first_stream(result), result["usage"]
        above = stream["phases"]["measured"]["above_service_ms"]
        rows.append(
            [
                result["deployment"],
                f"{result['load']:.0%}",
                result["policy"],
                result["scale"],
                above.get("p50"),
                above.get("p99"),
                above.get("p99_9"),
                _outcomes(stream),
                usage["daemon_cpu_us_per_call"],
                usage["control_bytes_sent_per_node_per_second"],
                usage["probe_share_of_slot_time"],
                result["backends"]["peak_queue_beyond_slots"],
                result["backends"]["runs_beyond_first"],
                _machine(result),
            ],
        )
    headers = ["deployment", "load", "policy", "scale", "above p50", "above p99"]
    headers += ["above p99.9", "outcomes", "CPU µs per call", "control B/s per node"]
    headers += ["probe share", "peak queue", "extra runs", "load average"]
    table = tabulate(rows, headers=headers, tablefmt="github")
    _plot_steady(root / "steady.svg", ordered)
    return ["## Steady load", "", table, "", "![steady load](steady.svg)", ""]


def _plot_steady(path: Path, results: Iterable[Json]) -> None:
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for result in results:
        above = _first_stream(result)["phases"]["measured"]["above_service_ms"]
        key = (result["deployment"], result["policy"])
        points.setdefault(key, []).append((result["load"] * 100, above.get("p99", 0)))
    figure, axes = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    for (deployment, policy), values in sorted(points.items()):
        axes.plot(
            *zip(*values, strict=True), marker="o", label=f"{deployment} {policy}"
        )
    axes.set_xlabel("load, % of slot time")
    axes.set_ylabel("p99 above service, ms")
    axes.set_yscale("log")
    axes.legend(fontsize=7)
    _save(figure, path)


def _scenario_section(root: Path, stem: str, result: Json) -> list[str]:
    rows = [
        [
            name,
            phase,
            stream["rate"],
            *(times["latency_ms"].get(key) for key in ("count", "p50", "p99", "p99_9")),
            *(times["above_service_ms"].get(key) for key in ("p50", "p99")),
        ]
        for name, stream in result["streams"].items()
        for phase, times in stream["phases"].items()
    ]
    headers = ["stream", "phase", "per s", "calls", "p50", "p99", "p99.9"]
    headers += ["above p50", "above p99"]
    table = tabulate(rows, headers=headers, tablefmt="github")
    facts = {
        "outcomes": {
            name: stream["outcomes"] for name, stream in result["streams"].items()
        },
        "events": result["events"],
        "checks": result["checks"],
        "usage": result["usage"],
        "backend servers": result["backends"],
    }
    lines = [f"- {name}: `{_compact(value)}`" for name, value in facts.items()]
    title = f"## {result['scenario']}, {result['deployment']}, {result['policy']}"
    _plot_seconds(root / f"{stem}.svg", result)
    return [
        title,
        "",
        table,
        "",
        *lines,
        f"- load average: {_machine(result)}",
        "",
        f"![p99 above service by second]({stem}.svg)",
        "",
    ]


def _plot_seconds(path: Path, result: Json) -> None:
    figure, axes = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    for name, stream in result["streams"].items():
        seconds = stream["p99_above_service_ms_by_second"]
        times = sorted(int(second) for second in seconds)
        axes.plot(times, [seconds[str(time)] for time in times], label=name)
    axes.set_xlabel("seconds since the start of the load")
    axes.set_ylabel("p99 above service, ms")
    axes.set_yscale("log")
    axes.legend(fontsize=7)
    _save(figure, path)


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    # Without date and with fixed ids, equal results give equal files.
    with mpl.rc_context({"svg.hashsalt": "banyanshelf"}):
        figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def _outcomes(stream: Json) -> str:
    return ", ".join(f"{name} {count}" for name, count in stream["outcomes"].items())


def _compact(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _commands(results: dict[str, Json]) -> list[str]:
    return [f"- `{stem}`: `{result['command']}`" for stem, result in results.items()]


if __name__ == "__main__":
    fire.Fire(write_report)
