"""Schedules of requests, fixed before the run so that responses delay no request."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from shallotspindle_bench.scenarios import RequestKind, Scenario, Team


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is to be sent.

    :param scheduled_at: seconds after the start of the run.
    :param key: API key of the team.
    :param kind: name of the request kind.
    :param marker: unique identifier of the request.
    :param body: the body, or its length in bytes.
    :param deadline: time after which a response counts as late, in seconds.
    """

    scheduled_at: float
    team: str
    key: str
    kind: str
    method: str
    path: str
    marker: str
    body: bytes | int = 0
    idempotency_key: str = ""
    deadline: float = 10.0


def get_surge_factor(team: Team, time: float) -> float:
    """Return the factor on the send rate of a team at a time, in seconds."""
    for surge in team.surges:
        if surge.start <= time < surge.end:
            return surge.factor
    return 1.0


def generate_arrival_times(
    team: Team, duration: float, random_source: random.Random
) -> Iterator[float]:
    """Yield the times of Poisson arrivals, thinned from the highest rate of a team."""
    max_factor = max([1.0, *(surge.factor for surge in team.surges)])
    time = 0.0
    while True:
        time += random_source.expovariate(team.send_rate * max_factor)
        if time >= duration:
            return
        if random_source.random() * max_factor < get_surge_factor(team, time):
            yield time


def build_arrival(team: Team, kind: RequestKind, time: float, marker: str) -> Arrival:
    number = marker.rpartition("-")[2]
    return Arrival(
        scheduled_at=time,
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


def generate_team_arrivals(
    scenario: Scenario, team: Team, seed: int
) -> Iterator[Arrival]:
    # Each team has its own random source, so that its rate does not affect the
    # arrivals of other teams.
    random_source = random.Random(f"{seed}/{team.name}")
    weights = [kind.weight for kind in scenario.kinds]
    times = generate_arrival_times(team, scenario.duration, random_source)
    for number, time in enumerate(times):
        kind = random_source.choices(scenario.kinds, weights)[0]
        yield build_arrival(team, kind, time, f"{seed}-{team.name}-{number}")


def generate_poison_arrivals(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    keys = {team.name: team.key for team in scenario.teams}
    for number, item in enumerate(scenario.poison):
        marker = f"{seed}-poison-{number}"
        body = item.body.encode()
        key = keys[item.team]
        yield Arrival(
            item.at, item.team, key, "poison", "POST", item.path, marker, body
        )


def build_schedule(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all requests of a run, sorted by scheduled time."""
    schedule = list(generate_poison_arrivals(scenario, seed))
    for team in scenario.teams:
        schedule.extend(generate_team_arrivals(scenario, team, seed))
    return sorted(schedule, key=lambda arrival: (arrival.scheduled_at, arrival.marker))


def add_run_id(schedule: Iterable[Arrival], run_id: str) -> list[Arrival]:
    """Return a schedule whose markers and idempotency keys are unique to one run.

    Otherwise a second run with the same seed would repeat the keys of the first, and
    get its stored responses.

    :param run_id: unique among the runs on the same fleet.
    """
    return [
        replace(
            item,
            marker=f"{run_id}-{item.marker}",
            idempotency_key=item.idempotency_key and f"{run_id}-{item.idempotency_key}",
        )
        for item in schedule
    ]


def count_within_rate(team: Team, times: list[float]) -> int:
    """Return how many requests an exact token bucket of a team admits.

    :param times: sorted arrival times, in seconds.
    """
    if team.rate is None:
        return len(times)
    tokens = team.burst
    last_time = 0.0
    admitted = 0
    for time in times:
        tokens = min(team.burst, tokens + (time - last_time) * team.rate)
        last_time = time
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted
