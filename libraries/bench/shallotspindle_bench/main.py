"""The load and experiment tool."""

import asyncio
import json
from collections.abc import Coroutine
from dataclasses import asdict
from pathlib import Path
from typing import Any, TypeVar

import uvloop
from cyclopts import App
from expression import Result

from shallotspindle_bench import faults, plots, report, running, scenarios, targets
from shallotspindle_core.failures import Failure

EXIT_INVALID = 2
T = TypeVar("T")

app = App(name="shallotspindle-bench", help="Load and experiment tool.")


def unwrap(result: Result[T, tuple[Failure, ...]]) -> T:
    """Return the value, or print all failures and end the process."""
    if result.is_error():
        for failure in result.error:
            print(failure)
        raise SystemExit(EXIT_INVALID)
    return result.ok


def execute(work: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def write_files(folder: Path, files: dict[str, str]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in files.items():
        (folder / name).write_text(text)
    print(f"{folder / 'report.md'}")


def format_json(data: dict[str, Any]) -> str:
    return json.dumps(data, indent=1, sort_keys=True) + "\n"


@app.command
def validate(*paths: Path) -> int:
    """Check scenario files and print all their errors.

    :param paths: scenario files.
    """
    failed = False
    for path in paths:
        loaded = scenarios.load_scenario(path)
        failed |= loaded.is_error()
        for line in loaded.error if loaded.is_error() else [f"{path}: valid"]:
            print(line)
    return EXIT_INVALID if failed else 0


@app.command(name="run")
def run_load(
    scenario: Path,
    *,
    fleet: Path,
    output: Path,
    seed: int = 1,
    rate: float | None = None,
) -> None:
    """Send the load of a scenario to a fleet and write a report.

    :param scenario: scenario file.
    :param fleet: file with the addresses that tools/fleet.py printed.
    :param output: folder for result.json, report.md and plots.
    :param seed: number that the schedule is made from.
    :param rate: requests a second of all teams together, instead of the scenario's.
    """
    loaded = unwrap(scenarios.load_scenario(scenario))
    loaded = loaded.scale(rate) if rate else loaded
    target = unwrap(targets.load_target(fleet, "fleet"))
    unwrap(faults.check(loaded.faults, target))
    found = execute(running.run_scenario(loaded, target, seed))
    result = {**asdict(found.summary), "repeated": found.repeated}
    files = {
        "result.json": format_json(result),
        "report.md": report.format_report(result),
        "timeline.svg": plots.draw_timeline(result["timeline"]),
        "outcomes.svg": plots.draw_outcomes(result["teams"]),
    }
    write_files(output, files)


@app.command
def compare(
    scenario: Path,
    *,
    fleet: Path,
    other: Path | None = None,
    output: Path,
    seed: int = 1,
    rate: float | None = None,
) -> None:
    """Compare a fleet with its upstreams, or with another fleet, in one run.

    :param scenario: scenario file; its faults are not set.
    :param fleet: file with the addresses that tools/fleet.py printed.
    :param other: the same of a second fleet; without it requests go directly to
        the upstreams and through the fleet.
    :param output: folder for result.json and report.md.
    :param seed: number that the schedule is made from.
    :param rate: requests a second of all teams together, instead of the scenario's.
    """
    loaded = unwrap(scenarios.load_scenario(scenario))
    loaded = loaded.scale(rate) if rate else loaded
    target = unwrap(targets.load_target(fleet, "proxied" if other is None else "first"))
    if other is None:
        pair = (targets.build_direct(target), target)
    else:
        pair = (target, unwrap(targets.load_target(other, "second")))
    result = asdict(execute(running.run_comparison(loaded, pair, seed)))
    files = {
        "result.json": format_json(result),
        "report.md": report.format_comparison(result),
    }
    write_files(output, files)


def run() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    run()
