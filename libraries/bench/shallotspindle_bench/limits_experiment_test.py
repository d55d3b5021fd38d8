import random

from shallotspindle_bench import limits_experiment as experiment
from shallotspindle_limits.records import Limit


class TestTally:
    def test_excess_is_that_of_the_worst_window(self):
        # Guards against a report of 0 because only whole runs are checked.
        random_source = random.Random(1)
        for _ in range(50):
            counts = experiment.TeamCounts(Limit(2.0, 3.0))
            times = sorted(random_source.uniform(0, 20) for _ in range(40))
            for now in times:
                counts.record_admission(now)
            worst = max(
                last - first + 1 - 2.0 * (times[last] - times[first]) - 3.0
                for first in range(40)
                for last in range(first, 40)
            )
            assert abs(counts.max_excess - worst) < 1e-9


class TestRun:
    def test_run_is_deterministic_and_within_the_limit(self, monkeypatch):
        # Guards against figures that cannot be reproduced, and against a limiter that
        # admits more than the limit.
        monkeypatch.setattr(experiment, "WARM_UP_SECONDS", 5.0)
        monkeypatch.setattr(experiment, "MEASURED_SECONDS", 5.0)
        for scenario in experiment.SCENARIOS:
            first = experiment.LimiterRun(scenario, 1, experiment.ShareLimiter).run()
            second = experiment.LimiterRun(scenario, 1, experiment.ShareLimiter).run()
            assert first == second
            assert all(counts.max_excess <= 1e-6 for counts in first.values())
            assert sum(counts.request_count for counts in first.values()) > 500
