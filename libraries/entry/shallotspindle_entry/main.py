"""Command line of the proxy daemon: reads the settings and runs one instance."""

import asyncio
import sys
from contextlib import closing
from pathlib import Path

import uvloop
from cyclopts import App

from shallotspindle_entry import store_connections
from shallotspindle_entry.daemon import Daemon
from shallotspindle_settings.daemon import EntrySettings, load_settings
from shallotspindle_telemetry import logs

EXIT_INVALID_SETTINGS = 2

app = App(name="shallotspindle-entry", help="Proxy daemon of the fleet.")


async def serve(settings: EntrySettings) -> None:
    """Run one instance until its graceful shutdown ends."""
    async with store_connections.open_store_session() as session:
        await Daemon(settings, session).run()


@app.default
def main(settings: Path) -> int:
    """Run one instance.

    :param settings: JSON file with the settings.
    """
    loaded = load_settings(settings)
    if loaded.is_error():
        for failure in loaded.error:
            print(failure, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    with (
        closing(logs.configure(loaded.ok.name)),
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(serve(loaded.ok))
    return 0


def run() -> None:
    """Run the command line; entry point of the console script."""
    app()


if __name__ == "__main__":
    run()
