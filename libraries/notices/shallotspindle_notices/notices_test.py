import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotspindle_notices import notices
from shallotspindle_notices.notices import Notice, Obstacle, UpstreamNotices

LEAVING = Notice(is_leaving=True)
OLD, NEW = ("u1", 1), ("u1", 2)


class TestLeaving:
    def test_an_upstream_that_leaves_stays_excluded(self):
        # Guards against requests to an upstream after a status check, a response
        # without the header or time makes it look well.
        known = UpstreamNotices()
        assert known.record(OLD, LEAVING, 1.0)
        assert not known.record(OLD, LEAVING, 2.0)
        known.record(OLD, Notice(), 3.0)
        assert known.find_obstacle(OLD, 1e9) is Obstacle.LEAVING
        assert known.compute_wait(OLD, 1e9) == math.inf

    def test_another_incarnation_is_free(self):
        # Guards against an upstream that gets no request after its restart.
        known = UpstreamNotices()
        known.record(OLD, LEAVING, 1.0)
        assert known.find_obstacle(NEW, 1.0) is None

    def test_an_upstream_without_incarnations_is_tried_again(self):
        # Guards against an upstream that is lost to a deployment without identifiers.
        known = UpstreamNotices(leaving_seconds=60.0)
        known.record("u1", LEAVING, 1.0)
        assert known.find_obstacle("u1", 60.9) is Obstacle.LEAVING
        assert known.find_obstacle("u1", 61.0) is None
        assert known.record("u1", LEAVING, 62.0)

    def test_the_oldest_are_forgotten(self, monkeypatch):
        # Guards against memory that grows with each upstream that ever left.
        monkeypatch.setattr(notices, "MAX_LEAVING_UPSTREAMS", 2)
        known = UpstreamNotices()
        for number in range(3):
            known.record(number, LEAVING, 1.0)
        assert [known.find_obstacle(n, 1.0) for n in range(3)] == [
            None,
            Obstacle.LEAVING,
            Obstacle.LEAVING,
        ]


class TestPauses:
    def test_a_pause_ends_by_itself(self):
        known = UpstreamNotices()
        known.record(OLD, Notice(pause_seconds=2.5), 1.0)
        assert known.find_obstacle(OLD, 3.4) is Obstacle.PAUSED
        assert known.compute_wait(OLD, 3.0) == 0.5
        assert known.find_obstacle(OLD, 3.5) is None
        assert known.compute_wait(OLD, 9.0) == 0.0

    def test_a_shorter_second_pause_does_not_shorten_the_first(self):
        known = UpstreamNotices()
        known.record(OLD, Notice(pause_seconds=5.0), 1.0)
        known.record(OLD, Notice(pause_seconds=0.1), 2.0)
        assert known.compute_wait(OLD, 2.0) == 4.0


class TestHeaderValues:
    @pytest.mark.parametrize(
        ("status", "leaving", "retry_after", "expected"),
        [
            (200, "", "", Notice()),
            (200, "1", "", LEAVING),
            (421, " True ", "", LEAVING),
            (200, "0", "", Notice()),
            (200, "soon", "", Notice(is_malformed=True)),
            (503, "", "2", Notice(pause_seconds=2.0)),
            (503, "", "0.25", Notice(pause_seconds=0.25)),
            (503, "", ".5", Notice(pause_seconds=0.5)),
            (503, "", "0", Notice()),
            (503, "1", "3", Notice(is_leaving=True, pause_seconds=3.0)),
            (429, "", "2", Notice()),
            (503, "", "-1", Notice(is_malformed=True)),
            (503, "", "nan", Notice(is_malformed=True)),
            (503, "", "inf", Notice(is_malformed=True)),
            (503, "", "1e3", Notice(is_malformed=True)),
            (503, "", "\u0663", Notice(is_malformed=True)),
            (503, "", "Fri, 31 Dec 1999 23:59:59 GMT", Notice(is_malformed=True)),
            (503, "", "9" * 400, Notice(pause_seconds=600.0, is_malformed=True)),
            (503, "", "601", Notice(pause_seconds=600.0, is_malformed=True)),
        ],
    )
    def test_each_value_has_a_stated_meaning(
        self, status, leaving, retry_after, expected
    ):
        # Guards against a value that pauses an upstream for ever or ends the attempt.
        assert notices.read_notice(status, leaving, retry_after) == expected

    @given(st.integers(100, 599), st.text(max_size=20), st.text(max_size=20))
    def test_no_value_is_out_of_bounds(self, status, leaving, retry_after):
        # Guards against a header that raises an exception.
        notice = notices.read_notice(status, leaving, retry_after)
        assert 0.0 <= notice.pause_seconds <= notices.MAX_PAUSE_SECONDS

    @given(st.floats(0.001, notices.MAX_PAUSE_SECONDS))
    def test_fractions_are_kept(self, seconds):
        notice = notices.read_notice(503, "", f"{seconds:.4f}")
        assert notice.pause_seconds == float(f"{seconds:.4f}")

    def test_malformed_values_are_counted(self):
        # Guards against a faulty upstream that nobody notices.
        known = UpstreamNotices()
        known.record(OLD, notices.read_notice(503, "", "soon"), 1.0)
        assert known.counts == {"malformed": 1}
        assert known.find_obstacle(OLD, 1.0) is None
