"""Chooses which upstreams of a service an instance connects to.

The number of connections to an upstream stays below its limit: the expected number
of instances that choose an upstream is kept five standard deviations below what the
limit carries. Half of the room is for instances of the upstream's failure domain.
"""

import math
from collections.abc import Mapping, Sequence

from shallotspindle_bundles.records import Upstream
from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain, UpstreamName

DEVIATIONS = 5.0
# Connections that one instance opens to one upstream; it has two slots.
CONNECTIONS_PER_UPSTREAM = 2


def find_mean_degree(connections: int, each: int) -> float:
    """Return how many instances may choose an upstream on average.

    Solves ``mean + 5 * sqrt(mean) = connections / each``, the choices being nearly
    Poisson distributed.
    """
    room = connections / each
    root = (-DEVIATIONS + math.sqrt(DEVIATIONS**2 + 4 * room)) / 2
    return root * root


def count_choices(upstreams: int, instances: int, degree: float) -> int:
    """Return how many of the upstreams each of the instances may choose."""
    if instances * 1.0 <= degree:
        return upstreams
    return min(upstreams, int(degree * upstreams / instances))


def choose_subset(
    incarnation: str,
    domain: FailureDomain,
    upstreams: Sequence[Upstream],
    instances: Mapping[FailureDomain, int],
    each: int = CONNECTIONS_PER_UPSTREAM,
) -> frozenset[UpstreamName]:
    """Return the upstreams that an instance uses.

    :param incarnation: the instance that chooses.
    :param instances: number of instances by failure domain, this one included.
    :param each: connections that an instance opens to one upstream.
    """
    if not upstreams:
        return frozenset()
    limit = min(item.connections for item in upstreams)
    total = max(1, sum(instances.values()))
    if total * each <= limit:
        return frozenset(item.name for item in upstreams)
    degree = find_mean_degree(limit, each) / 2
    near = [item.name for item in upstreams if item.domain == domain]
    local = count_choices(len(near), max(1, instances.get(domain, 0)), degree)
    anywhere = count_choices(len(upstreams), total, degree)
    names = [item.name for item in upstreams]
    # At least one upstream is chosen even when the limit is too small for that.
    spread = hashing.rank_rendezvous(f"any/{incarnation}", names)[: max(1, anywhere)]
    return frozenset(
        [
            *hashing.rank_rendezvous(f"near/{incarnation}", near)[:local],
            *spread,
        ]
    )
