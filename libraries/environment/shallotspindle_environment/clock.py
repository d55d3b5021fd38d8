"""The clock of the operating system."""

import time
from datetime import UTC, datetime


class SystemClock:
    """Boot-time counts through suspension, unlike the monotonic clock."""

    def boottime(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)
