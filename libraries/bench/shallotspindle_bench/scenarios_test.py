import json
from pathlib import Path

import pytest

from shallotspindle_bench import scenarios

FILES = sorted((Path(__file__).parents[1] / "scenarios").glob("*.json"))
VALID = {
    "name": "s",
    "duration": 1,
    "teams": [{"name": "a", "key": "k", "send_rate": 1}],
    "kinds": [{"name": "r", "path": "/r"}],
}


def parse(**fields):
    return scenarios.parse_scenario("test", json.dumps({**VALID, **fields}))


class TestFiles:
    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
    def test_scenarios_of_the_repository_are_valid(self, path):
        # Guards against a scenario file that a change of the models breaks.
        assert scenarios.load_scenario(path).is_ok()

    def test_missing_file_is_a_failure(self, tmp_path):
        # Guards against a traceback instead of an error message.
        assert scenarios.load_scenario(tmp_path / "none.json").is_error()


class TestValidation:
    def test_all_failures_are_reported(self):
        # Guards against a report that stops at the first failure.
        result = parse(duration=-1, kinds=[{"name": "r", "path": "r"}], speed=1)
        assert {failure.item for failure in result.error} == {
            "duration",
            "kinds.0.path",
            "speed",
        }

    @pytest.mark.parametrize(
        "fields",
        [
            {"poison": [{"at": 1, "team": "b", "path": "/", "body": "x"}]},
            {"faults": [{"at": 1, "target": "upstream"}]},
            {"teams": VALID["teams"] * 2},
            {"kinds": VALID["kinds"] * 2},
            {"teams": []},
        ],
    )
    def test_inconsistent_scenarios_are_rejected(self, fields):
        # Guards against scenarios that fail during the run.
        assert parse(**fields).is_error()

    def test_scale_sets_the_sum_of_the_rates(self):
        # Guards against a total rate that changes the proportions of the teams.
        teams = [
            {"name": n, "key": "k", "send_rate": r} for n, r in (("a", 1), ("b", 3))
        ]
        scaled = parse(teams=teams).ok.scale(260)
        assert [team.send_rate for team in scaled.teams] == [65, 195]
