import pytest

from shallotspindle_lending.beliefs import (
    MAX_GRAY_PROBABILITY,
    STATIONARY_GRAY_PROBABILITY,
    Belief,
)


class TestObservations:
    def test_one_success_after_a_failure_does_not_clear_an_upstream(self):
        # Guards against non-idempotent requests sent to a gray upstream after it
        # completed a single request.
        belief = Belief(0.02, 0.0).observe_failure(1.0).observe_success(1.1)
        assert belief.gray_probability > 0.2

    def test_a_series_of_successes_clears_an_upstream(self):
        # Guards against a recovered upstream that stays out of use.
        belief = Belief(MAX_GRAY_PROBABILITY, 0.0)
        for number in range(8):
            belief = belief.observe_success(0.1 * number)
        assert belief.gray_probability < 0.05

    def test_an_attempt_slower_than_nearly_all_others_raises_the_probability(self):
        # Guards against a hanging upstream that looks healthy until its first timeout.
        belief = Belief(0.05, 0.0)
        assert belief.observe_running(1.0).gray_probability == pytest.approx(0.05)
        assert belief.observe_running(0.02).gray_probability > 0.5

    def test_a_server_error_weighs_less_than_a_failure(self):
        # Guards against blaming an upstream for errors that requests cause themselves.
        belief = Belief(0.02, 0.0)
        assert (
            belief.observe_error(1.0).gray_probability
            < belief.observe_failure(1.0).gray_probability
        )


class TestPrediction:
    @pytest.mark.parametrize("gray_probability", [0.0, MAX_GRAY_PROBABILITY])
    def test_without_observations_the_belief_tends_to_the_stationary_one(
        self, gray_probability
    ):
        # Guards against a belief that stays certain while nothing is observed.
        assert Belief(gray_probability, 0.0).predict(
            60.0
        ).gray_probability == pytest.approx(STATIONARY_GRAY_PROBABILITY)

    def test_a_recent_belief_hardly_changes(self):
        # Guards against evidence that is lost within a fraction of a second.
        assert Belief(0.02, 0.0).predict(0.1).gray_probability < 0.04
