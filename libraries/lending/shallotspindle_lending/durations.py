"""How long the runs of a service take."""

import bisect
from collections import deque

# Runs that take longer than all but one in ten count as overdue.
OVERDUE_QUANTILE = 0.9
OVERDUE_FACTOR = 1.15
LEAST_OVERDUE_SECONDS = 0.15
FIRST_OVERDUE_SECONDS = 0.35
FIRST_WORK_SECONDS = 0.15
USUAL_QUANTILE = 0.7
DURATION_COUNT = 200
LEAST_DURATIONS = 20


class Durations:
    """Times of the latest runs that ended well."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque(maxlen=DURATION_COUNT)
        self._overdue = FIRST_OVERDUE_SECONDS
        self._usual = FIRST_WORK_SECONDS
        self._ordered: list[float] = []
        self._count = 0

    @property
    def overdue(self) -> float:
        """Age of a run beyond which it counts as overdue, in seconds."""
        return self._overdue

    @property
    def mean(self) -> float:
        """Mean time of a run, in seconds."""
        if not self._latest:
            return FIRST_WORK_SECONDS
        return sum(self._latest) / len(self._latest)

    @property
    def usual(self) -> float:
        """Time that most runs take, in seconds."""
        return self._usual

    def find_longer(self, seconds: float) -> float:
        """Return the part of the runs that take longer than some time, above 0."""
        longer = len(self._ordered) - bisect.bisect(self._ordered, seconds)
        return (longer + 1) / (len(self._ordered) + 1)

    def add(self, seconds: float) -> None:
        """Count the time of a run."""
        self._latest.append(seconds)
        self._count += 1
        if len(self._latest) < LEAST_DURATIONS or self._count % 10:
            return
        ordered = self._ordered = sorted(self._latest)
        found = ordered[int(OVERDUE_QUANTILE * len(ordered))]
        self._overdue = max(LEAST_OVERDUE_SECONDS, OVERDUE_FACTOR * found)
        self._usual = ordered[int(USUAL_QUANTILE * len(ordered))]
