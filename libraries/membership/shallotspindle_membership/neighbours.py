"""Which instances exchange heartbeats.

Each ring orders all instances by the rendezvous hash of its name, and an instance's
neighbours are those beside it. A ring is connected, so the graph is connected for
every number of instances, and its degree is at most twice the number of rings.
"""

from collections.abc import Iterable

from shallotspindle_core import hashing

# 4 neighbours keep heartbeats of both directions under 2 KB a second with TCP headers.
RING_COUNT = 2


def find_neighbours(own: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the neighbours of an instance, without repeats.

    :param own: name of this instance.
    :param others: names of the other instances.
    """
    names = {own, *others}
    found: dict[str, None] = {}
    for ring in range(RING_COUNT):
        order = hashing.rank_rendezvous(f"ring {ring}", names)
        place = order.index(own)
        found[order[place - 1]] = None
        found[order[(place + 1) % len(order)]] = None
    found.pop(own, None)
    return tuple(found)
