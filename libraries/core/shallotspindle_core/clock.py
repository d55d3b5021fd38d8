"""Time as the decisions see it.

Decisions take boot-time seconds, which never go back and count through the
suspension of the process, so that a paused holder of a right sees the lapse first.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time, passed in by whoever owns the decision."""

    def boottime(self) -> float:
        """Return the seconds since boot, including suspension."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


@dataclass(slots=True)
class ManualClock:
    """Clock that moves only when told to, for tests and experiments.

    :param seconds: the current boot-time, in seconds.
    :param start: the wall-clock time at boot-time zero, in UTC.
    """

    start: datetime
    seconds: float = 0.0

    def boottime(self) -> float:
        return self.seconds

    def now(self) -> datetime:
        return self.start + timedelta(seconds=self.seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: the distance, in seconds.
        """
        self.seconds += seconds
