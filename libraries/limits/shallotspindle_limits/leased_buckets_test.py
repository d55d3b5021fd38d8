from hypothesis import given
from hypothesis import strategies as st

from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits.leased_buckets import (
    Exhausted,
    HolderEnds,
    Reservation,
    TeamBuckets,
)
from shallotspindle_limits.records import Limit

TEAM = TeamName("museum")
LIMIT = Limit(10.0, 5.0)


def assert_within_limit(admitted_at):
    """Check that no window admits more than the rate and the burst."""
    admitted_at = sorted(admitted_at)
    for first, start in enumerate(admitted_at):
        for last in range(first, len(admitted_at)):
            allowed = LIMIT.rate * (admitted_at[last] - start) + LIMIT.burst
            assert last - first + 1 <= allowed + 1 + 1e-6


class TestTake:
    def test_new_holder_starts_without_tokens(self):
        # Guards against a second burst after the former holder has granted one.
        buckets = TeamBuckets(100.0)
        assert isinstance(buckets.take(TEAM, LIMIT, 0.0, 100.0), Exhausted)

    def test_token_within_the_allowed_wait_is_reserved(self):
        # Guards against the refusal of a request that could wait for its token, and
        # against a second reservation of the same token.
        buckets = TeamBuckets(0.0)
        assert buckets.take(TEAM, LIMIT, 0.15, 0.0) == Reservation(0.1)
        assert isinstance(buckets.take(TEAM, LIMIT, 0.15, 0.0), Exhausted)

    def test_lower_limit_applies_at_once(self):
        # Guards against tokens above the burst of a limit that was lowered.
        buckets = TeamBuckets(0.0)
        lower = Limit(1.0, 1.0)
        assert buckets.take(TEAM, lower, 0.0, 100.0) == Reservation(0.0)
        assert isinstance(buckets.take(TEAM, lower, 0.0, 100.0), Exhausted)

    @given(
        st.lists(st.floats(0.0, 0.3), min_size=1, max_size=80),
        st.floats(0.0, 0.2),
    )
    def test_no_window_admits_more_than_rate_and_burst(self, gaps, wait):
        # Guards against reserved tokens that exceed the limit in some window.
        buckets = TeamBuckets(0.0)
        now = 0.0
        admitted_at = []
        for gap in gaps:
            now += gap
            taken = buckets.take(TEAM, LIMIT, wait, now)
            if isinstance(taken, Reservation):
                admitted_at.append(now + taken.wait_seconds)
        assert_within_limit(admitted_at)


class TestFixedWindow:
    @given(st.lists(st.floats(0.0, 0.3), min_size=1, max_size=120))
    def test_no_fixed_window_admits_more_than_rate_and_burst(self, gaps):
        # Guards against a converted burst that exceeds the limit in a window.
        window = 5.0
        buckets = TeamBuckets(0.0, window)
        now = 0.0
        admitted_at = []
        for gap in gaps:
            now += gap
            if isinstance(buckets.take(TEAM, LIMIT, 0.0, now), Reservation):
                admitted_at.append(now)
        for start in admitted_at:
            inside = [at for at in admitted_at if start <= at < start + window]
            assert len(inside) <= LIMIT.rate * window + LIMIT.burst

    def test_team_above_its_limit_uses_the_whole_window(self):
        # Guards against refusals within the limit of a window: without the conversion,
        # a team that always sends too much never accumulates its burst.
        def count_admitted(window_seconds):
            buckets = TeamBuckets(0.0, window_seconds)
            taken = (buckets.take(TEAM, LIMIT, 0.0, n / 50) for n in range(1000))
            return sum(isinstance(item, Reservation) for item in taken)

        assert count_admitted(5.0) > count_admitted(None) + 5


class TestNewHolder:
    LIMIT = Limit(10.0, 10.0)

    def test_requests_wait_longer_at_a_new_holder(self):
        # Guards against refusals within the rate after a restart of the whole fleet.
        buckets = TeamBuckets(held_since=100.0)
        taken = [
            buckets.take(TEAM, self.LIMIT, 0.15, 100.1, new_holder_wait_seconds=0.65)
            for _ in range(9)
        ]
        waits = [item.wait_seconds for item in taken if isinstance(item, Reservation)]
        assert len(waits) == 7
        assert waits == sorted(waits)
        assert waits[-1] <= 0.65

    def test_longer_wait_applies_only_at_a_new_holder(self):
        # Guards against long queues of a team that sends more than its limit.
        buckets = TeamBuckets(held_since=0.0)
        taken = [
            buckets.take(TEAM, self.LIMIT, 0.15, 100.0, new_holder_wait_seconds=0.6)
            for _ in range(20)
        ]
        waits = [item.wait_seconds for item in taken if isinstance(item, Reservation)]
        assert max(waits) <= 0.15

    def test_longer_wait_does_not_raise_the_rate(self):
        # Guards against reservations beyond rate * t, which a new holder may not make
        # since its predecessor may have granted the burst.
        buckets = TeamBuckets(held_since=0.0)
        admitted_at = []
        for number in range(100):
            now = number * 0.02
            taken = buckets.take(
                TEAM, self.LIMIT, 0.15, now, new_holder_wait_seconds=0.6
            )
            if isinstance(taken, Reservation):
                admitted_at.append(now + taken.wait_seconds)
        assert all(
            admitted_at[n] >= (n + 1) / 10.0 - 1e-6 for n in range(len(admitted_at))
        )


class TestHandovers:
    def test_no_token_is_reserved_beyond_the_lease(self):
        # Guards against a token that is used while the next holder grants tokens.
        buckets = TeamBuckets(0.0)
        taken = [buckets.take(TEAM, LIMIT, 0.5, 0.0, held_until=0.25) for _ in range(3)]
        assert taken[:2] == [Reservation(0.1), Reservation(0.2)]
        assert taken[2] == HolderEnds()
        assert buckets.reserved_until == 0.2

    @given(
        st.lists(st.floats(0.0, 0.3), min_size=1, max_size=120),
        st.sets(st.integers(0, 119)),
        st.floats(0.0, 1.0),
    )
    def test_no_window_over_handovers_admits_more_than_rate_and_burst(
        self, gaps, handovers, wait
    ):
        # Guards against tokens that were reserved before a handover and are used while
        # the next holder grants the same time again.
        buckets, now, gives_up_at = TeamBuckets(0.0), 0.0, float("inf")
        admitted_at = []
        for number, gap in enumerate(gaps):
            now += gap
            if number in handovers and gives_up_at == float("inf"):
                gives_up_at = max(now, buckets.reserved_until)
            if now >= gives_up_at:
                buckets, gives_up_at = TeamBuckets(now), float("inf")
            taken = buckets.take(TEAM, LIMIT, wait, now, held_until=gives_up_at)
            if isinstance(taken, Reservation):
                admitted_at.append(now + taken.wait_seconds)
        assert_within_limit(admitted_at)
