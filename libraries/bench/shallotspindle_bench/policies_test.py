import dataclasses

from shallotspindle_bench import policies
from shallotspindle_bench.policies import Deployment, Run

RUN = Run("small", "healthy-to-probes", "power-of-two", "shallotspindle", 1, 22.0)


class TestMeasure:
    def test_same_seed_gives_the_same_figures(self, monkeypatch):
        # Guards against figures that cannot be reproduced.
        small = Deployment(3, 6, 6, 4, 0.0005)
        monkeypatch.setitem(policies.DEPLOYMENTS, "small", small)
        first, second = policies.measure(RUN), policies.measure(RUN)
        assert first == second
        assert first["requests"] > 500

    def test_health_is_better_than_the_baseline(self, monkeypatch):
        # Guards against a health library that helps less than counting errors.
        small = Deployment(3, 6, 6, 4, 0.0005)
        monkeypatch.setitem(policies.DEPLOYMENTS, "small", small)
        ours = policies.measure(RUN)
        naive = policies.measure(dataclasses.replace(RUN, health="naive"))
        assert ours["answered"] >= naive["answered"]
        assert ours["seconds_to_detect"] <= 5.0
        assert ours["most_attempts"] <= 3
