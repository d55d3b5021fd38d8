"""Durations of the recent successful attempts of a service."""

import bisect
import itertools
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
    """Sliding window of the latest durations of successful attempts.

    The quantiles are updated on every tenth sample.

    :param max_samples: length of the window.
    """

    def __init__(self, max_samples: int = MAX_SAMPLES) -> None:
        self._samples: deque[float] = deque(maxlen=max_samples)
        self._mean_seconds: float | None = INITIAL_DURATION_SECONDS
        self._overdue_seconds = INITIAL_OVERDUE_SECONDS
        self._typical_seconds = INITIAL_DURATION_SECONDS
        self._sorted_samples: list[float] = []
        # Sums of the first sorted samples, by their number.
        self._sums: list[float] = [0.0]
        self._count = 0

    @property
    def overdue_seconds(self) -> float:
        """Age beyond which a running attempt is overdue."""
        return self._overdue_seconds

    @property
    def mean_seconds(self) -> float:
        """Mean duration of an attempt."""
        if self._mean_seconds is None:
            self._mean_seconds = sum(self._samples) / len(self._samples)
        return self._mean_seconds

    @property
    def sample_count(self) -> int:
        """Number of durations in the window."""
        return len(self._samples)

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

    def estimate_rest_seconds(self, age_seconds: float) -> float:
        """Return the expected remaining time of an attempt of this age.

        :returns: the mean duration if no attempt in the window took longer.
        """
        shorter = bisect.bisect(self._sorted_samples, age_seconds)
        longer = len(self._sorted_samples) - shorter
        if not longer:
            return self.mean_seconds
        return (self._sums[-1] - self._sums[shorter]) / longer - age_seconds

    def add(self, seconds: float) -> None:
        """Add the duration of a successful attempt."""
        self._samples.append(seconds)
        self._mean_seconds = None
        self._count += 1
        if len(self._samples) < MIN_SAMPLES or self._count % 10:
            return
        ordered = self._sorted_samples = sorted(self._samples)
        self._sums = list(itertools.accumulate(ordered, initial=0.0))
        quantile = ordered[int(OVERDUE_QUANTILE * len(ordered))]
        self._overdue_seconds = max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * quantile)
        self._typical_seconds = ordered[int(TYPICAL_QUANTILE * len(ordered))]
