"""Runs the stand-ins of the platform and of upstreams as one process."""

import asyncio
import json
import signal

import uvloop
from aiohttp import web
from cyclopts import App

from shallotspindle_environment.clock import SystemClock
from shallotspindle_standins.listing import ListStandin
from shallotspindle_standins.store import StoreStandin
from shallotspindle_standins.upstreams import UpstreamStandin

app = App(name="shallotspindle-standins", help="Stand-ins for tests and the demo.")


async def listen(application: web.Application) -> int:
    """Serve an application on a port that the kernel picks and return the port."""
    # A caller that closes its connection cancels its request.
    runner = web.AppRunner(application, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner.addresses[0][1]


async def start(
    upstreams: list[str], slots: int = 2, service_time: float = 0.0
) -> dict[str, int]:
    """Start the stand-ins and return their ports by name."""
    ports = {
        "store": await listen(StoreStandin(SystemClock()).build_application()),
        "list": await listen(ListStandin(SystemClock()).build_application()),
    }
    for name in upstreams:
        standin = UpstreamStandin(name, slots, service_time)
        ports[name] = await listen(standin.build_application())
    return ports


async def serve(upstreams: list[str], slots: int, service_time: float) -> None:
    """Run the stand-ins until the process is stopped."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(json.dumps(await start(upstreams, slots, service_time)), flush=True)
    await stopped.wait()


@app.default
def main(*upstreams: str, slots: int = 2, service_time: float = 0.0) -> None:
    """Start a store, an instance list and upstreams; print their ports as JSON.

    :param upstreams: names of the upstreams.
    :param slots: requests that an upstream runs at the same time.
    :param service_time: time for each request, in seconds.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(list(upstreams), slots, service_time))


def run() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    run()
