"""Gossip of changes with duplicate suppression.

A change goes to up to four peers, neighbours first. The graph of neighbours is
connected, so that without losses every instance receives it over open connections.
The digests in heartbeats repair losses.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import TypeVar

from shallotspindle_core.randomness import RandomSource

FAN_OUT = 4
# Twice the longest path measured in the neighbour graph of 770 instances.
MAX_HOPS = 16
# Digests repair a change that is still in transit after this time.
SEEN_CHANGE_TTL_SECONDS = 10.0
MAX_SEEN_CHANGES = 4096

Peer = TypeVar("Peer")


class SeenChanges:
    """Hashes of the changes that were sent or received recently."""

    def __init__(self) -> None:
        self._seen_at: OrderedDict[int, float] = OrderedDict()

    def add(self, change_hash: int, now: float) -> bool:
        """Add a change and return whether it is new.

        :param change_hash: hash of the encoded change.
        :param now: boot time in seconds.
        """
        self._drop_old(now)
        if change_hash in self._seen_at:
            return False
        self._seen_at[change_hash] = now
        return True

    def _drop_old(self, now: float) -> None:
        """Drop expired changes, and the oldest ones when there are too many."""
        while self._seen_at:
            change_hash, seen_at = next(iter(self._seen_at.items()))
            is_expired = now - seen_at > SEEN_CHANGE_TTL_SECONDS
            if not is_expired and len(self._seen_at) < MAX_SEEN_CHANGES:
                return
            del self._seen_at[change_hash]

    def __len__(self) -> int:
        return len(self._seen_at)


def choose_receivers(
    neighbours: Sequence[Peer], others: Sequence[Peer], random: RandomSource
) -> tuple[Peer, ...]:
    """Return up to ``FAN_OUT`` receivers of a change.

    :param neighbours: usable neighbours.
    :param others: other peers, used when there are too few neighbours.
    """
    receivers = list(neighbours[:FAN_OUT])
    candidates = [peer for peer in others if peer not in receivers]
    while candidates and len(receivers) < FAN_OUT:
        receivers.append(candidates.pop(random.randrange(len(candidates))))
    return tuple(receivers)
