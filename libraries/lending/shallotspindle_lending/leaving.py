"""What instances report of upstreams that leave.

One response in which an upstream says that it leaves is enough for all instances that
ask the lender. A report may be old or wrong: it holds for one incarnation and for a
short time, and reports on too many upstreams are ignored.
"""

from collections.abc import Iterable

from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_lending.upstreams import UpstreamState
from shallotspindle_registry.records import Announcement

# The platform's own announcement of the departure arrives within this time.
REPORT_SECONDS = 10.0
# Reports that would leave fewer upstreams are ignored.
MIN_STAYING_FRACTION = 0.5


class LeavingReports:
    """Reports by upstream, shared by all schedulers of an instance."""

    def __init__(self) -> None:
        # Ends of the reports by incarnation, in seconds.
        self._reported_until: dict[tuple[str, int], float] = {}

    def record(self, name: UpstreamName, started_at_ms: int, now: float) -> None:
        """Record that an incarnation of an upstream was reported as leaving."""
        running = {key: end for key, end in self._reported_until.items() if end > now}
        running[name, started_at_ms] = now + REPORT_SECONDS
        self._reported_until = running

    def is_reported(self, announcement: Announcement, now: float) -> bool:
        """Return whether an upstream was reported as leaving a short time ago."""
        until = self._reported_until.get(announcement.incarnation, float("-inf"))
        return now < until

    def select_staying(
        self, states: Iterable[UpstreamState], now: float
    ) -> list[UpstreamState]:
        """Return the upstreams without a report, or all if too few are left."""
        states = list(states)
        if not self._reported_until:
            return states
        staying = [s for s in states if not self.is_reported(s.announcement, now)]
        return staying if len(staying) >= MIN_STAYING_FRACTION * len(states) else states
