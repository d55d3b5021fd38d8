"""Admits requests under one share of a team's rate limit.

The state of a share is kept by the instance that holds the partition of the share.
"""

from dataclasses import dataclass

from shallotspindle_limits import shares
from shallotspindle_limits.held_shares import HeldShares
from shallotspindle_limits.records import Limit, TokenGrant


@dataclass(frozen=True)
class SingleTeamLimits:
    """Finds the limit of the only team of this program."""

    def find_limit(self, team: str) -> Limit | None:
        return Limit(rate=1.0, burst=3.0) if team == "museum" else None


held_shares = HeldShares()
held_shares.set_limits(SingleTeamLimits(), None, now=0.0)
partition = shares.find_share_partition("museum", 0)
held_shares.add_partition(partition, epoch=1, state=None, now=0.0)
for now in (0.0, 20.0, 20.1, 20.2, 20.3):
    decision = held_shares.take("museum", 0, demand=1.0, may_prefetch=False, now=now)
    print(now, "admitted" if isinstance(decision, TokenGrant) else decision)
