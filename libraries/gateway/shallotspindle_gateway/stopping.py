"""Schedule of a graceful shutdown, and which requests are admitted during it.

The load balancer needs some time to notice a shutdown. Until then every request is
served. Later only requests whose deadline passes before the process exits are served.
Any other could be aborted at an upstream that hangs, so it is refused at once and its
caller can retry at another instance.
"""

from dataclasses import dataclass

# Fractions of the shutdown's duration: when idle connections are closed, when the
# listener is closed, when requests that were not sent are refused, when running
# requests are cancelled, and when the process exits although responses are still being
# delivered.
CLOSE_IDLE_FRACTION = 0.55
CLOSE_LISTENER_FRACTION = 0.7
# After this no request waits for a slot, since a queue may outlast the remaining time.
REFUSE_UNSENT_FRACTION = 0.8
CANCEL_FRACTION = 0.93
EXIT_FRACTION = 0.97
# The load balancer checks readiness once a second and removes an instance after two
# failed checks.
BALANCER_NOTICE_SECONDS = 3.0
MAX_NOTICE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one graceful shutdown, as boot-times in seconds.

    :param started_at: when the shutdown was requested.
    :param duration_seconds: time from the request until the process is killed.
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
        """When the load balancer opens no more connections to this instance."""
        return self.started_at + min(
            BALANCER_NOTICE_SECONDS, MAX_NOTICE_FRACTION * self.duration_seconds
        )

    def admits(self, now: float, deadline: float) -> bool:
        """Return whether a request that arrives at ``now`` is served.

        :param deadline: when the caller must have its response, as boot-time in
            seconds.
        """
        return now < self.balancer_informed_at or deadline <= self.cancel_at

    def _compute_time(self, fraction: float) -> float:
        return self.started_at + fraction * self.duration_seconds
