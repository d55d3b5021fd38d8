"""Decides what follows from what an upstream says of itself in its responses.

An upstream that leaves says so in each response, and one that turns a request away may
ask for a pause. Either binds the instance that got the response, whatever the platform
or other instances say of the upstream. It holds for one incarnation of the upstream.
"""

import re
from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum

SERVICE_UNAVAILABLE = 503
LEAVING_VALUES = frozenset({"1", "true"})
STAYING_VALUES = frozenset({"", "0", "false"})
PAUSE_FORMAT = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)
# A longer pause is cut to this, so that a faulty value does not last for days.
MAX_PAUSE_SECONDS = 600.0
# The oldest are forgotten; more upstreams do not leave while a process runs.
MAX_LEAVING_UPSTREAMS = 10_000

# Identifies one incarnation of an upstream.
Incarnation = Hashable


class Obstacle(StrEnum):
    """Why an upstream gets no request from this instance.

    ``EVACUATED`` follows from its failure domain, not from a response.
    """

    LEAVING = "leaving"
    PAUSED = "paused"
    EVACUATED = "evacuated"


@dataclass(frozen=True, slots=True)
class Notice:
    """What one response says of its upstream.

    :param pause_seconds: time for which the upstream wants no request; 0 for none.
    :param is_malformed: whether a part of it could not be read or was out of bounds.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    is_malformed: bool = False


NO_NOTICE = Notice()


def read_notice(status: int, leaving: str, retry_after: str) -> Notice:
    """Return what a response says of its upstream.

    A value that cannot be read is ignored. Retry-After counts with status 503 only,
    and a date in it is not supported.

    :param leaving: value of the header by which an upstream says that it leaves; empty
        if the response has none.
    :param retry_after: value of Retry-After, in seconds; empty if there is none.
    """
    leaving = leaving.strip().lower()
    is_leaving = leaving in LEAVING_VALUES
    is_malformed = not is_leaving and leaving not in STAYING_VALUES
    pause_seconds = 0.0
    if status == SERVICE_UNAVAILABLE and retry_after:
        if PAUSE_FORMAT.fullmatch(retry_after.strip()):
            pause_seconds = min(float(retry_after), MAX_PAUSE_SECONDS)
            is_malformed |= float(retry_after) > MAX_PAUSE_SECONDS
        else:
            is_malformed = True
    if not (is_leaving or pause_seconds or is_malformed):
        return NO_NOTICE
    return Notice(is_leaving, pause_seconds, is_malformed)


class UpstreamNotices:
    """Notices that this instance got itself.

    :param leaving_seconds: time after which a leaving upstream counts as a new
        incarnation; only for deployments whose incarnations have no identifier.
    """

    def __init__(self, leaving_seconds: float = float("inf")) -> None:
        self._leaving_seconds = leaving_seconds
        # Ends of the times for which leaving upstreams are remembered, in seconds.
        self._leaving_until: OrderedDict[Incarnation, float] = OrderedDict()
        self._paused_until: dict[Incarnation, float] = {}
        # Number of notices by kind, for the metrics.
        self.counts: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """Whether no upstream is known to leave or to have asked for a pause."""
        return not self._leaving_until and not self._paused_until

    def record(self, upstream: Incarnation, notice: Notice, now: float) -> bool:
        """Record a notice; return whether it is the first that the upstream leaves."""
        if notice.is_malformed:
            self.counts["malformed"] += 1
        if notice.pause_seconds:
            self.counts[Obstacle.PAUSED.value] += 1
            self._record_pause(upstream, now + notice.pause_seconds, now)
        if not notice.is_leaving or self._is_leaving(upstream, now):
            return False
        self.counts[Obstacle.LEAVING.value] += 1
        self._leaving_until[upstream] = now + self._leaving_seconds
        self._leaving_until.move_to_end(upstream)
        if len(self._leaving_until) > MAX_LEAVING_UPSTREAMS:
            self._leaving_until.popitem(last=False)
        return True

    def expire(self, now: float) -> bool:
        """Forget notices whose time is over; return whether there were any."""
        known = len(self._leaving_until) + len(self._paused_until)
        for notices in (self._leaving_until, self._paused_until):
            for upstream in [key for key, end in notices.items() if end <= now]:
                del notices[upstream]
        return len(self._leaving_until) + len(self._paused_until) < known

    def _record_pause(self, upstream: Incarnation, until: float, now: float) -> None:
        self.expire(now)
        known_until = self._paused_until.get(upstream, until)
        self._paused_until[upstream] = max(until, known_until)

    def _is_leaving(self, upstream: Incarnation, now: float) -> bool:
        return now < self._leaving_until.get(upstream, float("-inf"))

    def find_obstacle(self, upstream: Incarnation, now: float) -> Obstacle | None:
        """Return why the upstream must not get a request now, or None."""
        if self._is_leaving(upstream, now):
            return Obstacle.LEAVING
        if now < self._paused_until.get(upstream, float("-inf")):
            return Obstacle.PAUSED
        return None

    def compute_wait(self, upstream: Incarnation, now: float) -> float:
        """Return the seconds until the upstream accepts requests; infinite if never."""
        if self._is_leaving(upstream, now):
            return float("inf")
        return max(0.0, self._paused_until.get(upstream, now) - now)
