"""Scores upstreams of one service from live traffic.

Two cumulative sums (CUSUM) are kept for each upstream: of failures above the failure
rate of the other upstreams, and of ranks of its latencies among theirs. Ranks need no
model of the latencies, so that mixed kinds of request and a few samples suffice.
"""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median_low


class Outcome(StrEnum):
    """How an exchange with an upstream ended."""

    WHOLE = "whole"
    ERROR = "error"
    SHED = "shed"
    TRUNCATED = "truncated"
    TIMED_OUT = "timed-out"
    RESET = "reset"
    NOT_CONNECTED = "not-connected"
    CANCELLED = "cancelled"


# A shed answer is load; a cancelled request says nothing about the upstream.
NEUTRAL = frozenset({Outcome.SHED, Outcome.CANCELLED})
LATENCIES_KEPT = 16
# Bounds what an upstream can excuse by a wrong load.
MOST_LOAD = 4.0
REFRESH_SAMPLES = 16
# A failure rate has to follow a shared cause faster than the sums grow.
RATE_STEP = 0.3
LOAD_STEP = 0.3
# Median load of the other upstreams above which slowness says nothing of one.
OVERLOAD = 1.25


@dataclass(frozen=True, slots=True)
class Thresholds:
    """When evidence counts.

    :param slowness: a latency counts as bad as far as it exceeds this multiple of
        the other upstreams' latencies.
    :param rank_drift: mean rank that is tolerated; an upstream like the others has
        less than 0.5, and less the more alike the kinds of request are.
    :param failure_drift: failure rate that is tolerated beyond that of the others.
    :param rank_limit: sum of ranks at which an instance ejects on its own.
    :param failure_limit: sum of failures at which an instance ejects on its own.
    :param suspect: part of a limit at which an upstream is suspected.
    :param pool: samples of other upstreams that a rank needs.
    """

    slowness: float = 3.0
    rank_drift: float = 0.45
    failure_drift: float = 0.15
    rank_limit: float = 2.5
    failure_limit: float = 3.0
    suspect: float = 0.3
    pool: int = 12


@dataclass(slots=True)
class Counters:
    """Evidence about one upstream."""

    failures: float = 0.0
    ranks: float = 0.0
    failure_rate: float = 0.0
    load: float = 0.0
    shed: int = 0
    last_failure: str = ""
    latencies: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCIES_KEPT)
    )


class Statistics:
    """Evidence about the upstreams of one service."""

    def __init__(self, thresholds: Thresholds) -> None:
        self._thresholds = thresholds
        self._counters: dict[str, Counters] = {}
        self._pool: list[float] = []
        self._until_refresh = 0

    def keep(self, names: frozenset[str]) -> None:
        """Forget upstreams that are not named and start to count the others."""
        known = self._counters
        self._counters = {name: known.get(name, Counters()) for name in sorted(names)}
        self._until_refresh = 0

    def add(
        self, name: str, outcome: Outcome, seconds: float, load: float | None
    ) -> bool:
        """Count an exchange; return whether it looked bad.

        :param load: reported requests for each slot; time spent in the upstream's
            queue says nothing about the upstream.
        """
        counters = self._counters.get(name)
        if counters is None or outcome is Outcome.CANCELLED:
            return False
        if outcome is Outcome.SHED:
            counters.shed += 1
            return False
        if outcome is Outcome.TIMED_OUT and self._is_short(counters, seconds):
            return False
        failed = outcome is not Outcome.WHOLE
        self._add_failure(name, counters, failed, outcome)
        if failed and outcome is not Outcome.TIMED_OUT:
            return True
        counters.load += LOAD_STEP * ((load or 0.0) - counters.load)
        if self._is_overloaded(name):
            return failed
        seconds /= min(MOST_LOAD, max(1.0, load or 0.0))
        rank = self._rank(counters, seconds)
        drift = self._thresholds.rank_drift
        counters.ranks = max(0.0, counters.ranks + rank - drift)
        counters.latencies.append(seconds)
        return failed or rank > drift

    def _add_failure(
        self, name: str, counters: Counters, failed: bool, outcome: Outcome
    ) -> None:
        counters.failures = max(
            0.0, counters.failures + failed - self._find_drift(name, failed)
        )
        counters.failure_rate += RATE_STEP * (failed - counters.failure_rate)
        if failed:
            counters.last_failure = outcome.value

    def _find_drift(self, name: str, failed: bool) -> float:
        drift = self._thresholds.failure_drift
        rates = [
            item.failure_rate for key, item in self._counters.items() if key != name
        ]
        if not failed or not rates:
            return drift
        # Twice the median of the others: when most fail, the cause is a shared one.
        return min(1.0, drift + 2 * median_low(rates))

    def _is_short(self, counters: Counters, seconds: float) -> bool:
        # A request that waited long before it was sent had too little time left.
        self._refresh()
        if len(self._pool) - len(counters.latencies) < self._thresholds.pool:
            return False
        return self._rank(counters, seconds) <= self._thresholds.rank_drift

    def _is_overloaded(self, name: str) -> bool:
        loads = [item.load for key, item in self._counters.items() if key != name]
        return bool(loads) and median_low(loads) > OVERLOAD

    def _rank(self, counters: Counters, seconds: float) -> float:
        self._refresh()
        scaled = seconds / self._thresholds.slowness
        own_below = sum(value < scaled for value in counters.latencies)
        total = len(self._pool) - len(counters.latencies)
        if total < self._thresholds.pool:
            return 0.0
        below = bisect_left(self._pool, scaled) - own_below
        return min(1.0, max(0.0, below / total))

    def _refresh(self) -> None:
        self._until_refresh -= 1
        if self._until_refresh > 0:
            return
        self._until_refresh = REFRESH_SAMPLES
        pools = [item.latencies for item in self._counters.values()]
        self._pool = sorted(value for pool in pools for value in pool)

    def score(self, name: str) -> float:
        """Return the evidence against an upstream; 1 suffices for an ejection."""
        counters = self._counters[name]
        return max(
            counters.failures / self._thresholds.failure_limit,
            counters.ranks / self._thresholds.rank_limit,
        )

    def explain(self, name: str) -> str:
        """Return the stronger reason of a score in a word."""
        counters = self._counters[name]
        failures = counters.failures / self._thresholds.failure_limit
        if failures >= counters.ranks / self._thresholds.rank_limit:
            return counters.last_failure
        return "slow"

    def count_shed(self, name: str) -> int:
        """Return how many requests an upstream has shed."""
        return self._counters[name].shed

    def acquit(self, name: str) -> None:
        """Take back one failure that a request, not the upstream, caused."""
        if name in self._counters:
            counters = self._counters[name]
            counters.failures = max(0.0, counters.failures - 1.0)

    def reset(self, name: str) -> None:
        """Forget the evidence against an upstream, which recovered."""
        shed = self._counters[name].shed
        self._counters[name] = Counters(shed=shed)
        self._until_refresh = 0
