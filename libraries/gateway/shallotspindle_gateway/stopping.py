"""Times of a planned stop, and which requests are still served in it.

The balancer needs some time to learn of a stop. Until then every request is served.
Afterwards only those are whose own time ends before the process does, since any other
could be cut at an upstream that hangs; their callers are sent elsewhere at once.
"""

from dataclasses import dataclass

# Parts of the time for a stop: until idle connections are closed, until no connection
# is accepted any more, until what waits for a slot is refused, until what still runs is
# answered, and until the last answers have left the sockets.
CLOSE_IDLE_FRACTION = 0.55
CLOSE_LISTENER_FRACTION = 0.7
# From here on nothing waits for a slot; a queue may be longer than the time left.
REFUSE_UNSENT_FRACTION = 0.8
CANCEL_FRACTION = 0.93
EXIT_FRACTION = 0.97
# The balancer checks the readiness once a second and takes an instance out after two
# failed checks.
BALANCER_NOTICE_SECONDS = 3.0
MAX_NOTICE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one planned stop, in seconds on the instance's clock.

    :param started_at: when the stop was asked for.
    :param duration_seconds: time from then to the forced end.
    """

    started_at: float
    duration_seconds: float

    @property
    def close_idle_at(self) -> float:
        return self._compute_time(CLOSE_IDLE_FRACTION)

    @property
    def close_listener_at(self) -> float:
        return self._compute_time(CLOSE_LISTENER_FRACTION)

    @property
    def refuse_unsent_at(self) -> float:
        return self._compute_time(REFUSE_UNSENT_FRACTION)

    @property
    def cancel_at(self) -> float:
        return self._compute_time(CANCEL_FRACTION)

    @property
    def exit_at(self) -> float:
        return self._compute_time(EXIT_FRACTION)

    @property
    def balancer_informed_at(self) -> float:
        """When the balancer sends no more connections."""
        return self.started_at + min(
            BALANCER_NOTICE_SECONDS, MAX_NOTICE_FRACTION * self.duration_seconds
        )

    def admits(self, now: float, deadline: float) -> bool:
        """Return whether a request that arrives now is served.

        :param deadline: when the request must be answered, in seconds.
        """
        return now < self.balancer_informed_at or deadline <= self.cancel_at

    def _compute_time(self, fraction: float) -> float:
        return self.started_at + fraction * self.duration_seconds
