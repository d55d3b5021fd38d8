"""Adaptive limit of the requests that one instance has in flight to a service.

Upstreams have two slots each, and dozens of instances share them without knowing of
each other's requests. Each instance finds its share from shed requests and reported
load. A limit below one is enforced by a pause between consecutive requests.
"""

from dataclasses import dataclass

MIN_LIMIT = 0.05


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Bounds and step sizes of a concurrency limit.

    :param initial_limit: limit of a new instance, in requests in flight.
    :param max_limit: largest limit, in requests in flight.
    :param shed_factor: factor applied to the limit after a shed request.
    :param increase: added to the limit for each complete response, divided by the
        limit, so that the limit grows by about this much in each round of requests.
    :param max_load: reported load per slot above which the limit is reduced, so that
        requests wait in the fair queues of instances and not in upstreams.
    :param overload_factor: factor applied after a response while the load is higher.
    :param min_reduction_interval_seconds: shortest time between two reductions.
    """

    initial_limit: float = 4.0
    max_limit: float = 64.0
    shed_factor: float = 0.9
    increase: float = 0.2
    max_load: float = 2.0
    overload_factor: float = 0.97
    min_reduction_interval_seconds: float = 0.1


class ConcurrencyLimiter:
    """Limit of requests in flight; increases additively, decreases multiplicatively."""

    def __init__(self, settings: LimiterSettings | None = None) -> None:
        self._settings = settings or LimiterSettings()
        self.limit = self._settings.initial_limit
        self._reduced_at = -self._settings.min_reduction_interval_seconds
        self._next_start = 0.0
        self._mean_seconds = 0.05

    def has_capacity(self, in_flight: int, now: float) -> bool:
        """Return whether one more request may start."""
        if self.limit >= 1.0:
            return in_flight < int(self.limit)
        return in_flight == 0 and now >= self._next_start

    def find_next_start(self, now: float) -> float | None:
        """Return when the pause between requests ends, or None without a pause."""
        return self._next_start if now < self._next_start else None

    def observe_complete(
        self, seconds: float, load: float, in_flight: int, now: float
    ) -> None:
        """Adjust the limit after a complete response.

        :param seconds: latency of the request.
        :param load: average load of the service's upstreams, per slot.
        :param in_flight: other requests in flight when the response arrived.
        """
        self._mean_seconds += 0.1 * (seconds - self._mean_seconds)
        # A limit that is not used is not a sign that the upstreams can take more.
        is_used = in_flight + 1 >= self.limit * 0.5
        if load > self._settings.max_load:
            self._reduce(self._settings.overload_factor, now)
        elif is_used:
            step = self._settings.increase / max(1.0, self.limit)
            self.limit = min(self._settings.max_limit, self.limit + step)
        self._schedule_next_start(now)

    def observe_shed(self, now: float) -> None:
        """Reduce the limit after a request that an upstream shed."""
        self._reduce(self._settings.shed_factor, now)
        self._schedule_next_start(now)

    def _reduce(self, factor: float, now: float) -> None:
        if now - self._reduced_at >= self._settings.min_reduction_interval_seconds:
            self._reduced_at = now
            self.limit = max(MIN_LIMIT, self.limit * factor)

    def _schedule_next_start(self, now: float) -> None:
        if self.limit < 1.0:
            self._next_start = now + self._mean_seconds * (1.0 / self.limit - 1.0)
