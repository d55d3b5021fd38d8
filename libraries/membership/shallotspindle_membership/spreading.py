"""Spreading of changes with duplicate suppression.

A change goes to up to four peers, neighbours first: the graph of neighbours is
connected, so that without losses every instance gets it over open connections.
Losses are repaired by the digests in heartbeats.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import TypeVar

from shallotspindle_core.randomness import RandomSource

FAN_OUT = 4
# Twice the longest path that the neighbour graph of 770 instances showed.
HOP_LIMIT = 16
# A change that is still under way after this time is repaired by digests instead.
REMEMBERED_SECONDS = 10.0
REMEMBERED_CHANGES = 4096

Item = TypeVar("Item")


class SeenChanges:
    """Hashes of the changes that were sent or received recently."""

    def __init__(self) -> None:
        self._seen: OrderedDict[int, float] = OrderedDict()

    def add(self, number: int, now: float) -> bool:
        """Remember a change and return whether it is new.

        :param number: hash of the encoded change.
        :param now: boot-time in seconds.
        """
        self._expire(now)
        if number in self._seen:
            return False
        self._seen[number] = now
        return True

    def _expire(self, now: float) -> None:
        while self._seen:
            number, added_at = next(iter(self._seen.items()))
            is_old = now - added_at > REMEMBERED_SECONDS
            if not is_old and len(self._seen) < REMEMBERED_CHANGES:
                return
            del self._seen[number]

    def __len__(self) -> int:
        return len(self._seen)


def choose_receivers(
    neighbours: Sequence[Item], others: Sequence[Item], random: RandomSource
) -> tuple[Item, ...]:
    """Return up to ``FAN_OUT`` receivers of a change.

    :param neighbours: usable neighbours.
    :param others: other peers, used when there are too few neighbours.
    """
    chosen = list(neighbours[:FAN_OUT])
    rest = [peer for peer in others if peer not in chosen]
    while rest and len(chosen) < FAN_OUT:
        chosen.append(rest.pop(random.randrange(len(rest))))
    return tuple(chosen)
