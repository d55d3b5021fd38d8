import random

from shallotspindle_bench import limits_experiment as experiment
from shallotspindle_limits.records import Limit


class TestTally:
    def test_excess_is_that_of_the_worst_window(self):
        # Guards against a report that says 0 because it looks at whole runs only.
        source = random.Random(1)
        for _ in range(50):
            tally = experiment.Tally(Limit(2.0, 3.0))
            times = sorted(source.uniform(0, 20) for _ in range(40))
            for now in times:
                tally.note_admitted(now)
            worst = max(
                last - first + 1 - 2.0 * (times[last] - times[first]) - 3.0
                for first in range(40)
                for last in range(first, 40)
            )
            assert abs(tally.excess - worst) < 1e-9


class TestRun:
    def test_run_is_repeatable_and_keeps_the_bound(self, monkeypatch):
        monkeypatch.setattr(experiment, "WARM_UP_SECONDS", 5.0)
        monkeypatch.setattr(experiment, "MEASURED_SECONDS", 5.0)
        for scenario in experiment.SCENARIOS:
            first = experiment.Run(scenario, 1, experiment.ShareLimiter).run()
            again = experiment.Run(scenario, 1, experiment.ShareLimiter).run()
            assert first == again
            assert all(tally.excess <= 1e-6 for tally in first.values())
            assert sum(tally.sent for tally in first.values()) > 500
