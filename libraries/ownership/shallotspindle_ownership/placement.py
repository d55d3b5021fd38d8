"""Which instance should hold which partition.

Rendezvous hash with a bound on the load: every partition goes to its best instance
that is not full, so that the spread is even and few partitions move.
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
from shallotspindle_ownership.table import Table

# The next best instance acquires a free partition when the better ones have not.
PATIENCE_SECONDS = 30.0
# Bounds the work and the burst of messages of one pass.
MOVES_PER_PASS = 64
OBSERVERS = 3


def measure_fair_load(live: Collection[Incarnation]) -> int:
    """Return the largest number of partitions of one instance in an even spread."""
    return -(-PARTITION_COUNT // max(1, len(live)))


def place(
    partitions: Iterable[int], live: Collection[Incarnation], loads: Counter
) -> dict[int, Incarnation]:
    """Choose a holder for each partition.

    :param loads: partitions that each instance holds already.
    """
    bound = measure_fair_load(live)
    loads = Counter(loads)
    placed = {}
    for number in partitions:
        ranked = rank_rendezvous(str(number), live)
        chosen = next((name for name in ranked if loads[name] < bound), None)
        chosen = chosen or next(iter(ranked), None)
        if chosen is not None:
            loads[chosen] += 1
            placed[number] = chosen
    return placed


def choose_free(
    table: Table, me: Incarnation, live: Collection[Incarnation], waited: float
) -> list[int]:
    """Return the free partitions that this instance acquires now.

    :param waited: seconds for which the same partitions have been free.
    """
    free = tables.list_free(table)
    if not free:
        return []
    ranks = 1 + int(waited // PATIENCE_SECONDS)
    if ranks >= len(live):
        return free
    loads = tables.count_holdings(table)
    placed = place(free, live, loads)
    if ranks == 1:
        return [number for number in free if placed[number] == me]
    best = {n: rank_rendezvous(str(n), live)[:ranks] for n in free}
    return [n for n in free if placed[n] == me or me in best[n]]


def choose_moves(
    table: Table, me: Incarnation, live: Collection[Incarnation]
) -> dict[int, Incarnation]:
    """Return the partitions that this instance gives away to even the load."""
    held = tables.list_held(table, me)
    surplus = len(held) - measure_fair_load(live)
    if surplus <= 0 or me not in live:
        return {}
    others = [name for name in live if name != me]
    loads = tables.count_holdings(table)
    moved = sorted(held)[: min(surplus, MOVES_PER_PASS)]
    placed = place(moved, others, loads)
    return {n: name for n, name in placed.items() if loads[name] + 1 < len(held)}


def list_observed(
    me: Incarnation, live: Collection[Incarnation], holders: Iterable[Incarnation]
) -> list[Incarnation]:
    """Return the holders whose sessions this instance reads.

    The live instances stand on a ring, and the few that follow a holder observe it.
    This takes one hash a name, while ranking all for each holder would take
    600,000 hashes a pass at 770 instances.
    """
    ring = sorted((hash_text("observe", name), name) for name in live)
    found = []
    for holder in holders:
        start = bisect(ring, (hash_text("observe", holder), holder))
        count = min(OBSERVERS, len(ring))
        followers = [ring[(start + n) % len(ring)][1] for n in range(count)]
        if me in followers and me != holder:
            found.append(holder)
    return found
