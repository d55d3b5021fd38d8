from hypothesis import given
from hypothesis import strategies as st

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.leased_buckets import Exhausted, Reservation, TeamBuckets
from shallotspindle_limits.records import Limit

TEAM = TeamName("museum")
LIMIT = Limit(10.0, 5.0)


class TestTake:
    def test_a_new_holder_has_no_token(self):
        # Guards against a burst that the former holder has spent already.
        buckets = TeamBuckets(100.0)
        assert isinstance(buckets.take(TEAM, LIMIT, 0.0, 100.0), Exhausted)

    def test_a_token_that_comes_soon_is_promised(self):
        buckets = TeamBuckets(0.0)
        assert buckets.take(TEAM, LIMIT, 0.15, 0.0) == Reservation(0.1)
        assert isinstance(buckets.take(TEAM, LIMIT, 0.15, 0.0), Exhausted)

    def test_a_lower_limit_applies_at_once(self):
        buckets = TeamBuckets(0.0)
        lower = Limit(1.0, 1.0)
        assert buckets.take(TEAM, lower, 0.0, 100.0) == Reservation(0.0)
        assert isinstance(buckets.take(TEAM, lower, 0.0, 100.0), Exhausted)

    @given(
        st.lists(st.floats(0.0, 0.3), min_size=1, max_size=80),
        st.floats(0.0, 0.2),
    )
    def test_no_window_holds_more_than_rate_and_burst(self, gaps, wait):
        # Guards against promised tokens that pass the rate in some window.
        buckets = TeamBuckets(0.0)
        now = 0.0
        used = []
        for gap in gaps:
            now += gap
            taken = buckets.take(TEAM, LIMIT, wait, now)
            if isinstance(taken, Reservation):
                used.append(now + taken.wait_seconds)
        used.sort()
        for first, start in enumerate(used):
            for last in range(first, len(used)):
                allowed = LIMIT.rate * (used[last] - start) + LIMIT.burst
                assert last - first + 1 <= allowed + 1 + 1e-6


class TestWindow:
    @given(st.lists(st.floats(0.0, 0.3), min_size=1, max_size=120))
    def test_no_counted_window_holds_more_than_rate_and_burst(self, gaps):
        # Guards against a spread burst that passes the limit of a window.
        window = 5.0
        buckets = TeamBuckets(0.0, window)
        now = 0.0
        used = []
        for gap in gaps:
            now += gap
            if isinstance(buckets.take(TEAM, LIMIT, 0.0, now), Reservation):
                used.append(now)
        for start in used:
            inside = [at for at in used if start <= at < start + window]
            assert len(inside) <= LIMIT.rate * window + LIMIT.burst

    def test_a_team_that_always_asks_for_more_uses_each_window(self):
        # Guards against requests within the limit that are refused all the time.
        def count(window):
            buckets = TeamBuckets(0.0, window)
            taken = (buckets.take(TEAM, LIMIT, 0.0, n / 50) for n in range(1000))
            return sum(isinstance(item, Reservation) for item in taken)

        assert count(5.0) > count(None) + 5


class TestFreshHolder:
    LIMIT = Limit(10.0, 10.0)

    def test_requests_that_came_meanwhile_wait_for_their_tokens(self):
        # Guards against refusals within the rate after a whole fleet was restarted.
        buckets = TeamBuckets(held_since=100.0)
        taken = [
            buckets.take(TEAM, self.LIMIT, 0.15, 100.1, new_holder_wait_seconds=0.65)
            for _ in range(9)
        ]
        waits = [item.wait_seconds for item in taken if isinstance(item, Reservation)]
        assert len(waits) == 7
        assert waits == sorted(waits)
        assert waits[-1] <= 0.65

    def test_a_settled_holder_does_not_queue_a_team_that_asks_for_too_much(self):
        buckets = TeamBuckets(held_since=0.0)
        taken = [
            buckets.take(TEAM, self.LIMIT, 0.15, 100.0, new_holder_wait_seconds=0.6)
            for _ in range(20)
        ]
        waits = [item.wait_seconds for item in taken if isinstance(item, Reservation)]
        assert max(waits) <= 0.15

    def test_waiting_does_not_raise_the_rate(self):
        # Guards against promises beyond rate * t, which a new holder must not give.
        buckets = TeamBuckets(held_since=0.0)
        at = []
        for number in range(100):
            now = number * 0.02
            taken = buckets.take(
                TEAM, self.LIMIT, 0.15, now, new_holder_wait_seconds=0.6
            )
            if isinstance(taken, Reservation):
                at.append(now + taken.wait_seconds)
        assert all(at[n] >= (n + 1) / 10.0 - 1e-6 for n in range(len(at)))
