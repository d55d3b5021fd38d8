"""Schedule of requests, fixed before the run so that no answer can delay a request."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from shallotspindle_bench.scenarios import Kind, Scenario, Team


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is to be sent.

    :param at: seconds after the start of the run.
    :param marker: text that tells the request from all others of the run.
    """

    at: float
    team: str
    key: str
    kind: str
    method: str
    path: str
    marker: str
    body: bytes | int = 0
    idempotency_key: str = ""
    deadline: float = 10.0


def get_factor(team: Team, moment: float) -> float:
    """Return the multiple of its rate at which a team sends at a moment."""
    for surge in team.surges:
        if surge.start <= moment < surge.end:
            return surge.factor
    return 1.0


def generate_moments(
    team: Team, duration: float, source: random.Random
) -> Iterator[float]:
    """Yield Poisson arrivals of a team, thinned from its highest rate."""
    highest = max([1.0, *(surge.factor for surge in team.surges)])
    moment = 0.0
    while True:
        moment += source.expovariate(team.send_rate * highest)
        if moment >= duration:
            return
        if source.random() * highest < get_factor(team, moment):
            yield moment


def build_arrival(team: Team, kind: Kind, moment: float, marker: str) -> Arrival:
    number = marker.rpartition("-")[2]
    return Arrival(
        at=moment,
        team=team.name,
        key=team.key,
        kind=kind.name,
        method=kind.method,
        path=kind.path.replace("{n}", number),
        marker=marker,
        body=kind.body_bytes,
        idempotency_key=marker if kind.idempotency_key else "",
        deadline=kind.deadline,
    )


def generate_team(scenario: Scenario, team: Team, seed: int) -> Iterator[Arrival]:
    # Each team has a source of its own, so that one team's rate moves no other's.
    source = random.Random(f"{seed}/{team.name}")
    weights = [kind.weight for kind in scenario.kinds]
    moments = generate_moments(team, scenario.duration, source)
    for number, moment in enumerate(moments):
        kind = source.choices(scenario.kinds, weights)[0]
        yield build_arrival(team, kind, moment, f"{seed}-{team.name}-{number}")


def generate_poison(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    keys = {team.name: team.key for team in scenario.teams}
    for number, item in enumerate(scenario.poison):
        marker = f"{seed}-poison-{number}"
        body = item.body.encode()
        key = keys[item.team]
        yield Arrival(
            item.at, item.team, key, "poison", "POST", item.path, marker, body
        )


def build_schedule(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all requests of a run in the order of their moments."""
    found = list(generate_poison(scenario, seed))
    for team in scenario.teams:
        found.extend(generate_team(scenario, team, seed))
    return sorted(found, key=lambda arrival: (arrival.at, arrival.marker))


def mark(schedule: Iterable[Arrival], run: str) -> list[Arrival]:
    """Return a schedule with markers and idempotency keys of one run.

    Without this a second run of a seed would repeat the keys of the first, and get
    its stored answers.

    :param run: text that no other run on the same fleet has.
    """
    return [
        replace(
            item,
            marker=f"{run}-{item.marker}",
            idempotency_key=item.idempotency_key and f"{run}-{item.idempotency_key}",
        )
        for item in schedule
    ]


def count_within_rate(team: Team, moments: list[float]) -> int:
    """Return how many requests one exact token bucket of the team admits."""
    if team.rate is None:
        return len(moments)
    tokens = team.burst
    last = 0.0
    admitted = 0
    for moment in moments:
        tokens = min(team.burst, tokens + (moment - last) * team.rate)
        last = moment
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted
