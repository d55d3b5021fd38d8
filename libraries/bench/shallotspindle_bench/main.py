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


def unwrap_or_exit(result: Result[T, tuple[Failure, ...]]) -> T:
    """Return the value, or print all failures and exit with ``EXIT_INVALID``."""
    if result.is_error():
        for failure in result.error:
            print(failure)
        raise SystemExit(EXIT_INVALID)
    return result.ok


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


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
    has_failures = False
    for path in paths:
        loaded = scenarios.load_scenario(path)
        has_failures |= loaded.is_error()
        for message in loaded.error if loaded.is_error() else [f"{path}: valid"]:
            print(message)
    return EXIT_INVALID if has_failures else 0


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
    :param seed: seed of the request schedule.
    :param rate: total requests per second of all teams, instead of the scenario's.
    """
    loaded = unwrap_or_exit(scenarios.load_scenario(scenario))
    loaded = loaded.scale(rate) if rate else loaded
    target = unwrap_or_exit(targets.load_target(fleet, "fleet"))
    unwrap_or_exit(faults.check(loaded.faults, target))
    run_result = run_coroutine(running.run_scenario(loaded, target, seed))
    result = {**asdict(run_result.summary), "repeated": run_result.repeated_count}
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

    :param scenario: scenario file; its faults are not applied.
    :param fleet: file with the addresses that tools/fleet.py printed.
    :param other: file with the addresses of a second fleet; without it, requests are
        sent both directly to the upstreams and through the fleet.
    :param output: folder for result.json and report.md.
    :param seed: seed of the request schedule.
    :param rate: total requests per second of all teams, instead of the scenario's.
    """
    loaded = unwrap_or_exit(scenarios.load_scenario(scenario))
    loaded = loaded.scale(rate) if rate else loaded
    target = unwrap_or_exit(
        targets.load_target(fleet, "proxied" if other is None else "first")
    )
    if other is None:
        target_pair = (targets.build_direct(target), target)
    else:
        target_pair = (target, unwrap_or_exit(targets.load_target(other, "second")))
    result = asdict(run_coroutine(running.run_comparison(loaded, target_pair, seed)))
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
