"""Recognises routes whose requests do not end within their timeout anywhere.

Such a time-out says nothing about the upstream; counted against it, it would suspend
one sound upstream after the other.
"""

from dataclasses import dataclass

# Gray upstreams fail fewer of a route's requests than this.
SLOW_PART = 0.75
LEAST_TIMEOUTS = 3
# Older requests count half after as many newer ones.
MEMORY_COUNT = 40.0
LARGEST_COUNT = 8192


@dataclass(slots=True)
class Record:
    """Requests of one route that ended whole and that timed out."""

    whole: float = 0.0
    timed_out: float = 0.0


class SlowRoutes:
    """Outcomes by route."""

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}

    def note(self, route: int, is_whole: bool) -> None:
        """Count a request that ended whole or timed out."""
        record = self._records.setdefault(route, Record())
        if record.whole + record.timed_out >= MEMORY_COUNT:
            record.whole /= 2
            record.timed_out /= 2
        if is_whole:
            record.whole += 1
        else:
            record.timed_out += 1
        if len(self._records) > LARGEST_COUNT:
            del self._records[next(iter(self._records))]

    def is_slow(self, route: int) -> bool:
        """Return whether time-outs of a route are its own."""
        record = self._records.get(route)
        if record is None or record.timed_out < LEAST_TIMEOUTS:
            return False
        return record.timed_out > SLOW_PART * (record.whole + record.timed_out)
