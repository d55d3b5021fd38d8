"""Compares the chosen limiter with equal static shares.

Requests arrive at random on the injected clock. A refusal counts as within the rate if
a bucket that sees every admission of the fleet had a token left. Above the rate, where
part of that bucket lies in each share, the shortfall against a limiter that sees every
request says more.
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
# Buckets start empty and need this time to fill before refusals count.
WARM_UP_SECONDS = 60.0
MEASURED_SECONDS = 120.0
SKEWED_FRACTION = 0.9
LOAD = 0.9
OVERLOAD = 8.0
CHURN_SECONDS = 2.0
TEAMS = {
    TeamName("small"): Limit(2.0, 4.0),
    TeamName("medium"): Limit(20.0, 40.0),
    TeamName("large"): Limit(200.0, 200.0),
}
OVERLOADED_TEAM = TeamName("medium")


class Limiter(Protocol):
    """A way to limit the teams over all instances."""

    def admit(self, instance: str, team: TeamName, now: float) -> bool:
        """Return whether a request that arrives at an instance is admitted."""

    def replace(self, former: str, successor: str, now: float) -> None:
        """Replace an instance by a planned stop."""

    def crash(self, instance: str, now: float) -> None:
        """End an instance for which nobody may take over while the store is away."""


class Bucket:
    """Plain token bucket."""

    def __init__(self, limit: Limit, tokens: float, now: float) -> None:
        self._limit = limit
        self.tokens = tokens
        self._at = now

    def refill(self, now: float) -> None:
        added = (now - self._at) * self._limit.rate
        self.tokens = min(self._limit.burst, self.tokens + added)
        self._at = now

    def take(self, now: float) -> bool:
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StaticLimiter:
    """Gives each instance an equal part of each limit."""

    def __init__(self, instances: list[str], now: float) -> None:
        self._count = len(instances)
        self._buckets = {name: self._make_buckets(now) for name in instances}

    def _make_buckets(self, now: float) -> dict[TeamName, Bucket]:
        return {
            team: Bucket(
                Limit(limit.rate / self._count, limit.burst / self._count), 0.0, now
            )
            for team, limit in TEAMS.items()
        }

    def admit(self, instance: str, team: TeamName, now: float) -> bool:
        return self._buckets[instance][team].take(now)

    def replace(self, former: str, successor: str, now: float) -> None:
        del self._buckets[former]
        self._buckets[successor] = self._make_buckets(now)

    def crash(self, instance: str, now: float) -> None:
        del self._buckets[instance]


class Table:
    """The limits of the experiment."""

    def find_limit(self, team: TeamName) -> Limit | None:
        return TEAMS.get(team)


def _make_held_shares() -> HeldShares:
    held_shares = HeldShares()
    # The bundle was known long before the run.
    held_shares.set_limits(Table(), (), 0.0)
    return held_shares


class ShareLimiter:
    """The limiter of the design page, without the network in between."""

    def __init__(self, instances: list[str], source: random.Random, now: float) -> None:
        self._random = source
        self._held_shares = {name: _make_held_shares() for name in instances}
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
            lambda index: self._rank(instance, team, index),
            self._random,
            now,
        )
        return any(self._ask(instance, team, index, now) for index in order)

    def _rank(self, instance: str, team: TeamName, index: int) -> int:
        holder = self._holders.get(shares.find_share_partition(team, index))
        if holder is None:
            return 2
        return 0 if holder == instance else 1

    def _ask(self, instance: str, team: TeamName, index: int, now: float) -> bool:
        holder = self._holders.get(shares.find_share_partition(team, index))
        if holder is None:
            return False
        requester = self._requesters[instance]
        demand = requester.estimate_demand(team)
        may_prefetch = holder != instance
        answer = self._held_shares[holder].take(team, index, demand, may_prefetch, now)
        if isinstance(answer, TokenDenial):
            requester.record_denial(team, index, answer, now)
        if not isinstance(answer, TokenGrant):
            return False
        return requester.record_grant(team, answer, now, now)

    def replace(self, former: str, successor: str, now: float) -> None:
        held_shares = self._held_shares.pop(former)
        del self._requesters[former]
        self._held_shares[successor] = _make_held_shares()
        self._requesters[successor] = TokenRequester()
        self._epoch += 1
        for partition in self._list_held(former):
            self._assign(partition, held_shares.remove_partition(partition, now), now)

    def _list_held(self, name: str) -> list[int]:
        return [number for number, holder in self._holders.items() if holder == name]

    def crash(self, instance: str, now: float) -> None:
        del self._held_shares[instance], self._requesters[instance]
        for partition in self._list_held(instance):
            del self._holders[partition]


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens during a run.

    :param skewed: whether one instance gets most of the requests.
    :param churns: whether instances are replaced.
    :param crashes: whether the holder of a large team's share crashes.
    :param overload: factor of one team's load.
    """

    name: str
    skewed: bool = False
    churns: bool = False
    crashes: bool = False
    overload: float = LOAD


SCENARIOS = (
    Scenario("even load"),
    Scenario("skewed load", skewed=True),
    Scenario("churn", churns=True),
    Scenario("store away with a crash", crashes=True),
    Scenario("eight times the rate", overload=OVERLOAD),
)


@dataclass(slots=True)
class Tally:
    """Counts of one team.

    :param sent: requests after the warm-up.
    :param shortfall: how many more requests a limiter that sees all would admit.
    """

    limit: Limit
    sent: int = 0
    refused_within_rate: int = 0
    shortfall: int = 0
    admitted: int = 0
    lowest: float = float("inf")
    excess: float = float("-inf")

    def note_admitted(self, now: float) -> None:
        """Extend the largest excess in any window by an admission."""
        place = self.admitted - self.limit.rate * now
        self.lowest = min(self.lowest, place)
        self.excess = max(self.excess, place + 1 - self.lowest - self.limit.burst)
        self.admitted += 1


class Run:
    """One limiter under one scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        build: Callable[[list[str], random.Random, float], Limiter],
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(f"{seed} {scenario.name}")
        self._clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self._instances = [f"instance-{number}" for number in range(INSTANCE_COUNT)]
        now = self._clock.boottime()
        self._limiter = build(list(self._instances), random.Random(seed), now)
        self._central = {team: Bucket(TEAMS[team], 0.0, now) for team in TEAMS}
        self._ideal = {team: Bucket(TEAMS[team], 0.0, now) for team in TEAMS}
        self._tallies = {team: Tally(limit) for team, limit in TEAMS.items()}
        self._replaced = 0
        self._crashed = False

    def run(self) -> dict[TeamName, Tally]:
        """Send the requests and return the counts of each team."""
        weights = [self._find_load(team) for team in TEAMS]
        while self._clock.boottime() < WARM_UP_SECONDS + MEASURED_SECONDS:
            self._clock.advance(self._random.expovariate(sum(weights)))
            team = self._random.choices(list(TEAMS), weights)[0]
            self._change_fleet()
            self._send(team)
        return self._tallies

    def _find_load(self, team: TeamName) -> float:
        factor = self._scenario.overload if team == OVERLOADED_TEAM else LOAD
        return TEAMS[team].rate * factor

    def _change_fleet(self) -> None:
        now = self._clock.boottime()
        if self._scenario.churns and now // CHURN_SECONDS > self._replaced:
            self._replaced += 1
            place = self._random.randrange(len(self._instances))
            former, successor = self._instances[place], f"successor-{self._replaced}"
            self._instances[place] = successor
            self._limiter.replace(former, successor, now)
        if self._scenario.crashes and not self._crashed and now > WARM_UP_SECONDS:
            self._crashed = True
            self._crash(now)

    def _crash(self, now: float) -> None:
        partition = shares.find_share_partition(TeamName("large"), 0)
        name = hashing.rank_rendezvous(str(partition), self._instances)[0]
        self._instances.remove(name)
        self._limiter.crash(name, now)

    def _choose_instance(self) -> str:
        if self._scenario.skewed and self._random.random() < SKEWED_FRACTION:
            return self._instances[0]
        return self._random.choice(self._instances)

    def _send(self, team: TeamName) -> None:
        now, tally = self._clock.boottime(), self._tallies[team]
        central = self._central[team]
        central.refill(now)
        is_measured = now > WARM_UP_SECONDS
        tally.sent += is_measured
        tally.shortfall += is_measured and self._ideal[team].take(now)
        if self._limiter.admit(self._choose_instance(), team, now):
            tally.note_admitted(now)
            tally.shortfall -= is_measured
            central.tokens -= 1
        elif is_measured and central.tokens >= 1:
            tally.refused_within_rate += 1


def _report(tallies: dict[TeamName, Tally]) -> dict[str, object]:
    return {
        team: {
            "requests": tally.sent,
            "refused_within_rate": tally.refused_within_rate,
            "shortfall": tally.shortfall,
            "largest_excess": round(max(0.0, tally.excess), 6),
        }
        for team, tally in tallies.items()
    }


def run_experiment(seed: int) -> dict[str, object]:
    """Return the report of all scenarios.

    :param seed: makes the run repeatable.
    """
    limiters: dict[str, Callable[..., Limiter]] = {
        "shares": ShareLimiter,
        "static": lambda names, _, now: StaticLimiter(names, now),
    }
    return {
        scenario.name: {
            name: _report(Run(scenario, seed, build).run())
            for name, build in limiters.items()
        }
        for scenario in SCENARIOS
    }


def main(seed: int = DEFAULT_SEED) -> None:
    """Print the report as JSON."""
    print(json.dumps({"seed": seed, "scenarios": run_experiment(seed)}, indent=2))


if __name__ == "__main__":
    main(*map(int, sys.argv[1:2]))
