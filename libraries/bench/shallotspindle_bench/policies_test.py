import dataclasses

from shallotspindle_bench import policies
from shallotspindle_bench.policies import Deployment, ExperimentRun

RUN = ExperimentRun(
    "small", "healthy-to-probes", "power-of-two", "shallotspindle", 1, 22.0
)


class TestMeasure:
    def test_same_seed_gives_the_same_figures(self, monkeypatch):
        # Guards against figures that cannot be reproduced.
        small = Deployment(3, 6, 6, 4, 0.0005)
        monkeypatch.setitem(policies.DEPLOYMENTS, "small", small)
        first, second = policies.measure_run(RUN), policies.measure_run(RUN)
        assert first == second
        assert first["requests"] > 500

    def test_health_is_at_least_as_good_as_the_baseline(self, monkeypatch):
        # Guards against a health library that is worse than counting errors.
        small = Deployment(3, 6, 6, 4, 0.0005)
        monkeypatch.setitem(policies.DEPLOYMENTS, "small", small)
        shallotspindle = policies.measure_run(RUN)
        naive = policies.measure_run(dataclasses.replace(RUN, health="naive"))
        assert shallotspindle["answered"] >= naive["answered"]
        assert shallotspindle["seconds_to_detect"] <= 5.0
        assert shallotspindle["most_attempts"] <= 3
