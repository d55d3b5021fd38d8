"""Dispatches the requests of one service to its upstreams.

Combines the upstream subset, health weights, a selection policy, the concurrency
limit and the fair queue. Each call returns the decisions that it caused, which may
concern other requests than the one passed in.
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
from shallotspindle_routing.fairqueue import FairQueue, QueuedRequest
from shallotspindle_routing.limiter import ConcurrencyLimiter
from shallotspindle_routing.policies import Policy, UpstreamCandidate

# Shortest time without requests to an upstream after it shed one. An upstream has two
# slots, so one completed request is enough to make the rejection outdated.
SHED_BACKOFF_SECONDS = 0.05
# Load per slot from which a local upstream gives way to those of other domains.
SPILLOVER_LOAD = 1.0
# Fraction of requests that ignore locality, so that the instances of each failure
# domain keep observing the health and load of every upstream.
EXPLORATION_FRACTION = 0.2


class Health(Protocol):
    """The part of health tracking that a dispatcher depends on."""

    def find_weights(self, now: float) -> Mapping[str, float]:
        """Return the weight of each usable upstream, above 0 and at most 1.

        A weight of 1 stands for the normal share of requests.
        """

    def start_trial(self, now: float) -> str | None:
        """Return an ejected upstream that is due for a trial request."""

    def record(
        self,
        name: str,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> None:
        """Record the result of a request to an upstream."""


class RefusalReason(StrEnum):
    """Why a request is not sent to an upstream."""

    QUEUE_FULL = "queue full"
    DEADLINE_PASSED = "deadline passed"
    NO_UPSTREAM = "no upstream in use"


@dataclass(frozen=True, slots=True)
class Assigned:
    """A request is to be sent; it occupies the upstream until it is finished."""

    request_number: int
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Refused:
    """A request is removed from the queue without being sent."""

    request_number: int
    reason: RefusalReason


Decision = Assigned | Refused


@dataclass(slots=True)
class UpstreamState:
    """What this instance knows of one upstream.

    :param in_flight: requests of this instance that the upstream runs.
    :param load_report: the last load that the upstream reported.
    :param latency_seconds: moving average of the latency of complete responses.
    :param backoff_until: time before which no request is sent, since the upstream
        shed one.
    """

    upstream: Upstream
    in_flight: int = 0
    load_report: LoadReport | None = None
    latency_seconds: float = 0.05
    backoff_until: float = 0.0


class Dispatcher:
    """Owns the queue and the in-flight requests of one service.

    :param domain: failure domain of this instance.
    """

    def __init__(
        self,
        domain: str,
        health: Health,
        policy: Policy,
        random: RandomSource,
        limiter: ConcurrencyLimiter | None = None,
        queue: FairQueue | None = None,
    ) -> None:
        self._domain = domain
        self._health = health
        self._policy = policy
        self._random = random
        self._limiter = limiter or ConcurrencyLimiter()
        # Compared with None, since an empty queue is false.
        self._queue = FairQueue() if queue is None else queue
        self._upstreams: dict[str, UpstreamState] = {}
        self._in_flight: dict[int, UpstreamState] = {}
        self._average_load = 0.0

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for an upstream."""
        return len(self._queue)

    @property
    def concurrency_limit(self) -> float:
        """Number of requests that this instance may have in flight."""
        return self._limiter.limit

    def set_upstreams(self, upstreams: Sequence[Upstream]) -> None:
        """Replace the subset of upstreams.

        Upstreams that stay keep their state. Requests in flight are not affected.
        """
        previous = self._upstreams
        self._upstreams = {}
        for item in upstreams:
            state = previous.get(item.name, UpstreamState(item))
            state.upstream = item
            self._upstreams[item.name] = state

    def submit(self, request: QueuedRequest, now: float) -> list[Decision]:
        """Add a request to the queue."""
        refused = self._queue.push(request)
        decisions: list[Decision] = []
        if refused is not None:
            decisions.append(Refused(refused.number, RefusalReason.QUEUE_FULL))
        return decisions + self.advance(now)

    def finish(
        self,
        request_number: int,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> list[Decision]:
        """Record the result of an assigned request and send queued ones.

        :param seconds: latency of the request.
        :param load: load per slot that the upstream reported; None without a report.
        """
        state = self._in_flight.pop(request_number, None)
        if state is None:
            return []
        state.in_flight -= 1
        name = state.upstream.name
        if load is not None:
            state.load_report = LoadReport(load, now)
            self._average_load += 0.05 * (load - self._average_load)
        if outcome is Outcome.SHED:
            state.backoff_until = now + SHED_BACKOFF_SECONDS * (
                1 + self._random.random()
            )
            self._limiter.observe_shed(now)
        elif outcome is Outcome.COMPLETE:
            state.latency_seconds += 0.1 * (seconds - state.latency_seconds)
            in_flight = len(self._in_flight)
            self._limiter.observe_complete(seconds, self._average_load, in_flight, now)
        self._health.record(name, outcome, seconds, load, now)
        return self.advance(now)

    def cancel(self, request_number: int) -> None:
        """Remove a queued request whose caller has disconnected."""
        self._queue.remove(request_number)

    def advance(self, now: float) -> list[Decision]:
        """Refuse requests whose deadline has passed and send as many as possible."""
        decisions: list[Decision] = [
            Refused(request.number, RefusalReason.DEADLINE_PASSED)
            for request in self._queue.expire(now)
        ]
        while len(self._queue) and self._limiter.has_capacity(
            len(self._in_flight), now
        ):
            decision = self._send_next(now)
            if decision is None:
                break
            decisions.append(decision)
        return decisions

    def find_wakeup_time(self, now: float) -> float | None:
        """Return the next time at which ``advance`` may decide something on its own.

        :returns: None if the queue is empty.
        """
        deadline = self._queue.find_earliest_deadline()
        if deadline is None:
            return None
        backoffs = [state.backoff_until for state in self._upstreams.values()]
        times = [deadline, *(time for time in backoffs if time > now)]
        next_start = self._limiter.find_next_start(now)
        return min(times if next_start is None else [*times, next_start])

    def _send_next(self, now: float) -> Decision | None:
        request = self._queue.pop()
        if request is None:
            return None
        state = self._choose_upstream(request, now)
        if state is not None:
            state.in_flight += 1
            self._in_flight[request.number] = state
            return Assigned(request.number, state.upstream)
        if (
            not self._health.find_weights(now).keys()
            & self._upstreams.keys() - request.tried_upstreams
        ):
            return Refused(request.number, RefusalReason.NO_UPSTREAM)
        self._queue.push_front(request)
        return None

    def _choose_upstream(
        self, request: QueuedRequest, now: float
    ) -> UpstreamState | None:
        # Only a first attempt may serve as the trial of an ejected upstream.
        if not request.tried_upstreams:
            trial = self._health.start_trial(now)
            if trial in self._upstreams:
                return self._upstreams[trial]
        candidates = self._list_candidates(request, now)
        if not candidates:
            return None
        local = [candidate for candidate in candidates if self._is_local(candidate)]
        if self._random.random() < EXPLORATION_FRACTION:
            local = []
        chosen = self._policy.pick(local or candidates, self._random)
        if local and self._is_busy(chosen) and len(local) < len(candidates):
            chosen = self._policy.pick(candidates, self._random)
        return self._upstreams[chosen.name]

    def _list_candidates(
        self, request: QueuedRequest, now: float
    ) -> list[UpstreamCandidate]:
        weights = self._health.find_weights(now)
        candidates = []
        for name, state in self._upstreams.items():
            weight = weights.get(name, 0.0)
            is_free = (
                state.in_flight < state.upstream.slots and now >= state.backoff_until
            )
            if weight > 0 and is_free and name not in request.tried_upstreams:
                candidates.append(self._build_candidate(state, weight, now))
        return candidates

    def _build_candidate(
        self, state: UpstreamState, weight: float, now: float
    ) -> UpstreamCandidate:
        load = loads.estimate_load(state.load_report, self._average_load, now)
        upstream = state.upstream
        return UpstreamCandidate(
            upstream.name,
            state.in_flight,
            load,
            upstream.slots,
            state.latency_seconds,
            weight,
        )

    def _is_local(self, candidate: UpstreamCandidate) -> bool:
        return self._upstreams[candidate.name].upstream.domain == self._domain

    def _is_busy(self, candidate: UpstreamCandidate) -> bool:
        return candidate.load + candidate.in_flight / candidate.slots >= SPILLOVER_LOAD
