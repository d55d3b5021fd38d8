"""Division of a team's limit into shares.

The shares of a limit never add up to more than the limit.
"""

import functools
import math

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.records import Limit, Share

MAX_SHARES = 4
# A share holds two tokens at least, so that one waits while the other is spent.
MIN_SHARE_BURST = 2
# Below this burst a prepaid grant would strand a notable part of the share.
PREPAID_MIN_BURST = 8
PREPAID_FRACTION = 0.25
NO_SHARE = Share(0.0, 0.0, 0.0)


def count_shares(limit: Limit) -> int:
    """Return the number of shares of a limit, from 1 to ``MAX_SHARES``."""
    return max(1, min(MAX_SHARES, math.floor(limit.burst / MIN_SHARE_BURST)))


def make_share(rate: float, burst: float) -> Share:
    """Return a share with its bound of prepaid tokens."""
    prepaid = burst * PREPAID_FRACTION if burst >= PREPAID_MIN_BURST else 0.0
    return Share(rate, burst, prepaid)


def _divide(amount: float, count: int) -> float:
    part = amount / count
    # Rounding up would let the sum pass the limit.
    return part if part * count <= amount else math.nextafter(part, 0.0)


@functools.lru_cache(maxsize=1024)
def find_share(limit: Limit, index: int) -> Share:
    """Return a share of a limit; ``NO_SHARE`` if the limit has fewer shares."""
    count = count_shares(limit)
    if not 0 <= index < count:
        return NO_SHARE
    return make_share(_divide(limit.rate, count), _divide(limit.burst, count))


@functools.lru_cache(maxsize=4096)
def find_share_partition(team: TeamName, index: int) -> int:
    """Return the number of the partition that a share belongs to."""
    return hashing.find_partition("limit", team, str(index))
