"""Bounded queue with deadlines and deficit round robin between teams.

A team that sends too much delays only its own requests. When the queue is full, the
newest request of the team with the longest queue, relative to its weight, is refused.
"""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass

# Bounds the number of rounds until a team may send a request: 20 at a cost of 1.
MIN_WEIGHT = 0.05
# Number of teams from which the mean share is estimated. Only the ratio of weights to
# each other matters much, so an approximate mean is good enough.
MEAN_SAMPLE_TEAMS = 1_000


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for an upstream.

    :param number: identifies the request within this instance.
    :param fingerprint: digest by which requests that crash upstreams are recognised.
    :param tried_upstreams: upstreams that earlier attempts were sent to.
    :param deadline: time in seconds after which the request is refused.
    :param cost: expected work relative to the mean request of the service.
    """

    number: int
    team: str
    fingerprint: int
    tried_upstreams: frozenset[str]
    deadline: float
    cost: float = 1.0


class TeamWeights:
    """Weights of teams in the queue, scaled to a mean of about 1.

    All queues share one object: a copy for each of 150 services took 285 MB at 37,000
    teams.

    :param shares: share of each team, such as its rate; not copied. A team without a
        share gets the mean weight.
    """

    def __init__(self, shares: Mapping[str, float]) -> None:
        self._shares = shares
        sample = itertools.islice(shares.values(), MEAN_SAMPLE_TEAMS)
        positive = [value for value in sample if value > 0]
        self._mean = sum(positive) / len(positive) if positive else 1.0

    def find_weight(self, team: str) -> float:
        """Return the weight of a team; 1 is the mean of all teams."""
        share = self._shares.get(team)
        return 1.0 if share is None else max(MIN_WEIGHT, share / self._mean)


class FairQueue:
    """Waiting requests of one service, by team.

    :param capacity: largest number of waiting requests.
    """

    def __init__(self, capacity: int = 512, weights: TeamWeights | None = None) -> None:
        self._capacity = capacity
        self._weights = weights or TeamWeights({})
        self._queues: OrderedDict[str, deque[QueuedRequest]] = OrderedDict()
        self._deficits: dict[str, float] = {}
        self._requests: dict[int, QueuedRequest] = {}
        # A heap; entries of requests that are no longer queued are skipped when read.
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def set_weights(self, weights: TeamWeights) -> None:
        """Replace the weights, for example after a new bundle."""
        self._weights = weights

    def _find_weight(self, team: str) -> float:
        return self._weights.find_weight(team)

    def push(self, request: QueuedRequest) -> QueuedRequest | None:
        """Add a request and return the one that is refused if the queue is full."""
        self._insert(request).append(request)
        if len(self._requests) <= self._capacity:
            return None
        longest = max(
            self._queues,
            key=lambda team: len(self._queues[team]) / self._find_weight(team),
        )
        refused = self._queues[longest].pop()
        self._forget(refused)
        return refused

    def push_front(self, request: QueuedRequest) -> None:
        """Put back a request that could not be sent, ahead of others of its team."""
        self._insert(request).appendleft(request)
        self._deficits[request.team] += request.cost

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request in deficit round robin order."""
        while self._queues:
            team, waiting = next(iter(self._queues.items()))
            if self._deficits[team] >= waiting[0].cost:
                request = waiting.popleft()
                self._deficits[team] -= request.cost
                self._forget(request)
                return request
            self._deficits[team] += self._find_weight(team)
            self._queues.move_to_end(team)
        return None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heapq.heappop(self._deadlines)
            request = self.remove(number)
            if request is not None:
                expired.append(request)
        return expired

    def find_earliest_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting request; None if none waits."""
        while self._deadlines and self._deadlines[0][1] not in self._requests:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def remove(self, number: int) -> QueuedRequest | None:
        """Remove a request, for example because its caller has disconnected."""
        request = self._requests.get(number)
        if request is None:
            return None
        self._queues[request.team].remove(request)
        self._forget(request)
        return request

    def _insert(self, request: QueuedRequest) -> deque[QueuedRequest]:
        """Register a request and return the queue of its team."""
        self._requests[request.number] = request
        heapq.heappush(self._deadlines, (request.deadline, request.number))
        self._deficits.setdefault(request.team, 0.0)
        return self._queues.setdefault(request.team, deque())

    def _forget(self, request: QueuedRequest) -> None:
        """Drop the bookkeeping of a request that has left its team's queue."""
        del self._requests[request.number]
        if not self._queues[request.team]:
            # A team without requests keeps no deficit, so it cannot save up turns.
            del self._queues[request.team]
            del self._deficits[request.team]
