"""Watches the memory and the ends of gateway processes, and stalls of the machine."""

import asyncio
import re
import signal
from dataclasses import dataclass
from pathlib import Path

from shallotspindle_soak.fleet import Fleet, Gateway
from shallotspindle_soak.records import Span

SAMPLE_SECONDS = 0.1
LEAST_STALL_SECONDS = 0.1
LEAST_STARVED_SECONDS = 0.3
KIBIBYTE = 1024
# A process without a bound is ended before it takes the memory of the machine.
FORCED_BYTES = 1024**3
RESIDENT = re.compile(r"^VmRSS:\s+(\d+) kB", re.MULTILINE)


def read_resident(pid: int) -> int:
    """Return the resident size of a process in bytes; 0 if it is gone."""
    try:
        found = RESIDENT.search(Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0
    return int(found[1]) * KIBIBYTE if found else 0


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a process came with its work.

    :param ticks: processor time that it used, in ticks of the kernel.
    :param waits: whether it could run and had no processor.
    :param at: when it last used one, in seconds.
    """

    ticks: int
    waits: bool
    at: float


def read_progress(pid: int, now: float) -> Progress | None:
    """Return the progress of a process; None if it is gone."""
    try:
        # The name of the program, in brackets, may hold spaces.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return Progress(int(fields[11]) + int(fields[12]), fields[0] == "R", now)


class Watch:
    """Samples all gateways of a fleet until cancelled."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._dead: set[int] = set()
        self._progress: dict[int, Progress] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            for gateway in self._fleet.gateways:
                self._sample(gateway)
            due = self._fleet.clock.boottime() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            self._note_stall(due)

    def _note_stall(self, due: float) -> None:
        """Record that this process, which plays the upstreams, ran late."""
        now = self._fleet.clock.boottime()
        if now - due > LEAST_STALL_SECONDS:
            self._fleet.history.stalls.append(Span(due, now))

    def _sample(self, gateway: Gateway) -> None:
        history = self._fleet.history
        process = gateway.process
        if not gateway.is_running:
            # A fault that ends or replaces the process holds the lock.
            if not gateway.lock.locked() and process.pid not in self._dead:
                self._dead.add(process.pid)
                end = f"{gateway.name} (exit code {process.returncode})"
                history.died.append(end)
            return
        self._note_starved(gateway, process.pid)
        size = read_resident(process.pid)
        history.memory[gateway.name] = max(size, history.memory.get(gateway.name, 0))
        if size > FORCED_BYTES:
            self._dead.add(process.pid)
            gateway.send_signal(signal.SIGKILL)

    def _note_starved(self, gateway: Gateway, pid: int) -> None:
        """Record that a gateway could run and got no processor."""
        now = self._fleet.clock.boottime()
        found, last = read_progress(pid, now), self._progress.get(pid)
        if found is None:
            return
        if last is not None and found.waits and found.ticks == last.ticks:
            return
        if last is not None and now - last.at > LEAST_STARVED_SECONDS and last.waits:
            starved = self._fleet.history.starved.setdefault(gateway.name, [])
            starved.append(Span(last.at, now))
        self._progress[pid] = found
