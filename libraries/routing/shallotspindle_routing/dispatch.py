"""Decides for one service which request goes to which upstream, and when.

Joins subset, health, policy, concurrency bound and fair queue. Every call returns
the requests that are decided by it.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.randomness import RandomSource
from shallotspindle_health import loads
from shallotspindle_health.loads import LoadReport
from shallotspindle_health.scoring import Outcome
from shallotspindle_routing.fairqueue import FairQueue, Waiting
from shallotspindle_routing.limiter import Limiter
from shallotspindle_routing.policies import Option, Policy

# A shed answer of an upstream with two slots is out of date after one request.
AVOID_SECONDS = 0.05
BUSY_LOAD = 1.0
# Requests sent regardless of the domain, so that each domain sees every upstream.
EXPLORED_PART = 0.2


class Health(Protocol):
    """What a dispatcher needs to know of the health of upstreams."""

    def find_weights(self, now: float) -> Mapping[str, float]:
        """Return the part of normal work that each usable upstream may get."""

    def start_trial(self, now: float) -> str | None:
        """Return an ejected upstream that should get a trial request."""

    def record(
        self,
        name: str,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> None:
        """Count an exchange."""


class Refusal(StrEnum):
    """Why a request is not sent to an upstream."""

    QUEUE_FULL = "queue full"
    DEADLINE = "deadline passed"
    NO_UPSTREAM = "no upstream in use"


@dataclass(frozen=True, slots=True)
class Assigned:
    """A request goes to an upstream and takes a place there."""

    number: int
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Refused:
    """A request is not sent."""

    number: int
    reason: Refusal


Decision = Assigned | Refused


@dataclass(slots=True)
class Place:
    """What this instance knows of one upstream."""

    upstream: Upstream
    local: int = 0
    report: LoadReport | None = None
    latency: float = 0.05
    avoid_until: float = 0.0


class Dispatcher:
    """Owns the queue and the requests in flight of one service.

    :param domain: failure domain of this instance.
    """

    def __init__(
        self,
        domain: str,
        health: Health,
        policy: Policy,
        random: RandomSource,
        limiter: Limiter | None = None,
        queue: FairQueue | None = None,
    ) -> None:
        self._domain = domain
        self._health = health
        self._policy = policy
        self._random = random
        self._limiter = limiter or Limiter()
        # An empty queue is false.
        self._queue = FairQueue() if queue is None else queue
        self._places: dict[str, Place] = {}
        self._running: dict[int, Place] = {}
        self._typical_load = 0.0

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def limit(self) -> float:
        """Requests that this instance may have in flight."""
        return self._limiter.limit

    def update(self, upstreams: Sequence[Upstream]) -> None:
        """Take the subset of upstreams; requests in flight are kept."""
        known = self._places
        self._places = {}
        for item in upstreams:
            place = known.get(item.name, Place(item))
            place.upstream = item
            self._places[item.name] = place

    def submit(self, item: Waiting, now: float) -> list[Decision]:
        """Take a request that waits for an upstream."""
        refused = self._queue.push(item)
        decisions: list[Decision] = []
        if refused is not None:
            decisions.append(Refused(refused.number, Refusal.QUEUE_FULL))
        return decisions + self.advance(now)

    def finish(
        self,
        number: int,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> list[Decision]:
        """Give a place back, count the exchange and send what waits."""
        place = self._running.pop(number, None)
        if place is None:
            return []
        place.local -= 1
        name = place.upstream.name
        if load is not None:
            place.report = LoadReport(load, now)
            self._typical_load += 0.05 * (load - self._typical_load)
        if outcome is Outcome.SHED:
            place.avoid_until = now + AVOID_SECONDS * (1 + self._random.random())
            self._limiter.observe_shed(now)
        elif outcome is Outcome.COMPLETE:
            place.latency += 0.1 * (seconds - place.latency)
            running = len(self._running)
            self._limiter.observe_whole(seconds, self._typical_load, running, now)
        self._health.record(name, outcome, seconds, load, now)
        return self.advance(now)

    def withdraw(self, number: int) -> None:
        """Forget a waiting request whose caller is gone."""
        self._queue.remove(number)

    def advance(self, now: float) -> list[Decision]:
        """Send waiting requests while there is room, and refuse late ones."""
        decisions: list[Decision] = [
            Refused(item.number, Refusal.DEADLINE) for item in self._queue.expire(now)
        ]
        while len(self._queue) and self._limiter.has_room(len(self._running), now):
            decision = self._send_next(now)
            if decision is None:
                break
            decisions.append(decision)
        return decisions

    def find_wakeup(self, now: float) -> float | None:
        """Return when ``advance`` may decide something without a message."""
        deadline = self._queue.find_deadline()
        if deadline is None:
            return None
        avoided = [place.avoid_until for place in self._places.values()]
        times = [deadline, *(time for time in avoided if time > now)]
        pause = self._limiter.find_wakeup(now)
        return min(times if pause is None else [*times, pause])

    def _send_next(self, now: float) -> Decision | None:
        item = self._queue.pop()
        if item is None:
            return None
        place = self._choose(item, now)
        if place is not None:
            place.local += 1
            self._running[item.number] = place
            return Assigned(item.number, place.upstream)
        if not self._health.find_weights(now).keys() & self._places.keys() - item.tried:
            return Refused(item.number, Refusal.NO_UPSTREAM)
        self._queue.push_front(item)
        return None

    def _choose(self, item: Waiting, now: float) -> Place | None:
        if not item.tried:
            trial = self._health.start_trial(now)
            if trial in self._places:
                return self._places[trial]
        options = self._list_options(item, now)
        if not options:
            return None
        near = [option for option in options if self._is_near(option)]
        if self._random.random() < EXPLORED_PART:
            near = []
        chosen = self._policy.pick(near or options, self._random)
        if near and self._is_busy(chosen) and len(near) < len(options):
            chosen = self._policy.pick(options, self._random)
        return self._places[chosen.name]

    def _list_options(self, item: Waiting, now: float) -> list[Option]:
        weights = self._health.find_weights(now)
        options = []
        for name, place in self._places.items():
            weight = weights.get(name, 0.0)
            free = place.local < place.upstream.slots and now >= place.avoid_until
            if weight > 0 and free and name not in item.tried:
                options.append(self._build_option(place, weight, now))
        return options

    def _build_option(self, place: Place, weight: float, now: float) -> Option:
        load = loads.estimate_load(place.report, self._typical_load, now)
        upstream = place.upstream
        return Option(
            upstream.name, place.local, load, upstream.slots, place.latency, weight
        )

    def _is_near(self, option: Option) -> bool:
        return self._places[option.name].upstream.domain == self._domain

    def _is_busy(self, option: Option) -> bool:
        return option.load + option.local / option.slots >= BUSY_LOAD
