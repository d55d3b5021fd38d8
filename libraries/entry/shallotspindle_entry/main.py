"""The proxy daemon: reads its settings and runs its tasks."""

import asyncio
import random
import signal
import socket
from pathlib import Path

import aiohttp
import aiomisc
import uvloop
from absl import logging
from aiomisc import Service
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from cyclopts import App

from shallotspindle_entry.administration import Administration
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.frontend import Frontend
from shallotspindle_platform.etcd import EtcdStore
from shallotspindle_settings.daemon import Address, EntrySettings, load_settings
from shallotspindle_telemetry import logs

EXIT_INVALID_SETTINGS = 2

app = App(name="shallotspindle-entry", help="Proxy daemon of the fleet.")


def bind(address: Address) -> socket.socket:
    """Return a listening socket; port 0 lets the kernel pick a port."""
    return socket.create_server((address.host, address.port), reuse_port=False)


def build_services(
    settings: EntrySettings, session: aiohttp.ClientSession
) -> list[Service]:
    """Create the tasks of the daemon in the order in which they start."""
    signers = {
        name: Ed25519PublicKey.from_public_bytes(bytes.fromhex(key))
        for name, key in settings.signers.items()
    }
    store = EtcdStore(session, settings.store_url)
    configuration = ConfigurationTask(store, signers)
    forwarder = Forwarder()
    callers = bind(settings.callers)
    administration = bind(settings.administration)
    logging.info(
        "listening: callers %s, administration %s",
        callers.getsockname()[1],
        administration.getsockname()[1],
    )
    return [
        configuration,
        forwarder,
        Frontend(configuration, forwarder, random.SystemRandom(), sock=callers),
        Administration(settings.name, configuration, sock=administration),
    ]


async def serve(settings: EntrySettings) -> None:
    """Run the daemon until the platform or an operator stops it."""
    stopped = asyncio.Event()
    async with aiohttp.ClientSession() as session:
        services = build_services(settings, session)
        async with aiomisc.entrypoint(*services, log_config=False):
            # Replaces the handlers of the entrypoint, which stop all tasks at once.
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, stopped.set)
            await stopped.wait()
            logging.info("the planned stop begins")


@app.default
def main(settings: Path) -> int:
    """Run one instance.

    :param settings: JSON file with the settings.
    """
    loaded = load_settings(settings)
    if loaded.is_error():
        for failure in loaded.error:
            print(failure)
        return EXIT_INVALID_SETTINGS
    logs.configure(loaded.ok.name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(loaded.ok))
    return 0


def run() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    run()
