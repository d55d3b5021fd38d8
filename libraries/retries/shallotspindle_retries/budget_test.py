from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from shallotspindle_retries.budget import LEAST_RETRIES, RATIO, Budget


class BudgetMachine(RuleBasedStateMachine):
    """Compares the budget with a list of all requests and retries."""

    def __init__(self):
        super().__init__()
        self.budget = Budget()
        self.now = 0.0
        self.requests = []
        self.retries = []

    def count(self, times):
        oldest = int(self.now) - 9
        return sum(int(time) >= oldest for time in times)

    @rule(number=st.sampled_from([1, 30]))
    def request(self, number):
        for _ in range(number):
            self.budget.count_request(self.now)
            self.requests.append(self.now)

    @rule()
    def retry(self):
        allowed = max(LEAST_RETRIES, int(RATIO * self.count(self.requests)))
        expected = self.count(self.retries) < allowed
        # A question about the budget changes nothing.
        assert self.budget.has_retry(self.now) == expected
        granted = self.budget.take(self.now)
        assert granted == expected
        if granted:
            self.retries.append(self.now)

    @rule(seconds=st.sampled_from([0.25, 1.0, 9.0, 30.0]))
    def wait(self, seconds):
        self.now += seconds


BudgetMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestBudget(BudgetMachine.TestCase):
    """Guards against retries beyond the part of the requests in the window."""


class TestSlack:
    def test_the_slack_comes_on_top_of_the_part(self):
        # Guards against repeats refused although the deployment allows both.
        budget = Budget(ratio=0.2, least=0, slack=5)
        for _ in range(50):
            budget.count_request(0.0)
        assert [budget.take(0.0) for _ in range(16)] == [True] * 15 + [False]


class TestWindow:
    def test_a_short_window_is_kept(self):
        # Guards against the repeats of ten seconds spent within a window of two.
        budget = Budget(ratio=0.0, least=0, slack=2, window=2.0)
        assert [budget.take(0.0) for _ in range(3)] == [True, True, False]
        assert not budget.take(1.7)
        assert budget.take(2.1)
