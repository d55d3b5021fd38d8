"""Command line of the soak test: runs seeds and prints violated promises."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Annotated

import cyclopts
from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_environment.clock import SystemClock
from shallotspindle_soak import faults, promises
from shallotspindle_soak.faults import FaultEvent
from shallotspindle_soak.fleet import PROGRAM, Fleet
from shallotspindle_soak.injection import FaultInjector
from shallotspindle_soak.process_monitor import ProcessMonitor
from shallotspindle_soak.promises import Violation
from shallotspindle_soak.records import History
from shallotspindle_soak.regressions import REGRESSIONS, Regression

GATEWAY_COUNT = 4
UPSTREAM_COUNT = 8
CALLER_COUNT = 18
WARM_UP_SECONDS = 2.5
# Long enough for a request without a response to become overdue.
RECOVERY_CHECK_SECONDS = 2 * promises.RESPONSE_OVERDUE_SECONDS
EXIT_VIOLATIONS = 1
MEGABYTE = 1024**2
app = cyclopts.App(name="shallotspindle-soak", help=__doc__)


async def run_soak(
    events: list[FaultEvent],
    seed: int,
    folder: Path,
    clock: Clock,
    program: tuple[str, ...] = (PROGRAM,),
    cooldown_seconds: float = promises.RECOVERY_SECONDS + RECOVERY_CHECK_SECONDS,
) -> History:
    """Inject faults into a new fleet and return its history.

    :param folder: receives the settings and logs of the gateways.
    :param program: module that a gateway process runs, with its arguments.
    :param cooldown_seconds: how long requests go on after the last fault.
    """
    fleet = Fleet(folder, clock, Random(seed), program)
    try:
        await fleet.start(GATEWAY_COUNT, UPSTREAM_COUNT, CALLER_COUNT)
        await fleet.start_special_callers()
        monitor = asyncio.create_task(ProcessMonitor(fleet).run())
        await asyncio.sleep(WARM_UP_SECONDS)
        await FaultInjector(fleet).run(events)
        await asyncio.sleep(cooldown_seconds)
        await fleet.stop_callers()
        monitor.cancel()
    finally:
        await fleet.stop()
    return fleet.history


def format_report(
    seed: int, history: History, violations: list[Violation], folder: Path
) -> str:
    """Return the result of one seed as a line of JSON."""
    statuses: dict[str, int] = {}
    for call in history.calls:
        statuses[str(call.status)] = statuses.get(str(call.status), 0) + 1
    stalls = [interval.end - interval.start for interval in history.stalls]
    stalls_after_faults = [
        s.end - s.start for s in history.stalls if s.end > history.faults_ended_at
    ]
    starved_seconds = {
        name: round(sum(interval.end - interval.start for interval in intervals), 1)
        for name, intervals in sorted(history.cpu_starvation.items())
    }
    report = {
        "seed": seed,
        "calls": len(history.calls),
        "runs": len(history.executions),
        "statuses": dict(sorted(statuses.items())),
        "stops": sum(map(len, history.shutdowns.values())),
        "peak_megabytes": max(history.peak_memory_bytes.values(), default=0)
        // MEGABYTE,
        "stall_seconds": round(sum(stalls), 1),
        "stall_seconds_after_faults": round(sum(stalls_after_faults), 1),
        "starved_seconds": starved_seconds,
        "broken": [[b.promise, b.request_id, b.detail] for b in violations[:10]],
        "logs": str(folder) if violations else "",
    }
    return json.dumps(report)


@app.default
def run(
    seeds: list[int] | None = None,
    *,
    seconds: Annotated[
        float, cyclopts.Parameter(help="seconds in which faults begin")
    ] = 15.0,
    gap: Annotated[float, cyclopts.Parameter(help="mean seconds between faults")] = 0.7,
) -> int:
    """Run seeds one after the other; exit with 1 if a promise was violated.

    Without seeds, all seeds that ever failed are run.
    """
    logging.set_verbosity(logging.WARNING)
    failed_count = 0
    cases = [Regression(seed, "") for seed in seeds or ()] or REGRESSIONS
    for seed, excluded_faults in ((case.seed, case.excluded_faults) for case in cases):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        events = faults.draw_events(seed, seconds, gap, excluded_faults)
        history = asyncio.run(run_soak(events, seed, folder, SystemClock()))
        violations = promises.check_all(history)
        failed_count += bool(violations)
        print(format_report(seed, history, violations, folder), flush=True)
    return EXIT_VIOLATIONS if failed_count else 0


def main() -> None:
    """Run the command."""
    sys.exit(app())


if __name__ == "__main__":
    main()
