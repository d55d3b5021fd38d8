import json
from dataclasses import asdict

import pytest

from shallotspindle_bench import comparison, histograms, plots, report, samples
from shallotspindle_bench.arrivals import Arrival
from shallotspindle_bench.samples import Outcome, Sample
from shallotspindle_bench.scenarios import RequestKind, Scenario, Team

SCENARIO = Scenario(
    name="mixed",
    duration=4,
    warmup=1,
    teams=(
        Team(name="a", key="k", send_rate=10, rate=1, burst=1),
        Team(name="b", key="k", send_rate=10, rate=100, burst=100),
    ),
    kinds=(
        RequestKind(name="read", path="/r"),
        RequestKind(name="order", path="/o", value=9),
    ),
)


def build_sample(at, team="b", kind="read", outcome=Outcome.COMPLETE, latency=0.01):
    return Sample(at, latency, team, kind, outcome, 200, "fleet")


SAMPLES = [
    build_sample(0.5, outcome=Outcome.FAILED),
    build_sample(1.0, latency=0.004),
    build_sample(1.5, kind="order", outcome=Outcome.TRUNCATED),
    build_sample(2.0, latency=0.006),
    build_sample(2.5, outcome=Outcome.REFUSED),
    *(build_sample(3.0, "a", outcome=Outcome.REFUSED) for _ in range(3)),
]


def summarize():
    return samples.summarize(SCENARIO, 1, SAMPLES)


class TestHistogram:
    def test_percentiles_are_within_the_precision(self):
        # Guards against wrong units and too few significant digits.
        histogram = histograms.build_histogram(n / 1000 for n in range(1, 1001))
        result = histograms.summarize(histogram)
        assert result["p50"] == pytest.approx(500, rel=0.001)
        assert result["p99"] == pytest.approx(990, rel=0.001)
        assert result["max"] == pytest.approx(1000, rel=0.001)

    def test_empty_histogram_gives_zeros(self):
        # Guards against an error for a group without complete requests.
        assert set(histograms.summarize(histograms.build_histogram()).values()) == {0}


class TestSummary:
    def test_service_is_weighted_by_kind(self):
        # Guards against a ratio that ignores the values of the request kinds: 2 of 6
        # reads were complete, and the order of value 9 was truncated.
        assert summarize().service == pytest.approx(2 / 15)

    def test_refusals_beyond_the_rate_are_not_counted(self):
        # Guards against counting refusals that an exact token bucket also makes. Team a
        # sent 3 requests at once with a burst of 1.
        assert summarize().refused_within_rate == {"a": 1, "b": 1}

    def test_worst_team_has_the_lowest_ratio_within_its_rate(self):
        # Guards against a report that hides a team which got no responses.
        assert (summarize().worst_team, summarize().worst_team_share) == ("a", 0.0)

    def test_warmup_is_not_counted(self):
        # Guards against cold-start failures in the results.
        assert "failed" not in summarize().total.outcomes


class TestReport:
    def test_report(self, snapshot):
        # Guards against unintended changes of the report.
        result = {**asdict(summarize()), "repeated": 0}
        assert report.format_report(json.loads(json.dumps(result))) == snapshot

    def test_plots_are_deterministic(self):
        # Guards against files that differ although the results are equal.
        result = asdict(summarize())
        assert plots.draw_timeline(result["timeline"]) == plots.draw_timeline(
            result["timeline"]
        )
        assert plots.draw_outcomes(result["teams"]) == plots.draw_outcomes(
            result["teams"]
        )


class TestComparison:
    def test_report_of_medians(self, snapshot):
        # Guards against wrong medians and unintended changes of the report.
        blocks = [
            comparison.Block(number, target, 10, 10, p50, 3 * p50)
            for number, medians in enumerate([(1, 2), (2, 4), (9, 3)])
            for target, p50 in zip(("direct", "proxied"), medians, strict=True)
        ]
        result = comparison.compare("s", 1, ("direct", "proxied"), blocks)
        assert (result.p50, result.p99_added, result.p50_ratio) == ((2, 3), 3, 1.5)
        assert report.format_comparison(asdict(result)) == snapshot

    def test_incomplete_blocks_do_not_lower_the_medians(self):
        # Guards against a target that stopped responding and therefore looks fast.
        figures = [("a", 10, 4), ("b", 10, 8), ("b", 0, 0)]
        blocks = [
            comparison.Block(n, name, 10, complete, p50, p50)
            for n, (name, complete, p50) in enumerate(figures)
        ]
        result = comparison.compare("s", 1, ("a", "b"), blocks)
        assert (result.p50, result.incomplete) == ((4, 8), 10)

    def test_blocks_contain_all_requests_and_targets_alternate(self):
        # Guards against lost requests and against one target that always goes first.
        schedule = [Arrival(n / 2, "t", "", "k", "GET", "/", str(n)) for n in range(20)]
        blocks = comparison.split_blocks(schedule, 4)
        assert [start for start, _ in blocks] == [0, 4, 8]
        assert [item for _, items in blocks for item in items] == schedule
        orders = [comparison.order_targets(n, ("a", "b")) for n in range(3)]
        assert orders == [("a", "b"), ("b", "a"), ("a", "b")]
