import pytest

from shallotspindle_bundles.records import Upstream
from shallotspindle_health.detection_test import LinearCongruentialGenerator
from shallotspindle_health.scoring import Outcome
from shallotspindle_routing.dispatch import (
    Assigned,
    Dispatcher,
    RefusalReason,
    Refused,
)
from shallotspindle_routing.fairqueue import QueuedRequest
from shallotspindle_routing.limiter import ConcurrencyLimiter, LimiterSettings
from shallotspindle_routing.policies import POLICIES, UpstreamCandidate


class FakeHealth:
    def __init__(self, weights):
        self.weights = weights

    def find_weights(self, now):
        return self.weights

    def start_trial(self, now):
        return None

    def record(self, name, outcome, seconds, load, now):
        pass


def build_dispatcher(weights, max_limit=64.0, policy="power-of-two"):
    health = FakeHealth(weights)
    limiter = ConcurrencyLimiter(
        LimiterSettings(initial_limit=min(4.0, max_limit), max_limit=max_limit)
    )
    dispatcher = Dispatcher(
        "d0", health, POLICIES[policy](), LinearCongruentialGenerator(1), limiter
    )
    dispatcher.set_upstreams(
        [
            Upstream(name, f"10.0.0.{number}:80", f"d{number}")
            for number, name in enumerate(weights)
        ]
    )
    return dispatcher


def build_request(number, deadline=10.0, tried_upstreams=frozenset()):
    return QueuedRequest(number, "team", 0, tried_upstreams, deadline)


class TestDispatcher:
    def test_local_upstreams_come_first_and_spill_over(self):
        # Guards against traffic between failure domains while local slots are free,
        # and against a queue behind busy local upstreams while remote slots are free.
        dispatcher = build_dispatcher({"near": 1.0, "far": 1.0})
        names = [
            decision.upstream.name
            for number in range(4)
            for decision in dispatcher.submit(build_request(number), 0.0)
        ]
        assert names[0] == "near"
        assert sorted(names) == ["far", "far", "near", "near"]

    def test_queued_request_is_sent_when_another_finishes(self):
        # Guards against a queued request that is never sent.
        dispatcher = build_dispatcher({"near": 1.0}, max_limit=1.0)
        dispatcher.submit(build_request(1), 0.0)
        assert dispatcher.submit(build_request(2), 0.0) == []
        decisions = dispatcher.finish(1, Outcome.COMPLETE, 0.1, 0.5, 0.1)
        assert [item.request_number for item in decisions] == [2]

    def test_request_is_refused_at_its_deadline(self):
        # Guards against sending a request whose caller no longer waits for it.
        dispatcher = build_dispatcher({"near": 1.0}, max_limit=1.0)
        dispatcher.submit(build_request(1), 0.0)
        dispatcher.submit(build_request(2, deadline=1.0), 0.0)
        assert dispatcher.find_wakeup_time(0.0) == 1.0
        assert dispatcher.advance(1.0) == [Refused(2, RefusalReason.DEADLINE_PASSED)]

    def test_request_that_tried_every_upstream_does_not_block_the_queue(self):
        # Guards against a request at the head of the queue that no upstream may get.
        dispatcher = build_dispatcher({"near": 1.0})
        decisions = dispatcher.submit(
            build_request(1, tried_upstreams=frozenset({"near"})), 0.0
        )
        assert decisions == [Refused(1, RefusalReason.NO_UPSTREAM)]
        assert isinstance(dispatcher.submit(build_request(2), 0.0)[0], Assigned)

    def test_shed_requests_lower_the_limit_below_one(self):
        # Guards against instances that keep sending to a service that sheds.
        dispatcher = build_dispatcher({"near": 1.0})
        now = 0.0
        for number in range(60):
            now += 1.0
            for decision in dispatcher.submit(build_request(number, now + 5), now):
                if isinstance(decision, Assigned):
                    dispatcher.finish(
                        decision.request_number, Outcome.SHED, 0.001, 2.0, now
                    )
        assert dispatcher.concurrency_limit < 1.0
        dispatcher.submit(build_request(100, now + 50), now)
        assert dispatcher.find_wakeup_time(now) > now


class TestPolicies:
    @pytest.mark.parametrize("name", POLICIES)
    def test_low_weight_gets_few_requests(self, name):
        # Guards against a policy that ignores the slow start of a cold upstream.
        policy, random = POLICIES[name](), LinearCongruentialGenerator(1)
        candidates = [
            UpstreamCandidate("a", 0, 0.5, 2, 0.05, 1.0),
            UpstreamCandidate("b", 0, 0.5, 2, 0.05, 1.0),
            UpstreamCandidate("cold", 0, 0.5, 2, 0.05, 0.1),
        ]
        picks = [policy.pick(candidates, random).name for _ in range(3000)]
        assert picks.count("cold") < 300
        assert min(picks.count("a"), picks.count("b")) > 1000
