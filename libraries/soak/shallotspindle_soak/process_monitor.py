"""Monitors memory, CPU starvation and exits of gateways, and stalls of the machine."""

import asyncio
import re
import signal
from dataclasses import dataclass
from pathlib import Path

from shallotspindle_soak.fleet import Fleet, Gateway
from shallotspindle_soak.records import Interval

SAMPLE_INTERVAL_SECONDS = 0.1
MIN_STALL_SECONDS = 0.1
MIN_STARVATION_SECONDS = 0.3
KIBIBYTE = 1024
# A process that grows without bound is killed before it exhausts the machine's memory.
MAX_RESIDENT_BYTES = 1024**3
VMHWM_PATTERN = re.compile(r"^VmHWM:\s+(\d+) kB", re.MULTILINE)
VMRSS_PATTERN = re.compile(r"^VmRSS:\s+(\d+) kB", re.MULTILINE)


def read_resident_bytes(pid: int) -> int:
    """Return the resident size of a process; 0 if it does not exist."""
    try:
        match = VMRSS_PATTERN.search(Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0
    return int(match[1]) * KIBIBYTE if match else 0


def read_peak_resident_bytes(pid: int) -> int:
    """Return the largest resident size that a process had so far."""
    match = VMHWM_PATTERN.search(Path(f"/proc/{pid}/status").read_text())
    return int(match[1]) * KIBIBYTE


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


@dataclass(frozen=True, slots=True)
class CpuUsage:
    """CPU usage of a process at a point in time.

    :param ticks: CPU time used since its start, in clock ticks of the kernel.
    :param is_runnable: whether it was running or waiting for a CPU.
    :param sampled_at: when the usage was read, in seconds.
    """

    ticks: int
    is_runnable: bool
    sampled_at: float


def read_cpu_usage(pid: int, now: float) -> CpuUsage | None:
    """Return the CPU usage of a process; None if it does not exist."""
    try:
        # The program name, in parentheses, may contain spaces.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return CpuUsage(int(fields[11]) + int(fields[12]), fields[0] == "R", now)


class ProcessMonitor:
    """Samples all gateway processes of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._ended_pids: set[int] = set()
        self._cpu_usage: dict[int, CpuUsage] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            for gateway in self._fleet.gateways:
                self._sample(gateway)
            due_at = self._fleet.clock.boottime() + SAMPLE_INTERVAL_SECONDS
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            self._record_stall(due_at)

    def _record_stall(self, due_at: float) -> None:
        """Record a stall of this process, which also runs the upstreams."""
        now = self._fleet.clock.boottime()
        if now - due_at > MIN_STALL_SECONDS:
            self._fleet.history.stalls.append(Interval(due_at, now))

    def _sample(self, gateway: Gateway) -> None:
        history = self._fleet.history
        process = gateway.process
        if not gateway.is_running:
            # Faults that stop or restart the process hold the lock.
            if not gateway.lock.locked() and process.pid not in self._ended_pids:
                self._ended_pids.add(process.pid)
                description = f"{gateway.name} (exit code {process.returncode})"
                history.unexpected_exits.append(description)
            return
        self._record_starvation(gateway, process.pid)
        resident_bytes = read_resident_bytes(process.pid)
        history.peak_memory_bytes[gateway.name] = max(
            resident_bytes, history.peak_memory_bytes.get(gateway.name, 0)
        )
        if resident_bytes > MAX_RESIDENT_BYTES:
            self._ended_pids.add(process.pid)
            gateway.send_signal(signal.SIGKILL)

    def _record_starvation(self, gateway: Gateway, pid: int) -> None:
        """Record how long a gateway was runnable without using any CPU time."""
        now = self._fleet.clock.boottime()
        usage, last = read_cpu_usage(pid, now), self._cpu_usage.get(pid)
        if usage is None:
            return
        if last is not None and usage.is_runnable and usage.ticks == last.ticks:
            return
        if (
            last is not None
            and now - last.sampled_at > MIN_STARVATION_SECONDS
            and last.is_runnable
        ):
            starvation = self._fleet.history.cpu_starvation.setdefault(gateway.name, [])
            starvation.append(Interval(last.sampled_at, now))
        self._cpu_usage[pid] = usage
