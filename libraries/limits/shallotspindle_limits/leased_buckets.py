"""Token buckets of teams whose whole limit is enforced by one holder under a lease.

A new holder starts with empty buckets, because it does not know what its predecessor
granted. A holder reserves no token that is due after it has given up the lease, and it
keeps the lease until its last reservation is due. At most ``rate * t + burst`` requests
are therefore admitted in every window of t seconds, also across a change of the holder,
unless the process of a killed holder starts again before its last reservation is due.
Where a deployment counts requests in windows of one fixed length, half of the burst is
converted to a higher rate, so that a team that always sends more than its limit can use
all of each window.
"""

import math
from dataclasses import dataclass

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.records import Limit

MAX_RETRY_AFTER_SECONDS = 5.0
# For this time after the change of the holder, requests may wait longer: the new holder
# has no tokens yet, and the requests of all instances arrive at once.
NEW_HOLDER_SECONDS = 2.0


@dataclass(slots=True)
class TeamBucket:
    """Token bucket of one team.

    :param tokens: below zero if tokens have been reserved in advance.
    :param filled_until: time up to which tokens have been added, in seconds.
    """

    tokens: float
    filled_until: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """A token that may be used after a wait."""

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Exhausted:
    """No token will be available within the allowed wait.

    :param retry_after: time until a token is available, in seconds, at most
        ``MAX_RETRY_AFTER_SECONDS``.
    """

    retry_after: float


@dataclass(frozen=True, slots=True)
class HolderEnds:
    """The token will be granted by the next holder."""


def convert_burst_to_rate(limit: Limit, window_seconds: float) -> Limit:
    """Return a limit with half of the burst that admits as much in a full window.

    :param window_seconds: length of the windows in which requests are counted.
    """
    burst = min(limit.burst, max(1.0, limit.burst / 2))
    return Limit(limit.rate + (limit.burst - burst) / window_seconds, burst)


class TeamBuckets:
    """Buckets of the teams whose limits are enforced under one lease.

    :param held_since: when this holder acquired the lease, in seconds.
    :param window_seconds: length of the windows in which requests are counted; None
        if the limit applies to windows of every length.
    :ivar reserved_until: when the last reserved token is due, in seconds.
    """

    def __init__(self, held_since: float, window_seconds: float | None = None) -> None:
        self.reserved_until = held_since
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
        held_until: float = math.inf,
    ) -> Reservation | Exhausted | HolderEnds:
        """Take a token that is available now or within the allowed wait.

        :param max_wait_seconds: how long the request may wait for a token.
        :param new_holder_wait_seconds: how long it may wait during
            ``NEW_HOLDER_SECONDS`` after the lease was acquired, if that is longer.
        :param held_until: when this holder gives up the lease, in seconds.
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
        due_at = now + wait
        if wait > max_wait_seconds:
            return Exhausted(min(MAX_RETRY_AFTER_SECONDS, wait))
        if due_at > held_until:
            return HolderEnds()
        bucket.tokens -= 1.0
        self.reserved_until = max(self.reserved_until, due_at)
        return Reservation(wait)
