"""Bounds retries to a part of the requests of a service."""

from collections import deque

RATIO = 0.1
WINDOW_SECONDS = 10.0
BUCKETS = 10
# Lets a service with few requests retry at all.
LEAST_RETRIES = 3


class Budget:
    """Retries in a sliding window of ``BUCKETS`` buckets.

    :param ratio: retries as a part of the requests in the window.
    :param least: retries in a window that are always granted.
    :param slack: retries in a window beside that part; it may change.
    :param window: length of the window, in seconds.
    """

    def __init__(
        self,
        ratio: float = RATIO,
        least: int = LEAST_RETRIES,
        slack: int = 0,
        window: float = WINDOW_SECONDS,
    ) -> None:
        self._ratio = ratio
        self._least = least
        self.slack = slack
        self._window = window
        self._buckets: deque[list[int]] = deque()
        self._requests = 0
        self._retries = 0

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._find_bucket(now)[1] += 1
        self._requests += 1

    def has_retry(self, now: float) -> bool:
        """Return whether a retry is left, without taking it."""
        self._find_bucket(now)
        part = int(self._ratio * self._requests) + self.slack
        return self._retries < max(self._least, part)

    def take(self, now: float) -> bool:
        """Take one retry; return whether there was one."""
        if not self.has_retry(now):
            return False
        self._find_bucket(now)[2] += 1
        self._retries += 1
        return True

    def _find_bucket(self, now: float) -> list[int]:
        number = int(now * BUCKETS / self._window)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._buckets or self._buckets[-1][0] < number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
