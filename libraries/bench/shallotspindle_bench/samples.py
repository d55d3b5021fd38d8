"""The outcome of each request, and the results of a run."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_bench import arrivals, histograms
from shallotspindle_bench.scenarios import Scenario


class Outcome(StrEnum):
    """How a request ended.

    ``LATE`` is a response or a timeout after the deadline, ``REFUSED`` status 429,
    ``SHED`` status 503 and ``WRONG`` a complete response to another request.
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

    :param scheduled_at: seconds after the start of the run.
    :param latency: time from the scheduled time to the end, in seconds.
    :param status: HTTP status; 0 if no response arrived.
    :param target: name of the target.
    """

    scheduled_at: float
    latency: float
    team: str
    kind: str
    outcome: Outcome
    status: int
    target: str = ""


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """Figures of a team, a request kind or a target.

    :param outcomes: number of requests by outcome.
    :param latency: percentiles of the complete requests, in milliseconds.
    """

    sent: int
    outcomes: dict[str, int]
    latency: dict[str, float]


@dataclass(frozen=True, slots=True)
class Summary:
    """Results of a run.

    :param duration: length of the run, in seconds.
    :param service: ratio of the requests that were complete and on time, weighted by
        the value of their kinds.
    :param worst_team: team with the lowest ratio of complete responses to requests
        within its rate.
    :param worst_team_share: that ratio.
    :param refused_within_rate: refusals beyond those of an exact token bucket, by team.
    :param timeline: figures of each second of the run.
    """

    scenario: str
    seed: int
    duration: float
    total: GroupSummary
    teams: dict[str, GroupSummary]
    kinds: dict[str, GroupSummary]
    targets: dict[str, GroupSummary]
    service: float
    worst_team: str
    worst_team_share: float
    refused_within_rate: dict[str, int]
    timeline: list[dict[str, float]]


def summarize_group(samples: list[Sample]) -> GroupSummary:
    complete = (item.latency for item in samples if item.outcome == Outcome.COMPLETE)
    return GroupSummary(
        sent=len(samples),
        outcomes=dict(sorted(Counter(str(item.outcome) for item in samples).items())),
        latency=histograms.summarize(histograms.build_histogram(complete)),
    )


def summarize_groups(
    samples: Iterable[Sample], get_name: Callable[[Sample], str]
) -> dict[str, GroupSummary]:
    """Return the figures of each group, sorted by the name of the group."""
    groups: dict[str, list[Sample]] = defaultdict(list)
    for sample in samples:
        groups[get_name(sample)].append(sample)
    return {key: summarize_group(groups[key]) for key in sorted(groups)}


def compute_service_ratio(scenario: Scenario, samples: list[Sample]) -> float:
    value_by_kind = {kind.name: kind.value for kind in scenario.kinds}
    total = sum(value_by_kind.get(item.kind, 0.0) for item in samples)
    complete_value = sum(
        value_by_kind.get(item.kind, 0.0)
        for item in samples
        if item.outcome == Outcome.COMPLETE
    )
    return complete_value / total if total else 1.0


def count_admissible(scenario: Scenario, samples: list[Sample]) -> dict[str, int]:
    """Return the number of requests that an exact token bucket admits, by team."""
    times_by_team: dict[str, list[float]] = defaultdict(list)
    for sample in samples:
        times_by_team[sample.team].append(sample.scheduled_at)
    return {
        team.name: arrivals.count_within_rate(team, sorted(times_by_team[team.name]))
        for team in scenario.teams
    }


def compute_complete_ratios(
    admissible: dict[str, int], teams: dict[str, GroupSummary]
) -> dict[str, float]:
    """Return the ratio of complete to admissible requests, by team."""
    return {
        name: min(1.0, teams[name].outcomes.get("complete", 0) / count)
        for name, count in admissible.items()
        if count and name in teams
    }


def count_refused_within_rate(
    admissible: dict[str, int], teams: dict[str, GroupSummary]
) -> dict[str, int]:
    """Return the refusals beyond those of an exact token bucket, by team."""
    return {
        name: max(0, group.outcomes.get("refused", 0) - (group.sent - admissible[name]))
        for name, group in teams.items()
    }


def build_timeline(samples: list[Sample]) -> list[dict[str, float]]:
    """Return the request counts and percentiles of each second of the run."""
    samples_by_second: dict[int, list[Sample]] = defaultdict(list)
    for sample in samples:
        samples_by_second[int(sample.scheduled_at)].append(sample)
    rows = []
    for second in sorted(samples_by_second):
        group = summarize_group(samples_by_second[second])
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
    """Return the results of a run, without the samples of the warm-up."""
    measured = [item for item in samples if item.scheduled_at >= scenario.warmup]
    teams = summarize_groups(measured, lambda item: item.team)
    admissible = count_admissible(scenario, measured)
    complete_ratios = compute_complete_ratios(admissible, teams)
    worst = min(
        complete_ratios, key=lambda name: (complete_ratios[name], name), default=""
    )
    return Summary(
        scenario=scenario.name,
        seed=seed,
        duration=scenario.duration,
        total=summarize_group(measured),
        teams=teams,
        kinds=summarize_groups(measured, lambda item: item.kind),
        targets=summarize_groups(measured, lambda item: item.target),
        service=compute_service_ratio(scenario, measured),
        worst_team=worst,
        worst_team_share=complete_ratios.get(worst, 1.0),
        refused_within_rate=count_refused_within_rate(admissible, teams),
        timeline=build_timeline(measured),
    )
