"""The clock of the operating system."""

import time
from datetime import UTC, datetime


class SystemClock:
    """Implements ``Clock``.

    It uses the boot-time clock because the monotonic one stops while the machine is
    suspended.
    """

    def boottime(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)
