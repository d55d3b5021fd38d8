"""Chooses the subset of a service's upstreams that an instance connects to.

Instances choose independently, so the number of connections to an upstream varies.
The expected number of instances per upstream is kept five standard deviations below
what the upstream's connection limit allows. Half of the limit is for instances of
the upstream's failure domain, the other half for all others.
"""

import math
from collections.abc import Mapping, Sequence, Set

from shallotspindle_bundles.records import Upstream
from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain, UpstreamName

SAFETY_DEVIATIONS = 5.0
# Connections that one instance opens to one upstream: one for each of its two slots.
CONNECTIONS_PER_UPSTREAM = 2


def find_mean_fan_in(connection_limit: int, connections_per_upstream: int) -> float:
    """Return the mean number of instances that may choose an upstream.

    Solves ``mean + 5 * sqrt(mean) = connection_limit / connections_per_upstream``.
    The number of instances per upstream is nearly Poisson distributed, so its
    standard deviation is the square root of its mean.
    """
    max_instances = connection_limit / connections_per_upstream
    root = (
        -SAFETY_DEVIATIONS + math.sqrt(SAFETY_DEVIATIONS**2 + 4 * max_instances)
    ) / 2
    return root * root


def find_subset_size(
    upstream_count: int, instance_count: int, mean_fan_in: float
) -> int:
    """Return how many of the upstreams each instance may choose."""
    if instance_count * 1.0 <= mean_fan_in:
        return upstream_count
    return min(upstream_count, int(mean_fan_in * upstream_count / instance_count))


def choose_subset(
    incarnation: str,
    domain: FailureDomain,
    upstreams: Sequence[Upstream],
    instance_counts: Mapping[FailureDomain, int],
    connections_per_upstream: int = CONNECTIONS_PER_UPSTREAM,
) -> frozenset[UpstreamName]:
    """Return the upstreams that an instance connects to.

    The upstreams are chosen by rendezvous hashing, so that an added or removed
    upstream changes few connections.

    :param incarnation: identifies the instance that chooses.
    :param domain: failure domain of that instance.
    :param instance_counts: number of instances by failure domain, this one included.
    :param connections_per_upstream: connections that an instance opens to an upstream.
    """
    if not upstreams:
        return frozenset()
    connection_limit = min(item.connections for item in upstreams)
    total = max(1, sum(instance_counts.values()))
    if total * connections_per_upstream <= connection_limit:
        return frozenset(item.name for item in upstreams)
    mean_fan_in = find_mean_fan_in(connection_limit, connections_per_upstream) / 2
    local = [item.name for item in upstreams if item.domain == domain]
    local_size = find_subset_size(
        len(local), max(1, instance_counts.get(domain, 0)), mean_fan_in
    )
    remote = [item.name for item in upstreams if item.domain != domain]
    remote_size = find_subset_size(len(remote), total, mean_fan_in)
    if local_size + remote_size == 0:
        # An instance needs at least one upstream, even if the connection limit is too
        # small for all instances.
        remote_size = 1
    return frozenset(
        [
            *hashing.rank_rendezvous(f"near/{incarnation}", local)[:local_size],
            *hashing.rank_rendezvous(f"far/{incarnation}", remote)[:remote_size],
        ]
    )


def extend_subset(
    incarnation: str,
    subset: frozenset[UpstreamName],
    upstreams: Sequence[Upstream],
    usable: Set[str],
    min_usable: int,
) -> frozenset[UpstreamName]:
    """Add usable upstreams to a subset until it has enough of them.

    :param usable: names of upstreams that may get requests.
    :param min_usable: number of usable upstreams to reach if there are as many.
    """
    missing = min_usable - len(subset & usable)
    if missing <= 0:
        return subset
    names = [item.name for item in upstreams if item.name in usable - subset]
    ranked = hashing.rank_rendezvous(f"far/{incarnation}", names)
    return subset | frozenset(ranked[:missing])
