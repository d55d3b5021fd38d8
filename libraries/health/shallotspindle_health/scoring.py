"""Scores the upstreams of one service from the attempts that they served.

Each upstream has two cumulative sums (CUSUM): one of failures above the failure rate of
the other upstreams, and one of the ranks of its latencies among theirs. Ranks assume no
distribution of latencies, so that a mix of request kinds and few samples are enough.
"""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median_low


class Outcome(StrEnum):
    """How an attempt at an upstream ended.

    ``COMPLETE`` is a whole response that is not a server error; ``SHED`` is a response
    by which an overloaded upstream rejects the request.
    """

    COMPLETE = "whole"
    ERROR = "error"
    SHED = "shed"
    TRUNCATED = "truncated"
    TIMED_OUT = "timed-out"
    RESET = "reset"
    NOT_CONNECTED = "not-connected"
    CANCELLED = "cancelled"


# A shed request shows load and a cancelled one shows nothing about the upstream.
NEUTRAL_OUTCOMES = frozenset({Outcome.SHED, Outcome.CANCELLED})
MAX_LATENCY_SAMPLES = 16
# Limits how much latency an upstream can excuse by reporting too high a load.
MAX_LOAD_DIVISOR = 4.0
POOL_REFRESH_SAMPLES = 16
# When a shared cause makes all upstreams fail, the smoothed failure rates have to rise
# faster than the failure sums, or upstreams would be ejected for that shared cause.
FAILURE_RATE_SMOOTHING_FACTOR = 0.3
LOAD_SMOOTHING_FACTOR = 0.3
# Above this median load of the other upstreams, the latency of one upstream is no
# evidence against it.
OVERLOAD_THRESHOLD = 1.25


@dataclass(frozen=True, slots=True)
class Thresholds:
    """Parameters of the cumulative sums.

    :param slowness_factor: a latency is divided by this factor before it is ranked, so
        that only one beyond this multiple of the others' latencies counts.
    :param rank_drift: mean rank that is tolerated; an upstream like the others has
        less than 0.5, and less the more alike the request kinds are.
    :param failure_drift: failure rate that is tolerated beyond that of the others.
    :param rank_limit: sum of ranks at which an instance ejects on its own evidence.
    :param failure_limit: sum of failures at which an instance ejects on its own
        evidence.
    :param suspicion_score: score from which an upstream is suspected; 1 is an ejection.
    :param min_pool_samples: latencies of other upstreams that a rank requires.
    """

    slowness_factor: float = 3.0
    rank_drift: float = 0.45
    failure_drift: float = 0.15
    rank_limit: float = 2.5
    failure_limit: float = 3.0
    suspicion_score: float = 0.3
    min_pool_samples: int = 12


@dataclass(slots=True)
class UpstreamEvidence:
    """Evidence about one upstream.

    :param failure_sum: cumulative sum of failures above the tolerated rate.
    :param rank_sum: cumulative sum of latency ranks above the tolerated rank.
    :param failure_rate: exponentially smoothed fraction of failed attempts.
    :param load: exponentially smoothed load that the upstream reported.
    :param latencies: latest latencies divided by the load at the time, in seconds.
    """

    failure_sum: float = 0.0
    rank_sum: float = 0.0
    failure_rate: float = 0.0
    load: float = 0.0
    shed_count: int = 0
    last_failure: str = ""
    latencies: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCY_SAMPLES)
    )


class OutlierScores:
    """Evidence about the upstreams of one service."""

    def __init__(self, thresholds: Thresholds) -> None:
        self._thresholds = thresholds
        self._evidence: dict[str, UpstreamEvidence] = {}
        # Latencies of all upstreams in ascending order.
        self._pool: list[float] = []
        self._samples_until_refresh = 0

    def set_upstreams(self, upstreams: frozenset[str]) -> None:
        """Set the upstreams to score, and drop the evidence about all others."""
        known = self._evidence
        self._evidence = {
            upstream: known.get(upstream, UpstreamEvidence())
            for upstream in sorted(upstreams)
        }
        self._samples_until_refresh = 0

    def record(
        self, upstream: str, outcome: Outcome, seconds: float, load: float | None
    ) -> bool:
        """Count an attempt; return whether it is evidence against the upstream.

        :param seconds: duration of the attempt.
        :param load: requests per slot that the upstream reported. The latency is
            divided by it, since time spent in the queue of an upstream says nothing
            about its speed.
        """
        evidence = self._evidence.get(upstream)
        if evidence is None or outcome is Outcome.CANCELLED:
            return False
        if outcome is Outcome.SHED:
            evidence.shed_count += 1
            return False
        if outcome is Outcome.TIMED_OUT and self._is_timeout_too_short(
            evidence, seconds
        ):
            return False
        failed = outcome is not Outcome.COMPLETE
        self._add_failure(upstream, evidence, failed, outcome)
        if failed and outcome is not Outcome.TIMED_OUT:
            return True
        evidence.load += LOAD_SMOOTHING_FACTOR * ((load or 0.0) - evidence.load)
        if self._are_others_overloaded(upstream):
            return failed
        seconds /= min(MAX_LOAD_DIVISOR, max(1.0, load or 0.0))
        rank = self._rank_latency(evidence, seconds)
        drift = self._thresholds.rank_drift
        evidence.rank_sum = max(0.0, evidence.rank_sum + rank - drift)
        evidence.latencies.append(seconds)
        return failed or rank > drift

    def _add_failure(
        self, upstream: str, evidence: UpstreamEvidence, failed: bool, outcome: Outcome
    ) -> None:
        evidence.failure_sum = max(
            0.0,
            evidence.failure_sum + failed - self._find_failure_drift(upstream, failed),
        )
        evidence.failure_rate += FAILURE_RATE_SMOOTHING_FACTOR * (
            failed - evidence.failure_rate
        )
        if failed:
            evidence.last_failure = outcome.value

    def _find_failure_drift(self, upstream: str, failed: bool) -> float:
        drift = self._thresholds.failure_drift
        rates = [
            item.failure_rate for key, item in self._evidence.items() if key != upstream
        ]
        if not failed or not rates:
            return drift
        # Twice the median of the others: when most upstreams fail, the cause is shared.
        return min(1.0, drift + 2 * median_low(rates))

    def _is_timeout_too_short(self, evidence: UpstreamEvidence, seconds: float) -> bool:
        """Return whether the upstream had less time than a healthy one may need.

        A request that waited long in this instance before it was sent has little time
        left, so that its timeout is no evidence against the upstream.
        """
        self._refresh_pool()
        if (
            len(self._pool) - len(evidence.latencies)
            < self._thresholds.min_pool_samples
        ):
            return False
        return self._rank_latency(evidence, seconds) <= self._thresholds.rank_drift

    def _are_others_overloaded(self, upstream: str) -> bool:
        loads = [item.load for key, item in self._evidence.items() if key != upstream]
        return bool(loads) and median_low(loads) > OVERLOAD_THRESHOLD

    def _rank_latency(self, evidence: UpstreamEvidence, seconds: float) -> float:
        """Return the fraction of the other upstreams' latencies that are shorter."""
        self._refresh_pool()
        scaled = seconds / self._thresholds.slowness_factor
        own_below = sum(value < scaled for value in evidence.latencies)
        total = len(self._pool) - len(evidence.latencies)
        if total < self._thresholds.min_pool_samples:
            return 0.0
        below = bisect_left(self._pool, scaled) - own_below
        return min(1.0, max(0.0, below / total))

    def _refresh_pool(self) -> None:
        self._samples_until_refresh -= 1
        if self._samples_until_refresh > 0:
            return
        self._samples_until_refresh = POOL_REFRESH_SAMPLES
        latencies = [item.latencies for item in self._evidence.values()]
        self._pool = sorted(value for values in latencies for value in values)

    def score(self, upstream: str) -> float:
        """Return the evidence against an upstream; 1 is enough for an ejection."""
        evidence = self._evidence[upstream]
        return max(
            evidence.failure_sum / self._thresholds.failure_limit,
            evidence.rank_sum / self._thresholds.rank_limit,
        )

    def find_reason(self, upstream: str) -> str:
        """Return the last failed outcome, or ``slow`` if latency weighs more."""
        evidence = self._evidence[upstream]
        failures = evidence.failure_sum / self._thresholds.failure_limit
        if failures >= evidence.rank_sum / self._thresholds.rank_limit:
            return evidence.last_failure
        return "slow"

    def get_shed_count(self, upstream: str) -> int:
        """Return how many requests an upstream has shed."""
        return self._evidence[upstream].shed_count

    def retract_failure(self, upstream: str) -> None:
        """Take back one failure that the request, not the upstream, caused."""
        if upstream in self._evidence:
            evidence = self._evidence[upstream]
            evidence.failure_sum = max(0.0, evidence.failure_sum - 1.0)

    def reset(self, upstream: str) -> None:
        """Drop the evidence against a recovered upstream; keep its shed count."""
        shed_count = self._evidence[upstream].shed_count
        self._evidence[upstream] = UpstreamEvidence(shed_count=shed_count)
        self._samples_until_refresh = 0
