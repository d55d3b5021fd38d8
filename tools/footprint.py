"""Measures how soon a gateway is ready and how much memory it uses.

    PYTHONPATH=platform python tools/footprint.py --starts 5

Starts one gateway process after the other beside a stand-in of the store, and sends
requests to each for some seconds. The bounds are those of the deployments: ready
within 1.5 s of the start of the process, under 60 MB. The peak includes the pages of
programs and libraries, which all processes of a machine share.
"""

import asyncio
import json
import tempfile
from pathlib import Path
from random import Random

import cyclopts
import usage
from absl import logging

from shallotspindle_environment.clock import SystemClock
from shallotspindle_soak.fleet import Fleet, Gateway

READY_BOUND_SECONDS = 1.5
MEMORY_BOUND_MEGABYTES = 60.0
UPSTREAMS = 8
CALLERS = 18
MEGABYTE = 1024 * 1024
app = cyclopts.App(name="footprint")


async def restart(fleet: Fleet, gateway: Gateway) -> float:
    """Start a gateway again; return the seconds until it was ready."""
    gateway.process.kill()
    await gateway.process.wait()
    started = fleet.clock.boottime()
    await fleet.start_gateway(gateway)
    if not await fleet.await_ready(gateway):
        raise SystemExit(f"{gateway.name} did not get ready, see {gateway.log}")
    return fleet.clock.boottime() - started


async def measure(starts: int, seconds: float, folder: Path) -> dict[str, object]:
    """Return the seconds and processor seconds of each start, and the largest peak."""
    fleet = Fleet(folder, SystemClock(), Random(1))
    try:
        await fleet.start(1, UPSTREAMS, CALLERS)
        (gateway,) = fleet.gateways
        ready, processor, peaks, private = [], [], [], []
        for _ in range(starts):
            ready.append(round(await restart(fleet, gateway), 3))
            processor.append(round(usage.read_cpu(gateway.process.pid), 3))
            await asyncio.sleep(seconds)
            pid = gateway.process.pid
            peaks.append(usage.read_peak(pid) / MEGABYTE)
            private.append(usage.read_private(pid) / MEGABYTE)
    finally:
        await fleet.stop()
    return {
        "ready_seconds": ready,
        "start_processor_seconds": processor,
        "peak_megabytes": round(max(peaks), 1),
        "private_megabytes": round(max(private), 1),
        "calls": len(fleet.history.calls),
        "within_bounds": max(ready) <= READY_BOUND_SECONDS
        and max(peaks) <= MEMORY_BOUND_MEGABYTES,
    }


@app.default
def run(*, starts: int = 5, seconds: float = 3.0) -> None:
    """Print the figures as JSON.

    :param seconds: time for requests after each start.
    """
    logging.set_verbosity(logging.WARNING)
    machine = usage.read_machine()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(measure(starts, seconds, Path(folder)))
    print(json.dumps(found | usage.describe_machine(machine), indent=2))


if __name__ == "__main__":
    app()
