"""Upstreams, faults and traffic of the policy experiment, in simulated time."""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from random import Random

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.clock import ManualClock
from shallotspindle_health.scoring import Outcome

# Upstreams queue a few requests and shed the rest.
QUEUE_LENGTH = 6
SHED_SECONDS = 0.001
CONNECT_TIMEOUT_SECONDS = 0.5
SIGMA = 0.4


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    :param part: part of the traffic.
    :param seconds: median service time, in seconds.
    :param weight: worth of an answer.
    """

    name: str
    part: float
    seconds: float
    weight: float
    idempotent: bool = True


KINDS = (
    Kind("look-up", 0.7, 0.02, 1.0),
    Kind("list", 0.2, 0.04, 2.0),
    Kind("booking", 0.1, 0.15, 5.0, idempotent=False),
)
MEAN_SERVICE_SECONDS = sum(
    kind.part * kind.seconds * math.exp(SIGMA**2 / 2) for kind in KINDS
)


@dataclass(slots=True)
class Request:
    """One request of a caller with what became of it."""

    number: int
    team: str
    kind: Kind
    instance: int
    arrived: float
    deadline: float
    fingerprint: int
    attempts: int = 0
    tried: frozenset[str] = frozenset()
    ended: float | None = None
    whole: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with an upstream from a time on.

    :param slowness: factor on service times.
    :param truncates: probability that an answer is cut short.
    :param errors: probability of an error, which is answered fast.
    :param period: the fault comes and goes with this period, in seconds; 0 if not.
    """

    start: float
    slowness: float = 1.0
    truncates: float = 0.0
    errors: float = 0.0
    period: float = 0.0

    def is_on(self, now: float) -> bool:
        """Return whether the fault shows."""
        if now < self.start:
            return False
        return not self.period or int((now - self.start) / self.period) % 2 == 0


class Events:
    """Queue of events that moves a clock."""

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        return self.clock.boottime()

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Plan an action; those of the same time run in the order of their planning."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.call_at(self.now + seconds, action)

    def run(self, end: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= end:
            time, _, action = heapq.heappop(self._events)
            self.clock.advance(time - self.now)
            action()


Reply = Callable[[Outcome, float | None], None]


@dataclass(slots=True)
class Job:
    """A request at an upstream."""

    seconds: float
    deadline: float
    reply: Reply


@dataclass(slots=True)
class SimulatedUpstream:
    """Queue with a few slots, a service time distribution and a fault."""

    record: Upstream
    events: Events
    random: Random
    fault: Fault | None = None
    running: int = 0
    waiting: deque[Job] = field(default_factory=deque)

    def load(self) -> float:
        """Return running and queued requests for each slot."""
        return (self.running + len(self.waiting)) / self.record.slots

    def arrive(self, kind: Kind, deadline: float, reply: Reply) -> None:
        """Take a request, or shed it."""
        fault = self.fault if self.fault and self.fault.is_on(self.events.now) else None
        if fault and self.random.random() < fault.errors:
            self.events.call_later(0.002, lambda: reply(Outcome.ERROR, self.load()))
            return
        if len(self.waiting) >= QUEUE_LENGTH:
            self.events.call_later(
                SHED_SECONDS, lambda: reply(Outcome.SHED, self.load())
            )
            return
        seconds = kind.seconds * math.exp(SIGMA * self.random.gauss(0.0, 1.0))
        seconds *= fault.slowness if fault else 1.0
        self.waiting.append(Job(seconds, deadline, reply))
        self._start()

    def _start(self) -> None:
        while self.waiting and self.running < self.record.slots:
            job = self.waiting.popleft()
            if job.deadline <= self.events.now:
                continue
            self.running += 1
            # An upstream accepts deadlines and stops work that is late.
            busy = min(job.seconds, job.deadline - self.events.now)
            self.events.call_later(
                busy, lambda job=job, busy=busy: self._end(job, busy)
            )

    def _end(self, job: Job, busy: float) -> None:
        self.running -= 1
        fault = self.fault if self.fault and self.fault.is_on(self.events.now) else None
        if busy >= job.seconds:
            cut = fault is not None and self.random.random() < fault.truncates
            outcome = Outcome.TRUNCATED if cut else Outcome.COMPLETE
            job.reply(outcome, self.load())
        self._start()
