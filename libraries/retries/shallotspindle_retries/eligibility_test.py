from shallotspindle_retries import backoff, eligibility
from shallotspindle_retries.budget import RetryBudget
from shallotspindle_retries.eligibility import Attempt

NOT_RUN = {"request-outcome": "not-run"}


class SteppingRandom:
    """Deterministic random source that steps through the unit interval.

    The import contracts forbid the module random in decision libraries.
    """

    def __init__(self):
        self.step = 0

    def random(self):
        self.step += 37
        return self.step % 100 / 100

    def randrange(self, stop):
        return int(self.random() * stop)


class TestMayRetry:
    def test_a_non_idempotent_request_is_retried_only_if_it_did_not_run(self):
        # Guards against a booking that runs twice.
        assert eligibility.may_retry(Attempt(False), False)
        assert eligibility.may_retry(Attempt(True, 503, NOT_RUN), False)
        assert not eligibility.may_retry(Attempt(True), False)
        assert not eligibility.may_retry(Attempt(True, 503), False)
        assert not eligibility.may_retry(Attempt(True, 500, NOT_RUN), False)

    def test_an_idempotent_request_is_retried_only_after_a_failure(self):
        # Guards against retries of completed requests, and of partly sent responses.
        assert eligibility.may_retry(Attempt(True), True)
        assert eligibility.may_retry(Attempt(True, 502), True)
        assert not eligibility.may_retry(Attempt(True, 404), True)
        assert not eligibility.may_retry(Attempt(True, has_started_response=True), True)
        assert not eligibility.may_retry(Attempt(False, is_body_replayable=False), True)


class TestAttempts:
    def test_attempts_stay_bounded_while_all_upstreams_of_a_service_fail(self):
        # Guards against retries that multiply the load of a failing service.
        budget, random, attempts = RetryBudget(), SteppingRandom(), 0
        for number in range(5000):
            now = number / 100
            budget.count_request(now)
            made = 1
            while backoff.compute_delay(made, now, now + 5, random) is not None:
                if not budget.take_retry(now):
                    break
                made += 1
            attempts += made
        assert attempts / 5000 <= 1.11

    def test_no_delay_ends_after_the_deadline(self):
        # Guards against a retry whose response comes too late to be of use.
        random = SteppingRandom()
        delays = [backoff.compute_delay(1, 0.0, 0.01, random) for _ in range(200)]
        assert None in delays
        assert all(delay is None or delay < 0.01 for delay in delays)
