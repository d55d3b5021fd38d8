from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from shallotspindle_health.detection import HealthState
from shallotspindle_health.detection_test import (
    SERVICE,
    UPSTREAMS,
    build_monitor,
    build_report,
    record_attempts,
    record_complete,
)
from shallotspindle_health.scoring import Outcome

FLOOR = 4
UPSTREAM_NAMES = st.sampled_from(sorted(UPSTREAMS))
FAILURES = st.sampled_from([Outcome.ERROR, Outcome.TRUNCATED, Outcome.NOT_CONNECTED])


class FloorMachine(RuleBasedStateMachine):
    """Applies events in any order and counts the upstreams that stay in use."""

    def __init__(self):
        super().__init__()
        self.monitor = build_monitor(floor=FLOOR)
        self.now = 0.0
        self.sequence = 0
        self.leaving = set()
        record_complete(self.monitor)

    @rule(upstream=UPSTREAM_NAMES, outcome=FAILURES)
    def fail_attempts(self, upstream, outcome):
        record_attempts(self.monitor, upstream, outcome, 5, now=self.now)

    @rule()
    def complete_attempts(self):
        record_complete(self.monitor, count=2, now=self.now)

    @rule(upstreams=st.sets(UPSTREAM_NAMES), number=st.integers(1, 5))
    def receive_report(self, upstreams, number):
        self.sequence += 1
        self.monitor.receive(
            build_report(number, sorted(upstreams), self.sequence), self.now
        )

    @rule(upstream=UPSTREAM_NAMES, is_leaving=st.booleans())
    def set_leaving(self, upstream, is_leaving):
        self.monitor.get(SERVICE).set_leaving(upstream, is_leaving, self.now)
        (self.leaving.add if is_leaving else self.leaving.discard)(upstream)

    @rule(seconds=st.sampled_from([0.5, 6.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds
        trial = self.monitor.get(SERVICE).start_trial(self.now)
        if trial:
            record_attempts(self.monitor, trial, Outcome.COMPLETE, now=self.now)
        self.monitor.tick(self.now)

    @invariant()
    def floor_stays_in_use(self):
        statuses = self.monitor.get(SERVICE)._statuses.values()
        states_in_use = (
            HealthState.ACTIVE,
            HealthState.SUSPECT,
            HealthState.EJECTION_BLOCKED,
        )
        in_use = sum(item.state in states_in_use for item in statuses)
        ejected = sum(
            item.state is HealthState.EJECTED and not item.was_ramping
            for item in statuses
        )
        assert in_use >= min(FLOOR, in_use + ejected)

    @invariant()
    def leaving_upstreams_get_no_requests(self):
        assert not (
            self.leaving & self.monitor.get(SERVICE).find_weights(self.now).keys()
        )


FloorMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=20, deadline=None
)


class TestFloorMachine(FloorMachine.TestCase):
    """Guards against an order of events that leaves less than the floor in use."""
