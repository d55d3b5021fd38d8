"""Chooses the upstream of a request among those that may get work."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_core.randomness import RandomSource


@dataclass(frozen=True, slots=True)
class NoUpstream(Failure):
    """No upstream of the service may get the request."""


def choose(
    candidates: Sequence[Upstream],
    in_flight: Mapping[UpstreamName, int],
    random: RandomSource,
) -> Upstream | NoUpstream:
    """Choose the less loaded one of two candidates drawn at random.

    :param candidates: upstreams that may get work.
    :param in_flight: requests of this instance by upstream.
    """
    if not candidates:
        return NoUpstream("service", "no upstream is available")
    first = candidates[random.randrange(len(candidates))]
    second = candidates[random.randrange(len(candidates))]
    if in_flight.get(second.name, 0) < in_flight.get(first.name, 0):
        return second
    return first
