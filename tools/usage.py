"""Reads the processor time, memory and network bytes of a process from /proc."""

from dataclasses import dataclass
from pathlib import Path

import aiohttp

KILOBYTE = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process has used.

    :param cpu: processor time since its start, in seconds.
    :param rss: resident memory, in bytes.
    :param transferred: bytes of its read and write calls. uvloop uses these calls on
        TCP sockets; datagrams and the daemon's log lines are not counted separately.
    """

    cpu: float
    rss: int
    transferred: int


@dataclass(frozen=True, slots=True)
class ProcessorTimes:
    """Times of all processors of the machine together, in ticks.

    :param busy: time in which processors ran any process.
    :param stolen: time in which the hypervisor ran other virtual machines.
    """

    total: int
    busy: int
    stolen: int


def read_machine() -> ProcessorTimes:
    """Read the times of all processors since the machine started."""
    line = Path("/proc/stat").read_text().partition("\n")[0]
    user, nice, system, idle, wait, irq, softirq, stolen, *_ = map(
        int, line.split()[1:]
    )
    busy = user + nice + system + irq + softirq
    return ProcessorTimes(busy + idle + wait + stolen, busy, stolen)


def describe_machine(since: ProcessorTimes) -> dict[str, float]:
    """Return the fractions of busy and stolen time since an earlier reading."""
    now = read_machine()
    total = max(1, now.total - since.total)
    return {
        "busy_share": round((now.busy - since.busy) / total, 4),
        "stolen_share": round((now.stolen - since.stolen) / total, 4),
    }


def read_fields(path: Path) -> dict[str, int]:
    pairs = (line.split(":") for line in path.read_text().splitlines())
    return {
        name: int(value.split()[0])
        for name, value in pairs
        if value.split() and value.split()[0].isdigit()
    }


def read_cpu(pid: int) -> float:
    """Return the processor time of all live threads, in seconds.

    It comes from the scheduler statistics, because an idle daemon uses less time in a
    window than the 10 ms resolution of /proc/PID/stat.
    """
    files = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(item.read_text().split()[0]) for item in files) / 1e9


def read(pid: int) -> Usage:
    """Return the resources that a process has used."""
    status = read_fields(Path(f"/proc/{pid}/status"))
    return Usage(
        cpu=read_cpu(pid),
        rss=status["VmRSS"] * KILOBYTE,
        transferred=read_transferred(pid),
    )


def read_transferred(pid: int) -> int:
    """Return the bytes of read and write calls, without send and recv calls."""
    io = read_fields(Path(f"/proc/{pid}/io"))
    return io["rchar"] + io["wchar"]


def read_peak(pid: int) -> int:
    """Return the peak resident memory since the last reset, in bytes."""
    return read_fields(Path(f"/proc/{pid}/status"))["VmHWM"] * KILOBYTE


def read_private(pid: int) -> int:
    """Return the anonymous resident memory (not backed by a file), in bytes."""
    return read_fields(Path(f"/proc/{pid}/status"))["RssAnon"] * KILOBYTE


def reset_peak(pid: int) -> None:
    """Reset the peak resident memory of a process."""
    Path(f"/proc/{pid}/clear_refs").write_text("5")


async def read_calls(store: str) -> dict[str, int]:
    """Return the number of calls that the store stand-in received, by kind."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{store}/calls") as response,
    ):
        return await response.json()
