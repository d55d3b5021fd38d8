from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from shallotspindle_ownership import holdings, sessions
from shallotspindle_ownership.harness import (
    MutualExclusionError,
    SimulatedFleet,
    WriteDelivery,
)

NAMES = ["a", "b", "c"]
PARTITIONS = [0, 1]
SESSION_TIMEOUT = sessions.SESSION_TIMEOUT_SECONDS
names = st.sampled_from(NAMES)
deliveries = st.sampled_from(list(WriteDelivery))
pauses = st.sampled_from([15, 301, SESSION_TIMEOUT - 400, SESSION_TIMEOUT * 1.02])


def start_fleet(*held: int) -> SimulatedFleet:
    """Return a fleet where ``a`` holds partitions and all observed many renewals."""
    fleet = SimulatedFleet(NAMES)
    for _ in range(4):
        fleet.advance(30)
        for name in NAMES:
            fleet.renew(name, WriteDelivery.ACKNOWLEDGED)
            for other in NAMES:
                fleet.observe_session(name, other)
    fleet.acquire("a", held, WriteDelivery.ACKNOWLEDGED)
    return fleet


class FleetMachine(RuleBasedStateMachine):
    """Guards against two instances that act for a partition and an epoch used twice.

    The fleet raises in both cases. Each rule combines steps that follow each other in
    the daemon, so that many runs get past the connected period and the session
    timeout.
    """

    def __init__(self):
        super().__init__()
        self.fleet = start_fleet(*PARTITIONS)

    @rule(rounds=st.integers(1, 4), faulty=names, delivery=deliveries)
    def run_normally(self, rounds, faulty, delivery):
        for _ in range(rounds):
            self.fleet.advance(30)
            for name in NAMES:
                self.fleet.read_own_session(name)
                self.fleet.read_table(name)
                self.fleet.renew(
                    name, delivery if name == faulty else WriteDelivery.ACKNOWLEDGED
                )
            self.observe_all()

    @rule(seconds=pauses)
    def pause_all(self, seconds):
        self.fleet.advance(seconds)

    @rule(name=names, delivery=deliveries)
    def renew(self, name, delivery):
        self.fleet.read_own_session(name)
        self.fleet.read_table(name)
        self.fleet.renew(name, delivery)

    def find_holder(self):
        """Return an instance that acts, so that most handovers are possible."""
        acting = [name for n in PARTITIONS for name in self.fleet.list_acting(n)]
        return acting[0] if acting else NAMES[0]

    def observe_all(self):
        for name in NAMES:
            for other in NAMES:
                self.fleet.observe_session(name, other)

    @rule(name=names, delivery=deliveries)
    def acquire(self, name, delivery):
        self.fleet.read_table(name)
        self.fleet.acquire(name, PARTITIONS, delivery)
        self.fleet.record_handovers(name, delivery)

    @rule(successor=names, delivery=deliveries, is_delivered=st.booleans())
    def hand_over(self, successor, delivery, is_delivered):
        name = self.find_holder()
        self.fleet.offer(name, successor, PARTITIONS)
        if not self.fleet.hand_over(name, successor, delivery):
            self.fleet.hand_over_without_store(name, successor)
        if is_delivered and self.fleet.messages:
            self.fleet.deliver_message(0)

    @rule(successor=names, seconds=pauses, is_delivered=st.booleans())
    def hand_over_without_store(self, successor, seconds, is_delivered):
        """Hand over from an instance that has not reached the store for a while."""
        name = self.find_holder()
        self.fleet.advance(seconds)
        if name != successor:
            self.fleet.renew(successor, WriteDelivery.ACKNOWLEDGED)
        self.fleet.offer(name, successor, PARTITIONS)
        self.fleet.hand_over_without_store(name, successor)
        if is_delivered and self.fleet.messages:
            self.fleet.deliver_message(0)

    @rule(name=names, delivery=deliveries)
    def take_over(self, name, delivery):
        self.fleet.renew(name, WriteDelivery.ACKNOWLEDGED)
        for holder in NAMES:
            self.fleet.take_over(name, holder, delivery)

    @rule(name=names)
    def terminate(self, name):
        alive = [n for n in NAMES if self.fleet.instances[n].is_alive]
        if len(alive) > 1:
            self.fleet.kill(name)
            self.fleet.unlist(name)

    @rule()
    def toggle_store(self):
        self.fleet.is_store_up = not self.fleet.is_store_up

    @precondition(lambda self: self.fleet.messages)
    @rule(is_lost=st.booleans())
    def lose_or_deliver_message(self, is_lost):
        self.fleet.lose_message(0) if is_lost else self.fleet.deliver_message(0)

    @precondition(lambda self: self.fleet.delayed_writes)
    @rule()
    def apply_delayed_write(self):
        self.fleet.apply_delayed_write(0)


FleetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=600, stateful_step_count=25
)


class FleetMachineTest(FleetMachine.TestCase):
    pass


class TestPausedHolder:
    def test_does_not_act_after_its_session_timeout(self):
        # Guards against a holder that acts after an observer could take over.
        fleet = start_fleet(0)
        fleet.advance(SESSION_TIMEOUT - 1)
        assert fleet.list_acting(0) == ["a"]
        fleet.advance(1)
        assert fleet.list_acting(0) == []

    def test_regains_an_expired_partition_only_at_a_higher_epoch(self):
        # Guards against a holder that continues with outdated state after its session
        # expired.
        fleet = start_fleet(0)
        fleet.advance(SESSION_TIMEOUT)
        fleet.renew("a", WriteDelivery.ACKNOWLEDGED)
        fleet.read_table("a")
        assert fleet.list_acting(0) == []
        fleet.acquire("a", [], WriteDelivery.ACKNOWLEDGED)
        assert fleet.list_acting(0) == ["a"]
        assert fleet.instances["a"].state.held[0].epoch == 2


class TestHandover:
    def test_needs_the_store_in_the_connected_period(self):
        # Guards against an unrecorded handover followed by a proof of termination, by
        # which an observer would take over as well.
        fleet = start_fleet(0)
        fleet.offer("a", "b", [0])
        assert not fleet.hand_over_without_store("a", "b")
        assert fleet.list_acting(0) == ["a"]

    def test_unrecorded_ownership_expires_with_the_session_of_the_former_holder(self):
        # Guards against a successor that acts after an observer could take over by
        # the proof of expiry.
        fleet = start_fleet(0)
        fleet.advance(SESSION_TIMEOUT - 1)
        fleet.renew("b", WriteDelivery.ACKNOWLEDGED)
        fleet.offer("a", "b", [0])
        fleet.hand_over_without_store("a", "b")
        assert fleet.deliver_message(0)
        assert fleet.list_acting(0) == ["b"]
        fleet.advance(1)
        assert fleet.list_acting(0) == []

    def test_accepted_offer_is_dropped_when_the_session_expires(self):
        # Guards against acting for an entry that an observer takes over at the same
        # moment.
        fleet = start_fleet(0)
        fleet.offer("a", "b", [0])
        fleet.hand_over("a", "b", WriteDelivery.DELAYED)
        fleet.advance(SESSION_TIMEOUT)
        fleet.renew("b", WriteDelivery.ACKNOWLEDGED)
        fleet.apply_delayed_write(0)
        fleet.read_table("b")
        assert fleet.list_acting(0) == []


class TestLostHandover:
    def test_without_the_store_nobody_acts_until_the_session_expires(self):
        # Guards against a proof of termination for a holder that handed over without
        # the store.
        fleet = start_fleet(0)
        fleet.is_store_up = False
        fleet.advance(sessions.CONNECTED_SECONDS)
        assert fleet.offer("a", "b", [0])
        assert fleet.hand_over_without_store("a", "b")
        fleet.lose_message(0)
        fleet.is_store_up = True
        fleet.renew("b", WriteDelivery.ACKNOWLEDGED)
        assert fleet.list_acting(0) == []
        assert not fleet.renew("a", WriteDelivery.ACKNOWLEDGED)
        fleet.kill("a")
        fleet.unlist("a")
        assert not fleet.take_over("b", "a", WriteDelivery.ACKNOWLEDGED)

    def test_through_the_store_the_successor_acts_without_the_state(self):
        # Guards against a partition that nobody acts for because its state was lost.
        fleet = start_fleet(0)
        fleet.offer("a", "b", [0])
        fleet.hand_over("a", "b", WriteDelivery.ACKNOWLEDGED)
        fleet.lose_message(0)
        fleet.read_table("b")
        assert fleet.list_acting(0) == []
        fleet.advance(holdings.STATE_WAIT_SECONDS)
        fleet.read_table("b")
        assert fleet.list_acting(0) == ["b"]

    def test_handover_received_after_its_ownership_expired_is_ignored(self):
        # Guards against handed-over ownership that outlasts the session it came from
        # when the successor was paused.
        fleet = start_fleet(0)
        fleet.is_store_up = False
        fleet.advance(sessions.CONNECTED_SECONDS)
        fleet.offer("a", "b", [0])
        fleet.hand_over_without_store("a", "b")
        fleet.advance(SESSION_TIMEOUT - sessions.CONNECTED_SECONDS)
        assert not fleet.deliver_message(0)


class TestTakeover:
    def test_concurrent_takeovers_have_one_winner(self):
        # Guards against two observers that both act after the same proof.
        fleet = start_fleet(0)
        fleet.kill("a")
        fleet.unlist("a")
        fleet.take_over("b", "a", WriteDelivery.DELAYED)
        fleet.take_over("c", "a", WriteDelivery.DELAYED)
        assert fleet.apply_delayed_write(0)
        assert not fleet.apply_delayed_write(0)
        fleet.read_table("b")
        fleet.read_table("c")
        assert fleet.list_acting(0) == ["b"]

    def test_needs_a_recent_renewal(self):
        # Guards against a takeover while a successor acts that the table does not name.
        fleet = start_fleet(0)
        fleet.kill("a")
        fleet.unlist("a")
        fleet.advance(sessions.CONNECTED_SECONDS)
        assert not fleet.take_over("b", "a", WriteDelivery.ACKNOWLEDGED)

    def test_unanswered_last_renewal_does_not_prove_the_connected_period(self):
        # Guards against a counter that was written after the holder left the connected
        # phase.
        fleet = start_fleet(0)
        fleet.advance(sessions.CONNECTED_SECONDS)
        fleet.observe_session("c", "a")
        fleet.renew("b", WriteDelivery.ACKNOWLEDGED)
        fleet.renew("a", WriteDelivery.RESPONSE_LOST)
        fleet.observe_session("c", "a")
        fleet.offer("a", "b", [0])
        assert fleet.hand_over_without_store("a", "b")
        assert fleet.deliver_message(0)
        fleet.kill("a")
        fleet.unlist("a")
        fleet.renew("c", WriteDelivery.ACKNOWLEDGED)
        assert not fleet.take_over("c", "a", WriteDelivery.ACKNOWLEDGED)
        assert fleet.list_acting(0) == ["b"]

    def test_follows_the_session_timeout_of_a_holder_that_does_not_renew(self):
        # Guards against partitions that stay with an unreachable holder forever.
        fleet = start_fleet(0)
        fleet.advance(SESSION_TIMEOUT * 1.01)
        fleet.renew("b", WriteDelivery.ACKNOWLEDGED)
        assert fleet.take_over("b", "a", WriteDelivery.ACKNOWLEDGED)
        assert fleet.list_acting(0) == ["b"]

    def test_waits_for_the_clock_drift_after_the_session_timeout(self):
        # Guards against a takeover from a holder whose clock runs slower.
        fleet = start_fleet(0)
        fleet.advance(SESSION_TIMEOUT)
        fleet.renew("b", WriteDelivery.ACKNOWLEDGED)
        assert not fleet.take_over("b", "a", WriteDelivery.ACKNOWLEDGED)

    def test_simulated_fleet_reports_two_holders(self):
        # Guards against a simulated fleet that never reports a violation.
        fleet = start_fleet(0)
        held = fleet.instances["a"].state.held
        fleet.instances["b"].state = replace(fleet.instances["b"].state, held=held)
        with pytest.raises(MutualExclusionError):
            fleet.advance(0)
