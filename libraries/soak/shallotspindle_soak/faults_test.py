from shallotspindle_soak import faults
from shallotspindle_soak.faults import Fault
from shallotspindle_soak.regressions import REGRESSIONS

FIRST_FAULTS_OF_109 = [
    Fault.CUT_UPSTREAM_ONE_WAY,
    Fault.CUT_UPSTREAM_ONE_WAY,
    Fault.WRONG_RESPONSE,
]


class TestDraw:
    def test_same_seed_draws_the_same_faults(self):
        # Guards against a failure that cannot be reproduced from its seed.
        assert faults.draw_events(7, 30.0, 0.5) == faults.draw_events(7, 30.0, 0.5)
        assert faults.draw_events(7, 30.0, 0.5) != faults.draw_events(8, 30.0, 0.5)

    def test_every_kind_is_drawn(self):
        drawn = {event.fault for event in faults.draw_events(1, 300.0, 0.5)}
        assert drawn == set(faults.Fault)

    def test_events_are_ordered_and_within_the_period(self):
        events = faults.draw_events(3, 20.0, 0.5)
        times = [event.start_seconds for event in events]
        assert times == sorted(times)
        assert times[-1] < 20.2

    def test_failed_seed_draws_the_same_faults_after_new_kinds_were_added(self):
        # Guards against a regression case that silently injects other faults.
        (case,) = (case for case in REGRESSIONS if case.seed == 109)
        drawn = faults.draw_events(case.seed, 15.0, 0.7, case.excluded_faults)
        assert [event.fault for event in drawn[:3]] == FIRST_FAULTS_OF_109
