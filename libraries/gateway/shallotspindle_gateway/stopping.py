"""Times of a planned stop, and which requests are still served in it.

The balancer needs some time to learn of a stop. Until then every request is served.
Afterwards only those are whose own time ends before the process does, since any other
could be cut at an upstream that hangs; their callers are sent elsewhere at once.
"""

from dataclasses import dataclass

# Parts of the time for a stop: until idle connections are closed, until no connection
# is accepted any more, until what waits for a slot is refused, until what still runs is
# answered, and until the last answers have left the sockets.
IDLE_PART = 0.55
LISTENING_PART = 0.7
# From here on nothing waits for a slot; a queue may be longer than the time left.
REFUSE_PART = 0.8
END_PART = 0.93
EXIT_PART = 0.97
# The balancer checks the readiness once a second and takes an instance out after two
# failed checks.
NOTICE_SECONDS = 3.0
LONGEST_NOTICE_PART = 0.5


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one planned stop, in seconds on the instance's clock.

    :param started: when the stop was asked for.
    :param seconds: time from then to the forced end.
    """

    started: float
    seconds: float

    @property
    def close_idle_at(self) -> float:
        return self._find(IDLE_PART)

    @property
    def close_listener_at(self) -> float:
        return self._find(LISTENING_PART)

    @property
    def refuse_unsent_at(self) -> float:
        return self._find(REFUSE_PART)

    @property
    def end_at(self) -> float:
        return self._find(END_PART)

    @property
    def exit_at(self) -> float:
        return self._find(EXIT_PART)

    @property
    def noticed_at(self) -> float:
        """When the balancer sends no more connections."""
        return self.started + min(NOTICE_SECONDS, LONGEST_NOTICE_PART * self.seconds)

    def admits(self, now: float, until: float) -> bool:
        """Return whether a request that arrives now is served.

        :param until: when the request must be answered, in seconds.
        """
        return now < self.noticed_at or until <= self.end_at

    def _find(self, part: float) -> float:
        return self.started + part * self.seconds
