"""Upstreams, faults and requests of the policy experiment, in simulated time."""

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

# An upstream sheds requests beyond this number of queued ones.
MAX_QUEUE_LENGTH = 6
SHED_RESPONSE_SECONDS = 0.001
CONNECT_TIMEOUT_SECONDS = 0.5
SERVICE_TIME_SIGMA = 0.4


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    :param weight: value of a response in the ratio of successful requests.
    """

    name: str
    traffic_fraction: float
    median_service_seconds: float
    weight: float
    idempotent: bool = True


KINDS = (
    RequestKind("look-up", 0.7, 0.02, 1.0),
    RequestKind("list", 0.2, 0.04, 2.0),
    RequestKind("booking", 0.1, 0.15, 5.0, idempotent=False),
)
MEAN_SERVICE_SECONDS = sum(
    kind.traffic_fraction
    * kind.median_service_seconds
    * math.exp(SERVICE_TIME_SIGMA**2 / 2)
    for kind in KINDS
)


@dataclass(slots=True)
class Request:
    """One request of a caller and its result.

    :param instance: index of the instance that receives it.
    :param arrived_at: simulated time, in seconds; so are the deadline and the end.
    """

    number: int
    team: str
    kind: RequestKind
    instance: int
    arrived_at: float
    deadline: float
    fingerprint: int
    attempts: int = 0
    tried_upstreams: frozenset[str] = frozenset()
    ended_at: float | None = None
    is_complete: bool = False
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamFault:
    """A fault of an upstream.

    :param slowdown_factor: factor on service times.
    :param truncation_probability: probability of a truncated response.
    :param error_probability: probability of an error response, which is sent fast.
    :param period_seconds: the fault is active in every second one of these periods; 0
        if it is always active.
    """

    start_seconds: float
    slowdown_factor: float = 1.0
    truncation_probability: float = 0.0
    error_probability: float = 0.0
    period_seconds: float = 0.0

    def is_active(self, now: float) -> bool:
        """Return whether the fault is active."""
        if now < self.start_seconds:
            return False
        return (
            not self.period_seconds
            or int((now - self.start_seconds) / self.period_seconds) % 2 == 0
        )


class EventQueue:
    """Event queue of the simulation, which advances a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    @property
    def now(self) -> float:
        return self.clock.boottime()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; equal times run in the order of scheduling."""
        heapq.heappush(self._events, (time, next(self._sequence_numbers), callback))

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay, in seconds."""
        self.call_at(self.now + delay, callback)

    def run(self, end_time: float) -> None:
        """Run the events up to and including a time."""
        while self._events and self._events[0][0] <= end_time:
            time, _, callback = heapq.heappop(self._events)
            self.clock.advance(time - self.now)
            callback()


ResponseCallback = Callable[[Outcome, float | None], None]


@dataclass(slots=True)
class Job:
    """A request that is queued at an upstream."""

    service_seconds: float
    deadline: float
    respond: ResponseCallback


@dataclass(slots=True)
class SimulatedUpstream:
    """Upstream with a queue, slots, log-normal service times and possibly a fault."""

    record: Upstream
    events: EventQueue
    random_source: Random
    fault: UpstreamFault | None = None
    running_count: int = 0
    queue: deque[Job] = field(default_factory=deque)

    def compute_load(self) -> float:
        """Return the running and queued requests per slot."""
        return (self.running_count + len(self.queue)) / self.record.slots

    def receive_request(
        self, kind: RequestKind, deadline: float, respond: ResponseCallback
    ) -> None:
        """Queue a request, or respond with an error, or shed it."""
        fault = (
            self.fault if self.fault and self.fault.is_active(self.events.now) else None
        )
        if fault and self.random_source.random() < fault.error_probability:
            self.events.call_later(
                0.002, lambda: respond(Outcome.ERROR, self.compute_load())
            )
            return
        if len(self.queue) >= MAX_QUEUE_LENGTH:
            self.events.call_later(
                SHED_RESPONSE_SECONDS,
                lambda: respond(Outcome.SHED, self.compute_load()),
            )
            return
        service_seconds = kind.median_service_seconds * math.exp(
            SERVICE_TIME_SIGMA * self.random_source.gauss(0.0, 1.0)
        )
        service_seconds *= fault.slowdown_factor if fault else 1.0
        self.queue.append(Job(service_seconds, deadline, respond))
        self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and self.running_count < self.record.slots:
            job = self.queue.popleft()
            if job.deadline <= self.events.now:
                continue
            self.running_count += 1
            # An upstream knows the deadline of a request and stops working on it then.
            busy_seconds = min(job.service_seconds, job.deadline - self.events.now)
            self.events.call_later(
                busy_seconds,
                lambda job=job, busy_seconds=busy_seconds: self._finish(
                    job, busy_seconds
                ),
            )

    def _finish(self, job: Job, busy_seconds: float) -> None:
        self.running_count -= 1
        fault = (
            self.fault if self.fault and self.fault.is_active(self.events.now) else None
        )
        if busy_seconds >= job.service_seconds:
            is_truncated = (
                fault is not None
                and self.random_source.random() < fault.truncation_probability
            )
            outcome = Outcome.TRUNCATED if is_truncated else Outcome.COMPLETE
            job.respond(outcome, self.compute_load())
        self._start_queued()
