import pytest

from shallotspindle_bundles.records import Upstream
from shallotspindle_health.detection_test import LinearCongruentialGenerator
from shallotspindle_health.scoring import Outcome
from shallotspindle_routing.dispatch import Assigned, Dispatcher, Refusal, Refused
from shallotspindle_routing.fairqueue import Waiting
from shallotspindle_routing.limiter import Limiter, LimiterSettings
from shallotspindle_routing.policies import POLICIES, Option


class FakeHealth:
    def __init__(self, weights):
        self.weights = weights

    def find_weights(self, now):
        return self.weights

    def start_trial(self, now):
        return None

    def record(self, name, outcome, seconds, load, now):
        pass


def build(weights, most=64.0, policy="power-of-two"):
    health = FakeHealth(weights)
    limiter = Limiter(LimiterSettings(start=min(4.0, most), most=most))
    found = Dispatcher(
        "d0", health, POLICIES[policy](), LinearCongruentialGenerator(1), limiter
    )
    found.update(
        [
            Upstream(name, f"10.0.0.{number}:80", f"d{number}")
            for number, name in enumerate(weights)
        ]
    )
    return found


def wait(number, deadline=10.0, tried=frozenset()):
    return Waiting(number, "team", 0, tried, deadline)


class TestDispatcher:
    def test_local_domain_comes_first_and_spills_over(self):
        dispatcher = build({"near": 1.0, "far": 1.0})
        names = [
            decision.upstream.name
            for number in range(4)
            for decision in dispatcher.submit(wait(number), 0.0)
        ]
        assert names[0] == "near"
        assert sorted(names) == ["far", "far", "near", "near"]

    def test_waiting_request_is_sent_when_a_place_is_free(self):
        dispatcher = build({"near": 1.0}, most=1.0)
        dispatcher.submit(wait(1), 0.0)
        assert dispatcher.submit(wait(2), 0.0) == []
        decisions = dispatcher.finish(1, Outcome.COMPLETE, 0.1, 0.5, 0.1)
        assert [item.number for item in decisions] == [2]

    def test_late_request_is_refused(self):
        dispatcher = build({"near": 1.0}, most=1.0)
        dispatcher.submit(wait(1), 0.0)
        dispatcher.submit(wait(2, deadline=1.0), 0.0)
        assert dispatcher.find_wakeup(0.0) == 1.0
        assert dispatcher.advance(1.0) == [Refused(2, Refusal.DEADLINE)]

    def test_request_that_tried_everything_blocks_no_other(self):
        # Guards against a queue whose head can go nowhere.
        dispatcher = build({"near": 1.0})
        decisions = dispatcher.submit(wait(1, tried=frozenset({"near"})), 0.0)
        assert decisions == [Refused(1, Refusal.NO_UPSTREAM)]
        assert isinstance(dispatcher.submit(wait(2), 0.0)[0], Assigned)

    def test_shed_answers_lower_the_limit_and_pause(self):
        dispatcher = build({"near": 1.0})
        now = 0.0
        for number in range(60):
            now += 1.0
            for decision in dispatcher.submit(wait(number, now + 5), now):
                if isinstance(decision, Assigned):
                    dispatcher.finish(decision.number, Outcome.SHED, 0.001, 2.0, now)
        assert dispatcher.limit < 1.0
        dispatcher.submit(wait(100, now + 50), now)
        assert dispatcher.find_wakeup(now) > now


class TestPolicies:
    @pytest.mark.parametrize("name", POLICIES)
    def test_low_weight_gets_little_work(self, name):
        # Guards against a policy that ignores the ramp of a cold upstream.
        policy, random = POLICIES[name](), LinearCongruentialGenerator(1)
        options = [
            Option("a", 0, 0.5, 2, 0.05, 1.0),
            Option("b", 0, 0.5, 2, 0.05, 1.0),
            Option("cold", 0, 0.5, 2, 0.05, 0.1),
        ]
        picks = [policy.pick(options, random).name for _ in range(3000)]
        assert picks.count("cold") < 300
        assert min(picks.count("a"), picks.count("b")) > 1000
