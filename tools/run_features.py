"""Runs every behave feature and prints the totals as the last line.

Feature files run in parallel, one behave process each, with a fixed seed for Hypothesis
and for hashing. Those tagged ``@alone`` run after them, one at a time, as they measure
what a process uses. Scenarios tagged ``@known_red`` are left out and printed; each must
be listed in KNOWN-RED.txt.

Example:
    ``python tools/run_features.py features/core`` runs the features below one folder.

"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

PARALLEL_FEATURES = 4
FEATURE_TIMEOUT_S = 300
KNOWN_RED_TAG = "known_red"
ALONE_LINE = "@alone\n"


class FeatureResult(NamedTuple):
    """Counts of one feature file and the runner's output."""

    path: Path
    passed: int
    failed: int
    known_red: list[str]
    output: str


def run_feature(path: Path) -> FeatureResult:
    """Run one feature file in a behave process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--no-color",
            "--format=json",
            f"--outfile={report}",
            "--format=progress3",
            "--outfile=-",
            f"--tags=not @{KNOWN_RED_TAG}",
            str(path),
        ]
        try:
            process = subprocess.run(
                command,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
                env=os.environ | {"PYTHONHASHSEED": "0"},
                check=False,
            )
            output = process.stdout + process.stderr
            exit_code = process.returncode
        except subprocess.TimeoutExpired as error:
            output = f"{error}\n"
            exit_code = 1
        return summarize(path, report, exit_code, output)


def summarize(path: Path, report: Path, exit_code: int, output: str) -> FeatureResult:
    """Count the scenarios of a report.

    A missing or failed report counts as a failure.
    """
    passed = failed = 0
    known_red: list[str] = []
    features = json.loads(report.read_text() or "[]") if report.exists() else []
    for feature in features:
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            if KNOWN_RED_TAG in scenario.get("tags", []) + feature.get("tags", []):
                known_red.append(scenario["name"])
            elif scenario.get("status") == "passed":
                passed += 1
            else:
                failed += 1
    if failed == 0 and (exit_code != 0 or (passed == 0 and not known_red)):
        failed = 1
    return FeatureResult(path, passed, failed, known_red, output)


def main(arguments: list[str]) -> int:
    """Run the features below the given paths; return 0 if none failed."""
    roots = [Path(argument) for argument in arguments] or [Path("features")]
    paths = sorted(
        path
        for root in roots
        for path in ([root] if root.is_file() else root.rglob("*.feature"))
    )
    alone = [path for path in paths if path.read_text().startswith(ALONE_LINE)]
    with ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        results = list(pool.map(run_feature, [x for x in paths if x not in alone]))
    results += [run_feature(path) for path in alone]
    known_red_page = Path("KNOWN-RED.txt")
    listed = known_red_page.read_text() if known_red_page.exists() else ""
    unlisted = 0
    for result in results:
        verdict = "ok" if result.failed == 0 else "FAILED"
        print(f"{verdict:6} {result.path}: {result.passed} passed")
        if result.failed:
            print(result.output)
        for name in result.known_red:
            print(f"known red, not run: {name}")
            if name not in listed:
                print(f"  not listed in {known_red_page}")
                unlisted += 1
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results) + unlisted
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
