"""Bounds the requests that one instance has in flight to a service.

Upstreams have two slots and dozens of instances do not see each other, so that each
learns its part from shed answers and reported load. A limit below one is kept by a
pause between requests.
"""

from dataclasses import dataclass

LEAST_LIMIT = 0.05


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """How fast a limit moves.

    :param start: limit of a new instance, in requests in flight.
    :param most: largest limit.
    :param shrink: factor after a shed answer.
    :param grow: added for each whole answer, divided by the limit.
    :param busy: reported load (per slot) above which the limit shrinks, so that
        requests wait in the fair queues of instances and not in upstreams.
    :param ease: factor after an answer with a higher load.
    :param quiet: shortest time between two reductions, in seconds.
    """

    start: float = 4.0
    most: float = 64.0
    shrink: float = 0.9
    grow: float = 0.2
    busy: float = 2.0
    ease: float = 0.97
    quiet: float = 0.1


class Limiter:
    """Additive increase, multiplicative decrease of the requests in flight."""

    def __init__(self, settings: LimiterSettings | None = None) -> None:
        self._settings = settings or LimiterSettings()
        self.limit = self._settings.start
        self._reduced_at = -self._settings.quiet
        self._next_start = 0.0
        self._mean_seconds = 0.05

    def has_room(self, in_flight: int, now: float) -> bool:
        """Return whether one more request may start."""
        if self.limit >= 1.0:
            return in_flight < int(self.limit)
        return in_flight == 0 and now >= self._next_start

    def find_wakeup(self, now: float) -> float | None:
        """Return the time at which a pause ends, or None without a pause."""
        return self._next_start if now < self._next_start else None

    def observe_whole(
        self, seconds: float, load: float, in_flight: int, now: float
    ) -> None:
        """Count a whole answer.

        :param load: load of the service's upstreams, per slot.
        :param in_flight: requests in flight when the answer came.
        """
        self._mean_seconds += 0.1 * (seconds - self._mean_seconds)
        used = in_flight + 1 >= self.limit * 0.5
        if load > self._settings.busy:
            self._reduce(self._settings.ease, now)
        elif used:
            step = self._settings.grow / max(1.0, self.limit)
            self.limit = min(self._settings.most, self.limit + step)
        self._pause(now)

    def observe_shed(self, now: float) -> None:
        """Count a shed answer."""
        self._reduce(self._settings.shrink, now)
        self._pause(now)

    def _reduce(self, factor: float, now: float) -> None:
        if now - self._reduced_at >= self._settings.quiet:
            self._reduced_at = now
            self.limit = max(LEAST_LIMIT, self.limit * factor)

    def _pause(self, now: float) -> None:
        if self.limit < 1.0:
            self._next_start = now + self._mean_seconds * (1.0 / self.limit - 1.0)
