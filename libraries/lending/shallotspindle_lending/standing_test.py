import pytest

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_lending.durations import Durations
from shallotspindle_lending.records import Outcome
from shallotspindle_lending.standing import Loan, Standing, Tier
from shallotspindle_registry.records import Announcement, State

OVERDUE = 0.3


def build_standing() -> Standing:
    return Standing(
        Announcement(
            UpstreamName("u1"),
            ServiceName("catalogue"),
            "10.0.0.1:80",
            FailureDomain("a"),
            State.READY,
            slots=2,
        )
    )


class TestProof:
    def test_a_whole_run_proves_for_a_while(self):
        standing = build_standing()
        assert standing.rank(OVERDUE, 0.0) is Tier.UNPROVEN
        standing.note(Outcome.WHOLE, "a", 1.0, 1.2)
        assert standing.rank(OVERDUE, 1.2) is Tier.PROVEN
        assert standing.rank(OVERDUE, 9.0) is Tier.UNPROVEN

    def test_a_run_that_began_before_a_failure_proves_nothing(self):
        # Guards against trust in an upstream that turned gray while the run ended.
        standing = build_standing()
        standing.note(Outcome.TIMED_OUT, "a", 1.0, 2.0)
        for _ in range(5):
            standing.note(Outcome.WHOLE, "a", 1.5, 2.1)
        assert standing.rank(OVERDUE, 3.5) is Tier.UNPROVEN
        assert standing.probation > 0


class TestDoubt:
    def test_a_hanging_run_makes_its_upstream_doubtful_before_it_fails(self):
        # Guards against sending more requests to an upstream that hangs.
        standing = build_standing()
        standing.note(Outcome.WHOLE, "a", 0.0, 0.1)
        standing.loans[("a", 1)] = Loan(1.0, 3.0, 7)
        assert standing.rank(OVERDUE, 1.2) is Tier.PROVEN
        assert standing.rank(OVERDUE, 1.4) is Tier.DOUBTFUL

    def test_a_run_that_hangs_for_long_says_nothing_of_today(self):
        # Guards against an upstream that recovered and gets nothing for the ten
        # seconds for which one upload hangs there.
        standing = build_standing()
        standing.loans[("a", 1)] = Loan(0.0, 10.5, 7)
        assert standing.rank(OVERDUE, 4.0) is Tier.DOUBTFUL
        assert standing.rank(OVERDUE, 5.0) is Tier.UNPROVEN
        standing.note(Outcome.WHOLE, "a", 5.0, 5.2)
        assert standing.rank(OVERDUE, 5.2) is Tier.PROVEN

    @pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.OVERDUE])
    def test_the_end_of_a_long_silence_suspends_nobody(self, outcome):
        # Guards against the suspension of an upstream that has answered others since.
        standing = build_standing()
        standing.note(Outcome.WHOLE, "a", 9.0, 9.2)
        standing.note(outcome, "a", 0.0, 10.0)
        assert standing.rank(OVERDUE, 10.1) is Tier.PROVEN

    def test_a_reset_after_a_long_run_is_news(self):
        standing = build_standing()
        standing.note(Outcome.RESET, "a", 0.0, 10.0)
        assert standing.rank(OVERDUE, 10.1) is Tier.SUSPENDED

    def test_a_long_loan_that_nobody_returns_suspends_nobody(self):
        # Guards against healthy capacity that goes with the instances that used it.
        standing = build_standing()
        standing.loans[("a", 1)] = Loan(0.0, 10.5, 7)
        standing.expire(10.5)
        assert not standing.loans
        assert standing.rank(OVERDUE, 10.6) is Tier.UNPROVEN

    def test_a_run_that_hangs_for_long_does_not_raise_the_odds_of_gray(self):
        durations = Durations()
        for _ in range(40):
            durations.add(0.2)
        standing = build_standing()
        standing.loans[("a", 1)] = Loan(0.0, 10.5, 7)
        young = standing.estimate_gray(durations, 0.5)
        old = standing.estimate_gray(durations, 8.0)
        assert young > 0.8
        assert old < 0.5


class TestSuspension:
    def test_one_whole_run_does_not_end_a_probation(self):
        # Guards against a gray upstream that answers a quarter of its requests.
        standing = build_standing()
        standing.note(Outcome.RESET, "a", 0.0, 1.0)
        assert standing.rank(OVERDUE, 1.5) is Tier.SUSPENDED
        standing.note(Outcome.WHOLE, "a", 2.1, 2.2)
        assert standing.rank(OVERDUE, 2.2) is Tier.UNPROVEN
        standing.note(Outcome.WHOLE, "a", 2.3, 2.4)
        standing.note(Outcome.WHOLE, "a", 2.5, 2.6)
        assert standing.rank(OVERDUE, 2.6) is Tier.PROVEN

    def test_suspensions_get_longer(self):
        standing = build_standing()
        standing.note(Outcome.TIMED_OUT, "a", 0.0, 1.0)
        standing.note(Outcome.TIMED_OUT, "a", 2.1, 3.0)
        assert standing.rank(OVERDUE, 4.4) is Tier.SUSPENDED
        # Guards against healthy capacity that stays out after a short spell.
        assert standing.rank(OVERDUE, 4.6) is Tier.UNPROVEN

    def test_one_server_error_is_no_failure_of_the_upstream(self):
        # Guards against ejecting an upstream for the errors that requests cause.
        standing = build_standing()
        standing.note(Outcome.ERROR, "a", 0.0, 0.1)
        assert standing.rank(OVERDUE, 0.2) is Tier.UNPROVEN
        standing.note(Outcome.ERROR, "a", 0.2, 0.3)
        assert standing.rank(OVERDUE, 0.4) is Tier.SUSPENDED

    def test_an_upstream_that_sheds_is_not_suspended(self):
        # Guards against the loss of all capacity when every upstream sheds a part.
        standing = build_standing()
        for number in range(10):
            standing.note(Outcome.SHED, "a", number, number + 0.01)
        assert not standing.has_room("a", 9.02)
        assert standing.has_room("a", 9.1)
        assert standing.rank(OVERDUE, 9.1) is Tier.UNPROVEN

    def test_a_slot_that_nobody_returns_counts_as_a_failure(self):
        standing = build_standing()
        standing.loans[("a", 1)] = Loan(0.0, 1.0, 7)
        standing.expire(1.0)
        assert not standing.loans
        assert standing.rank(OVERDUE, 1.1) is Tier.SUSPENDED


class TestRoom:
    def test_an_asker_that_cannot_connect_is_sent_elsewhere(self):
        # Guards against blaming an upstream for a path that one instance lost.
        standing = build_standing()
        standing.note(Outcome.NOT_CONNECTED, "a", 0.0, 0.1)
        assert not standing.has_room("a", 0.2)
        assert standing.has_room("b", 0.2)
        assert standing.rank(OVERDUE, 0.2) is Tier.UNPROVEN

    def test_two_askers_that_cannot_connect_suspend_the_upstream(self):
        standing = build_standing()
        standing.note(Outcome.NOT_CONNECTED, "a", 0.0, 0.1)
        standing.note(Outcome.NOT_CONNECTED, "b", 0.0, 0.2)
        assert standing.rank(OVERDUE, 0.3) is Tier.SUSPENDED

    def test_cut_ways_do_not_suspend_an_upstream_that_answers_others(self):
        # Guards against healthy capacity that is taken out because some instances
        # lost their way to it.
        standing = build_standing()
        standing.note(Outcome.NOT_CONNECTED, "a", 0.0, 0.1)
        standing.note(Outcome.WHOLE, "c", 0.1, 0.2)
        standing.note(Outcome.NOT_CONNECTED, "b", 0.2, 0.3)
        assert standing.rank(OVERDUE, 0.4) is Tier.PROVEN
        assert not standing.has_room("b", 0.4)

    def test_no_more_loans_than_slots(self):
        standing = build_standing()
        for number in range(2):
            assert standing.has_room("a", 0.0)
            standing.loans[("a", number)] = Loan(0.0, 9.0, 7)
        assert not standing.has_room("a", 0.0)
