from dataclasses import replace

import pytest

from shallotspindle_bench import arrivals
from shallotspindle_bench.scenarios import (
    PoisonRequest,
    RequestKind,
    Scenario,
    Surge,
    Team,
)

READ = RequestKind(name="read", path="/r/{n}", weight=3)
ORDER = RequestKind(name="order", method="POST", path="/o", idempotency_key=True)


def build_scenario(*teams, **fields):
    return Scenario(name="s", duration=100, teams=teams, kinds=(READ, ORDER), **fields)


def build_team(name, **fields):
    return Team(name=name, key=f"key-{name}", **{"send_rate": 20, **fields})


class TestSchedule:
    def test_equal_seeds_give_equal_schedules(self):
        # Guards against runs that cannot be reproduced by their seed.
        scenario = build_scenario(build_team("a"), build_team("b"))
        first = arrivals.build_schedule(scenario, 7)
        assert first == arrivals.build_schedule(scenario, 7)
        assert first != arrivals.build_schedule(scenario, 8)
        assert first == sorted(first, key=lambda item: item.scheduled_at)

    def test_arrivals_match_rates_and_weights(self):
        # Guards against a wrong send rate or mix of request kinds. 2,000 arrivals are
        # expected; the bounds are five standard deviations.
        schedule = arrivals.build_schedule(build_scenario(build_team("a")), 1)
        assert 1776 < len(schedule) < 2224
        share = sum(item.kind == "read" for item in schedule) / len(schedule)
        assert 0.70 < share < 0.80

    def test_surge_of_a_team_leaves_other_teams_unchanged(self):
        # Guards against a comparison in which the load of the other teams differs too.
        surge = Surge(start=50, end=100, factor=8)
        calm = build_scenario(build_team("a"), build_team("b"))
        loud = build_scenario(build_team("a", surges=(surge,)), build_team("b"))
        schedules = [arrivals.build_schedule(item, 3) for item in (calm, loud)]
        others = [[i for i in schedule if i.team == "b"] for schedule in schedules]
        assert others[0] == others[1]
        before = [i for i in schedules[1] if i.team == "a" and i.scheduled_at < 50]
        during = [i for i in schedules[1] if i.team == "a" and i.scheduled_at >= 50]
        assert 6 < len(during) / len(before) < 10

    def test_markers_and_idempotency_keys_are_unique(self):
        # Guards against requests that count as repetitions of others.
        scenario = build_scenario(build_team("a"), build_team("b"))
        schedule = arrivals.build_schedule(scenario, 1)
        assert len({item.marker for item in schedule}) == len(schedule)
        keys = [item.idempotency_key for item in schedule if item.kind == "order"]
        assert all(keys)
        assert len(set(keys)) == len(keys)

    def test_two_runs_with_a_seed_share_no_idempotency_key(self):
        # Guards against a second run that gets the stored responses of the first.
        schedule = arrivals.build_schedule(build_scenario(build_team("a")), 1)
        first, second = (arrivals.add_run_id(schedule, run_id) for run_id in "xy")
        assert not {i.marker for i in first} & {i.marker for i in second}
        keys = [{i.idempotency_key for i in schedule} for schedule in (first, second)]
        assert keys[0] & keys[1] == {""}

    def test_poison_request_has_its_scheduled_time(self):
        # Guards against poison requests that are dropped or sent at another time.
        poison = PoisonRequest(at=9, team="a", path="/o", body="boom")
        scenario = build_scenario(build_team("a"), poison=(poison,))
        schedule = arrivals.build_schedule(scenario, 1)
        assert [(i.scheduled_at, i.body) for i in schedule if i.kind == "poison"] == [
            (9, b"boom")
        ]


class TestWithinRate:
    @pytest.mark.parametrize(
        ("times", "admitted"),
        [([0, 0, 0], 2), ([0, 0, 0.5, 0.5], 3), ([0, 10, 10, 10], 3), ([], 0)],
    )
    def test_counts_requests_that_a_token_bucket_admits(self, times, admitted):
        # Guards against refusals within the rate that are counted wrongly.
        team = build_team("a", rate=2, burst=2)
        assert arrivals.count_within_rate(team, times) == admitted

    def test_all_requests_count_without_a_rate_limit(self):
        # Guards against a limit for teams that have none.
        assert arrivals.count_within_rate(build_team("a"), [0.0] * 9) == 9


class TestArrival:
    def test_path_contains_the_request_number(self):
        # Guards against requests of a kind that all have the same path.
        team = build_team("a")
        first = arrivals.build_arrival(team, READ, 0, "1-a-0")
        assert first == replace(
            arrivals.build_arrival(team, READ, 0, "1-a-1"), path="/r/0", marker="1-a-0"
        )
