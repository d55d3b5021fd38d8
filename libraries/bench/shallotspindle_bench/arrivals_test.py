from dataclasses import replace

import pytest

from shallotspindle_bench import arrivals
from shallotspindle_bench.scenarios import Kind, Poison, Scenario, Surge, Team

READ = Kind(name="read", path="/r/{n}", weight=3)
ORDER = Kind(name="order", method="POST", path="/o", idempotency_key=True)


def build_scenario(*teams, **fields):
    return Scenario(name="s", duration=100, teams=teams, kinds=(READ, ORDER), **fields)


def build_team(name, **fields):
    return Team(name=name, key=f"key-{name}", **{"send_rate": 20, **fields})


class TestSchedule:
    def test_equal_seeds_give_equal_schedules(self):
        scenario = build_scenario(build_team("a"), build_team("b"))
        first = arrivals.build_schedule(scenario, 7)
        assert first == arrivals.build_schedule(scenario, 7)
        assert first != arrivals.build_schedule(scenario, 8)
        assert first == sorted(first, key=lambda item: item.at)

    def test_rates_and_weights_are_kept(self):
        # 2,000 expected arrivals; the bounds are five standard deviations.
        found = arrivals.build_schedule(build_scenario(build_team("a")), 1)
        assert 1776 < len(found) < 2224
        share = sum(item.kind == "read" for item in found) / len(found)
        assert 0.70 < share < 0.80

    def test_one_teams_surge_moves_no_other_team(self):
        # Guards against a comparison in which the other teams' load differs too.
        surge = Surge(start=50, end=100, factor=8)
        calm = build_scenario(build_team("a"), build_team("b"))
        loud = build_scenario(build_team("a", surges=(surge,)), build_team("b"))
        schedules = [arrivals.build_schedule(item, 3) for item in (calm, loud)]
        others = [[i for i in found if i.team == "b"] for found in schedules]
        assert others[0] == others[1]
        before = [i for i in schedules[1] if i.team == "a" and i.at < 50]
        during = [i for i in schedules[1] if i.team == "a" and i.at >= 50]
        assert 6 < len(during) / len(before) < 10

    def test_markers_and_idempotency_keys_are_unique(self):
        scenario = build_scenario(build_team("a"), build_team("b"))
        found = arrivals.build_schedule(scenario, 1)
        assert len({item.marker for item in found}) == len(found)
        keys = [item.idempotency_key for item in found if item.kind == "order"]
        assert all(keys)
        assert len(set(keys)) == len(keys)

    def test_two_runs_of_a_seed_share_no_idempotency_key(self):
        # Guards against a second run that is answered from the first one's answers.
        schedule = arrivals.build_schedule(build_scenario(build_team("a")), 1)
        first, second = (arrivals.mark(schedule, run) for run in "xy")
        assert not {i.marker for i in first} & {i.marker for i in second}
        keys = [{i.idempotency_key for i in found} for found in (first, second)]
        assert keys[0] & keys[1] == {""}

    def test_poison_is_placed_at_its_moment(self):
        poison = Poison(at=9, team="a", path="/o", body="boom")
        scenario = build_scenario(build_team("a"), poison=(poison,))
        found = arrivals.build_schedule(scenario, 1)
        assert [(i.at, i.body) for i in found if i.kind == "poison"] == [(9, b"boom")]


class TestWithinRate:
    @pytest.mark.parametrize(
        ("moments", "admitted"),
        [([0, 0, 0], 2), ([0, 0, 0.5, 0.5], 3), ([0, 10, 10, 10], 3), ([], 0)],
    )
    def test_bucket_is_exact(self, moments, admitted):
        team = build_team("a", rate=2, burst=2)
        assert arrivals.count_within_rate(team, moments) == admitted

    def test_no_rate_admits_all(self):
        assert arrivals.count_within_rate(build_team("a"), [0.0] * 9) == 9


class TestArrival:
    def test_paths_of_a_kind_differ(self):
        team = build_team("a")
        first = arrivals.build_arrival(team, READ, 0, "1-a-0")
        assert first == replace(
            arrivals.build_arrival(team, READ, 0, "1-a-1"), path="/r/0", marker="1-a-0"
        )
