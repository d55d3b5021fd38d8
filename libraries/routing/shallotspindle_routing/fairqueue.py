"""Bounded queue with deadlines and deficit round robin between teams.

A team that sends too much waits behind its own requests only: when the queue is
full, the newest request of the team with the longest queue is refused.
"""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass

# Bounds the turns that the queue takes to serve one request.
LEAST_WEIGHT = 0.05
# Teams that the mean is taken of; the scale of the weights need not be exact.
SCALING_SAMPLE = 1_000


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for an upstream.

    :param number: identifies the request.
    :param deadline: time in seconds after which it has no use.
    :param cost: expected work relative to the mean request of the service.
    :param tried: upstreams that it was sent to before.
    """

    number: int
    team: str
    fingerprint: int
    tried: frozenset[str]
    deadline: float
    cost: float = 1.0


class Weights:
    """Parts of the work that teams get, scaled to a mean of about 1.

    All queues share one object: a copy for each of 150 services took 285 MB at 37,000
    teams.

    :param parts: part by team, such as its rate; it is not copied. A team without a
        part counts like the mean.
    """

    def __init__(self, parts: Mapping[str, float]) -> None:
        self._parts = parts
        sample = itertools.islice(parts.values(), SCALING_SAMPLE)
        positive = [value for value in sample if value > 0]
        self._mean = sum(positive) / len(positive) if positive else 1.0

    def find(self, team: str) -> float:
        """Return the weight of a team; the mean of all teams is 1."""
        part = self._parts.get(team)
        return 1.0 if part is None else max(LEAST_WEIGHT, part / self._mean)


class FairQueue:
    """Requests of one service, by team.

    :param capacity: requests that wait at most.
    """

    def __init__(self, capacity: int = 512, weights: Weights | None = None) -> None:
        self._capacity = capacity
        self._weights = weights or Weights({})
        self._teams: OrderedDict[str, deque[Waiting]] = OrderedDict()
        self._deficits: dict[str, float] = {}
        self._members: dict[int, Waiting] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._members)

    def set_weights(self, weights: Weights) -> None:
        """Take the weights of the bundle in force."""
        self._weights = weights

    def _weigh(self, team: str) -> float:
        return self._weights.find(team)

    def push(self, item: Waiting) -> Waiting | None:
        """Add a request; return the one that is refused for lack of room."""
        self._insert(item).append(item)
        if len(self._members) <= self._capacity:
            return None
        longest = max(
            self._teams, key=lambda team: len(self._teams[team]) / self._weigh(team)
        )
        refused = self._teams[longest].pop()
        self._settle(refused)
        return refused

    def push_front(self, item: Waiting) -> None:
        """Put back a request that could not be sent, ahead of its team's others."""
        self._insert(item).appendleft(item)
        self._deficits[item.team] += item.cost

    def pop(self) -> Waiting | None:
        """Take the next request, the teams getting equal work."""
        while self._teams:
            team, waiting = next(iter(self._teams.items()))
            if self._deficits[team] >= waiting[0].cost:
                item = waiting.popleft()
                self._deficits[team] -= item.cost
                self._settle(item)
                return item
            self._deficits[team] += self._weigh(team)
            self._teams.move_to_end(team)
        return None

    def expire(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heapq.heappop(self._deadlines)
            item = self.remove(number)
            if item is not None:
                expired.append(item)
        return expired

    def find_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting request."""
        while self._deadlines and self._deadlines[0][1] not in self._members:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def remove(self, number: int) -> Waiting | None:
        """Remove a request, for example because its caller is gone."""
        item = self._members.get(number)
        if item is None:
            return None
        self._teams[item.team].remove(item)
        self._settle(item)
        return item

    def _insert(self, item: Waiting) -> deque[Waiting]:
        self._members[item.number] = item
        heapq.heappush(self._deadlines, (item.deadline, item.number))
        self._deficits.setdefault(item.team, 0.0)
        return self._teams.setdefault(item.team, deque())

    def _settle(self, item: Waiting) -> None:
        del self._members[item.number]
        if not self._teams[item.team]:
            # A team without requests saves up no deficit.
            del self._teams[item.team]
            del self._deficits[item.team]
