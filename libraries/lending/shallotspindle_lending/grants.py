"""Grants of a scheduler within the last second, with their expected cost."""

from collections import deque
from dataclasses import dataclass

# Window over which the grant rate is measured.
GRANT_RATE_WINDOW_SECONDS = 1.0
# Number of grants that are remembered.
MAX_GRANTS = 1024


@dataclass(frozen=True, slots=True)
class RecentGrant:
    """A slot that was granted.

    :param granted_at: in seconds.
    :param priority: 0 is the highest.
    :param expected_seconds: duration to expect of the attempt.
    :param spare_seconds: time that the request could have waited for its slot without
        missing its latency objective.
    """

    granted_at: float
    priority: int
    expected_seconds: float
    spare_seconds: float


class RecentGrants:
    """Sliding window of the latest grants."""

    def __init__(self) -> None:
        self._grants: deque[RecentGrant] = deque(maxlen=MAX_GRANTS)

    def add(self, grant: RecentGrant) -> None:
        """Remember a grant."""
        self._grants.append(grant)

    def measure_rate(self, now: float) -> float:
        """Return the grants per second over the window."""
        self._drop_old(now)
        return len(self._grants) / GRANT_RATE_WINDOW_SECONDS

    def estimate_mean_seconds(self, now: float) -> float | None:
        """Return the mean expected duration of the grants, or None without grants."""
        self._drop_old(now)
        if not self._grants:
            return None
        return sum(grant.expected_seconds for grant in self._grants) / len(self._grants)

    def list_urgent(
        self, priority: int, max_seconds: float, now: float
    ) -> list[RecentGrant]:
        """Return the grants to cheap requests that are more urgent than a priority.

        Requests that could not meet their objective are left out.

        :param max_seconds: the requests are expected to take no longer.
        """
        self._drop_old(now)
        return [
            grant
            for grant in self._grants
            if grant.priority < priority
            and grant.expected_seconds <= max_seconds
            and grant.spare_seconds > 0
        ]

    def _drop_old(self, now: float) -> None:
        earliest = now - GRANT_RATE_WINDOW_SECONDS
        while self._grants and self._grants[0].granted_at <= earliest:
            self._grants.popleft()
