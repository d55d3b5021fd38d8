import math

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits import waits
from shallotspindle_limits.leased_buckets import Reservation, TeamBuckets
from shallotspindle_limits.records import Limit

TEAM = TeamName("museum")
LIMIT = Limit(8.0, 6.0)
WINDOW_SECONDS = 5.0
OBJECTIVE_SECONDS = 1.3
TIMEOUT_SECONDS = 4.3
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


def play(arrivals: list[float], objective_seconds: float) -> list[float | None]:
    """Return the wait of each request; None for one that was refused."""
    buckets = TeamBuckets(-100.0, WINDOW_SECONDS)
    max_wait = waits.compute_max_wait(objective_seconds, TIMEOUT_SECONDS)
    taken = [buckets.take(TEAM, LIMIT, max_wait, now) for now in arrivals]
    return [
        item.wait_seconds if isinstance(item, Reservation) else None for item in taken
    ]


class TestComputeMaxWait:
    def test_the_objective_bounds_the_wait(self):
        # Guards against requests that wait for a token and then miss their objective.
        assert waits.compute_max_wait(1.0, 10.0) == 0.5

    def test_the_remaining_time_bounds_the_wait(self):
        # Guards against a wait that leaves no time for the upstream.
        assert waits.compute_max_wait(10.0, 1.0) == 0.5

    def test_a_patient_caller_is_told_to_come_back(self):
        # Guards against requests that are kept for half a minute on slow routes.
        assert waits.compute_max_wait(60.0, 60.0) == waits.MAX_WAIT_SECONDS

    def test_a_late_request_does_not_wait(self):
        # Guards against a negative wait.
        assert waits.compute_max_wait(-0.5, 1.0) == 0.0


class TestLoads:
    def test_bursts_within_the_limit_are_served_in_time(self):
        # Guards against refusals within the rate: bursts of eight a second, while the
        # team's average stays below its limit.
        arrivals = [second + 0.01 * n for second in range(30) for n in range(8)]
        served = play(arrivals, OBJECTIVE_SECONDS)
        assert None not in served
        assert max(served) <= OBJECTIVE_SECONDS / 2

    def test_uneven_arrivals_within_the_limit_are_rarely_refused(self):
        # Guards against refusals within the rate at arrivals that are not even. The
        # gaps have the distribution of independent arrivals, in a fixed order.
        now, arrivals = 0.0, []
        for number in range(2000):
            quantile = number * number * GOLDEN_RATIO % 1.0
            now -= math.log(1.0 - quantile) / (0.85 * LIMIT.rate)
            arrivals.append(now)
        refused = play(arrivals, OBJECTIVE_SECONDS).count(None)
        refused_without_waiting = play(arrivals, 0.0).count(None)
        assert refused <= 0.01 * len(arrivals)
        assert refused < refused_without_waiting / 3

    def test_a_team_above_its_limit_is_refused_at_once(self):
        # Guards against a queue that grows while a team sends four times its limit.
        arrivals = [n / (4 * LIMIT.rate) for n in range(960)]
        served = [
            wait for wait in play(arrivals, OBJECTIVE_SECONDS) if wait is not None
        ]
        assert max(served) <= OBJECTIVE_SECONDS / 2
        allowed = LIMIT.rate * 30.0 + LIMIT.burst * 30.0 / WINDOW_SECONDS
        assert len(served) <= 1.1 * allowed
