"""Times of a planned stop, and which requests are still served in it."""

from dataclasses import dataclass

# Part of the limit after which nothing is sent to upstreams any more: it could be
# broken off there at the limit.
SENDING_FRACTION = 0.8
# The last answers leave the sockets; the unread rest of a body is taken off for 2 s.
DELIVERY_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one planned stop, in seconds on the instance's clock.

    :param closes_at: when the balancer knows of the stop, so that no connection is
        accepted any more.
    :param limit_seconds: longest time from then until every request is answered.
    """

    closes_at: float
    limit_seconds: float

    @property
    def refuses_at(self) -> float:
        """When what no upstream can have run is refused."""
        return self.closes_at + SENDING_FRACTION * self.limit_seconds

    @property
    def ends_at(self) -> float:
        """When what still runs is answered."""
        return self.closes_at + self.limit_seconds

    @property
    def exits_at(self) -> float:
        """When the stop goes on although answers are still on their way."""
        return self.ends_at + DELIVERY_TIMEOUT_SECONDS

    def admits(self, now: float, deadline: float) -> bool:
        """Return whether a request that arrives now is served.

        After the balancer had its time, only those are whose own deadline passes
        before the stop ends: any other could be broken off at an upstream that hangs.
        """
        return now < self.closes_at or deadline <= self.ends_at
