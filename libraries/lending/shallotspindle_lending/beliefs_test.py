import pytest

from shallotspindle_lending.beliefs import LARGEST, STATIONARY, Belief


class TestNews:
    def test_one_whole_run_after_a_failure_does_not_clear_an_upstream(self):
        # Guards against orders sent to a gray upstream that let one request through.
        belief = Belief(0.02, 0.0).note_failure(1.0).note_whole(1.1)
        assert belief.gray > 0.2

    def test_a_streak_of_whole_runs_clears_an_upstream(self):
        belief = Belief(LARGEST, 0.0)
        for number in range(8):
            belief = belief.note_whole(0.1 * number)
        assert belief.gray < 0.05

    def test_a_run_that_takes_longer_than_nearly_all_raises_suspicion(self):
        belief = Belief(0.05, 0.0)
        assert belief.note_running(1.0).gray == pytest.approx(0.05)
        assert belief.note_running(0.02).gray > 0.5

    def test_a_server_error_weighs_less_than_a_failure(self):
        belief = Belief(0.02, 0.0)
        assert belief.note_error(1.0).gray < belief.note_failure(1.0).gray


class TestTime:
    @pytest.mark.parametrize("gray", [0.0, LARGEST])
    def test_without_news_a_belief_tends_to_the_usual_part(self, gray):
        # Guards against a belief that stays certain while nothing is seen.
        assert Belief(gray, 0.0).predict(60.0).gray == pytest.approx(STATIONARY)

    def test_a_fresh_belief_hardly_changes(self):
        assert Belief(0.02, 0.0).predict(0.1).gray < 0.04
