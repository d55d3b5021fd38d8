"""Runs the stand-ins for the platform and for upstreams in one process."""

import asyncio
import json
import signal

import uvloop
from aiohttp import web
from cyclopts import App

from shallotspindle_environment.clock import SystemClock
from shallotspindle_standins.listing import InstanceListStandin
from shallotspindle_standins.store import StoreStandin
from shallotspindle_standins.upstreams import UpstreamStandin

app = App(name="shallotspindle-standins", help="Stand-ins for tests and the demo.")


async def serve_application(application: web.Application) -> int:
    """Serve an application on a port chosen by the kernel; return the port."""
    # A request is cancelled when its caller closes the connection.
    runner = web.AppRunner(application, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner.addresses[0][1]


async def start_standins(
    upstreams: list[str], slots: int = 2, service_time: float = 0.0
) -> dict[str, int]:
    """Start the stand-ins and return their ports by name."""
    ports = {
        "store": await serve_application(
            StoreStandin(SystemClock()).build_application()
        ),
        "list": await serve_application(
            InstanceListStandin(SystemClock()).build_application()
        ),
    }
    for name in upstreams:
        standin = UpstreamStandin(name, slots, service_time)
        ports[name] = await serve_application(standin.build_application())
    return ports


async def run_standins(upstreams: list[str], slots: int, service_time: float) -> None:
    """Run the stand-ins until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    print(json.dumps(await start_standins(upstreams, slots, service_time)), flush=True)
    await stop_requested.wait()


@app.default
def main(*upstreams: str, slots: int = 2, service_time: float = 0.0) -> None:
    """Start a store, an instance list and upstreams; print their ports as JSON.

    :param upstreams: names of the upstreams.
    :param slots: maximum number of concurrent requests of each upstream.
    :param service_time: service time of each request, in seconds.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_standins(list(upstreams), slots, service_time))


def run() -> None:
    """Run the console script."""
    app()


if __name__ == "__main__":
    run()
