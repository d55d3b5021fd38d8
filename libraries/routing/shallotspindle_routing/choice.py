"""Chooses the upstream of a request among those that may get work.

Used by the front end until it asks the balancing task.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_routing.policies import Option, PowerOfTwo


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
    options = [
        Option(item.name, in_flight.get(item.name, 0), 0.0, item.slots, 0.0, 1.0)
        for item in candidates
    ]
    chosen = PowerOfTwo().pick(options, random)
    return candidates[options.index(chosen)]
