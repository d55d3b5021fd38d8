"""Bounds the retries of a service to a fraction of its requests."""

from collections import deque

RETRY_RATIO = 0.1
WINDOW_SECONDS = 10.0
BUCKET_COUNT = 10
# Lets a service with few requests retry at all.
MIN_RETRIES = 3


class RetryBudget:
    """Retries within a sliding window of ``BUCKET_COUNT`` buckets.

    :param ratio: retries as a fraction of the requests in the window.
    :param min_retries: retries in a window that are always granted.
    :param extra_retries: retries in a window that are granted in addition to the
        fraction; may change at any time.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        min_retries: int = MIN_RETRIES,
        extra_retries: int = 0,
        window_seconds: float = WINDOW_SECONDS,
    ) -> None:
        self._ratio = ratio
        self._min_retries = min_retries
        self.extra_retries = extra_retries
        self._window_seconds = window_seconds
        # Each bucket holds its number, its requests and its retries; oldest first.
        self._buckets: deque[list[int]] = deque()
        self._requests = 0
        self._retries = 0

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._get_current_bucket(now)[1] += 1
        self._requests += 1

    def has_retry(self, now: float) -> bool:
        """Return whether a retry is left, without taking it."""
        self._get_current_bucket(now)
        allowed = int(self._ratio * self._requests) + self.extra_retries
        return self._retries < max(self._min_retries, allowed)

    def take_retry(self, now: float) -> bool:
        """Take one retry; return whether one was left."""
        if not self.has_retry(now):
            return False
        self._get_current_bucket(now)[2] += 1
        self._retries += 1
        return True

    def _get_current_bucket(self, now: float) -> list[int]:
        """Drop the buckets that left the window, and return the newest bucket."""
        number = int(now * BUCKET_COUNT / self._window_seconds)
        while self._buckets and self._buckets[0][0] <= number - BUCKET_COUNT:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._buckets or self._buckets[-1][0] < number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
