"""Division of a team's limit into shares.

The shares of a limit never add up to more than the limit.
"""

import functools
import math

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.records import Limit, Share

# A crash during an outage of the store costs the holder's shares. The loss of one of
# four is a quarter of the rate and refused 16 to 17 % of a large team's requests within
# it (docs/experiments-limits.md).
MAX_SHARES = 16
# Shares of two tokens refused 8 to 22 % of a small team's requests within its rate
# (docs/experiments-limits.md).
MIN_SHARE_BURST = 8
# Below this burst a prepaid grant would strand a notable part of the share.
MIN_PREFETCH_BURST = 8
PREFETCH_FRACTION = 0.25
ZERO_SHARE = Share(0.0, 0.0, 0.0)


def count_shares(limit: Limit) -> int:
    """Return the number of shares of a limit, from 1 to ``MAX_SHARES``."""
    return max(1, min(MAX_SHARES, math.floor(limit.burst / MIN_SHARE_BURST)))


def make_share(rate: float, burst: float) -> Share:
    """Return a share with its bound of prepaid tokens."""
    max_prefetched = burst * PREFETCH_FRACTION if burst >= MIN_PREFETCH_BURST else 0.0
    return Share(rate, burst, max_prefetched)


def _divide(amount: float, count: int) -> float:
    part = amount / count
    # Rounding up would let the sum pass the limit.
    return part if part * count <= amount else math.nextafter(part, 0.0)


@functools.lru_cache(maxsize=1024)
def find_share(limit: Limit, index: int) -> Share:
    """Return a share of a limit; ``ZERO_SHARE`` if the limit has fewer shares."""
    count = count_shares(limit)
    if not 0 <= index < count:
        return ZERO_SHARE
    return make_share(_divide(limit.rate, count), _divide(limit.burst, count))


@functools.lru_cache(maxsize=4096)
def find_share_partition(team: TeamName, index: int) -> int:
    """Return the number of the partition that a share belongs to."""
    return hashing.find_partition("limit", team, str(index))
