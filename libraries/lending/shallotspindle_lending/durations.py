"""Durations of the recent successful attempts of a service."""

import bisect
from collections import deque

# An attempt is overdue beyond this quantile of the durations times the factor.
OVERDUE_QUANTILE = 0.9
OVERDUE_FACTOR = 1.15
MIN_OVERDUE_SECONDS = 0.15
# Used until ``MIN_SAMPLES`` attempts were measured.
INITIAL_OVERDUE_SECONDS = 0.35
INITIAL_DURATION_SECONDS = 0.15
TYPICAL_QUANTILE = 0.7
MAX_SAMPLES = 200
MIN_SAMPLES = 20


class Durations:
    """Sliding window of the last ``MAX_SAMPLES`` durations of successful attempts.

    The quantiles are updated on every tenth sample.
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._overdue_seconds = INITIAL_OVERDUE_SECONDS
        self._typical_seconds = INITIAL_DURATION_SECONDS
        self._sorted_samples: list[float] = []
        self._count = 0

    @property
    def overdue_seconds(self) -> float:
        """Age beyond which a running attempt is overdue."""
        return self._overdue_seconds

    @property
    def mean_seconds(self) -> float:
        """Mean duration of an attempt."""
        if not self._samples:
            return INITIAL_DURATION_SECONDS
        return sum(self._samples) / len(self._samples)

    @property
    def typical_seconds(self) -> float:
        """Duration that ``TYPICAL_QUANTILE`` of the attempts do not exceed."""
        return self._typical_seconds

    def estimate_longer_fraction(self, seconds: float) -> float:
        """Return the fraction of the attempts that take longer; always above 0."""
        longer = len(self._sorted_samples) - bisect.bisect(
            self._sorted_samples, seconds
        )
        return (longer + 1) / (len(self._sorted_samples) + 1)

    def add(self, seconds: float) -> None:
        """Add the duration of a successful attempt."""
        self._samples.append(seconds)
        self._count += 1
        if len(self._samples) < MIN_SAMPLES or self._count % 10:
            return
        ordered = self._sorted_samples = sorted(self._samples)
        quantile = ordered[int(OVERDUE_QUANTILE * len(ordered))]
        self._overdue_seconds = max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * quantile)
        self._typical_seconds = ordered[int(TYPICAL_QUANTILE * len(ordered))]
