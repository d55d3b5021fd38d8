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

MAX_RETRY_AFTER_SECONDS = 5.0
# A new holder has no tokens, and requests of all instances wait for it at once.
NEW_HOLDER_SECONDS = 2.0


@dataclass(slots=True)
class TeamBucket:
    """Tokens of one team; below zero when tokens were promised ahead.

    :param filled_until: time up to which tokens were added, in seconds.
    """

    tokens: float
    filled_until: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """A token that may be used after a wait in seconds."""

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Exhausted:
    """No token comes within the wait; ``retry_after`` is in seconds."""

    retry_after: float


def convert_burst_to_rate(limit: Limit, window_seconds: float) -> Limit:
    """Return the limit that admits as much in a window, with half of the burst.

    :param window_seconds: length of the windows that are counted, in seconds.
    """
    burst = min(limit.burst, max(1.0, limit.burst / 2))
    return Limit(limit.rate + (limit.burst - burst) / window_seconds, burst)


class TeamBuckets:
    """Buckets of the teams of one right.

    :param held_since: when the right was gained, in seconds.
    :param window_seconds: length of the windows that count, in seconds; None for all.
    """

    def __init__(self, held_since: float, window_seconds: float | None = None) -> None:
        self._held_since = held_since
        self._window_seconds = window_seconds
        self._buckets: dict[TeamName, TeamBucket] = {}

    def take(
        self,
        team: TeamName,
        limit: Limit,
        max_wait_seconds: float,
        now: float,
        new_holder_wait_seconds: float = 0.0,
    ) -> Reservation | Exhausted:
        """Take a token that is there, or comes within a wait.

        :param max_wait_seconds: how long the request can wait, in seconds.
        :param new_holder_wait_seconds: how long it can wait while the right is
            fresh, in seconds.
        """
        if now - self._held_since < NEW_HOLDER_SECONDS:
            max_wait_seconds = max(max_wait_seconds, new_holder_wait_seconds)
        if self._window_seconds is not None:
            limit = convert_burst_to_rate(limit, self._window_seconds)
        bucket = self._buckets.setdefault(team, TeamBucket(0.0, self._held_since))
        added = max(0.0, now - bucket.filled_until) * limit.rate
        bucket.tokens = min(max(1.0, limit.burst), bucket.tokens + added)
        bucket.filled_until = max(now, bucket.filled_until)
        wait = max(0.0, (1.0 - bucket.tokens) / limit.rate)
        if wait > max_wait_seconds:
            return Exhausted(min(MAX_RETRY_AFTER_SECONDS, wait))
        bucket.tokens -= 1.0
        return Reservation(wait)
