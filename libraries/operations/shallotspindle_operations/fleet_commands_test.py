from expression import Error, Ok

from shallotspindle_operations import fleet_commands
from shallotspindle_operations.instances import InstanceFailure

DEAD = Error(InstanceFailure("10.0.0.3:1", "no connection"))


class TestStatus:
    def test_lagging_and_silent_instances_are_named(self):
        # Guards against a rollout that looks complete and is not.
        answers = [
            ("10.0.0.1:1", Ok({"instance": "one", "bundle": 7, "new": True})),
            ("10.0.0.2:1", Ok({"instance": "two", "bundle": 5})),
            ("10.0.0.3:1", DEAD),
        ]
        outcome = fleet_commands.report_state(answers, None)
        assert outcome.exit == 1
        assert "two (10.0.0.2:1): bundle 5, 2 behind" in outcome.lines
        assert any("10.0.0.3:1" in line for line in outcome.lines)
        assert fleet_commands.report_state(answers[:1], 7).exit == 0
        assert fleet_commands.report_state(answers[:1], 8).exit == 1


class TestUpstreams:
    def test_ejections_have_reasons(self):
        upstreams = [
            {"service": "stock", "name": "stock-1", "state": "healthy"},
            {"service": "stock", "name": "s-2", "state": "ejected", "reason": "slow"},
        ]
        answers = [("10.0.0.1:1", Ok({"instance": "one", "upstreams": upstreams}))]
        outcome = fleet_commands.report_upstreams(answers, False)
        assert outcome.lines == ("stock/s-2 ejected at 10.0.0.1:1: slow",)
        assert fleet_commands.report_upstreams([("a", DEAD)], False).exit == 1
