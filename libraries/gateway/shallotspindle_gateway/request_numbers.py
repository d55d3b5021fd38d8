"""Numbers by which responses are matched with the requests that they belong to.

A process that restarts keeps its address, and responses to its predecessor may still
arrive there. Each process therefore begins its numbers at a random one.
"""

import itertools
from collections.abc import Iterator

from shallotspindle_core.randomness import RandomSource

# Half of the largest integer that a message can contain, so that the numbers never
# exceed it.
MAX_FIRST_NUMBER = 2**63


def count_from_random(random: RandomSource) -> Iterator[int]:
    """Yield numbers that no earlier process at this address has used.

    :param random: must differ from process to process.
    """
    return itertools.count(random.randrange(MAX_FIRST_NUMBER))
