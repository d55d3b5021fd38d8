"""Phases of a graceful shutdown, and which requests are still served during it."""

from dataclasses import dataclass

# Fraction of the time limit after which nothing is sent to upstreams any more, since a
# request sent later could be interrupted at its upstream when the limit is reached.
REFUSE_UNSENT_FRACTION = 0.8
# Time for the last responses to leave the sockets; reading the unread rest of a
# request body takes up to 2 s of it.
DELIVERY_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one graceful shutdown, as boot-times in seconds.

    :param close_listener_at: when the load balancer has learned of the shutdown, so
        that the listening socket can be closed.
    :param limit_seconds: longest time from then until every running request is
        cancelled.
    """

    close_listener_at: float
    limit_seconds: float

    @property
    def refuse_unsent_at(self) -> float:
        """When requests that no upstream can have run are refused."""
        return self.close_listener_at + REFUSE_UNSENT_FRACTION * self.limit_seconds

    @property
    def cancel_at(self) -> float:
        """When requests that still run are cancelled."""
        return self.close_listener_at + self.limit_seconds

    @property
    def exit_at(self) -> float:
        """When the shutdown continues although responses are still being sent."""
        return self.cancel_at + DELIVERY_TIMEOUT_SECONDS

    def admits(self, now: float, deadline: float) -> bool:
        """Return whether a request that arrives now is served.

        Once the load balancer has learned of the shutdown, only requests are served
        whose deadline passes before the shutdown ends: any other could be interrupted
        at an upstream that hangs.
        """
        return now < self.close_listener_at or deadline <= self.cancel_at
