"""Load balancing policies, which choose one of the upstreams with a free slot.

The daemons use power of two choices; the other policies are kept for comparison.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotspindle_core.randomness import RandomSource


@dataclass(frozen=True, slots=True)
class UpstreamCandidate:
    """An upstream that a request may be sent to.

    :param in_flight: requests of this instance that the upstream runs.
    :param load: estimated number of its running and queued requests per slot.
    :param slots: requests that it runs at the same time.
    :param latency_seconds: mean latency that this instance observed.
    :param weight: fraction of the normal share of requests that it may get, above 0
        and at most 1.
    """

    name: str
    in_flight: int
    load: float
    slots: int
    latency_seconds: float
    weight: float


class Policy(Protocol):
    """Chooses among candidates, of which there is at least one."""

    def pick(
        self, candidates: Sequence[UpstreamCandidate], random: RandomSource
    ) -> UpstreamCandidate:
        """Return the candidate that gets the request."""


def draw_weighted(
    candidates: Sequence[UpstreamCandidate], random: RandomSource
) -> UpstreamCandidate:
    """Draw a candidate with a probability in proportion to its weight."""
    # Most weights are 1, so rejection sampling is faster than cumulative weights.
    for _ in range(16):
        candidate = candidates[random.randrange(len(candidates))]
        if candidate.weight >= 1.0 or random.random() < candidate.weight:
            return candidate
    return max(candidates, key=lambda item: (item.weight, item.name))


def estimate_cost(candidate: UpstreamCandidate) -> float:
    """Return the expected queue length with the new request, divided by the weight."""
    return (
        candidate.load * candidate.slots + candidate.in_flight + 1
    ) / candidate.weight


class RoundRobin:
    """Chooses upstreams in turn; one with a weight below 1 skips some of its turns."""

    def __init__(self) -> None:
        self._last_name = ""

    def pick(
        self, candidates: Sequence[UpstreamCandidate], random: RandomSource
    ) -> UpstreamCandidate:
        ordered = sorted(
            candidates, key=lambda item: (item.name <= self._last_name, item.name)
        )
        for candidate in ordered:
            if candidate.weight >= 1.0 or random.random() < candidate.weight:
                self._last_name = candidate.name
                return candidate
        self._last_name = ordered[0].name
        return ordered[0]


class WeightedRandom:
    """Chooses an upstream with a probability in proportion to its weight."""

    def pick(
        self, candidates: Sequence[UpstreamCandidate], random: RandomSource
    ) -> UpstreamCandidate:
        return draw_weighted(candidates, random)


class LeastInFlight:
    """Chooses the upstream with the fewest requests of this instance.

    The number is divided by the weight, and ties are broken at random.
    """

    def pick(
        self, candidates: Sequence[UpstreamCandidate], random: RandomSource
    ) -> UpstreamCandidate:
        least = min((item.in_flight + 1) / item.weight for item in candidates)
        ties = [
            item for item in candidates if (item.in_flight + 1) / item.weight == least
        ]
        return ties[random.randrange(len(ties))]


class PowerOfTwo:
    """Chooses the one of lower cost from two upstreams drawn at random."""

    def pick(
        self, candidates: Sequence[UpstreamCandidate], random: RandomSource
    ) -> UpstreamCandidate:
        first = draw_weighted(candidates, random)
        second = draw_weighted(candidates, random)
        return second if estimate_cost(second) < estimate_cost(first) else first


class InverseDelay:
    """Draws with a probability inversely proportional to the expected delay."""

    def pick(
        self, candidates: Sequence[UpstreamCandidate], random: RandomSource
    ) -> UpstreamCandidate:
        shares = [item.weight / self._estimate_delay(item) for item in candidates]
        remainder = random.random() * sum(shares)
        for candidate, share in zip(candidates, shares, strict=True):
            remainder -= share
            if remainder < 0:
                return candidate
        return candidates[-1]

    def _estimate_delay(self, candidate: UpstreamCandidate) -> float:
        queued_per_slot = candidate.load + candidate.in_flight / candidate.slots
        return max(1e-4, candidate.latency_seconds) * (1.0 + queued_per_slot)


POLICIES: dict[str, type[Policy]] = {
    "round-robin": RoundRobin,
    "random": WeightedRandom,
    "least-local": LeastInFlight,
    "power-of-two": PowerOfTwo,
    "inverse-delay": InverseDelay,
}
