"""Measures what one daemon adds to requests, and what connections cost it.

It writes ``measurements/daemon.json``. All load goes to loopback, and each part has a
fixed length.
"""

import asyncio
import json
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import processes
import sizes
import usage
import uvloop
from cyclopts import App

from shallotspindle_bench import client, running, scenarios, targets

ROOT = Path(__file__).parents[1]
SCENARIO = ROOT / "libraries/bench/scenarios/steady.json"
TARGET_MILLISECONDS = 4.6
# The rate of the target is always measured, also when a lower one is too high.
TARGET_RATE = 260
RATES = (50, 150, TARGET_RATE, 400, 600, 800)
IDLE_CONNECTIONS = 500
STREAMS = 20
POLL_SECONDS = 0.1
STREAM_SECONDS = 3.0
UPLOAD_BYTES = 200_000_000
HEADERS = {"Authorization": "Bearer key-team-1"}

app = App(name="daemon-cost")


@asynccontextmanager
async def run_fleet() -> AsyncIterator[processes.Fleet]:
    """Yield a fleet of one daemon and 20 upstreams."""
    size = sizes.Size(8, 1, (("catalogue", 20),))
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        try:
            await fleet.start_standins(20, 2, 0.002)
            await fleet.publish()
            entry = await fleet.start_entry(0)
            # New buckets start empty; a refused request would measure nothing.
            while await processes.ask_status(entry.callers, "key-team-1") != 200:
                await asyncio.sleep(POLL_SECONDS)
            yield fleet
        finally:
            await fleet.stop()


def load_steady(duration: float, block: float) -> scenarios.Scenario:
    found = scenarios.load_scenario(SCENARIO).ok
    return found.model_copy(update={"duration": duration, "block": block})


async def measure_latency(
    fleet: processes.Fleet, rate: float, duration: float, seed: int
) -> dict:
    """Compare direct and proxied requests at a rate."""
    scenario = load_steady(duration, duration / 4).scale(rate)
    target = targets.Target.model_validate(fleet.describe())
    proxied = target.model_copy(update={"name": "proxied"})
    pid = fleet.entries[0].process.pid
    before = usage.read(pid)
    machine = usage.read_machine()
    pair = (targets.build_direct(target), proxied)
    found = await running.run_comparison(scenario, pair, seed)
    used = usage.read(pid).cpu - before.cpu
    sent = sum(block.sent for block in found.blocks)
    complete = sum(block.complete for block in found.blocks)
    # The warm-up also went through the daemon, at the same rate.
    requests = rate * (duration + min(duration, scenario.warmup))
    return {
        "rate": rate,
        "machine": usage.describe_machine(machine),
        "blocks": len(found.blocks) // 2,
        "sent": sent,
        "complete": complete,
        "p50": found.p50,
        "p99": found.p99,
        "p50_added": found.p50_added,
        "p99_added": found.p99_added,
        "cpu_ms_per_request": round(1000 * used / requests, 3),
    }


async def measure_rates(fleet: processes.Fleet, duration: float, seed: int) -> list:
    """Raise the rate until the added 99th percentile exceeds the target."""
    found = []
    for rate in RATES:
        found.append(await measure_latency(fleet, rate, duration, seed))
        print(json.dumps(found[-1]), flush=True)
        exceeded = found[-1]["p99_added"] > TARGET_MILLISECONDS
        if exceeded and rate >= TARGET_RATE:
            break
    return found


async def settle(pid: int) -> int:
    """Return the resident memory after a second without load, in bytes."""
    await asyncio.sleep(1)
    return usage.read(pid).rss


async def measure_idle(fleet: processes.Fleet) -> dict:
    """Measure the memory of connections that have had one request each.

    The requests are sent at once, so that each opens a connection. The connections to
    upstreams that they open in the daemon are part of the figure.
    """
    entry = fleet.entries[0]
    url = f"http://127.0.0.1:{entry.callers}/catalogue/idle"
    before = await settle(entry.process.pid)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def hold(_: int) -> None:
            async with session.get(url, headers=HEADERS) as response:
                await response.read()

        pending = [asyncio.create_task(hold(n)) for n in range(IDLE_CONNECTIONS)]
        await asyncio.gather(*pending)
        after = await settle(entry.process.pid)
        connections = count_connections(entry.process.pid, entry.callers)
    return {
        "connections": connections,
        "bytes_each": round((after - before) / max(1, connections)),
    }


def count_connections(pid: int, port: int) -> int:
    """Return the established connections to a port of a process."""
    suffix = f":{port:04X}"
    lines = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    fields = (line.split() for line in lines)
    return sum(item[1].endswith(suffix) and item[3] == "01" for item in fields)


async def stream(
    session: aiohttp.ClientSession, url: str, stopped: asyncio.Event
) -> None:
    async def generate() -> AsyncIterator[bytes]:
        while not stopped.is_set():
            yield client.CHUNK

    async with session.post(url, data=generate(), headers=HEADERS) as response:
        await response.read()


async def measure_streams(fleet: processes.Fleet) -> dict:
    """Measure the highest memory while uploads run side by side."""
    entry = fleet.entries[0]
    pid = entry.process.pid
    url = f"http://127.0.0.1:{entry.callers}/catalogue/stream"
    before = await settle(pid)
    usage.reset_peak(pid)
    stopped = asyncio.Event()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        running = [
            asyncio.create_task(stream(session, url, stopped)) for _ in range(STREAMS)
        ]
        await asyncio.sleep(STREAM_SECONDS)
        stopped.set()
        await asyncio.gather(*running)
    peak = usage.read_peak(pid) - before
    return {"streams": STREAMS, "bytes_each": round(peak / STREAMS)}


async def measure_upload(fleet: processes.Fleet) -> dict:
    """Send one large upload and measure the daemon's memory on top of the idle one."""
    entry = fleet.entries[0]
    pid = entry.process.pid
    before = await settle(pid)
    usage.reset_peak(pid)
    transferred = usage.read_transferred(pid)
    url = f"http://127.0.0.1:{entry.callers}/catalogue/upload"
    async with (
        aiohttp.ClientSession() as session,
        session.put(
            url, data=client.generate_body(UPLOAD_BYTES), headers=HEADERS
        ) as response,
    ):
        text = await response.text()
    return {
        "bytes": UPLOAD_BYTES,
        "status": response.status,
        "upstream_received": int(text.split()[-1]) if response.status == 200 else 0,
        "added_peak_bytes": usage.read_peak(pid) - before,
        "transferred_bytes": usage.read_transferred(pid) - transferred,
    }


async def measure(duration: float, seed: int, rates: list | None) -> dict:
    async with run_fleet() as fleet:
        pid = fleet.entries[0].process.pid
        found = {"rss_at_start": usage.read(pid).rss}
        found["upload"] = await measure_upload(fleet)
        found["streams"] = await measure_streams(fleet)
        found["idle"] = await measure_idle(fleet)
        print(json.dumps(found), flush=True)
        found["rates"] = rates or await measure_rates(fleet, duration, seed)
        return found


@app.default
def main(
    *,
    duration: float = 40.0,
    seed: int = 1,
    output: Path = ROOT / "measurements/daemon.json",
    keep_rates: bool = False,
) -> None:
    """Measure one daemon and write the figures.

    :param duration: length of the load at each rate and target, in seconds.
    :param seed: number that the schedules are made from.
    :param output: JSON file.
    :param keep_rates: measure memory only and keep the rates of the file; give the
        same duration and seed.
    """
    rates = json.loads(output.read_text())["rates"] if keep_rates else None
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(measure(duration, seed, rates))
    command = f"python tools/daemon_cost.py --duration {duration:g} --seed {seed}"
    data = {"command": command, "seed": seed, **found}
    output.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    app()
