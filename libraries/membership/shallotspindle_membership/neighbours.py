"""Chooses which instances exchange heartbeats.

Each ring orders all instances by a rendezvous hash of their names, and the neighbours
of an instance are those next to it on the rings. A ring is connected, so the graph is
connected for every number of instances. Its degree is at most twice the number of
rings.
"""

from collections.abc import Iterable

from shallotspindle_core import hashing

# 4 neighbours keep the heartbeats of both directions under 2 KB/s with TCP headers.
RING_COUNT = 2


def find_neighbours(own_name: str, other_names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of an instance's neighbours, without duplicates."""
    names = {own_name, *other_names}
    neighbours: dict[str, None] = {}
    for ring in range(RING_COUNT):
        order = hashing.rank_rendezvous(f"ring {ring}", names)
        position = order.index(own_name)
        neighbours[order[position - 1]] = None
        neighbours[order[(position + 1) % len(order)]] = None
    neighbours.pop(own_name, None)
    return tuple(neighbours)
