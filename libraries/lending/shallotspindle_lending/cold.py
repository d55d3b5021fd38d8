"""Decides how many requests a cold upstream may still get in the present second.

Responds to the load on upstreams that have just started or returned: they handle few
requests per second and crash well above that rate, while the requests that waited for
them arrive at once. Each lender has a share of the rate by its rank, so that all
lenders together stay below the configured bound whether or not they reach each other.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_lending.upstreams import UpstreamState
from shallotspindle_registry.directory import KnownUpstream

WINDOW_SECONDS = 1.0
# A request may arrive up to a window after its slot was granted, so the grants of two
# windows may arrive within one second.
MAX_ARRIVING_WINDOWS = 2


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How the upstreams of a service behave while they are cold.

    :param duration_seconds: how long an upstream is cold after it started or returned.
    :param requests_per_second: requests that a cold upstream can handle; 0 for no
        limit.
    """

    duration_seconds: float = 0.0
    requests_per_second: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether cold upstreams get a limited number of requests."""
        return self.requests_per_second > 0

    def compute_end(self, known: KnownUpstream) -> float:
        """Return when an upstream is warm, in seconds.

        Without a limit, only the upstream's own announcement counts.
        """
        cold_seconds = known.announcement.cold_seconds
        announced = known.seen_at + cold_seconds
        if not self.is_limited:
            return announced
        return max(
            announced,
            known.announced_at + cold_seconds,
            known.appeared_at + self.duration_seconds,
        )


NO_LIMIT = ColdStart()


def compute_share(
    cold_start: ColdStart, overage: float, slack: float, rank: int | None
) -> int:
    """Return how many requests a lender may grant a cold upstream in a window.

    The shares of all lenders add up to at most half of the bound, since the grants of
    two windows may arrive within one second.

    :param overage: ratio of the bound to the requests that the upstream can handle.
    :param slack: requests by which the bound is higher than that.
    :param rank: 0 for the first lender; None for an instance that is no lender.
    """
    bound = cold_start.requests_per_second * overage + slack
    available = int(bound / MAX_ARRIVING_WINDOWS)
    first = min(max(1, int(cold_start.requests_per_second)), available)
    if rank == 0:
        return first
    return min(first, available - first) if rank == 1 else 0


class ColdLimit:
    """Counts the requests that the upstreams of a service in a failure domain got.

    Grants to warm upstreams count too, since an upstream may become cold at any moment.
    """

    def __init__(self) -> None:
        self._cold_start = NO_LIMIT
        self._share = 0
        # Grants of the last window, the oldest first, and their number by upstream.
        self._grants: deque[tuple[float, UpstreamName]] = deque()
        self._counts: Counter[UpstreamName] = Counter()
        # The share counts as used up until this time.
        self._used_up_until = float("-inf")
        # Decisions in which a cold upstream with a free slot was passed over.
        self.denials = 0

    @property
    def cold_start(self) -> ColdStart:
        """How the upstreams of the service behave while they are cold."""
        return self._cold_start

    @property
    def share(self) -> int:
        """Requests that this instance may grant a cold upstream in a window."""
        return self._share

    def configure(self, cold_start: ColdStart, share: int, now: float) -> None:
        """Set the limit.

        A larger share counts as used up for one window: another lender may have granted
        it until now.
        """
        if share > self._share:
            self._used_up_until = now + WINDOW_SECONDS
        self._cold_start = cold_start
        self._share = share

    def admits(self, state: UpstreamState, now: float) -> bool:
        """Return whether an upstream may get one more request."""
        if not self._is_limited(state, now):
            return True
        self._expire_grants(now)
        count = self._counts[state.announcement.name]
        return now >= self._used_up_until and count < self._share

    def _is_limited(self, state: UpstreamState, now: float) -> bool:
        return self._cold_start.is_limited and now < state.cold_until

    def select_admitted(
        self, states: Iterable[UpstreamState], now: float
    ) -> list[UpstreamState]:
        """Return the upstreams that may get one more request, and count a denial."""
        states = list(states)
        admitted = [state for state in states if self.admits(state, now)]
        self.denials += len(admitted) < len(states)
        return admitted

    def sum_rates(self, states: Iterable[UpstreamState], now: float) -> float:
        """Return the requests per second that the cold upstreams may get."""
        if not self._cold_start.is_limited:
            return 0
        return self._share * sum(now < state.cold_until for state in states)

    def record_grant(self, state: UpstreamState, now: float) -> None:
        """Count a request that an upstream gets."""
        if not self._cold_start.is_limited:
            return
        self._expire_grants(now)
        name = state.announcement.name
        self._grants.append((now, name))
        self._counts[name] += 1

    def _expire_grants(self, now: float) -> None:
        while self._grants and self._grants[0][0] <= now - WINDOW_SECONDS:
            _, name = self._grants.popleft()
            self._counts[name] -= 1
            if not self._counts[name]:
                del self._counts[name]
