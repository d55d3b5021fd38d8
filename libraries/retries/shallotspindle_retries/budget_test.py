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
        granted = self.budget.take(self.now)
        assert granted == (self.count(self.retries) < allowed)
        if granted:
            self.retries.append(self.now)

    @rule(seconds=st.sampled_from([0.25, 1.0, 9.0, 30.0]))
    def wait(self, seconds):
        self.now += seconds


BudgetMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestBudget(BudgetMachine.TestCase):
    """Guards against retries beyond the part of the requests in the window."""
