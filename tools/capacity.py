"""Measures the cost of a daemon's control plane, one dimension at a time.

Each point starts a separate fleet, waits until it is idle and measures two windows: the
first without and the second with changes of the bundle. No caller sends requests. The
results are written to ``measurements/control.json``.
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
# Starting many interpreters at once would disturb the daemons that already run.
MAX_PARALLEL_STARTS = 8
SETTLE_SECONDS = 3.0
DEFAULT_CHANGES = 3
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

    :param axis: dimension that the point varies; ``base`` for the smallest fleet.
    :param value: value of that dimension.
    :param changes: number of bundle changes in the second window.
    """

    axis: str
    value: int
    daemons: int = 1
    teams: int = 1
    routes: int = 1
    upstreams: int = 1
    changes: int = DEFAULT_CHANGES


def list_points(seconds: float) -> Iterator[Point]:
    """Yield the points of each axis, with the base point before each axis.

    The slopes of all axes are fitted with the base points. If the base were measured
    only once, the noise of that point would affect every slope.
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
            for first in range(0, point.daemons, MAX_PARALLEL_STARTS):
                daemon_numbers = range(
                    first, min(first + MAX_PARALLEL_STARTS, point.daemons)
                )
                await asyncio.gather(*map(fleet.start_entry, daemon_numbers))
            yield fleet
        finally:
            await fleet.kill()


def read_usages(fleet: processes.Fleet) -> list[usage.Usage]:
    """Return the resource usage of all daemons.

    :raises RuntimeError: if a daemon has exited; contains its exit status and its last
        log lines.
    """
    for entry in fleet.entries:
        status = entry.process.returncode
        if status is not None:
            raise RuntimeError(f"{entry.name} ended: {status} {''.join(entry.log)}")
    return [usage.read(entry.process.pid) for entry in fleet.entries]


async def measure_window(fleet: processes.Fleet, seconds: float, changes: int) -> dict:
    """Measure the daemons over a window with evenly spaced bundle changes.

    :param seconds: length of the window.
    :returns: mean usage per daemon, and the store calls of all daemons together.
    """
    store = f"127.0.0.1:{fleet.ports['store']}"
    loop = asyncio.get_running_loop()
    calls_before = await usage.read_calls(store)
    usages_before = read_usages(fleet)
    publish_usages = []
    machine_before = usage.read_machine()
    start = loop.time()
    for number in range(changes):
        await asyncio.sleep(start + number * seconds / changes - loop.time())
        publish_usages.append(await fleet.publish())
    await asyncio.sleep(max(0.0, start + seconds - loop.time()))
    elapsed = loop.time() - start
    usages_after = read_usages(fleet)
    calls_after = await usage.read_calls(store)
    pairs = list(zip(usages_before, usages_after, strict=True))
    return {
        "seconds": round(elapsed, 3),
        "changes": changes,
        "machine": usage.describe_machine(machine_before),
        "cpu_seconds": mean(b.cpu - a.cpu for a, b in pairs),
        "rss_bytes": mean(b.rss for _, b in pairs),
        "transferred_bytes": mean(b.transferred - a.transferred for a, b in pairs),
        "store_calls": {
            name: calls_after[name] - calls_before[name] for name in calls_before
        },
        "publish_cpu_seconds": sum(u.ru_utime + u.ru_stime for u in publish_usages),
        "publish_peak_bytes": usage.KILOBYTE
        * max((u.ru_maxrss for u in publish_usages), default=0),
    }


async def measure_point(point: Point, seconds: float) -> dict:
    async with run_fleet(point) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        quiet = await measure_window(fleet, seconds, 0)
        changing = await measure_window(fleet, seconds, point.changes)
        bundle_size = (fleet.folder / "bundle.json").stat().st_size
    return {
        "point": asdict(point),
        "bundle_bytes": bundle_size,
        "quiet": quiet,
        "changing": changing,
    }


def write_points(output: Path, seconds: float, points: list[dict]) -> None:
    command = f"python tools/capacity.py --seconds {seconds:g}"
    data = {"command": command, "points": points}
    output.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def read_completed_points(output: Path) -> list[dict]:
    """Return the points that an interrupted run has measured."""
    return json.loads(output.read_text())["points"] if output.exists() else []


async def measure(seconds: float, output: Path, measured_points: list[dict]) -> None:
    """Measure the missing points and write the file after each of them.

    :param measured_points: points that are already measured, from the first one on; new
        points are appended.
    """
    for point in list(list_points(seconds))[len(measured_points) :]:
        measured_points.append(await measure_point(point, seconds))
        print(point.axis, point.value, json.dumps(measured_points[-1]), flush=True)
        write_points(output, seconds, measured_points)


@app.default
def main(
    *,
    seconds: float = 10.0,
    output: Path = ROOT / "measurements/control.json",
    resume: bool = False,
) -> None:
    """Measure all points and write the results.

    :param seconds: length of each window, in seconds.
    :param output: JSON file for the results.
    :param resume: continue after the points in the file; requires the same window
        length.
    """
    measured_points = read_completed_points(output) if resume else []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(seconds, output, measured_points))


if __name__ == "__main__":
    app()
