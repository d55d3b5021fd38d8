"""Chooses which upstreams of a service an instance connects to.

The number of connections to an upstream stays below its limit: the expected number
of instances that choose an upstream is kept five standard deviations below what the
limit carries. Half of the room is for instances of the upstream's failure domain,
the other half for the rest.
"""

import math
from collections.abc import Mapping, Sequence, Set

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
    far = [item.name for item in upstreams if item.domain != domain]
    remote = count_choices(len(far), total, degree)
    if local + remote == 0:
        # One upstream is chosen even when the limit is too small for all instances.
        remote = 1
    return frozenset(
        [
            *hashing.rank_rendezvous(f"near/{incarnation}", near)[:local],
            *hashing.rank_rendezvous(f"far/{incarnation}", far)[:remote],
        ]
    )


def extend_subset(
    incarnation: str,
    subset: frozenset[UpstreamName],
    upstreams: Sequence[Upstream],
    usable: Set[str],
    least: int,
) -> frozenset[UpstreamName]:
    """Add upstreams until enough of the subset are usable.

    :param usable: upstreams that may get work.
    :param least: number of usable upstreams to reach, if there are as many.
    """
    missing = least - len(subset & usable)
    if missing <= 0:
        return subset
    names = [item.name for item in upstreams if item.name in usable - subset]
    ranked = hashing.rank_rendezvous(f"far/{incarnation}", names)
    return subset | frozenset(ranked[:missing])
