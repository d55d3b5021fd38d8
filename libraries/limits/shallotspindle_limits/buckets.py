"""Token bucket of one share at its holder.

The tokens in the bucket and the outstanding prefetched tokens together never exceed the
burst of the share.
"""

from dataclasses import dataclass, field

from shallotspindle_limits import shares
from shallotspindle_limits.records import Limit, Share, TokenDenial, TokenGrant

GRANT_LIFETIME_SECONDS = 1.0
# After this time, every instance that still admits requests uses the new bundle. A
# larger share takes effect only then, since all shares together could exceed the limit
# before.
LIMIT_CHANGE_DELAY_SECONDS = 5.0
# Prefetched tokens cover the requester's demand of this time; with more of them, many
# would expire unused.
PREFETCH_SECONDS = 0.25
# The count of recent denials falls linearly to zero over this time.
DENIAL_DECAY_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclass(slots=True)
class ShareBucket:
    """Token bucket of a share.

    :param limit: limit of the team that was set last.
    :param share: share that is in force now.
    :param filled_until: time up to which tokens have been added, in seconds; in the
        future if the bucket starts to fill later.
    :param pending_share: a larger share and the time at which it takes effect.
    :param grants: expiry time and count of prefetched tokens, oldest grant first.
    :param recent_denials: number of recent denials, which decays over time.
    """

    limit: Limit
    share: Share
    tokens: float
    filled_until: float
    pending_share: tuple[Share, float] | None = None
    grants: list[tuple[float, int]] = field(default_factory=list)
    recent_denials: float = 0.0
    last_denied_at: float = float("-inf")

    def count_outstanding(self, now: float) -> int:
        """Return the number of prefetched tokens that may still be used."""
        self.grants = [grant for grant in self.grants if grant[0] > now]
        return sum(count for _, count in self.grants)

    def refill(self, now: float) -> None:
        """Add the tokens that accrued until now."""
        if self.pending_share is not None and now >= self.pending_share[1]:
            share, start = self.pending_share
            self.pending_share = None
            self._accrue(start)
            self.share = share
        self._accrue(now)
        reserved = max(self.share.max_prefetched, self.count_outstanding(now))
        self.tokens = min(self.tokens, max(0.0, self.share.burst - reserved))

    def _accrue(self, now: float) -> None:
        if now <= self.filled_until:
            return
        capacity = self.share.burst - self.share.max_prefetched
        added = (now - self.filled_until) * self.share.rate
        self.tokens = min(max(capacity, 0.0), self.tokens + added)
        self.filled_until = now

    def set_limit(self, limit: Limit, index: int, now: float) -> None:
        """Apply a new limit of the team.

        A decrease applies at once. An increase applies after
        ``LIMIT_CHANGE_DELAY_SECONDS``, when no instance uses the older limit any more.

        :param now: when the holder received the limit, in seconds.
        """
        self.refill(now)
        self.limit = limit
        target = shares.find_share(limit, index)
        rate = min(self.share.rate, target.rate)
        burst = min(self.share.burst, target.burst)
        self.share = shares.make_share(rate, burst)
        is_larger = target.rate > rate or target.burst > burst
        self.pending_share = (
            (target, now + LIMIT_CHANGE_DELAY_SECONDS) if is_larger else None
        )
        self.refill(now)

    def take(
        self, demand: float, may_prefetch: bool, now: float
    ) -> TokenGrant | TokenDenial:
        """Take a token for a waiting request.

        :param demand: requests per second of the team at the requester.
        :param may_prefetch: whether the requester may get prefetched tokens.
        """
        self.refill(now)
        if self.tokens < 1:
            return self._deny(now)
        self.tokens -= 1
        prefetched = self._count_prefetched(demand, now) if may_prefetch else 0
        if prefetched > 0:
            self.tokens -= prefetched
            self.grants.append((now + GRANT_LIFETIME_SECONDS, prefetched))
        return TokenGrant(prefetched)

    def _count_prefetched(self, demand: float, now: float) -> int:
        room = self.share.max_prefetched - self.count_outstanding(now)
        # The lower half of the burst is not prefetched, so that other requesters find
        # tokens as well.
        spare = self.tokens - self.share.burst / 2
        wanted = demand * PREFETCH_SECONDS if demand > 0 else 0.0
        return max(0, int(min(room, spare, wanted)))

    def _deny(self, now: float) -> TokenDenial:
        age = max(0.0, now - self.last_denied_at)
        self.recent_denials = (
            self.recent_denials * max(0.0, 1 - age / DENIAL_DECAY_SECONDS) + 1
        )
        self.last_denied_at = now
        return TokenDenial(
            self._estimate_wait(1, now), self._estimate_wait(self.recent_denials, now)
        )

    def _estimate_wait(self, count: float, now: float) -> float:
        rate = self.share.rate
        if self.pending_share is not None:
            rate = max(rate, self.pending_share[0].rate)
        if rate <= 0:
            return MAX_RETRY_AFTER_SECONDS
        start = max(0.0, self.filled_until - now)
        return min(MAX_RETRY_AFTER_SECONDS, start + (count - self.tokens) / rate)
