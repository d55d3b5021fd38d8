"""State of the instance that requests tokens from the holders of shares.

Prefetched tokens are used first. Then the shares that may have tokens are asked,
ordered by the rank of their holders and randomly within a rank, so that all requesters
spread their requests evenly over the shares.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotspindle_core.identifiers import TeamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_limits.buckets import GRANT_LIFETIME_SECONDS
from shallotspindle_limits.records import TokenDenial, TokenGrant

MAX_SHARES_ASKED = 3
# Time constant of the exponential decay with which demand is estimated.
DEMAND_DECAY_SECONDS = 1.0
IDLE_TEAM_SECONDS = 10.0
# A share without tokens is asked again after this time at the latest, since its holder
# or rate may have changed.
MAX_BLOCKED_SECONDS = 1.0
# Above this number of teams, idle ones are removed when a new team arrives.
PRUNE_THRESHOLD = 512


@dataclass(slots=True)
class TeamState:
    """Demand of one team here, and what is known about its shares.

    :param demand: requests per second at ``last_request_at``; decays exponentially.
    :param grants: expiry time and number of prefetched tokens, oldest grant first.
    :param blocked_until: time before which a share is not asked, by share index.
    :param retry_at: time at which a token is expected, by share index.
    """

    demand: float = 0.0
    last_request_at: float = float("-inf")
    grants: list[list[float]] = field(default_factory=list)
    blocked_until: dict[int, float] = field(default_factory=dict)
    retry_at: dict[int, float] = field(default_factory=dict)

    def count_request(self, now: float) -> None:
        """Add a request to the demand."""
        decay = math.exp(-max(0.0, now - self.last_request_at) / DEMAND_DECAY_SECONDS)
        self.demand = self.demand * decay + 1 / DEMAND_DECAY_SECONDS
        self.last_request_at = now

    def use_prefetched(self, now: float) -> bool:
        """Use a prefetched token and return whether there was one that is valid."""
        self.grants = [grant for grant in self.grants if grant[0] > now and grant[1]]
        if not self.grants:
            return False
        self.grants[0][1] -= 1
        return True


class TokenRequester:
    """Chooses the shares to ask for tokens and keeps the prefetched tokens.

    It does no I/O: the caller sends the requests and reports the responses.
    """

    def __init__(self) -> None:
        self._teams: dict[TeamName, TeamState] = {}

    def admit_prefetched(self, team: TeamName, now: float) -> bool:
        """Count a request and return whether a prefetched token admits it."""
        state = self._teams.get(team)
        if state is None:
            self._prune(now)
            state = self._teams[team] = TeamState()
        state.count_request(now)
        return state.use_prefetched(now)

    def _prune(self, now: float) -> None:
        if len(self._teams) < PRUNE_THRESHOLD:
            return
        self._teams = {
            team: state
            for team, state in self._teams.items()
            if now - state.last_request_at <= IDLE_TEAM_SECONDS
        }

    def estimate_demand(self, team: TeamName) -> float:
        """Return the requests per second of a team as of its latest request."""
        return self._find(team).demand

    def _find(self, team: TeamName) -> TeamState:
        return self._teams.setdefault(team, TeamState())

    def choose_shares(
        self,
        team: TeamName,
        count: int,
        holder_rank: Callable[[int], int],
        random: RandomSource,
        now: float,
    ) -> tuple[int, ...]:
        """Return the indexes of the shares to ask, in order.

        Shares that are known to have no token are left out. Their holders reported
        the earliest time of the next token, so that no available token is missed.

        :param count: number of shares of the team.
        :param holder_rank: returns the rank of the holder of a share; holders of a
            low rank are asked first.
        """
        blocked_until = self._find(team).blocked_until
        unblocked = [
            index for index in range(count) if blocked_until.get(index, now) <= now
        ]
        shuffled = []
        while unblocked:
            shuffled.append(unblocked.pop(random.randrange(len(unblocked))))
        return tuple(sorted(shuffled, key=holder_rank)[:MAX_SHARES_ASKED])

    def record_grant(
        self, team: TeamName, grant: TokenGrant, sent_at: float, now: float
    ) -> bool:
        """Store the prefetched tokens and return whether the grant is still valid.

        Its lifetime counts from the time at which the request was sent.

        :param sent_at: when the request was sent to the holder, in seconds.
        """
        expires_at = sent_at + GRANT_LIFETIME_SECONDS
        if now >= expires_at:
            return False
        if grant.prefetched > 0:
            self._find(team).grants.append([expires_at, grant.prefetched])
        return True

    def record_denial(
        self, team: TeamName, index: int, denial: TokenDenial, sent_at: float
    ) -> None:
        """Store the time until which a share has no token.

        :param sent_at: when the request was sent to the holder, in seconds.
        """
        state = self._find(team)
        state.blocked_until[index] = sent_at + min(
            denial.min_wait_seconds, MAX_BLOCKED_SECONDS
        )
        state.retry_at[index] = sent_at + denial.retry_after

    def find_retry_after(self, team: TeamName, count: int, now: float) -> float | None:
        """Return the time until any blocked share is expected to have a token.

        :param count: number of shares of the team.
        :returns: seconds from now; None if no share is blocked.
        """
        state = self._find(team)
        times = [
            state.retry_at[index]
            for index, until in state.blocked_until.items()
            if until > now and index < count
        ]
        return max(0.0, min(times) - now) if times else None

    def count_teams(self) -> int:
        """Return the number of teams whose state is kept."""
        return len(self._teams)
