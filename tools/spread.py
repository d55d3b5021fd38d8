"""Measures how long a change takes until it is active on every daemon.

The measurement starts when the operators' command has exited. The command exits up to a
second after the bundle was accepted, and this second is not counted. A withdrawal is
sent to one daemon during a store outage. The results are written to
``measurements/spread.json``.
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
POLL_INTERVAL_SECONDS = 0.02

app = App(name="spread", help="Measures how long changes take to spread.")


async def wait_for_bundle(fleet: processes.Fleet, version: int) -> float:
    """Wait until a version is active on all daemons; return the seconds."""
    started = time.perf_counter()
    pending = list(fleet.entries)
    while pending:
        state_paths = [f"{entry.administration}/state" for entry in pending]
        states = await asyncio.gather(*(fleet.call("GET", p) for p in state_paths))
        pairs = zip(pending, states, strict=True)
        pending = [entry for entry, state in pairs if state["bundle"] < version]
        if pending:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return time.perf_counter() - started


async def wait_for_rejections(fleet: processes.Fleet, key: str) -> float:
    """Wait until all daemons reject a key; return the seconds."""
    started = time.perf_counter()
    pending = list(fleet.entries)
    while pending:
        statuses = await asyncio.gather(
            *(processes.ask_status(entry.callers, key) for entry in pending)
        )
        pairs = zip(pending, statuses, strict=True)
        pending = [entry for entry, status in pairs if status != 401]
        if pending:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return time.perf_counter() - started


async def measure(entries: int, changes: int, teams: int) -> dict:
    size = sizes.Size(teams, 1, (("catalogue", 20),))
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        try:
            await fleet.start_standins(20, 2, 0.002)
            await fleet.publish()
            await fleet.start_entries(entries)
            bundle_seconds = []
            for _ in range(changes):
                await fleet.publish()
                bundle_seconds.append(
                    round(await wait_for_bundle(fleet, fleet.version), 3)
                )
            await fleet.set_store_faults(down=True)
            await fleet.withdraw("key-team-1", fleet.entries[0])
            withdrawal_seconds = round(
                await wait_for_rejections(fleet, "key-team-1"), 3
            )
        finally:
            await fleet.kill()
    return {
        "daemons": entries,
        "teams": teams,
        "bundle_seconds": bundle_seconds,
        "withdrawal_seconds_store_away": withdrawal_seconds,
    }


@app.default
def main(*, entries: int = 16, changes: int = 5, teams: int = 100) -> None:
    """Measure and write the results.

    :param entries: number of daemons.
    :param changes: number of bundles to publish; each changes one team.
    :param teams: number of teams in the bundle.
    """
    results = uvloop.run(measure(entries, changes, teams))
    text = json.dumps(results, indent=2)
    OUTPUT.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    app()
