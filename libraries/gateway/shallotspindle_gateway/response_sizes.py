"""Learns which routes have large responses.

A large response is slow on the link between two failure domains, like a large upload,
so its request waits longer for an upstream of its own domain. Only the responses of
this instance count, and a new process starts without any.
"""

from shallotspindle_bundles.records import Route

# Weight of the latest response in the mean size of its route.
LATEST_WEIGHT = 0.2
# Bounds the memory used; the route that was added first is dropped first.
MAX_ROUTES = 8192


class ResponseSizes:
    """Decaying mean sizes of complete responses, in bytes by route.

    :param large_bytes: mean size above which the responses of a route are large.
    """

    def __init__(self, large_bytes: int) -> None:
        self._large_bytes = large_bytes
        self._mean_bytes: dict[str, float] = {}

    def record(self, route: Route, size: int) -> None:
        """Add the size of a response, in bytes."""
        mean = self._mean_bytes.get(route.name, size)
        self._mean_bytes[route.name] = mean + LATEST_WEIGHT * (size - mean)
        if len(self._mean_bytes) > MAX_ROUTES:
            del self._mean_bytes[next(iter(self._mean_bytes))]

    def is_large(self, route: Route) -> bool:
        """Return whether a response of the route is likely to be large."""
        return self._mean_bytes.get(route.name, 0) > self._large_bytes
