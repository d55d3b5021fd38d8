from expression import Error, Ok

from shallotspindle_operations import fleet_commands
from shallotspindle_operations.instances import InstanceFailure

UNREACHABLE = Error(InstanceFailure("10.0.0.3:1", "could not connect"))


class TestStatus:
    def test_lagging_and_unreachable_instances_are_listed(self):
        # Guards against an incomplete rollout that is reported as complete.
        responses = [
            ("10.0.0.1:1", Ok({"instance": "one", "bundle": 7, "new": True})),
            ("10.0.0.2:1", Ok({"instance": "two", "bundle": 5})),
            ("10.0.0.3:1", UNREACHABLE),
        ]
        outcome = fleet_commands.build_state_report(responses, None)
        assert outcome.exit_code == 1
        assert "two (10.0.0.2:1): bundle 5, 2 behind" in outcome.lines
        assert any("10.0.0.3:1" in line for line in outcome.lines)
        assert fleet_commands.build_state_report(responses[:1], 7).exit_code == 0
        rejected = {"instance": "one", "bundle": 7, "rejected": True}
        outcome = fleet_commands.build_state_report([("a:1", Ok(rejected))], None)
        assert outcome.exit_code == 1
        assert outcome.lines == ("one (a:1): bundle 7, in force, newest rejected",)
        assert fleet_commands.build_state_report(responses[:1], 8).exit_code == 1


class TestUpstreams:
    def test_ejected_upstreams_are_listed_with_reasons(self):
        # Guards against an ejection without its reason, and against a failed call
        # that is reported as success.
        upstreams = [
            {"service": "stock", "name": "stock-1", "state": "healthy"},
            {"service": "stock", "name": "s-2", "state": "ejected", "reason": "slow"},
        ]
        responses = [("10.0.0.1:1", Ok({"instance": "one", "upstreams": upstreams}))]
        outcome = fleet_commands.build_upstream_report(responses, False)
        assert outcome.lines == ("stock/s-2 ejected at 10.0.0.1:1: slow",)
        assert (
            fleet_commands.build_upstream_report([("a", UNREACHABLE)], False).exit_code
            == 1
        )
