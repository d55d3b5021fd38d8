"""What an asker knows of the shares of teams.

Prepaid tokens are used first. Then shares are asked that may have tokens, by the
rank of their holders and in random order among equals, so that all askers use all
shares alike.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotspindle_core.identifiers import TeamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_limits.buckets import GRANT_LIFETIME_SECONDS
from shallotspindle_limits.records import TokenDenial, TokenGrant

MAX_SHARES_ASKED = 3
# Demand is estimated over this time.
DEMAND_DECAY_SECONDS = 1.0
IDLE_TEAM_SECONDS = 10.0
# A share is asked again after this time, since its holder or rate may have changed.
MAX_BLOCKED_SECONDS = 1.0
# Accounts above this number are pruned when they are idle.
PRUNE_THRESHOLD = 512


@dataclass(slots=True)
class TeamState:
    """What is known of one team.

    :param demand: requests a second, falling exponentially since ``last_request_at``.
    :param grants: expiry and number of prepaid tokens, oldest first.
    :param blocked_until: time before which a share has no token, by its index.
    :param retry_at: when a token is expected, by the index of the share.
    """

    demand: float = 0.0
    last_request_at: float = float("-inf")
    grants: list[list[float]] = field(default_factory=list)
    blocked_until: dict[int, float] = field(default_factory=dict)
    retry_at: dict[int, float] = field(default_factory=dict)

    def count_request(self, now: float) -> None:
        """Count a request in the demand."""
        decay = math.exp(-max(0.0, now - self.last_request_at) / DEMAND_DECAY_SECONDS)
        self.demand = self.demand * decay + 1 / DEMAND_DECAY_SECONDS
        self.last_request_at = now

    def use_prefetched(self, now: float) -> bool:
        """Use a prepaid token that has not expired."""
        self.grants = [grant for grant in self.grants if grant[0] > now and grant[1]]
        if not self.grants:
            return False
        self.grants[0][1] -= 1
        return True


class TokenRequester:
    """Accounts of the teams whose requests arrive here."""

    def __init__(self) -> None:
        self._teams: dict[TeamName, TeamState] = {}

    def admit_prefetched(self, team: TeamName, now: float) -> bool:
        """Count a request and return whether a prepaid token admits it."""
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
        """Return the requests a second of a team at its latest request."""
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
        """Return the shares to ask, in order.

        Shares without a token are left out; the holder said since when there can
        be one, so that no admission is missed.

        :param count: number of shares of the team.
        :param holder_rank: rank of the holder of a share; the lowest is asked first.
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
        """Take over a grant and return whether it admits the waiting request.

        :param sent_at: when the request to the holder was sent, in seconds.
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
        """Remember until when a share has no token.

        :param sent_at: when the request to the holder was sent, in seconds.
        """
        state = self._find(team)
        state.blocked_until[index] = sent_at + min(
            denial.min_wait_seconds, MAX_BLOCKED_SECONDS
        )
        state.retry_at[index] = sent_at + denial.retry_after

    def find_retry_after(self, team: TeamName, count: int, now: float) -> float | None:
        """Return the time until a token of some share is expected, in seconds.

        :param count: number of shares of the team.
        :returns: None if no share is known to be without a token.
        """
        state = self._find(team)
        times = [
            state.retry_at[index]
            for index, until in state.blocked_until.items()
            if until > now and index < count
        ]
        return max(0.0, min(times) - now) if times else None

    def count_teams(self) -> int:
        """Return the number of teams with state."""
        return len(self._teams)
