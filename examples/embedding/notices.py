"""Decides whether an upstream may get a request, from what it said in its responses."""

from shallotspindle_notices import notices
from shallotspindle_notices.notices import UpstreamNotices

known = UpstreamNotices()
pause = notices.read_notice(status=503, leaving="", retry_after="2.5")
known.record(("stock-1", 1), pause, now=10.0)
print("now:", known.find_obstacle(("stock-1", 1), now=10.1))
print("wait:", known.compute_wait(("stock-1", 1), now=12.0))
leaving = notices.read_notice(status=200, leaving="1", retry_after="")
known.record(("stock-2", 1), leaving, now=10.0)
print("later:", known.find_obstacle(("stock-2", 1), now=99.0))
print("restarted:", known.find_obstacle(("stock-2", 2), now=99.0))
