"""Expected durations of requests, learned for each route of a service.

Routes are told apart only while their costs differ clearly; otherwise, and for a route
with too little history, the durations of the whole service apply. Costs are compared
as ratios to the mean of the service at the time of the attempt, so that a service that
becomes slower as a whole does not look like one with unequal routes.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from shallotspindle_lending.durations import MIN_SAMPLES, Durations

# Route hash of requests whose requester sends none.
UNKNOWN_ROUTE = 0
# Bound the memory to about 1 MB for each scheduler; the route that completed no
# attempt for the longest time is dropped first.
MAX_ROUTES = 128
MAX_ROUTE_SAMPLES = 100
# Completed attempts of a route before its cost is compared with that of others.
MIN_COMPARED_ATTEMPTS = 20
# Number of attempts over which the ratio of a route is averaged.
RATIO_ATTEMPTS = 200
# The routes are compared again after this many completed attempts.
COMPARISON_INTERVAL = 20
# Coefficients of variation of the mean costs of the routes from which they differ, and
# below which they no longer do. Two equally frequent routes reach the first at a factor
# of 1.67, and the second at 1.44.
MIN_VARIATION = 0.25
END_VARIATION = 0.18
# Standard deviations of chance that a difference must exceed, squared.
SAMPLING_VARIANCE_FACTOR = 3.0
# The weights of all routes are halved when their sum reaches this number, so that the
# comparison follows the present mix of routes.
MAX_TOTAL_WEIGHT = 2000.0


@dataclass(slots=True)
class RouteCost:
    """What is known of the cost of one route.

    :param durations: of the latest successful attempts.
    :param attempts: number of attempts that were compared with the service's mean.
    :param ratio: moving average of the durations as ratios to the service's mean.
    :param ratio_variance: moving variance of the ratios.
    :param weight: decaying number of attempts.
    """

    durations: Durations = field(default_factory=lambda: Durations(MAX_ROUTE_SAMPLES))
    attempts: int = 0
    ratio: float = 0.0
    ratio_variance: float = 0.0
    weight: float = 0.0

    def add_ratio(self, ratio: float) -> None:
        """Add the ratio of an attempt's duration to the service's mean."""
        self.attempts += 1
        self.weight += 1
        gain = max(1 / self.attempts, 1 / RATIO_ATTEMPTS)
        difference = ratio - self.ratio
        self.ratio += gain * difference
        self.ratio_variance = (1 - gain) * (self.ratio_variance + gain * difference**2)

    def get_sampling_variance(self) -> float:
        """Return the variance of ``ratio`` that is due to the number of attempts."""
        return self.ratio_variance / min(self.attempts, RATIO_ATTEMPTS)


class RouteCosts:
    """Costs by hash of the route.

    :param service_durations: durations of all routes of the service together.
    """

    def __init__(self, service_durations: Durations) -> None:
        self._service_durations = service_durations
        self._costs: dict[int, RouteCost] = {}
        self._differ = False
        self._total_weight = 0.0
        self._attempts = 0

    @property
    def differ(self) -> bool:
        """Whether the routes of the service differ in cost."""
        return self._differ

    @property
    def ratio(self) -> float:
        """Cost of the most expensive route as a ratio to that of the cheapest one.

        1 while the routes do not differ in cost.
        """
        ratios = [cost.ratio for cost in self._list_compared()]
        if not self._differ or not min(ratios, default=0.0):
            return 1.0
        return max(ratios) / min(ratios)

    def add(self, route_hash: int, seconds: float) -> None:
        """Add the duration of a successful attempt."""
        if route_hash == UNKNOWN_ROUTE:
            return
        cost = self._costs.pop(route_hash, None) or RouteCost()
        self._costs[route_hash] = cost
        if len(self._costs) > MAX_ROUTES:
            del self._costs[next(iter(self._costs))]
        cost.durations.add(seconds)
        if self._service_durations.sample_count >= MIN_SAMPLES:
            cost.add_ratio(seconds / self._service_durations.mean_seconds)
            self._total_weight += 1
        self._attempts += 1
        if self._attempts % COMPARISON_INTERVAL == 0:
            self._compare()

    def find_route_durations(self, route_hash: int) -> Durations | None:
        """Return the durations of a route, or None if those of the service apply."""
        if not self._differ:
            return None
        cost = self._costs.get(route_hash)
        if cost is None or cost.durations.sample_count < MIN_SAMPLES:
            return None
        return cost.durations

    def get_durations(self, route_hash: int) -> Durations:
        """Return the durations to expect of a route."""
        return self.find_route_durations(route_hash) or self._service_durations

    def estimate_needed_seconds(self, route_hash: int) -> float:
        """Return the time before its deadline at which a request must get a slot.

        With the mean duration of a cheap route alone, many attempts would time out, and
        count against their upstreams.
        """
        durations = self.find_route_durations(route_hash)
        if durations is None:
            return self._service_durations.mean_seconds
        return durations.overdue_seconds

    def estimate_mean_seconds(self, route_hashes: Iterable[int]) -> float:
        """Return the mean duration to expect of requests of these routes."""
        if not self._differ:
            return self._service_durations.mean_seconds
        counts = Counter(route_hashes)
        if not counts:
            return self._service_durations.mean_seconds
        seconds = sum(
            count * self.get_durations(route_hash).mean_seconds
            for route_hash, count in counts.items()
        )
        return seconds / counts.total()

    def _compare(self) -> None:
        """Decide whether the routes differ in cost."""
        threshold = END_VARIATION if self._differ else MIN_VARIATION
        self._differ = self._measure_variance() >= threshold**2
        if self._total_weight >= MAX_TOTAL_WEIGHT:
            self._total_weight /= 2
            for cost in self._costs.values():
                cost.weight /= 2

    def _measure_variance(self) -> float:
        """Return the relative variance between the mean costs of the routes.

        What the small numbers of attempts may explain is subtracted.
        """
        compared = self._list_compared()
        weight = sum(cost.weight for cost in compared)
        if len(compared) < 2 or not weight:
            return 0.0
        mean = sum(cost.weight * cost.ratio for cost in compared) / weight
        if not mean:
            return 0.0
        variance = sum(
            cost.weight
            * (
                (cost.ratio - mean) ** 2
                - SAMPLING_VARIANCE_FACTOR * cost.get_sampling_variance()
            )
            for cost in compared
        )
        return variance / weight / mean**2

    def _list_compared(self) -> list[RouteCost]:
        """Return the costs of the routes with enough history to be compared."""
        return [
            cost
            for cost in self._costs.values()
            if cost.attempts >= MIN_COMPARED_ATTEMPTS
        ]
