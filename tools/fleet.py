"""Runs a fleet on loopback and prints its addresses as one line of JSON.

The fleet stops on SIGTERM, on SIGINT or when standard input closes. A daemon that exits
before that is started again on the same ports, as the platform does.
"""

import asyncio
import json
import signal
import sys
import tempfile
import threading
from pathlib import Path

import processes
import sizes
from cyclopts import App

from shallotspindle_bench import scenarios

app = App(name="fleet", help="Runs a fleet on loopback.")


def watch_input(loop: asyncio.AbstractEventLoop, stopped: asyncio.Event) -> None:
    """Set an event when standard input closes."""

    def wait_for_end() -> None:
        sys.stdin.buffer.read()
        loop.call_soon_threadsafe(stopped.set)

    threading.Thread(target=wait_for_end, daemon=True).start()


async def replace_when_exited(
    fleet: processes.Fleet, entry: processes.Entry, stopped: asyncio.Event
) -> None:
    """Start a replacement each time a daemon exits."""
    while True:
        await entry.process.wait()
        if stopped.is_set():
            return
        await fleet.replace_entry(entry)
        print(json.dumps({"replaced": entry.describe()}), flush=True)


def read_teams(path: Path) -> tuple[sizes.Team, ...]:
    """Return the teams of a scenario with their rates.

    :raises SystemExit: if the file is invalid; contains all errors.
    """
    loaded = scenarios.load_scenario(path)
    if loaded.is_error():
        sys.exit("\n".join(map(str, loaded.error)))
    return tuple(
        sizes.Team(team.name, team.key, team.rate or sizes.DEFAULT_RATE, team.burst)
        for team in loaded.ok.teams
    )


async def run(
    fleet: processes.Fleet, entries: int, live: int, slots: int, service_time: float
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    watch_input(loop, stopped)
    try:
        await fleet.start_standins(live, slots, service_time)
        await fleet.publish()
        for number in range(entries):
            await fleet.start_entry(number)
        replacement_tasks = [
            asyncio.create_task(replace_when_exited(fleet, entry, stopped))
            for entry in fleet.entries
        ]
        print(json.dumps(fleet.describe()), flush=True)
        await stopped.wait()
        for replacement_task in replacement_tasks:
            replacement_task.cancel()
    finally:
        await fleet.stop()


@app.default
def main(
    *,
    entries: int = 3,
    teams: int = 8,
    routes: int = 2,
    services: str = "catalogue=20,photos=6",
    live: int = 26,
    slots: int = 2,
    service_time: float = 0.002,
    rate: float = sizes.DEFAULT_RATE,
    scenario: Path | None = None,
) -> None:
    """Start stand-ins and daemons, publish a bundle and print the addresses.

    :param entries: number of daemons.
    :param teams: number of teams; they are named ``team-1`` and so on and have the keys
        ``key-team-1`` and so on.
    :param routes: number of routes; the first route of each service is ``/SERVICE``.
    :param services: services with their numbers of upstreams.
    :param live: number of upstreams that run; nothing listens on the addresses of the
        others.
    :param slots: number of requests that an upstream runs concurrently.
    :param service_time: processing time of a request in an upstream, in seconds.
    :param rate: rate and burst of each team, in requests per second.
    :param scenario: scenario file whose teams, keys, rates and bursts replace ``teams``
        and ``rate``.
    """
    scenario_teams = read_teams(scenario) if scenario else ()
    size = sizes.Size(
        teams, routes, sizes.parse_services(services), rate, scenario_teams
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        asyncio.run(run(fleet, entries, live, slots, service_time))


if __name__ == "__main__":
    app()
