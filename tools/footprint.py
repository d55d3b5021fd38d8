"""Measures the startup time and the memory of a gateway.

    PYTHONPATH=platform python tools/footprint.py --starts 5

Starts gateway processes one after the other with a stand-in store and sends requests to
each for some seconds. The limits are those of the deployments: ready within 1.5 s after
the start of the process, and less than 60 MB of memory. The peak includes the pages of
programs and shared libraries, which all processes of a machine share.
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

MAX_READY_SECONDS = 1.5
MAX_MEMORY_MEGABYTES = 60.0
UPSTREAM_COUNT = 8
CALLER_COUNT = 18
MEGABYTE = 1024 * 1024
app = cyclopts.App(name="footprint")


async def restart(fleet: Fleet, gateway: Gateway) -> float:
    """Kill and restart a gateway; return the seconds until it was ready."""
    gateway.process.kill()
    await gateway.process.wait()
    started = fleet.clock.boottime()
    await fleet.start_gateway(gateway)
    if not await fleet.wait_until_ready(gateway):
        raise SystemExit(f"{gateway.name} did not become ready; see {gateway.log_path}")
    return fleet.clock.boottime() - started


async def measure(starts: int, seconds: float, folder: Path) -> dict[str, object]:
    """Measure the time and processor time of each start and the peak memory."""
    fleet = Fleet(folder, SystemClock(), Random(1))
    try:
        await fleet.start(1, UPSTREAM_COUNT, CALLER_COUNT)
        (gateway,) = fleet.gateways
        ready_times, cpu_times, peak_sizes, private_sizes = [], [], [], []
        for _ in range(starts):
            ready_times.append(round(await restart(fleet, gateway), 3))
            cpu_times.append(round(usage.read_cpu(gateway.process.pid), 3))
            await asyncio.sleep(seconds)
            pid = gateway.process.pid
            peak_sizes.append(usage.read_peak(pid) / MEGABYTE)
            private_sizes.append(usage.read_private(pid) / MEGABYTE)
    finally:
        await fleet.stop()
    return {
        "ready_seconds": ready_times,
        "start_processor_seconds": cpu_times,
        "peak_megabytes": round(max(peak_sizes), 1),
        "private_megabytes": round(max(private_sizes), 1),
        "calls": len(fleet.history.calls),
        "within_bounds": max(ready_times) <= MAX_READY_SECONDS
        and max(peak_sizes) <= MAX_MEMORY_MEGABYTES,
    }


@app.default
def run(*, starts: int = 5, seconds: float = 3.0) -> None:
    """Print the results as JSON.

    :param starts: number of measured starts.
    :param seconds: duration of the requests after each start.
    """
    logging.set_verbosity(logging.WARNING)
    machine_before = usage.read_machine()
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(measure(starts, seconds, Path(folder)))
    print(json.dumps(results | usage.describe_machine(machine_before), indent=2))


if __name__ == "__main__":
    app()
