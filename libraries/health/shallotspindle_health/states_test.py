from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from shallotspindle_health.detection import State
from shallotspindle_health.detection_test import (
    NAMES,
    SERVICE,
    build,
    feed,
    feed_well,
    report,
)
from shallotspindle_health.samples import Outcome

FLOOR = 4
UPSTREAMS = st.sampled_from(sorted(NAMES))
BAD = st.sampled_from([Outcome.ERROR, Outcome.TRUNCATED, Outcome.NOT_CONNECTED])


class FloorMachine(RuleBasedStateMachine):
    """Applies any order of events and counts what stays in use."""

    def __init__(self):
        super().__init__()
        self.overview = build(floor=FLOOR)
        self.now = 0.0
        self.sequence = 0
        self.leaving = set()
        feed_well(self.overview)

    @rule(name=UPSTREAMS, outcome=BAD)
    def fail(self, name, outcome):
        feed(self.overview, name, outcome, 5, now=self.now)

    @rule()
    def serve(self):
        feed_well(self.overview, count=2, now=self.now)

    @rule(names=st.sets(UPSTREAMS), number=st.integers(1, 5))
    def hear(self, names, number):
        self.sequence += 1
        self.overview.receive(report(number, sorted(names), self.sequence), self.now)

    @rule(name=UPSTREAMS, leaving=st.booleans())
    def mark(self, name, leaving):
        self.overview.get(SERVICE).mark_leaving(name, leaving, self.now)
        (self.leaving.add if leaving else self.leaving.discard)(name)

    @rule(seconds=st.sampled_from([0.5, 6.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds
        trial = self.overview.get(SERVICE).take_trial(self.now)
        if trial:
            feed(self.overview, trial, Outcome.WHOLE, now=self.now)
        self.overview.tick(self.now)

    @invariant()
    def floor_stays_in_use(self):
        standings = self.overview.get(SERVICE)._standings.values()
        used = (State.ACTIVE, State.SUSPECT, State.KEPT)
        in_use = sum(item.state in used for item in standings)
        out = sum(
            item.state is State.EJECTED and not item.was_cold for item in standings
        )
        assert in_use >= min(FLOOR, in_use + out)

    @invariant()
    def leaving_upstreams_get_no_work(self):
        assert not self.leaving & self.overview.get(SERVICE).weigh(self.now).keys()


FloorMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=20, deadline=None
)


class TestFloorMachine(FloorMachine.TestCase):
    """Guards against an order of events that leaves less than the floor in use."""
