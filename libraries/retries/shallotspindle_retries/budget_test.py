from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from shallotspindle_retries.budget import MIN_RETRIES, RETRY_RATIO, RetryBudget


class BudgetMachine(RuleBasedStateMachine):
    """Compares the budget with a list of all requests and retries."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.now = 0.0
        self.request_times = []
        self.retry_times = []

    def count_in_window(self, times):
        oldest = int(self.now) - 9
        return sum(int(time) >= oldest for time in times)

    @rule(number=st.sampled_from([1, 30]))
    def request(self, number):
        for _ in range(number):
            self.budget.count_request(self.now)
            self.request_times.append(self.now)

    @rule()
    def retry(self):
        allowed = max(
            MIN_RETRIES, int(RETRY_RATIO * self.count_in_window(self.request_times))
        )
        expected = self.count_in_window(self.retry_times) < allowed
        # has_retry takes nothing from the budget.
        assert self.budget.has_retry(self.now) == expected
        granted = self.budget.take_retry(self.now)
        assert granted == expected
        if granted:
            self.retry_times.append(self.now)

    @rule(seconds=st.sampled_from([0.25, 1.0, 9.0, 30.0]))
    def wait(self, seconds):
        self.now += seconds


BudgetMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestBudget(BudgetMachine.TestCase):
    """Guards against more retries than the fraction of the requests in the window."""


class TestExtraRetries:
    def test_extra_retries_are_granted_in_addition_to_the_fraction(self):
        # Guards against retries refused although the deployment allows both.
        budget = RetryBudget(ratio=0.2, min_retries=0, extra_retries=5)
        for _ in range(50):
            budget.count_request(0.0)
        assert [budget.take_retry(0.0) for _ in range(16)] == [True] * 15 + [False]


class TestWindow:
    def test_a_short_window_is_kept(self):
        # Guards against the retries of a 10 s window spent within a window of 2 s.
        budget = RetryBudget(
            ratio=0.0, min_retries=0, extra_retries=2, window_seconds=2.0
        )
        assert [budget.take_retry(0.0) for _ in range(3)] == [True, True, False]
        assert not budget.take_retry(1.7)
        assert budget.take_retry(2.1)
