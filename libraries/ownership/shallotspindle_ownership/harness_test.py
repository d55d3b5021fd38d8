from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from shallotspindle_ownership import holdings, sessions
from shallotspindle_ownership.harness import ExclusionError, Fleet, Outcome

NAMES = ["a", "b", "c"]
PARTITIONS = [0, 1]
HORIZON = sessions.HORIZON_SECONDS
names = st.sampled_from(NAMES)
outcomes = st.sampled_from(list(Outcome))
silences = st.sampled_from([15, 301, HORIZON - 400, HORIZON * 1.02])


def start(*held: int) -> Fleet:
    """Return a fleet in which ``a`` holds partitions and all were renewed often."""
    fleet = Fleet(NAMES)
    for _ in range(4):
        fleet.advance(30)
        for name in NAMES:
            fleet.renew(name, Outcome.ANSWERED)
            for other in NAMES:
                fleet.observe(name, other)
    fleet.acquire("a", held, Outcome.ANSWERED)
    return fleet


class FleetMachine(RuleBasedStateMachine):
    """The fleet raises when two instances act or an epoch is used twice.

    The rules bundle the steps that follow each other in the daemon, so that a run
    gets past the quiet period and the horizon often.
    """

    def __init__(self):
        super().__init__()
        self.fleet = start(*PARTITIONS)

    @rule(rounds=st.integers(1, 4), silent=names, outcome=outcomes)
    def run_normally(self, rounds, silent, outcome):
        for _ in range(rounds):
            self.fleet.advance(30)
            for name in NAMES:
                self.fleet.read_session(name)
                self.fleet.read_table(name)
                self.fleet.renew(name, outcome if name == silent else Outcome.ANSWERED)
            self.observe()

    @rule(seconds=silences)
    def be_silent(self, seconds):
        self.fleet.advance(seconds)

    @rule(name=names, outcome=outcomes)
    def renew(self, name, outcome):
        self.fleet.read_session(name)
        self.fleet.read_table(name)
        self.fleet.renew(name, outcome)

    def find_holder(self):
        """Return an instance that acts, so that most hand-overs are possible."""
        acting = [name for n in PARTITIONS for name in self.fleet.find_acting(n)]
        return acting[0] if acting else NAMES[0]

    def observe(self):
        for name in NAMES:
            for other in NAMES:
                self.fleet.observe(name, other)

    @rule(name=names, outcome=outcomes)
    def acquire(self, name, outcome):
        self.fleet.read_table(name)
        self.fleet.acquire(name, PARTITIONS, outcome)
        self.fleet.record(name, outcome)

    @rule(successor=names, outcome=outcomes, arrives=st.booleans())
    def hand_over(self, successor, outcome, arrives):
        name = self.find_holder()
        self.fleet.offer(name, successor, PARTITIONS)
        if not self.fleet.hand_over(name, successor, outcome):
            self.fleet.hand_over_alone(name, successor)
        if arrives and self.fleet.messages:
            self.fleet.deliver(0)

    @rule(successor=names, seconds=silences, arrives=st.booleans())
    def hand_over_alone(self, successor, seconds, arrives):
        """Stop an instance that the store has not answered for a while."""
        name = self.find_holder()
        self.fleet.advance(seconds)
        if name != successor:
            self.fleet.renew(successor, Outcome.ANSWERED)
        self.fleet.offer(name, successor, PARTITIONS)
        self.fleet.hand_over_alone(name, successor)
        if arrives and self.fleet.messages:
            self.fleet.deliver(0)

    @rule(name=names, outcome=outcomes)
    def take_over(self, name, outcome):
        self.fleet.renew(name, Outcome.ANSWERED)
        for holder in NAMES:
            self.fleet.take_over(name, holder, outcome)

    @rule(name=names)
    def end(self, name):
        alive = [n for n in NAMES if self.fleet.nodes[n].alive]
        if len(alive) > 1:
            self.fleet.kill(name)
            self.fleet.unlist(name)

    @rule()
    def switch_store(self):
        self.fleet.store_up = not self.fleet.store_up

    @precondition(lambda self: self.fleet.messages)
    @rule(lost=st.booleans())
    def end_message(self, lost):
        self.fleet.lose(0) if lost else self.fleet.deliver(0)

    @precondition(lambda self: self.fleet.delayed)
    @rule()
    def land(self):
        self.fleet.land(0)


FleetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=600, stateful_step_count=25
)


class FleetMachineTest(FleetMachine.TestCase):
    pass


class TestPausedHolder:
    def test_acts_no_more_past_its_horizon(self):
        fleet = start(0)
        fleet.advance(HORIZON - 1)
        assert fleet.find_acting(0) == ["a"]
        fleet.advance(1)
        assert fleet.find_acting(0) == []

    def test_reclaims_a_lapsed_partition_as_taken_over_only(self):
        # Guards against a holder that goes on with old state after its lapse.
        fleet = start(0)
        fleet.advance(HORIZON)
        fleet.renew("a", Outcome.ANSWERED)
        fleet.read_table("a")
        assert fleet.find_acting(0) == []
        fleet.acquire("a", [], Outcome.ANSWERED)
        assert fleet.find_acting(0) == ["a"]
        assert fleet.nodes["a"].rights.held[0].epoch == 2


class TestHandOver:
    def test_needs_the_store_in_the_quiet_period(self):
        fleet = start(0)
        fleet.offer("a", "b", [0])
        assert not fleet.hand_over_alone("a", "b")
        assert fleet.find_acting(0) == ["a"]

    def test_unrecorded_right_ends_with_the_horizon_of_the_former_holder(self):
        fleet = start(0)
        fleet.advance(HORIZON - 1)
        fleet.renew("b", Outcome.ANSWERED)
        fleet.offer("a", "b", [0])
        fleet.hand_over_alone("a", "b")
        assert fleet.deliver(0)
        assert fleet.find_acting(0) == ["b"]
        fleet.advance(1)
        assert fleet.find_acting(0) == []

    def test_offer_is_forgotten_at_a_lapse(self):
        # Guards against an entry that an observer takes over at the same moment.
        fleet = start(0)
        fleet.offer("a", "b", [0])
        fleet.hand_over("a", "b", Outcome.DELAYED)
        fleet.advance(HORIZON)
        fleet.renew("b", Outcome.ANSWERED)
        fleet.land(0)
        fleet.read_table("b")
        assert fleet.find_acting(0) == []


class TestLostHandOver:
    def test_without_the_store_nobody_acts_until_the_lapse(self):
        fleet = start(0)
        fleet.store_up = False
        fleet.advance(sessions.QUIET_SECONDS)
        assert fleet.offer("a", "b", [0])
        assert fleet.hand_over_alone("a", "b")
        fleet.lose(0)
        fleet.store_up = True
        fleet.renew("b", Outcome.ANSWERED)
        assert fleet.find_acting(0) == []
        assert not fleet.renew("a", Outcome.ANSWERED)
        fleet.kill("a")
        fleet.unlist("a")
        assert not fleet.take_over("b", "a", Outcome.ANSWERED)

    def test_through_the_store_the_successor_acts_without_the_state(self):
        fleet = start(0)
        fleet.offer("a", "b", [0])
        fleet.hand_over("a", "b", Outcome.ANSWERED)
        fleet.lose(0)
        fleet.read_table("b")
        assert fleet.find_acting(0) == []
        fleet.advance(holdings.STATE_WAIT_SECONDS)
        fleet.read_table("b")
        assert fleet.find_acting(0) == ["b"]

    def test_late_message_after_a_pause_of_the_successor_gives_no_right(self):
        # Guards against an inherited right that outlasts the horizon it came from.
        fleet = start(0)
        fleet.store_up = False
        fleet.advance(sessions.QUIET_SECONDS)
        fleet.offer("a", "b", [0])
        fleet.hand_over_alone("a", "b")
        fleet.advance(HORIZON - sessions.QUIET_SECONDS)
        assert not fleet.deliver(0)


class TestTakeOver:
    def test_two_instances_at_once_have_one_winner(self):
        fleet = start(0)
        fleet.kill("a")
        fleet.unlist("a")
        fleet.take_over("b", "a", Outcome.DELAYED)
        fleet.take_over("c", "a", Outcome.DELAYED)
        assert fleet.land(0)
        assert not fleet.land(0)
        fleet.read_table("b")
        fleet.read_table("c")
        assert fleet.find_acting(0) == ["b"]

    def test_needs_a_recent_renewal(self):
        # Guards against a take-over while an unrecorded successor acts.
        fleet = start(0)
        fleet.kill("a")
        fleet.unlist("a")
        fleet.advance(sessions.QUIET_SECONDS)
        assert not fleet.take_over("b", "a", Outcome.ANSWERED)

    def test_unanswered_last_renewal_does_not_prove_the_quiet_period(self):
        # Guards against a counter that was written after the holder left phase 1.
        fleet = start(0)
        fleet.advance(sessions.QUIET_SECONDS)
        fleet.observe("c", "a")
        fleet.renew("b", Outcome.ANSWERED)
        fleet.renew("a", Outcome.ANSWER_LOST)
        fleet.observe("c", "a")
        fleet.offer("a", "b", [0])
        assert fleet.hand_over_alone("a", "b")
        assert fleet.deliver(0)
        fleet.kill("a")
        fleet.unlist("a")
        fleet.renew("c", Outcome.ANSWERED)
        assert not fleet.take_over("c", "a", Outcome.ANSWERED)
        assert fleet.find_acting(0) == ["b"]

    def test_follows_the_lapse_of_a_silent_holder(self):
        fleet = start(0)
        fleet.advance(HORIZON * 1.01)
        fleet.renew("b", Outcome.ANSWERED)
        assert fleet.take_over("b", "a", Outcome.ANSWERED)
        assert fleet.find_acting(0) == ["b"]

    def test_waits_for_the_whole_horizon(self):
        fleet = start(0)
        fleet.advance(HORIZON)
        fleet.renew("b", Outcome.ANSWERED)
        assert not fleet.take_over("b", "a", Outcome.ANSWERED)

    def test_the_harness_notices_two_holders(self):
        # Guards against a harness that cannot fail.
        fleet = start(0)
        held = fleet.nodes["a"].rights.held
        fleet.nodes["b"].rights = replace(fleet.nodes["b"].rights, held=held)
        with pytest.raises(ExclusionError):
            fleet.advance(0)
