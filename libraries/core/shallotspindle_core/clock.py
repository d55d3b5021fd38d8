"""Clock protocol of the decision libraries, and a clock for tests.

Decisions use boot-time seconds, which never go back and go on while the process or the
machine is suspended. After a pause, a holder thus finds that its own claim has expired
before it acts on it.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time, passed in by the caller of a decision library."""

    def boottime(self) -> float:
        """Return the seconds since boot, including time in suspension."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


@dataclass(slots=True)
class ManualClock:
    """Clock that only ``advance`` moves, for tests and experiments.

    :param wall_clock_start: wall-clock time at boot time zero, in UTC.
    :param boottime_seconds: current boot time.
    """

    wall_clock_start: datetime
    boottime_seconds: float = 0.0

    def boottime(self) -> float:
        return self.boottime_seconds

    def now(self) -> datetime:
        return self.wall_clock_start + timedelta(seconds=self.boottime_seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.boottime_seconds += seconds
