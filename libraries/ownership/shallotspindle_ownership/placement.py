"""Decides which instance should hold which partition.

Uses rendezvous hashing with bounded loads: every partition goes to the highest-ranked
instance that is not full. The load is even, and few partitions move when instances
join or leave.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Collection, Iterable

from shallotspindle_core.hashing import (
    PARTITION_COUNT,
    hash_text,
    rank_rendezvous,
)
from shallotspindle_core.identifiers import Incarnation
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.table import OwnershipTable

# Each time that this passes while partitions stay free, the next instance in their
# ranking acquires them too.
FALLBACK_DELAY_SECONDS = 30.0
# Bounds the work of one rebalancing pass and the burst of messages that it causes.
MAX_MOVES_PER_PASS = 64
OBSERVERS_PER_HOLDER = 3


def compute_fair_load(live: Collection[Incarnation]) -> int:
    """Return the maximum number of partitions per instance when evenly distributed."""
    return -(-PARTITION_COUNT // max(1, len(live)))


def choose_holders(
    partitions: Iterable[int], live: Collection[Incarnation], loads: Counter
) -> dict[int, Incarnation]:
    """Choose a holder for each partition.

    If all instances are full, the highest-ranked one gets the partition.

    :param live: incarnations of the live instances.
    :param loads: number of partitions that each instance holds already.
    """
    max_load = compute_fair_load(live)
    loads = Counter(loads)
    holders = {}
    for partition in partitions:
        ranked = rank_rendezvous(str(partition), live)
        chosen = next((name for name in ranked if loads[name] < max_load), None)
        chosen = chosen or next(iter(ranked), None)
        if chosen is not None:
            loads[chosen] += 1
            holders[partition] = chosen
    return holders


def choose_partitions_to_acquire(
    table: OwnershipTable,
    own_incarnation: Incarnation,
    live: Collection[Incarnation],
    free_seconds: float,
) -> list[int]:
    """Return the free partitions that this instance acquires now.

    :param free_seconds: how long the same partitions have been free.
    """
    free = tables.list_free_partitions(table)
    if not free:
        return []
    eligible_count = 1 + int(free_seconds // FALLBACK_DELAY_SECONDS)
    if eligible_count >= len(live):
        return free
    loads = tables.count_partitions_by_holder(table)
    holders = choose_holders(free, live, loads)
    if eligible_count == 1:
        return [
            partition for partition in free if holders[partition] == own_incarnation
        ]
    eligible = {
        partition: rank_rendezvous(str(partition), live)[:eligible_count]
        for partition in free
    }
    return [
        partition
        for partition in free
        if holders[partition] == own_incarnation
        or own_incarnation in eligible[partition]
    ]


def choose_moves(
    table: OwnershipTable, own_incarnation: Incarnation, live: Collection[Incarnation]
) -> dict[int, Incarnation]:
    """Return the successor of each partition that this instance hands over.

    It hands over what it holds above the fair load, and only to instances that hold
    less than it does afterwards.
    """
    held = tables.list_held_partitions(table, own_incarnation)
    surplus = len(held) - compute_fair_load(live)
    if surplus <= 0 or own_incarnation not in live:
        return {}
    others = [name for name in live if name != own_incarnation]
    loads = tables.count_partitions_by_holder(table)
    moved = sorted(held)[: min(surplus, MAX_MOVES_PER_PASS)]
    successors = choose_holders(moved, others, loads)
    return {
        partition: name
        for partition, name in successors.items()
        if loads[name] + 1 < len(held)
    }


def list_observed_holders(
    own_incarnation: Incarnation,
    live: Collection[Incarnation],
    holders: Iterable[Incarnation],
) -> list[Incarnation]:
    """Return the holders whose sessions this instance reads.

    The live instances form a hash ring, and the ``OBSERVERS_PER_HOLDER`` instances
    after a holder observe it. This takes one hash per name, while ranking all
    instances for each holder would take 600,000 hashes per pass at 770 instances.
    """
    ring = sorted((hash_text("observe", name), name) for name in live)
    observed = []
    for holder in holders:
        start = bisect(ring, (hash_text("observe", holder), holder))
        count = min(OBSERVERS_PER_HOLDER, len(ring))
        observers = [ring[(start + n) % len(ring)][1] for n in range(count)]
        if own_incarnation in observers and own_incarnation != holder:
            observed.append(holder)
    return observed
