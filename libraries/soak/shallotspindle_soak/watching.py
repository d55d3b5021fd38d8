"""Watches the memory and the ends of gateway processes, and stalls of the machine."""

import asyncio
import re
import signal
from pathlib import Path

from shallotspindle_soak.fleet import Fleet, Gateway
from shallotspindle_soak.records import Span

SAMPLE_SECONDS = 0.1
LEAST_STALL_SECONDS = 0.1
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


class Watch:
    """Samples all gateways of a fleet until cancelled."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._dead: set[int] = set()

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
        size = read_resident(process.pid)
        history.memory[gateway.name] = max(size, history.memory.get(gateway.name, 0))
        if size > FORCED_BYTES:
            self._dead.add(process.pid)
            gateway.send_signal(signal.SIGKILL)
