"""Measures what control costs a daemon, one dimension at a time.

Each point starts a fleet of its own, waits until it is quiet, measures a window
without changes and then one with changes of the bundle. No caller sends requests.
The figures go to ``measurements/control.json``.
"""

import asyncio
import json
import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean

import processes
import sizes
import usage
import uvloop
from cyclopts import App

ROOT = Path(__file__).parents[1]
# Starts of many interpreters at once would disturb the daemons that run already.
PARALLEL_STARTS = 8
SETTLE_SECONDS = 3.0
CHANGES = 3
AXES = {
    "daemons": (4, 8, 16, 32),
    "teams": (1000, 4000),
    "routes": (1000, 4000),
    "upstreams": (1000, 4000),
    "changes a minute": (6, 12, 24),
}

app = App(name="capacity")


@dataclass(frozen=True, slots=True)
class Point:
    """A fleet to measure.

    :param changes: changes of the bundle in the second window.
    """

    axis: str
    value: int
    daemons: int = 1
    teams: int = 1
    routes: int = 1
    upstreams: int = 1
    changes: int = CHANGES


def list_points(seconds: float) -> Iterator[Point]:
    """Yield the points of each axis, with the base point before each axis.

    All axes are compared with the base, so its noise would enter every slope if it
    were measured once.
    """
    for axis, values in AXES.items():
        yield Point("base", 1)
        for value in values:
            if axis == "changes a minute":
                count = max(1, round(value * seconds / 60))
                yield Point(axis, value, changes=count)
            else:
                yield Point(axis, value, **{axis: value})


@asynccontextmanager
async def run_fleet(point: Point) -> AsyncIterator[processes.Fleet]:
    services = (("catalogue", point.upstreams),)
    size = sizes.Size(point.teams, point.routes, services)
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder), size)
        try:
            await fleet.start_standins(1, 2, 0.0)
            await fleet.publish()
            for first in range(0, point.daemons, PARALLEL_STARTS):
                numbers = range(first, min(first + PARALLEL_STARTS, point.daemons))
                await asyncio.gather(*map(fleet.start_entry, numbers))
            yield fleet
        finally:
            await fleet.kill()


def read_all(fleet: processes.Fleet) -> list[usage.Usage]:
    """Return the totals of all daemons.

    :raises RuntimeError: when one has ended, with its status and last log lines.
    """
    for entry in fleet.entries:
        status = entry.process.returncode
        if status is not None:
            raise RuntimeError(f"{entry.name} ended: {status} {''.join(entry.log)}")
    return [usage.read(entry.process.pid) for entry in fleet.entries]


async def measure_window(fleet: processes.Fleet, seconds: float, changes: int) -> dict:
    """Measure the daemons over a window with evenly spread changes.

    :returns: means for each daemon, and the calls of all daemons on the store.
    """
    store = f"127.0.0.1:{fleet.ports['store']}"
    loop = asyncio.get_running_loop()
    calls = await usage.read_calls(store)
    before = read_all(fleet)
    published = []
    machine = usage.read_machine()
    start = loop.time()
    for number in range(changes):
        await asyncio.sleep(start + number * seconds / changes - loop.time())
        published.append(await fleet.publish())
    await asyncio.sleep(max(0.0, start + seconds - loop.time()))
    elapsed = loop.time() - start
    after = read_all(fleet)
    later = await usage.read_calls(store)
    pairs = list(zip(before, after, strict=True))
    return {
        "seconds": round(elapsed, 3),
        "changes": changes,
        "machine": usage.describe_machine(machine),
        "cpu_seconds": mean(b.cpu - a.cpu for a, b in pairs),
        "rss_bytes": mean(b.rss for _, b in pairs),
        "transferred_bytes": mean(b.transferred - a.transferred for a, b in pairs),
        "store_calls": {name: later[name] - calls[name] for name in calls},
        "publish_cpu_seconds": sum(u.ru_utime + u.ru_stime for u in published),
        "publish_peak_bytes": usage.KILOBYTE
        * max((u.ru_maxrss for u in published), default=0),
    }


async def measure_point(point: Point, seconds: float) -> dict:
    async with run_fleet(point) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        quiet = await measure_window(fleet, seconds, 0)
        changing = await measure_window(fleet, seconds, point.changes)
        bundle = (fleet.folder / "bundle.json").stat().st_size
    return {
        "point": asdict(point),
        "bundle_bytes": bundle,
        "quiet": quiet,
        "changing": changing,
    }


def write(output: Path, seconds: float, points: list[dict]) -> None:
    command = f"python tools/capacity.py --seconds {seconds:g}"
    data = {"command": command, "points": points}
    output.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def read_measured(output: Path) -> list[dict]:
    """Return the points of an interrupted run."""
    return json.loads(output.read_text())["points"] if output.exists() else []


async def measure(seconds: float, output: Path, found: list[dict]) -> None:
    """Measure the points that are missing and write the file after each.

    :param found: the first points, measured before.
    """
    for point in list(list_points(seconds))[len(found) :]:
        found.append(await measure_point(point, seconds))
        print(point.axis, point.value, json.dumps(found[-1]), flush=True)
        write(output, seconds, found)


@app.default
def main(
    *,
    seconds: float = 10.0,
    output: Path = ROOT / "measurements/control.json",
    resume: bool = False,
) -> None:
    """Measure all points and write the figures.

    :param seconds: length of each window.
    :param output: JSON file.
    :param resume: go on after the points that the file has; give the same length.
    """
    found = read_measured(output) if resume else []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(seconds, output, found))


if __name__ == "__main__":
    app()
