"""Bounds the volume of the logs, so that they take no part of a busy processor."""

from shallotspindle_core.clock import Clock

LINES_A_SECOND = 50.0
BURST_LINES = 200.0


class LineBudget:
    """Bounds the number of log lines."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock.boottime()
        self.left_out = 0

    def take(self) -> bool:
        """Return whether a line may be written; count it if not."""
        now = self._clock.boottime()
        added = (now - self._at) * LINES_A_SECOND
        self._tokens = min(BURST_LINES, self._tokens + added)
        self._at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True
