"""Division of a team's limit into shares.

The rates and bursts of all shares never add up to more than the limit.
"""

import functools
import math

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.records import Limit, Share

# The shares of a holder that crashes while the store is unavailable stay unused until
# the store is back. With four shares, the loss of one costs a quarter of the rate, and
# 16 to 17 % of a large team's requests within its rate were refused
# (docs/experiments-limits.md).
MAX_SHARES = 16
# With shares of two tokens, 8 to 22 % of a small team's requests within its rate were
# refused (docs/experiments-limits.md).
MIN_SHARE_BURST = 8
# In a smaller share, prefetched tokens that are not used would be a large part of the
# burst.
MIN_PREFETCH_BURST = 8
PREFETCH_FRACTION = 0.25
ZERO_SHARE = Share(0.0, 0.0, 0.0)


def count_shares(limit: Limit) -> int:
    """Return the number of shares of a limit, from 1 to ``MAX_SHARES``."""
    return max(1, min(MAX_SHARES, math.floor(limit.burst / MIN_SHARE_BURST)))


def make_share(rate: float, burst: float) -> Share:
    """Return a share with its upper bound of prefetched tokens."""
    max_prefetched = burst * PREFETCH_FRACTION if burst >= MIN_PREFETCH_BURST else 0.0
    return Share(rate, burst, max_prefetched)


def _divide(amount: float, count: int) -> float:
    part = amount / count
    # If the division rounds up, the sum of all parts exceeds the limit.
    return part if part * count <= amount else math.nextafter(part, 0.0)


@functools.lru_cache(maxsize=1024)
def find_share(limit: Limit, index: int) -> Share:
    """Return a share of a limit.

    :returns: ``ZERO_SHARE`` if the limit has no share with this index.
    """
    count = count_shares(limit)
    if not 0 <= index < count:
        return ZERO_SHARE
    return make_share(_divide(limit.rate, count), _divide(limit.burst, count))


@functools.lru_cache(maxsize=4096)
def find_share_partition(team: TeamName, index: int) -> int:
    """Return the number of the partition that a share belongs to."""
    return hashing.find_partition("limit", team, str(index))
