"""Measures the latency that one daemon adds and the memory that connections use.

The results are written to ``measurements/daemon.json``. All requests use the loopback
interface, and each measurement has a fixed length.
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
MAX_ADDED_P99_MILLISECONDS = 4.6
# Always measured, even if a lower rate already exceeds the latency limit.
TARGET_RATE = 260
RATES = (50, 150, TARGET_RATE, 400, 600, 800)
IDLE_CONNECTION_COUNT = 500
STREAM_COUNT = 20
POLL_INTERVAL_SECONDS = 0.1
STREAM_SECONDS = 3.0
UPLOAD_BYTES = 200_000_000
HEADERS = {"Authorization": "Bearer key-team-1"}

app = App(name="daemon-cost")


@asynccontextmanager
async def run_fleet() -> AsyncIterator[processes.Fleet]:
    """Yield a fleet of one daemon and 20 upstreams; stop it afterwards."""
    size = sizes.Size(8, 1, (("catalogue", 20),))
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        try:
            await fleet.start_standins(20, 2, 0.002)
            await fleet.publish()
            entry = await fleet.start_entry(0)
            # Rate limit buckets start empty, and a rejected request measures nothing.
            while await processes.ask_status(entry.callers, "key-team-1") != 200:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            yield fleet
        finally:
            await fleet.stop()


def load_steady_scenario(duration: float, block: float) -> scenarios.Scenario:
    scenario = scenarios.load_scenario(SCENARIO).ok
    return scenario.model_copy(update={"duration": duration, "block": block})


async def measure_latency(
    fleet: processes.Fleet, rate: float, duration: float, seed: int
) -> dict:
    """Compare the latency of direct and proxied requests.

    :param rate: in requests per second.
    :param duration: length of the load on each target, in seconds.
    """
    scenario = load_steady_scenario(duration, duration / 4).scale(rate)
    target = targets.Target.model_validate(fleet.describe())
    proxied = target.model_copy(update={"name": "proxied"})
    pid = fleet.entries[0].process.pid
    before = usage.read(pid)
    machine_before = usage.read_machine()
    target_pair = (targets.build_direct(target), proxied)
    comparison = await running.run_comparison(scenario, target_pair, seed)
    cpu_seconds = usage.read(pid).cpu - before.cpu
    sent = sum(block.sent for block in comparison.blocks)
    complete = sum(block.complete for block in comparison.blocks)
    # The daemon also forwarded the requests of the warm-up, which has the same rate.
    requests = rate * (duration + min(duration, scenario.warmup))
    return {
        "rate": rate,
        "machine": usage.describe_machine(machine_before),
        "blocks": len(comparison.blocks) // 2,
        "sent": sent,
        "complete": complete,
        "p50": comparison.p50,
        "p99": comparison.p99,
        "p50_added": comparison.p50_added,
        "p99_added": comparison.p99_added,
        "cpu_ms_per_request": round(1000 * cpu_seconds / requests, 3),
    }


async def measure_rates(fleet: processes.Fleet, duration: float, seed: int) -> list:
    """Raise the rate until the added 99th percentile exceeds the limit."""
    results = []
    for rate in RATES:
        results.append(await measure_latency(fleet, rate, duration, seed))
        print(json.dumps(results[-1]), flush=True)
        exceeded = results[-1]["p99_added"] > MAX_ADDED_P99_MILLISECONDS
        if exceeded and rate >= TARGET_RATE:
            break
    return results


async def measure_settled_memory(pid: int) -> int:
    """Return the resident memory after one second without load, in bytes."""
    await asyncio.sleep(1)
    return usage.read(pid).rss


async def measure_idle(fleet: processes.Fleet) -> dict:
    """Measure the memory of idle connections that served one request each.

    The requests are sent concurrently, so that each opens a connection. The result
    includes the connections to upstreams that the daemon opens for them.
    """
    entry = fleet.entries[0]
    url = f"http://127.0.0.1:{entry.callers}/catalogue/idle"
    before = await measure_settled_memory(entry.process.pid)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send_request(_: int) -> None:
            async with session.get(url, headers=HEADERS) as response:
                await response.read()

        request_tasks = [
            asyncio.create_task(send_request(n)) for n in range(IDLE_CONNECTION_COUNT)
        ]
        await asyncio.gather(*request_tasks)
        after = await measure_settled_memory(entry.process.pid)
        connections = count_connections(entry.process.pid, entry.callers)
    return {
        "connections": connections,
        "bytes_each": round((after - before) / max(1, connections)),
    }


def count_connections(pid: int, port: int) -> int:
    """Return the number of established connections to a port of a process."""
    suffix = f":{port:04X}"
    lines = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    fields = (line.split() for line in lines)
    return sum(item[1].endswith(suffix) and item[3] == "01" for item in fields)


async def send_stream(
    session: aiohttp.ClientSession, url: str, stopped: asyncio.Event
) -> None:
    async def generate() -> AsyncIterator[bytes]:
        while not stopped.is_set():
            yield client.BODY_CHUNK

    async with session.post(url, data=generate(), headers=HEADERS) as response:
        await response.read()


async def measure_streams(fleet: processes.Fleet) -> dict:
    """Measure the peak memory while several uploads run concurrently."""
    entry = fleet.entries[0]
    pid = entry.process.pid
    url = f"http://127.0.0.1:{entry.callers}/catalogue/stream"
    before = await measure_settled_memory(pid)
    usage.reset_peak(pid)
    stopped = asyncio.Event()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        upload_tasks = [
            asyncio.create_task(send_stream(session, url, stopped))
            for _ in range(STREAM_COUNT)
        ]
        await asyncio.sleep(STREAM_SECONDS)
        stopped.set()
        await asyncio.gather(*upload_tasks)
    added_bytes = usage.read_peak(pid) - before
    return {"streams": STREAM_COUNT, "bytes_each": round(added_bytes / STREAM_COUNT)}


async def measure_upload(fleet: processes.Fleet) -> dict:
    """Send a large upload and measure how far the daemon's memory rises above idle."""
    entry = fleet.entries[0]
    pid = entry.process.pid
    before = await measure_settled_memory(pid)
    usage.reset_peak(pid)
    transferred_before = usage.read_transferred(pid)
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
        "transferred_bytes": usage.read_transferred(pid) - transferred_before,
    }


async def measure(duration: float, seed: int, rates: list | None) -> dict:
    async with run_fleet() as fleet:
        pid = fleet.entries[0].process.pid
        results = {"rss_at_start": usage.read(pid).rss}
        results["upload"] = await measure_upload(fleet)
        results["streams"] = await measure_streams(fleet)
        results["idle"] = await measure_idle(fleet)
        print(json.dumps(results), flush=True)
        results["rates"] = rates or await measure_rates(fleet, duration, seed)
        return results


@app.default
def main(
    *,
    duration: float = 40.0,
    seed: int = 1,
    output: Path = ROOT / "measurements/daemon.json",
    keep_rates: bool = False,
) -> None:
    """Measure one daemon and write the results.

    :param duration: length of the load at each rate and target, in seconds.
    :param seed: seed of the request schedules.
    :param output: JSON file for the results.
    :param keep_rates: measure memory only and keep the rates in the file; requires the
        same duration and seed.
    """
    rates = json.loads(output.read_text())["rates"] if keep_rates else None
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(measure(duration, seed, rates))
    command = f"python tools/daemon_cost.py --duration {duration:g} --seed {seed}"
    data = {"command": command, "seed": seed, **results}
    output.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    app()
