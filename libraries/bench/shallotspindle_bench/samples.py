"""What became of each request, and the results of a run."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_bench import arrivals, histograms
from shallotspindle_bench.scenarios import Scenario


class Outcome(StrEnum):
    """How a request ended.

    ``WRONG`` is a complete answer that belongs to another request.
    """

    COMPLETE = "complete"
    LATE = "late"
    REFUSED = "refused"
    SHED = "shed"
    TRUNCATED = "truncated"
    FAILED = "failed"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class Sample:
    """One request that was sent.

    :param at: scheduled moment in seconds after the start.
    :param latency: time from the scheduled moment to the end, in seconds.
    :param target: what the request was sent to.
    """

    at: float
    latency: float
    team: str
    kind: str
    outcome: Outcome
    status: int
    target: str = ""


@dataclass(frozen=True, slots=True)
class Group:
    """Figures of a team, a kind or a target; latencies in milliseconds."""

    sent: int
    outcomes: dict[str, int]
    latency: dict[str, float]


@dataclass(frozen=True, slots=True)
class Summary:
    """Results of a run.

    :param service: share of the requests that were complete and on time, weighted
        by the value of their kinds.
    :param worst_team: share of complete answers within rate of the worst-served team.
    :param refused_within_rate: refusals beyond those of one exact token bucket.
    """

    scenario: str
    seed: int
    duration: float
    total: Group
    teams: dict[str, Group]
    kinds: dict[str, Group]
    targets: dict[str, Group]
    service: float
    worst_team: str
    worst_team_share: float
    refused_within_rate: dict[str, int]
    timeline: list[dict[str, float]]


def build_group(samples: list[Sample]) -> Group:
    complete = (item.latency for item in samples if item.outcome == Outcome.COMPLETE)
    return Group(
        sent=len(samples),
        outcomes=dict(sorted(Counter(str(item.outcome) for item in samples).items())),
        latency=histograms.summarize(histograms.build_histogram(complete)),
    )


def group_by(
    samples: Iterable[Sample], name: Callable[[Sample], str]
) -> dict[str, Group]:
    """Return the figures of each group, ordered by name."""
    groups: dict[str, list[Sample]] = defaultdict(list)
    for sample in samples:
        groups[name(sample)].append(sample)
    return {key: build_group(groups[key]) for key in sorted(groups)}


def compute_service(scenario: Scenario, samples: list[Sample]) -> float:
    values = {kind.name: kind.value for kind in scenario.kinds}
    total = sum(values.get(item.kind, 0.0) for item in samples)
    good = sum(
        values.get(item.kind, 0.0)
        for item in samples
        if item.outcome == Outcome.COMPLETE
    )
    return good / total if total else 1.0


def count_admissible(scenario: Scenario, samples: list[Sample]) -> dict[str, int]:
    """Return the requests of each team that an exact token bucket admits."""
    moments: dict[str, list[float]] = defaultdict(list)
    for sample in samples:
        moments[sample.team].append(sample.at)
    return {
        team.name: arrivals.count_within_rate(team, sorted(moments[team.name]))
        for team in scenario.teams
    }


def compute_shares(
    admissible: dict[str, int], teams: dict[str, Group]
) -> dict[str, float]:
    """Return the share of each team's admissible requests that were complete."""
    return {
        name: min(1.0, teams[name].outcomes.get("complete", 0) / count)
        for name, count in admissible.items()
        if count and name in teams
    }


def count_refused(
    admissible: dict[str, int], teams: dict[str, Group]
) -> dict[str, int]:
    """Return the refusals of each team beyond those of an exact token bucket."""
    return {
        name: max(0, group.outcomes.get("refused", 0) - (group.sent - admissible[name]))
        for name, group in teams.items()
    }


def build_timeline(samples: list[Sample]) -> list[dict[str, float]]:
    """Return the requests and percentiles of each second of the run."""
    seconds: dict[int, list[Sample]] = defaultdict(list)
    for sample in samples:
        seconds[int(sample.at)].append(sample)
    rows = []
    for second in sorted(seconds):
        group = build_group(seconds[second])
        complete = group.outcomes.get("complete", 0)
        rows.append(
            {
                "second": second,
                "sent": group.sent,
                "incomplete": group.sent - complete,
                "p50": group.latency["p50"],
                "p99": group.latency["p99"],
            }
        )
    return rows


def summarize(scenario: Scenario, seed: int, samples: list[Sample]) -> Summary:
    """Return the results of a run from its samples after the warm-up."""
    counted = [item for item in samples if item.at >= scenario.warmup]
    teams = group_by(counted, lambda item: item.team)
    admissible = count_admissible(scenario, counted)
    shares = compute_shares(admissible, teams)
    worst = min(shares, key=lambda name: (shares[name], name), default="")
    return Summary(
        scenario=scenario.name,
        seed=seed,
        duration=scenario.duration,
        total=build_group(counted),
        teams=teams,
        kinds=group_by(counted, lambda item: item.kind),
        targets=group_by(counted, lambda item: item.target),
        service=compute_service(scenario, counted),
        worst_team=worst,
        worst_team_share=shares.get(worst, 1.0),
        refused_within_rate=count_refused(admissible, teams),
        timeline=build_timeline(counted),
    )
