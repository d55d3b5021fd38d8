"""Policies that choose one of the upstreams that have room.

Power of two choices is the one in use; the others are kept for comparison.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotspindle_core.randomness import RandomSource


@dataclass(frozen=True, slots=True)
class Option:
    """An upstream that may get a request.

    :param local: requests of this instance that it runs.
    :param load: estimate of its running and queued requests, divided by its slots.
    :param slots: requests that it runs at the same time.
    :param latency: mean latency that this instance saw, in seconds.
    :param weight: part of normal work that it may get, above 0 and at most 1.
    """

    name: str
    local: int
    load: float
    slots: int
    latency: float
    weight: float


class Policy(Protocol):
    """Choice among options; there is at least one."""

    def pick(self, options: Sequence[Option], random: RandomSource) -> Option:
        """Return the option that gets the request."""


def draw(options: Sequence[Option], random: RandomSource) -> Option:
    """Draw an option with a probability in proportion to its weight."""
    # Weights are mostly 1, so that rejection beats a running sum.
    for _ in range(16):
        option = options[random.randrange(len(options))]
        if option.weight >= 1.0 or random.random() < option.weight:
            return option
    return max(options, key=lambda item: (item.weight, item.name))


def cost(option: Option) -> float:
    """Return the expected number of requests ahead, scaled by the weight."""
    return (option.load * option.slots + option.local + 1) / option.weight


class RoundRobin:
    """Each upstream in turn; weights below 1 make it skip turns."""

    def __init__(self) -> None:
        self._last = ""

    def pick(self, options: Sequence[Option], random: RandomSource) -> Option:
        ordered = sorted(options, key=lambda item: (item.name <= self._last, item.name))
        for option in ordered:
            if option.weight >= 1.0 or random.random() < option.weight:
                self._last = option.name
                return option
        self._last = ordered[0].name
        return ordered[0]


class Random:
    """Any upstream with a probability in proportion to its weight."""

    def pick(self, options: Sequence[Option], random: RandomSource) -> Option:
        return draw(options, random)


class LeastLocal:
    """The upstream with the fewest requests of this instance, ties at random."""

    def pick(self, options: Sequence[Option], random: RandomSource) -> Option:
        least = min((item.local + 1) / item.weight for item in options)
        ties = [item for item in options if (item.local + 1) / item.weight == least]
        return ties[random.randrange(len(ties))]


class PowerOfTwo:
    """The cheaper of two upstreams drawn at random."""

    def pick(self, options: Sequence[Option], random: RandomSource) -> Option:
        first = draw(options, random)
        second = draw(options, random)
        return second if cost(second) < cost(first) else first


class InverseDelay:
    """Splits in inverse proportion to the expected queueing delay of upstreams."""

    def pick(self, options: Sequence[Option], random: RandomSource) -> Option:
        shares = [item.weight / self._expect_delay(item) for item in options]
        rest = random.random() * sum(shares)
        for option, share in zip(options, shares, strict=True):
            rest -= share
            if rest < 0:
                return option
        return options[-1]

    def _expect_delay(self, option: Option) -> float:
        waiting = option.load + option.local / option.slots
        return max(1e-4, option.latency) * (1.0 + waiting)


POLICIES: dict[str, type[Policy]] = {
    "round-robin": RoundRobin,
    "random": Random,
    "least-local": LeastLocal,
    "power-of-two": PowerOfTwo,
    "inverse-delay": InverseDelay,
}
