"""Token buckets of the shares that this instance holds.

A bucket is created at the first request for its share, so that neither a new bundle nor
a new partition requires an iteration over all teams. Existing buckets receive every new
limit at once: a bucket that missed a smaller limit would apply the next larger one
without the delay that an increase needs.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits import shares
from shallotspindle_limits.buckets import (
    GRANT_LIFETIME_SECONDS,
    LIMIT_CHANGE_DELAY_SECONDS,
    ShareBucket,
)
from shallotspindle_limits.records import (
    Limit,
    NotHolder,
    PartitionState,
    ShareState,
    TokenDenial,
    TokenGrant,
)

# Times of limit changes are kept this long. A new bucket is filled for less than this
# time, so that it cannot hold tokens from before a change that was forgotten.
CHANGE_RETENTION_SECONDS = 60.0
MAX_FILL_SECONDS = CHANGE_RETENTION_SECONDS - LIMIT_CHANGE_DELAY_SECONDS
# Limit of a team that the bundle does not contain.
ZERO_LIMIT = Limit(0.0, 0.0)


class TeamLimits(Protocol):
    """Limits of all teams in one bundle; immutable."""

    def find_limit(self, team: TeamName) -> Limit | None:
        """Return the limit of a team; None if the team does not exist."""


@dataclass(slots=True)
class HeldPartition:
    """A partition that this instance holds.

    :param fill_start: time at which new buckets start to fill, in seconds.
    """

    epoch: int
    fill_start: float
    buckets: dict[tuple[TeamName, int], ShareBucket] = field(default_factory=dict)


class NoTeamLimits:
    """Limits before the first bundle arrives; no team exists."""

    def find_limit(self, team: TeamName) -> Limit | None:
        return None


class HeldShares:
    """Buckets of the shares that this instance holds.

    The caller checks that the instance still owns the partition of a share.
    """

    def __init__(self) -> None:
        self._limits: TeamLimits = NoTeamLimits()
        self._partitions: dict[int, HeldPartition] = {}
        self._limit_changed_at: dict[TeamName, float] = {}
        self._all_limits_changed_at = float("-inf")

    def set_limits(
        self, limits: TeamLimits, changed: Iterable[TeamName] | None, now: float
    ) -> None:
        """Apply the limits of a new bundle.

        :param changed: teams whose limit differs from the bundle before; None for all
            teams, as with the first bundle of an instance.
        """
        self._limit_changed_at = {
            team: at
            for team, at in self._limit_changed_at.items()
            if now - at < CHANGE_RETENTION_SECONDS
        }
        if changed is None:
            self._all_limits_changed_at = now
        else:
            self._limit_changed_at.update(dict.fromkeys(changed, now))
        self._limits = limits
        for held in self._partitions.values():
            for (team, index), bucket in held.buckets.items():
                self._update_bucket(bucket, index, limits.find_limit(team), now)

    @staticmethod
    def _update_bucket(
        bucket: ShareBucket, index: int, limit: Limit | None, now: float
    ) -> None:
        found = limit or ZERO_LIMIT
        if bucket.limit != found:
            bucket.set_limit(found, index, now)

    def add_partition(
        self, partition: int, epoch: int, state: PartitionState | None, now: float
    ) -> None:
        """Start to grant tokens of a partition.

        A call with an epoch that is not newer than the known one is ignored.

        :param state: state of the former holder; None if it is lost. Buckets then fill
            only after ``GRANT_LIFETIME_SECONDS``, since grants of the former holder may
            be in use until then.
        """
        current = self._partitions.get(partition)
        if current is not None and current.epoch >= epoch:
            return
        fill_start = now + GRANT_LIFETIME_SECONDS if state is None else now
        held = HeldPartition(epoch, fill_start)
        self._partitions[partition] = held
        for share_state in state.shares if state is not None else ():
            key = (share_state.team, share_state.index)
            held.buckets[key] = self._restore(share_state, now)

    def _restore(self, share_state: ShareState, now: float) -> ShareBucket:
        share = shares.make_share(share_state.rate, share_state.burst)
        bucket = ShareBucket(ZERO_LIMIT, share, share_state.tokens, now)
        if share_state.outstanding:
            bucket.grants.append(
                (now + GRANT_LIFETIME_SECONDS, share_state.outstanding)
            )
        limit = self._limits.find_limit(share_state.team) or ZERO_LIMIT
        bucket.set_limit(limit, share_state.index, now)
        return bucket

    def remove_partition(self, partition: int, now: float) -> PartitionState:
        """Stop granting tokens of a partition and return its handover state."""
        held = self._partitions.pop(partition, None)
        if held is None:
            return PartitionState()
        items = held.buckets.items()
        return PartitionState(
            tuple(self._export(*key, bucket, now) for key, bucket in items)
        )

    @staticmethod
    def _export(
        team: TeamName, index: int, bucket: ShareBucket, now: float
    ) -> ShareState:
        bucket.refill(now)
        share = bucket.share
        outstanding = bucket.count_outstanding(now)
        # The state has no field for the start of filling. The tokens that would accrue
        # until then are subtracted instead.
        missing_tokens = max(0.0, bucket.filled_until - now) * share.rate
        tokens = bucket.tokens - missing_tokens
        return ShareState(team, index, tokens, share.rate, share.burst, outstanding)

    def take(
        self, team: TeamName, index: int, demand: float, may_prefetch: bool, now: float
    ) -> TokenGrant | TokenDenial | NotHolder:
        """Take a token of a share.

        :param demand: requests per second of the team at the requester.
        :param may_prefetch: whether the requester may get prefetched tokens; true if it
            is another instance.
        """
        held = self._partitions.get(shares.find_share_partition(team, index))
        limit = self._limits.find_limit(team)
        if held is None or limit is None:
            return NotHolder()
        if index not in range(shares.count_shares(limit)):
            return NotHolder()
        bucket = held.buckets.get((team, index))
        if bucket is None:
            bucket = self._create(held, team, index, limit, now)
            held.buckets[team, index] = bucket
        return bucket.take(demand, may_prefetch, now)

    def _create(
        self, held: HeldPartition, team: TeamName, index: int, limit: Limit, now: float
    ) -> ShareBucket:
        limit_changed_at = self._limit_changed_at.get(team, float("-inf"))
        fill_start = max(
            held.fill_start,
            limit_changed_at + LIMIT_CHANGE_DELAY_SECONDS,
            self._all_limits_changed_at + LIMIT_CHANGE_DELAY_SECONDS,
            now - MAX_FILL_SECONDS,
        )
        bucket = ShareBucket(limit, shares.find_share(limit, index), 0.0, fill_start)
        bucket.refill(now)
        return bucket

    def count_buckets(self) -> int:
        """Return the number of shares that have a bucket."""
        return sum(len(held.buckets) for held in self._partitions.values())
