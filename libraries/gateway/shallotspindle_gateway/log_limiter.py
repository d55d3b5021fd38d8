"""Limits the rate of log lines, so that logging does not slow a busy instance."""

from shallotspindle_core.clock import Clock

MAX_LINES_PER_SECOND = 50.0
MAX_BURST_LINES = 200.0


class LogLimiter:
    """A token bucket for log lines that counts those it drops."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock.boottime()
        self.dropped_lines = 0

    def take_line(self) -> bool:
        """Return whether a line may be written, and count it as dropped if not."""
        now = self._clock.boottime()
        added = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(MAX_BURST_LINES, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped_lines += 1
            return False
        self._tokens -= 1
        return True
