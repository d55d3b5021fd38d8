from shallotspindle_gateway.stopping import StopPlan

PLAN = StopPlan(started=100.0, seconds=6.0)


class TestAdmission:
    def test_all_are_served_until_the_balancer_knows(self):
        assert PLAN.admits(100.1, until=150.0)
        assert PLAN.admits(102.9, until=150.0)

    def test_a_late_request_that_may_outlast_the_stop_is_refused(self):
        # Guards against requests that are cut at an upstream that hangs.
        assert not PLAN.admits(103.1, until=108.0)

    def test_a_late_request_that_ends_before_the_stop_is_served(self):
        assert PLAN.admits(103.1, until=105.1)

    def test_a_short_stop_leaves_less_time_to_the_balancer(self):
        short = StopPlan(started=100.0, seconds=1.0)
        assert short.admits(100.4, until=150.0)
        assert not short.admits(100.6, until=150.0)


class TestOrder:
    def test_nothing_waits_for_what_was_stopped_before(self):
        # Guards against a part of the stop that begins after the process must be gone.
        times = [
            PLAN.started,
            PLAN.noticed_at,
            PLAN.close_idle_at,
            PLAN.close_listener_at,
            PLAN.refuse_unsent_at,
            PLAN.end_at,
            PLAN.exit_at,
            PLAN.started + PLAN.seconds,
        ]
        assert times == sorted(times)
