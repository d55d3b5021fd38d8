"""Token bucket of one share at its holder.

The bucket and the outstanding prepaid grants together never pass the share's burst.
"""

from dataclasses import dataclass, field

from shallotspindle_limits import shares
from shallotspindle_limits.records import Denied, Granted, Limit, Share

GRANT_SECONDS = 1.0
# Time after which no fresh instance acts on an older bundle.
CHANGE_SECONDS = 5.0
# Prepaid tokens for this time of the asker's demand; more of them would expire.
PREPAID_SECONDS = 0.25
WAITING_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0


@dataclass(slots=True)
class Bucket:
    """Tokens of a share.

    :param limit: limit of the team that the share was last set to.
    :param share: the share in force.
    :param at: time up to which tokens were added, in seconds; may lie ahead.
    :param pending: a larger share and the time from which it is in force.
    :param grants: expiry and number of tokens of prepaid grants, oldest first.
    :param denials: requests denied recently.
    """

    limit: Limit
    share: Share
    tokens: float
    at: float
    pending: tuple[Share, float] | None = None
    grants: list[tuple[float, int]] = field(default_factory=list)
    denials: float = 0.0
    denied_at: float = float("-inf")

    def count_outstanding(self, now: float) -> int:
        """Return the tokens in prepaid grants that may not have expired."""
        self.grants = [grant for grant in self.grants if grant[0] > now]
        return sum(count for _, count in self.grants)

    def refill(self, now: float) -> None:
        """Add the tokens up to a time."""
        if self.pending is not None and now >= self.pending[1]:
            share, start = self.pending
            self.pending = None
            self._accrue(start)
            self.share = share
        self._accrue(now)
        reserved = max(self.share.prepaid, self.count_outstanding(now))
        self.tokens = min(self.tokens, max(0.0, self.share.burst - reserved))

    def _accrue(self, now: float) -> None:
        if now <= self.at:
            return
        depth = self.share.burst - self.share.prepaid
        added = (now - self.at) * self.share.rate
        self.tokens = min(max(depth, 0.0), self.tokens + added)
        self.at = now

    def change(self, limit: Limit, index: int, now: float) -> None:
        """Apply a new limit of the team.

        What gets smaller does so at once; what gets larger waits until no instance
        acts on the older limit any more.

        :param now: when the holder learnt the limit, in seconds.
        """
        self.refill(now)
        self.limit = limit
        target = shares.find_share(limit, index)
        rate = min(self.share.rate, target.rate)
        burst = min(self.share.burst, target.burst)
        self.share = shares.make_share(rate, burst)
        is_larger = target.rate > rate or target.burst > burst
        self.pending = (target, now + CHANGE_SECONDS) if is_larger else None
        self.refill(now)

    def take(self, demand: float, prepays: bool, now: float) -> Granted | Denied:
        """Take a token for a waiting request.

        :param demand: requests a second of the team at the asker.
        :param prepays: whether the asker may get prepaid tokens.
        """
        self.refill(now)
        if self.tokens < 1:
            return self._deny(now)
        self.tokens -= 1
        prepaid = self._find_prepaid(demand, now) if prepays else 0
        if prepaid > 0:
            self.tokens -= prepaid
            self.grants.append((now + GRANT_SECONDS, prepaid))
        return Granted(prepaid)

    def _find_prepaid(self, demand: float, now: float) -> int:
        room = self.share.prepaid - self.count_outstanding(now)
        # The lower half of the bucket is left to askers that come later.
        spare = self.tokens - self.share.burst / 2
        wanted = demand * PREPAID_SECONDS if demand > 0 else 0.0
        return max(0, int(min(room, spare, wanted)))

    def _deny(self, now: float) -> Denied:
        age = max(0.0, now - self.denied_at)
        self.denials = self.denials * max(0.0, 1 - age / WAITING_SECONDS) + 1
        self.denied_at = now
        return Denied(self._wait_for(1, now), self._wait_for(self.denials, now))

    def _wait_for(self, count: float, now: float) -> float:
        rate = self.share.rate
        if self.pending is not None:
            rate = max(rate, self.pending[0].rate)
        if rate <= 0:
            return MAX_RETRY_SECONDS
        start = max(0.0, self.at - now)
        return min(MAX_RETRY_SECONDS, start + (count - self.tokens) / rate)
