"""Token buckets of teams whose whole rate one holder owns under a lease.

A holder that takes a right over starts with no token, because what its predecessor
spent is not known; in every window of t seconds at most ``rate * t + burst`` requests
are then admitted, whoever holds the right. A deployment that counts in windows of one
length gets part of the burst as a higher rate, so that a team that always asks for more
uses all of each window.
"""

from dataclasses import dataclass

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.records import Limit

LONGEST_RETRY_SECONDS = 5.0
# A new holder has no tokens, and requests of all instances wait for it at once.
FRESH_SECONDS = 2.0


@dataclass(slots=True)
class Bucket:
    """Tokens of one team; below zero when tokens were promised ahead.

    :param at: time up to which tokens were added, in seconds.
    """

    tokens: float
    at: float


@dataclass(frozen=True, slots=True)
class Promise:
    """A token that may be used after a wait in seconds."""

    after: float


@dataclass(frozen=True, slots=True)
class Exhausted:
    """No token comes within the wait; ``retry_after`` is in seconds."""

    retry_after: float


def spread_burst(limit: Limit, window: float) -> Limit:
    """Return the limit that admits as much in a window, with half of the burst.

    :param window: length of the windows that are counted, in seconds.
    """
    burst = min(limit.burst, max(1.0, limit.burst / 2))
    return Limit(limit.rate + (limit.burst - burst) / window, burst)


class TeamBuckets:
    """Buckets of the teams of one right.

    :param since: when the right was gained, in seconds.
    :param window: length of the windows that count, in seconds; None for all.
    """

    def __init__(self, since: float, window: float | None = None) -> None:
        self._since = since
        self._window = window
        self._buckets: dict[TeamName, Bucket] = {}

    def take(
        self,
        team: TeamName,
        limit: Limit,
        longest_wait: float,
        now: float,
        fresh_wait: float = 0.0,
    ) -> Promise | Exhausted:
        """Take a token that is there, or comes within a wait.

        :param longest_wait: how long the request can wait, in seconds.
        :param fresh_wait: how long it can wait while the right is fresh, in seconds.
        """
        if now - self._since < FRESH_SECONDS:
            longest_wait = max(longest_wait, fresh_wait)
        if self._window is not None:
            limit = spread_burst(limit, self._window)
        bucket = self._buckets.setdefault(team, Bucket(0.0, self._since))
        added = max(0.0, now - bucket.at) * limit.rate
        bucket.tokens = min(max(1.0, limit.burst), bucket.tokens + added)
        bucket.at = max(now, bucket.at)
        wait = max(0.0, (1.0 - bucket.tokens) / limit.rate)
        if wait > longest_wait:
            return Exhausted(min(LONGEST_RETRY_SECONDS, wait))
        bucket.tokens -= 1.0
        return Promise(wait)
