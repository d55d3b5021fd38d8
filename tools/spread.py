"""Measures how long a change takes until it is in force on every daemon.

The time runs from the end of the operators' command, which ends after the acceptance,
so that up to a second of the command's own end is not counted. A withdrawal is handed
to one daemon while the store is away. Results go to ``measurements/spread.json``.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path

import processes
import sizes
import uvloop
from cyclopts import App

OUTPUT = Path(__file__).parents[1] / "measurements/spread.json"
POLL_SECONDS = 0.02

app = App(name="spread", help="Measures how long changes take to spread.")


async def await_bundle(fleet: processes.Fleet, version: int) -> float:
    """Wait until all daemons have a version in force; return the seconds."""
    started = time.perf_counter()
    waiting = list(fleet.entries)
    while waiting:
        places = [f"{entry.administration}/state" for entry in waiting]
        states = await asyncio.gather(*(fleet.call("GET", p) for p in places))
        pairs = zip(waiting, states, strict=True)
        waiting = [entry for entry, state in pairs if state["bundle"] < version]
        if waiting:
            await asyncio.sleep(POLL_SECONDS)
    return time.perf_counter() - started


async def await_refusals(fleet: processes.Fleet, key: str) -> float:
    """Wait until all daemons refuse a key; return the seconds."""
    started = time.perf_counter()
    waiting = list(fleet.entries)
    while waiting:
        asked = await asyncio.gather(
            *(processes.ask_status(entry.callers, key) for entry in waiting)
        )
        pairs = zip(waiting, asked, strict=True)
        waiting = [entry for entry, status in pairs if status != 401]
        if waiting:
            await asyncio.sleep(POLL_SECONDS)
    return time.perf_counter() - started


async def measure(entries: int, changes: int, teams: int) -> dict:
    size = sizes.Size(teams, 1, (("catalogue", 20),))
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        try:
            await fleet.start_standins(20, 2, 0.002)
            await fleet.publish()
            await fleet.start_entries(entries)
            seconds = []
            for _ in range(changes):
                await fleet.publish()
                seconds.append(round(await await_bundle(fleet, fleet.version), 3))
            await fleet.set_store_faults(down=True)
            await fleet.withdraw("key-team-1", fleet.entries[0])
            refused = round(await await_refusals(fleet, "key-team-1"), 3)
        finally:
            await fleet.kill()
    return {
        "daemons": entries,
        "teams": teams,
        "bundle_seconds": seconds,
        "withdrawal_seconds_store_away": refused,
    }


@app.default
def main(*, entries: int = 16, changes: int = 5, teams: int = 100) -> None:
    """Measure and write the results.

    :param entries: daemons.
    :param changes: bundles to publish, each with one changed team.
    :param teams: teams of the bundle.
    """
    found = uvloop.run(measure(entries, changes, teams))
    text = json.dumps(found, indent=2)
    OUTPUT.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    app()
