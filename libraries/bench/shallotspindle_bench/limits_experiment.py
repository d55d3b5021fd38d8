"""Compares the limiter of the fleet with equal static limits per instance.

Requests arrive at random on a manual clock. A refusal counts as within the rate if a
token bucket that sees every admission of the fleet had a token left. Above the rate,
the tokens of that bucket are spread over the shares; there, the shortfall against a
limiter that sees every request is the more meaningful figure.
"""

import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Protocol

from shallotspindle_core import hashing
from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits import shares
from shallotspindle_limits.held_shares import HeldShares
from shallotspindle_limits.records import Limit, PartitionState, TokenDenial, TokenGrant
from shallotspindle_limits.requesters import TokenRequester

DEFAULT_SEED = 1
INSTANCE_COUNT = 40
# Buckets start empty; refusals are not counted until they had this time to fill.
WARM_UP_SECONDS = 60.0
MEASURED_SECONDS = 120.0
SKEWED_FRACTION = 0.9
LOAD_FACTOR = 0.9
OVERLOAD_FACTOR = 8.0
REPLACEMENT_INTERVAL_SECONDS = 2.0
TEAMS = {
    TeamName("small"): Limit(2.0, 4.0),
    TeamName("medium"): Limit(20.0, 40.0),
    TeamName("large"): Limit(200.0, 200.0),
}
OVERLOADED_TEAM = TeamName("medium")


class Limiter(Protocol):
    """Limits the requests of teams to a fleet of instances."""

    def admit(self, instance: str, team: TeamName, now: float) -> bool:
        """Return whether a request that arrives at an instance is admitted."""

    def replace(self, old_name: str, new_name: str, now: float) -> None:
        """Replace an instance that shuts down gracefully."""

    def crash(self, instance: str, now: float) -> None:
        """Crash an instance.

        No other instance may take over its shares while the store is unavailable.
        """


class TokenBucket:
    """Token bucket without shares."""

    def __init__(self, limit: Limit, tokens: float, now: float) -> None:
        self._limit = limit
        self.tokens = tokens
        self._updated_at = now

    def refill(self, now: float) -> None:
        added_tokens = (now - self._updated_at) * self._limit.rate
        self.tokens = min(self._limit.burst, self.tokens + added_tokens)
        self._updated_at = now

    def take(self, now: float) -> bool:
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StaticLimiter:
    """Baseline: gives each instance an equal fraction of each limit."""

    def __init__(self, instances: list[str], now: float) -> None:
        self._count = len(instances)
        self._buckets = {name: self._build_buckets(now) for name in instances}

    def _build_buckets(self, now: float) -> dict[TeamName, TokenBucket]:
        return {
            team: TokenBucket(
                Limit(limit.rate / self._count, limit.burst / self._count), 0.0, now
            )
            for team, limit in TEAMS.items()
        }

    def admit(self, instance: str, team: TeamName, now: float) -> bool:
        return self._buckets[instance][team].take(now)

    def replace(self, old_name: str, new_name: str, now: float) -> None:
        del self._buckets[old_name]
        self._buckets[new_name] = self._build_buckets(now)

    def crash(self, instance: str, now: float) -> None:
        del self._buckets[instance]


class ExperimentLimits:
    """Looks up the limits in ``TEAMS``."""

    def find_limit(self, team: TeamName) -> Limit | None:
        return TEAMS.get(team)


def _build_held_shares() -> HeldShares:
    held_shares = HeldShares()
    # The limits count as known long before the run.
    held_shares.set_limits(ExperimentLimits(), (), 0.0)
    return held_shares


class ShareLimiter:
    """The limiter of the fleet, with direct calls instead of the network."""

    def __init__(
        self, instances: list[str], random_source: random.Random, now: float
    ) -> None:
        self._random = random_source
        self._held_shares = {name: _build_held_shares() for name in instances}
        self._requesters = {name: TokenRequester() for name in instances}
        self._holders: dict[int, str] = {}
        self._epoch = 1
        for team, limit in TEAMS.items():
            for index in range(shares.count_shares(limit)):
                partition = shares.find_share_partition(team, index)
                self._assign(partition, PartitionState(), now)

    def _assign(self, partition: int, state: PartitionState, now: float) -> None:
        holder = hashing.rank_rendezvous(str(partition), self._held_shares)[0]
        self._holders[partition] = holder
        self._held_shares[holder].add_partition(partition, self._epoch, state, now)

    def admit(self, instance: str, team: TeamName, now: float) -> bool:
        requester = self._requesters[instance]
        if requester.admit_prefetched(team, now):
            return True
        count = shares.count_shares(TEAMS[team])
        order = requester.choose_shares(
            team,
            count,
            lambda index: self._rank_holder(instance, team, index),
            self._random,
            now,
        )
        return any(self._request_tokens(instance, team, index, now) for index in order)

    def _rank_holder(self, instance: str, team: TeamName, index: int) -> int:
        holder = self._holders.get(shares.find_share_partition(team, index))
        if holder is None:
            return 2
        return 0 if holder == instance else 1

    def _request_tokens(
        self, instance: str, team: TeamName, index: int, now: float
    ) -> bool:
        holder = self._holders.get(shares.find_share_partition(team, index))
        if holder is None:
            return False
        requester = self._requesters[instance]
        demand = requester.estimate_demand(team)
        may_prefetch = holder != instance
        response = self._held_shares[holder].take(
            team, index, demand, may_prefetch, now
        )
        if isinstance(response, TokenDenial):
            requester.record_denial(team, index, response, now)
        if not isinstance(response, TokenGrant):
            return False
        return requester.record_grant(team, response, now, now)

    def replace(self, old_name: str, new_name: str, now: float) -> None:
        held_shares = self._held_shares.pop(old_name)
        del self._requesters[old_name]
        self._held_shares[new_name] = _build_held_shares()
        self._requesters[new_name] = TokenRequester()
        self._epoch += 1
        for partition in self._list_partitions_of(old_name):
            self._assign(partition, held_shares.remove_partition(partition, now), now)

    def _list_partitions_of(self, name: str) -> list[int]:
        return [number for number, holder in self._holders.items() if holder == name]

    def crash(self, instance: str, now: float) -> None:
        del self._held_shares[instance], self._requesters[instance]
        for partition in self._list_partitions_of(instance):
            del self._holders[partition]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of a run.

    :param is_skewed: whether one instance gets most of the requests.
    :param has_churn: whether instances are replaced.
    :param has_crash: whether the instance that holds a share of team ``large`` crashes.
    :param overload_factor: load of ``OVERLOADED_TEAM`` as a multiple of its rate.
    """

    name: str
    is_skewed: bool = False
    has_churn: bool = False
    has_crash: bool = False
    overload_factor: float = LOAD_FACTOR


SCENARIOS = (
    Scenario("even load"),
    Scenario("skewed load", is_skewed=True),
    Scenario("churn", has_churn=True),
    Scenario("store away with a crash", has_crash=True),
    Scenario("eight times the rate", overload_factor=OVERLOAD_FACTOR),
)


@dataclass(slots=True)
class TeamCounts:
    """Counts of one team.

    :param request_count: requests after the warm-up.
    :param shortfall: number of requests that a limiter that sees every request would
        admit in addition.
    :param admitted: number of admissions.
    :param min_surplus: smallest difference so far between the admissions and those that
        the rate allows.
    :param max_excess: admissions beyond the limit in the worst window.
    """

    limit: Limit
    request_count: int = 0
    refused_within_rate: int = 0
    shortfall: int = 0
    admitted: int = 0
    min_surplus: float = float("inf")
    max_excess: float = float("-inf")

    def record_admission(self, now: float) -> None:
        """Count an admission, and update the excess of the worst window."""
        surplus = self.admitted - self.limit.rate * now
        self.min_surplus = min(self.min_surplus, surplus)
        self.max_excess = max(
            self.max_excess, surplus + 1 - self.min_surplus - self.limit.burst
        )
        self.admitted += 1


class LimiterRun:
    """Simulates one limiter under one scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        build_limiter: Callable[[list[str], random.Random, float], Limiter],
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(f"{seed} {scenario.name}")
        self._clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self._instances = [f"instance-{number}" for number in range(INSTANCE_COUNT)]
        now = self._clock.boottime()
        self._limiter = build_limiter(list(self._instances), random.Random(seed), now)
        self._fleet_buckets = {
            team: TokenBucket(TEAMS[team], 0.0, now) for team in TEAMS
        }
        self._ideal_buckets = {
            team: TokenBucket(TEAMS[team], 0.0, now) for team in TEAMS
        }
        self._counts_by_team = {
            team: TeamCounts(limit) for team, limit in TEAMS.items()
        }
        self._replaced_count = 0
        self._has_crashed = False

    def run(self) -> dict[TeamName, TeamCounts]:
        """Send the requests and return the counts, by team."""
        weights = [self._get_load(team) for team in TEAMS]
        while self._clock.boottime() < WARM_UP_SECONDS + MEASURED_SECONDS:
            self._clock.advance(self._random.expovariate(sum(weights)))
            team = self._random.choices(list(TEAMS), weights)[0]
            self._replace_and_crash_instances()
            self._send_request(team)
        return self._counts_by_team

    def _get_load(self, team: TeamName) -> float:
        factor = (
            self._scenario.overload_factor if team == OVERLOADED_TEAM else LOAD_FACTOR
        )
        return TEAMS[team].rate * factor

    def _replace_and_crash_instances(self) -> None:
        now = self._clock.boottime()
        if (
            self._scenario.has_churn
            and now // REPLACEMENT_INTERVAL_SECONDS > self._replaced_count
        ):
            self._replaced_count += 1
            index = self._random.randrange(len(self._instances))
            old_name, new_name = (
                self._instances[index],
                f"successor-{self._replaced_count}",
            )
            self._instances[index] = new_name
            self._limiter.replace(old_name, new_name, now)
        if self._scenario.has_crash and not self._has_crashed and now > WARM_UP_SECONDS:
            self._has_crashed = True
            self._crash(now)

    def _crash(self, now: float) -> None:
        partition = shares.find_share_partition(TeamName("large"), 0)
        name = hashing.rank_rendezvous(str(partition), self._instances)[0]
        self._instances.remove(name)
        self._limiter.crash(name, now)

    def _choose_instance(self) -> str:
        if self._scenario.is_skewed and self._random.random() < SKEWED_FRACTION:
            return self._instances[0]
        return self._random.choice(self._instances)

    def _send_request(self, team: TeamName) -> None:
        now, counts = self._clock.boottime(), self._counts_by_team[team]
        fleet_bucket = self._fleet_buckets[team]
        fleet_bucket.refill(now)
        is_measured = now > WARM_UP_SECONDS
        counts.request_count += is_measured
        counts.shortfall += is_measured and self._ideal_buckets[team].take(now)
        if self._limiter.admit(self._choose_instance(), team, now):
            counts.record_admission(now)
            counts.shortfall -= is_measured
            fleet_bucket.tokens -= 1
        elif is_measured and fleet_bucket.tokens >= 1:
            counts.refused_within_rate += 1


def _build_report(counts_by_team: dict[TeamName, TeamCounts]) -> dict[str, object]:
    return {
        team: {
            "requests": counts.request_count,
            "refused_within_rate": counts.refused_within_rate,
            "shortfall": counts.shortfall,
            "largest_excess": round(max(0.0, counts.max_excess), 6),
        }
        for team, counts in counts_by_team.items()
    }


def run_experiment(seed: int) -> dict[str, object]:
    """Return the report of all scenarios.

    :param seed: seed of all random sources.
    """
    limiters: dict[str, Callable[..., Limiter]] = {
        "shares": ShareLimiter,
        "static": lambda names, _, now: StaticLimiter(names, now),
    }
    return {
        scenario.name: {
            name: _build_report(LimiterRun(scenario, seed, build_limiter).run())
            for name, build_limiter in limiters.items()
        }
        for scenario in SCENARIOS
    }


def main(seed: int = DEFAULT_SEED) -> None:
    """Print the report as JSON."""
    print(json.dumps({"seed": seed, "scenarios": run_experiment(seed)}, indent=2))


if __name__ == "__main__":
    main(*map(int, sys.argv[1:2]))
