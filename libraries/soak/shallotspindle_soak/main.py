"""Command line of the soak: plays seeds and prints what broke."""

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
from shallotspindle_soak.faults import Event
from shallotspindle_soak.fleet import PROGRAM, Fleet
from shallotspindle_soak.injection import Injection
from shallotspindle_soak.promises import Broken
from shallotspindle_soak.records import History
from shallotspindle_soak.regressions import REGRESSIONS, Regression
from shallotspindle_soak.watching import Watch

GATEWAYS = 4
UPSTREAMS = 8
CALLERS = 18
SETTLE_SECONDS = 2.5
# Leaves time in which a request that gets no answer becomes overdue.
RECOVERED_SECONDS = 2 * promises.OVERDUE_SECONDS
EXIT_BROKEN = 1
MEGABYTE = 1024**2
app = cyclopts.App(name="shallotspindle-soak", help=__doc__)


async def play(
    events: list[Event],
    seed: int,
    folder: Path,
    clock: Clock,
    program: tuple[str, ...] = (PROGRAM,),
    rest: float = promises.RECOVERY_SECONDS + RECOVERED_SECONDS,
) -> History:
    """Play faults against a new fleet and return its history.

    :param rest: time for requests after the last fault, in seconds.
    """
    fleet = Fleet(folder, clock, Random(seed), program)
    try:
        await fleet.start(GATEWAYS, UPSTREAMS, CALLERS)
        await fleet.start_special_callers()
        watch = asyncio.create_task(Watch(fleet).run())
        await asyncio.sleep(SETTLE_SECONDS)
        await Injection(fleet).play(events)
        await asyncio.sleep(rest)
        await fleet.stop_callers()
        watch.cancel()
    finally:
        await fleet.stop()
    return fleet.history


def describe(seed: int, history: History, broken: list[Broken], folder: Path) -> str:
    """Return one line on a seed."""
    statuses: dict[str, int] = {}
    for call in history.calls:
        statuses[str(call.status)] = statuses.get(str(call.status), 0) + 1
    stalls = [span.end - span.start for span in history.stalls]
    late = [s.end - s.start for s in history.stalls if s.end > history.quiet_from]
    starved = {
        name: round(sum(span.end - span.start for span in spans), 1)
        for name, spans in sorted(history.starved.items())
    }
    line = {
        "seed": seed,
        "calls": len(history.calls),
        "runs": len(history.runs),
        "statuses": dict(sorted(statuses.items())),
        "stops": sum(map(len, history.stopped.values())),
        "peak_megabytes": max(history.memory.values(), default=0) // MEGABYTE,
        "stall_seconds": round(sum(stalls), 1),
        "stall_seconds_after_faults": round(sum(late), 1),
        "starved_seconds": starved,
        "broken": [[b.promise, b.request_id, b.detail] for b in broken[:10]],
        "logs": str(folder) if broken else "",
    }
    return json.dumps(line)


@app.default
def run(
    seeds: list[int] | None = None,
    *,
    seconds: Annotated[float, cyclopts.Parameter(help="time for faults")] = 15.0,
    gap: Annotated[float, cyclopts.Parameter(help="mean seconds between two")] = 0.7,
) -> int:
    """Play seeds one after the other; exit with 1 if a promise broke.

    Without seeds those that ever failed are played.
    """
    logging.set_verbosity(logging.WARNING)
    failed = 0
    cases = [Regression(seed, "") for seed in seeds or ()] or REGRESSIONS
    for seed, without in ((case.seed, case.without) for case in cases):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        events = faults.draw(seed, seconds, gap, without)
        history = asyncio.run(play(events, seed, folder, SystemClock()))
        broken = promises.check_all(history)
        failed += bool(broken)
        print(describe(seed, history, broken, folder), flush=True)
    return EXIT_BROKEN if failed else 0


def main() -> None:
    """Run the command."""
    sys.exit(app())


if __name__ == "__main__":
    main()
