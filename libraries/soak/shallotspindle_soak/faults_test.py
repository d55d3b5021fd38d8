from shallotspindle_soak import faults


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
