from shallotspindle_soak import faults
from shallotspindle_soak.faults import Fault
from shallotspindle_soak.regressions import REGRESSIONS

FIRST_OF_109 = [Fault.CUT_ONE_WAY, Fault.CUT_ONE_WAY, Fault.CROSS]


class TestDraw:
    def test_a_seed_gives_the_same_faults_again(self):
        # Guards against a failure that cannot be played a second time.
        assert faults.draw(7, 30.0, 0.5) == faults.draw(7, 30.0, 0.5)
        assert faults.draw(7, 30.0, 0.5) != faults.draw(8, 30.0, 0.5)

    def test_every_kind_comes_up(self):
        drawn = {event.fault for event in faults.draw(1, 300.0, 0.5)}
        assert drawn == set(faults.Fault)

    def test_events_are_in_order_and_in_time(self):
        events = faults.draw(3, 20.0, 0.5)
        times = [event.at for event in events]
        assert times == sorted(times)
        assert times[-1] < 20.2

    def test_a_seed_that_failed_draws_the_same_after_new_kinds(self):
        # Guards against a regression case that silently plays other faults.
        (case,) = (case for case in REGRESSIONS if case.seed == 109)
        drawn = faults.draw(case.seed, 15.0, 0.7, case.without)
        assert [event.fault for event in drawn[:3]] == FIRST_OF_109
