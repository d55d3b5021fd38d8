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
from shallotspindle_limits.buckets import GRANT_SECONDS
from shallotspindle_limits.records import Denied, Granted

MAX_TRIES = 3
# Demand is estimated over this time.
DEMAND_SECONDS = 1.0
IDLE_SECONDS = 10.0
# A share is asked again after this time, since its holder or rate may have changed.
BLOCKED_SECONDS = 1.0
# Accounts above this number are pruned when they are idle.
PRUNED_ACCOUNTS = 512


@dataclass(slots=True)
class Account:
    """What is known of one team.

    :param demand: requests a second, falling exponentially since ``at``.
    :param grants: expiry and number of prepaid tokens, oldest first.
    :param blocked: time before which a share has no token, by its index.
    :param retry_at: when a token is expected, by the index of the share.
    """

    demand: float = 0.0
    at: float = float("-inf")
    grants: list[list[float]] = field(default_factory=list)
    blocked: dict[int, float] = field(default_factory=dict)
    retry_at: dict[int, float] = field(default_factory=dict)

    def note_request(self, now: float) -> None:
        """Count a request in the demand."""
        decay = math.exp(-max(0.0, now - self.at) / DEMAND_SECONDS)
        self.demand = self.demand * decay + 1 / DEMAND_SECONDS
        self.at = now

    def spend(self, now: float) -> bool:
        """Use a prepaid token that has not expired."""
        self.grants = [grant for grant in self.grants if grant[0] > now and grant[1]]
        if not self.grants:
            return False
        self.grants[0][1] -= 1
        return True


class Wallet:
    """Accounts of the teams whose requests arrive here."""

    def __init__(self) -> None:
        self._accounts: dict[TeamName, Account] = {}

    def begin(self, team: TeamName, now: float) -> bool:
        """Count a request and return whether a prepaid token admits it."""
        account = self._accounts.get(team)
        if account is None:
            self._prune(now)
            account = self._accounts[team] = Account()
        account.note_request(now)
        return account.spend(now)

    def _prune(self, now: float) -> None:
        if len(self._accounts) < PRUNED_ACCOUNTS:
            return
        self._accounts = {
            team: account
            for team, account in self._accounts.items()
            if now - account.at <= IDLE_SECONDS
        }

    def estimate_demand(self, team: TeamName) -> float:
        """Return the requests a second of a team at its latest request."""
        return self._find(team).demand

    def _find(self, team: TeamName) -> Account:
        return self._accounts.setdefault(team, Account())

    def plan(
        self,
        team: TeamName,
        count: int,
        rank: Callable[[int], int],
        random: RandomSource,
        now: float,
    ) -> tuple[int, ...]:
        """Return the shares to ask, in order.

        Shares without a token are left out; the holder said since when there can be
        one, so that no admission is missed.

        :param count: number of shares of the team.
        :param rank: rank of the holder of a share; the lowest is asked first.
        """
        blocked = self._find(team).blocked
        left = [index for index in range(count) if blocked.get(index, now) <= now]
        shuffled = []
        while left:
            shuffled.append(left.pop(random.randrange(len(left))))
        return tuple(sorted(shuffled, key=rank)[:MAX_TRIES])

    def note_granted(
        self, team: TeamName, granted: Granted, sent_at: float, now: float
    ) -> bool:
        """Take over a grant and return whether it admits the waiting request.

        :param sent_at: when the request to the holder was sent, in seconds.
        """
        expires_at = sent_at + GRANT_SECONDS
        if now >= expires_at:
            return False
        if granted.prepaid > 0:
            self._find(team).grants.append([expires_at, granted.prepaid])
        return True

    def note_denied(
        self, team: TeamName, index: int, denied: Denied, sent_at: float
    ) -> None:
        """Remember until when a share has no token.

        :param sent_at: when the request to the holder was sent, in seconds.
        """
        account = self._find(team)
        account.blocked[index] = sent_at + min(denied.next_token, BLOCKED_SECONDS)
        account.retry_at[index] = sent_at + denied.retry_after

    def find_retry(self, team: TeamName, count: int, now: float) -> float | None:
        """Return the time until a token of some share is expected, in seconds.

        :param count: number of shares of the team.
        :returns: None if no share is known to be without a token.
        """
        account = self._find(team)
        times = [
            account.retry_at[index]
            for index, until in account.blocked.items()
            if until > now and index < count
        ]
        return max(0.0, min(times) - now) if times else None

    def count_accounts(self) -> int:
        """Return the number of teams with state."""
        return len(self._accounts)
