"""Runs a fleet on loopback and prints its addresses as one line of JSON.

It stops everything on SIGTERM, on SIGINT or when its standard input closes. A daemon
that ends before that is started again on its ports, as the platform does.
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
    """Set an event when standard input ends."""

    def read() -> None:
        sys.stdin.buffer.read()
        loop.call_soon_threadsafe(stopped.set)

    threading.Thread(target=read, daemon=True).start()


async def keep(
    fleet: processes.Fleet, entry: processes.Entry, stopped: asyncio.Event
) -> None:
    """Replace a daemon each time that it ends."""
    while True:
        await entry.process.wait()
        if stopped.is_set():
            return
        await fleet.replace_entry(entry)
        print(json.dumps({"replaced": entry.describe()}), flush=True)


def read_teams(path: Path) -> tuple[sizes.Team, ...]:
    """Return the teams of a scenario, with the rates that it states.

    :raises SystemExit: with all failures of the file.
    """
    loaded = scenarios.load_scenario(path)
    if loaded.is_error():
        sys.exit("\n".join(map(str, loaded.error)))
    return tuple(
        sizes.Team(team.name, team.key, team.rate or sizes.RATE, team.burst)
        for team in loaded.ok.teams
    )


async def run(
    fleet: processes.Fleet, entries: int, live: int, slots: int, service_time: float
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    watch_input(loop, stopped)
    try:
        await fleet.start_standins(live, slots, service_time)
        await fleet.publish()
        for number in range(entries):
            await fleet.start_entry(number)
        keepers = [
            asyncio.create_task(keep(fleet, entry, stopped)) for entry in fleet.entries
        ]
        print(json.dumps(fleet.describe()), flush=True)
        await stopped.wait()
        for keeper in keepers:
            keeper.cancel()
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
    rate: float = sizes.RATE,
    scenario: Path | None = None,
) -> None:
    """Start stand-ins and daemons, publish a bundle and print the addresses.

    :param entries: daemons.
    :param teams: teams ``team-1`` and so on, with the keys ``key-team-1`` and so on.
    :param routes: routes; the first of each service is ``/SERVICE``.
    :param services: services with their numbers of upstreams.
    :param live: upstreams that run; the others have addresses where nothing listens.
    :param slots: requests that an upstream runs at the same time.
    :param service_time: time of a request in an upstream, in seconds.
    :param rate: rate and burst of each team, in requests a second.
    :param scenario: scenario file whose teams, keys, rates and bursts are used instead
        of ``teams`` and ``rate``.
    """
    named = read_teams(scenario) if scenario else ()
    size = sizes.Size(teams, routes, sizes.parse_services(services), rate, named)
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        asyncio.run(run(fleet, entries, live, slots, service_time))


if __name__ == "__main__":
    app()
