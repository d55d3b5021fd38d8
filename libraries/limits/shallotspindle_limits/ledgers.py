"""Shares that this instance holds.

Buckets are made at the first request of a team, so that neither a new bundle nor a
gained partition costs a walk over all teams. Buckets that exist get every new limit at
once: one that skipped a smaller limit would take the next larger one without a delay.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits import shares
from shallotspindle_limits.buckets import CHANGE_SECONDS, GRANT_SECONDS, Bucket
from shallotspindle_limits.records import (
    Denied,
    Granted,
    Limit,
    NotActing,
    PartitionState,
    ShareState,
)

# How long changes of teams are remembered; an unused bucket fills for less than this.
REMEMBERED_SECONDS = 60.0
FILL_SECONDS = REMEMBERED_SECONDS - CHANGE_SECONDS
# Limit of a team that the bundle does not have.
NO_LIMIT = Limit(0.0, 0.0)


class Limits(Protocol):
    """Limits of one bundle; they do not change."""

    def find_limit(self, team: TeamName) -> Limit | None:
        """Return the limit of a team; None if there is no such team."""


@dataclass(slots=True)
class Holding:
    """A partition that this instance acts for.

    :param start: time from which new buckets fill, in seconds.
    """

    epoch: int
    start: float
    buckets: dict[tuple[TeamName, int], Bucket] = field(default_factory=dict)


class NoLimits:
    """Limits before the first bundle."""

    def find_limit(self, team: TeamName) -> Limit | None:
        return None


class Ledger:
    """Buckets of the held shares. The caller checks the right to act."""

    def __init__(self) -> None:
        self._limits: Limits = NoLimits()
        self._holdings: dict[int, Holding] = {}
        self._changed: dict[TeamName, float] = {}
        self._all_changed = float("-inf")

    def learn(
        self, limits: Limits, changed: Iterable[TeamName] | None, now: float
    ) -> None:
        """Note that a bundle came into force.

        :param limits: limits of the bundle.
        :param changed: teams with another limit than before; None for all teams, as
            with the first bundle of an instance.
        """
        self._changed = {
            team: at
            for team, at in self._changed.items()
            if now - at < REMEMBERED_SECONDS
        }
        if changed is None:
            self._all_changed = now
        else:
            self._changed.update(dict.fromkeys(changed, now))
        self._limits = limits
        for holding in self._holdings.values():
            for (team, index), bucket in holding.buckets.items():
                self._adapt(bucket, index, limits.find_limit(team), now)

    @staticmethod
    def _adapt(bucket: Bucket, index: int, limit: Limit | None, now: float) -> None:
        found = limit or NO_LIMIT
        if bucket.limit != found:
            bucket.change(found, index, now)

    def gain(
        self, partition: int, epoch: int, state: PartitionState | None, now: float
    ) -> None:
        """Begin to act for a partition.

        :param state: state of the former holder; None if it is lost, when grants of
            the former holder may be in use until they expire.
        """
        held = self._holdings.get(partition)
        if held is not None and held.epoch >= epoch:
            return
        start = now + GRANT_SECONDS if state is None else now
        holding = Holding(epoch, start)
        self._holdings[partition] = holding
        for item in state.shares if state is not None else ():
            key = (item.team, item.index)
            holding.buckets[key] = self._restore(item, now)

    def _restore(self, item: ShareState, now: float) -> Bucket:
        share = shares.make_share(item.rate, item.burst)
        bucket = Bucket(NO_LIMIT, share, item.tokens, now)
        if item.outstanding:
            bucket.grants.append((now + GRANT_SECONDS, item.outstanding))
        limit = self._limits.find_limit(item.team) or NO_LIMIT
        bucket.change(limit, item.index, now)
        return bucket

    def lose(self, partition: int, now: float) -> PartitionState:
        """Stop acting for a partition and return its state for the successor."""
        holding = self._holdings.pop(partition, None)
        if holding is None:
            return PartitionState()
        items = holding.buckets.items()
        return PartitionState(
            tuple(self._export(*key, bucket, now) for key, bucket in items)
        )

    @staticmethod
    def _export(team: TeamName, index: int, bucket: Bucket, now: float) -> ShareState:
        bucket.refill(now)
        share = bucket.share
        outstanding = bucket.count_outstanding(now)
        # Time that must pass before tokens are added is handed over as missing tokens.
        debt = max(0.0, bucket.at - now) * share.rate
        tokens = bucket.tokens - debt
        return ShareState(team, index, tokens, share.rate, share.burst, outstanding)

    def take(
        self, team: TeamName, index: int, demand: float, prepays: bool, now: float
    ) -> Granted | Denied | NotActing:
        """Take a token of a share.

        :param demand: requests a second of the team at the asker.
        :param prepays: whether the asker is another instance, which may get prepaid
            tokens.
        """
        holding = self._holdings.get(shares.find_share_partition(team, index))
        limit = self._limits.find_limit(team)
        if holding is None or limit is None:
            return NotActing()
        if index not in range(shares.count_shares(limit)):
            return NotActing()
        bucket = holding.buckets.get((team, index))
        if bucket is None:
            bucket = self._create(holding, team, index, limit, now)
            holding.buckets[team, index] = bucket
        return bucket.take(demand, prepays, now)

    def _create(
        self, holding: Holding, team: TeamName, index: int, limit: Limit, now: float
    ) -> Bucket:
        learnt_at = self._changed.get(team, float("-inf"))
        start = max(
            holding.start,
            learnt_at + CHANGE_SECONDS,
            self._all_changed + CHANGE_SECONDS,
            now - FILL_SECONDS,
        )
        bucket = Bucket(limit, shares.find_share(limit, index), 0.0, start)
        bucket.refill(now)
        return bucket

    def count_buckets(self) -> int:
        """Return the number of shares with state."""
        return sum(len(holding.buckets) for holding in self._holdings.values())
