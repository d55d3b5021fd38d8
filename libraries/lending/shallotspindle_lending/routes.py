"""Recognises routes whose requests exceed their timeout at every upstream.

A timeout of such a route says nothing about the upstream. Counted against upstreams,
these timeouts would suspend the healthy upstreams one after another.
"""

from dataclasses import dataclass

# A gray upstream makes a smaller fraction of a route's requests time out.
SLOW_TIMEOUT_FRACTION = 0.75
MIN_TIMEOUTS = 3
# Both counts of a route are halved when their sum reaches this number.
MAX_WEIGHT = 40.0
# Bounds the memory used; the oldest route is dropped first.
MAX_ROUTES = 8192


@dataclass(slots=True)
class RouteCounts:
    """Decaying counts of one route's complete responses and timeouts."""

    completed: float = 0.0
    timed_out: float = 0.0


class SlowRoutes:
    """Counts by hash of the route."""

    def __init__(self) -> None:
        self._counts: dict[int, RouteCounts] = {}

    def record_outcome(self, route_hash: int, is_complete: bool) -> None:
        """Count a complete response or a timeout."""
        counts = self._counts.setdefault(route_hash, RouteCounts())
        if counts.completed + counts.timed_out >= MAX_WEIGHT:
            counts.completed /= 2
            counts.timed_out /= 2
        if is_complete:
            counts.completed += 1
        else:
            counts.timed_out += 1
        if len(self._counts) > MAX_ROUTES:
            del self._counts[next(iter(self._counts))]

    def is_slow(self, route_hash: int) -> bool:
        """Return whether the route, not an upstream, causes its timeouts."""
        counts = self._counts.get(route_hash)
        if counts is None or counts.timed_out < MIN_TIMEOUTS:
            return False
        return counts.timed_out > SLOW_TIMEOUT_FRACTION * (
            counts.completed + counts.timed_out
        )
