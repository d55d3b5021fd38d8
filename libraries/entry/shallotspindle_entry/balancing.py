"""Task that owns the health of upstreams, the queues and the retry budgets."""

import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import count
from typing import Any

from shallotspindle_bundles.records import Service, Team, Upstream
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import (
    FailureDomain,
    Instance,
    ServiceName,
    TeamName,
    UpstreamName,
)
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry.interfaces import (
    Assignment,
    AttemptSample,
    NoCapacity,
    PeerMessaging,
    RequestHeld,
)
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_health.detection import ServiceHealth, UpstreamDescription
from shallotspindle_health.messages import CrashNotice, SuspicionReport
from shallotspindle_health.monitor import HealthMessage, HealthMonitor, ServiceUpstreams
from shallotspindle_health.scoring import Outcome
from shallotspindle_retries.budget import RetryBudget
from shallotspindle_routing import subsets
from shallotspindle_routing.dispatch import Assigned, Decision, Dispatcher
from shallotspindle_routing.fairqueue import FairQueue, QueuedRequest, TeamWeights
from shallotspindle_routing.policies import Policy, PowerOfTwo

TICK_SECONDS = 0.25
QUEUE_CAPACITY = 512
# An upstream that said it drains may have started again after this time.
DRAINING_SECONDS = 60.0
# Fewer usable upstreams than this leave no second choice for a retry.
LEAST_USABLE = 3


@dataclass(frozen=True, slots=True)
class ServicesChanged:
    """Services and teams of the bundle in force."""

    services: Mapping[ServiceName, Service]
    teams: Mapping[TeamName, Team]


@dataclass(frozen=True, slots=True)
class LeavingChanged:
    """Upstreams that the platform's list names as leaving; replaces the last set."""

    upstreams: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Asks for the state of all upstreams, for operators."""


@dataclass(frozen=True, slots=True)
class PeerSpoke:
    """A suspicion or a crash that a peer knows of."""

    message: HealthMessage


@dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """State of a service for operators.

    :param subset: upstreams that this instance uses.
    :param queued: requests that wait.
    :param limit: requests that this instance may have in flight.
    """

    service: ServiceName
    upstreams: tuple[UpstreamDescription, ...]
    subset: tuple[UpstreamName, ...]
    queued: int
    limit: float


class TeamRates(Mapping[TeamName, float]):
    """View of the teams of a bundle that shows their rates."""

    def __init__(self, teams: Mapping[TeamName, Team]) -> None:
        self._teams = teams

    def __getitem__(self, name: TeamName) -> float:
        return self._teams[name].rate

    def __iter__(self) -> Iterator[TeamName]:
        return iter(self._teams)

    def __len__(self) -> int:
        return len(self._teams)


@dataclass(slots=True)
class Desk:
    """What the task keeps for a service."""

    service: Service
    health: ServiceHealth
    dispatcher: Dispatcher
    queue: FairQueue
    budget: RetryBudget
    subset: frozenset[UpstreamName] = frozenset()
    timer: asyncio.TimerHandle | None = None


class BalancingTask(InboxTask):
    """Implements ``Balancer``.

    ``assign``, ``finish`` and ``may_retry`` decide at once and without an await in
    between, on the loop of the task, so that an answer costs no turn of the inbox.

    :param policy: creates the policy of a service.
    """

    def __init__(
        self,
        own: Instance,
        peers: PeerMessaging,
        clock: Clock,
        random: RandomSource,
        policy: type[Policy] = PowerOfTwo,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self._peers = peers
        self._clock = clock
        self._random = random
        self._policy = policy
        self._health_monitor = HealthMonitor(own, random)
        self._desks: dict[ServiceName, Desk] = {}
        self._leaving: frozenset[UpstreamName] = frozenset()
        self._said_draining: dict[UpstreamName, float] = {}
        self._instances = {own.domain: 1}
        self._numbers = count(1)
        self._waiting: dict[int, asyncio.Future[Upstream | None]] = {}
        self._served: dict[int, tuple[ServiceName, int]] = {}
        self._ticker: asyncio.Task | None = None
        peers.register(SuspicionReport, self._hear)
        peers.register(CrashNotice, self._hear)

    async def prepare(self) -> None:
        self._ticker = asyncio.create_task(self._run_ticker())

    async def stop(self, exception: Exception | None = None) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
        for desk in self._desks.values():
            self._cancel_timer(desk)
        await super().stop(exception)

    async def handle(self, message: Any) -> Any:
        match message:
            case ServicesChanged():
                self._update(message)
            case LeavingChanged(upstreams=upstreams):
                self._leaving = upstreams
                self._mark_leaving()
            case Tick():
                self._tick()
            case TakeSnapshot():
                return self._take_snapshot()
            case PeerSpoke(message=spoken):
                self._spread(
                    self._health_monitor.receive(spoken, self._clock.boottime())
                )
                self._advance_all()
        return None

    async def assign(
        self,
        service: ServiceName,
        team: TeamName,
        fingerprint: int,
        tried_upstreams: frozenset[UpstreamName],
        deadline: float,
    ) -> Assignment | NoCapacity | RequestHeld:
        now = self._clock.boottime()
        desk = self._desks.get(service)
        if desk is None:
            return NoCapacity(service, "the service is not in the bundle in force")
        if self._health_monitor.is_quarantined(fingerprint, now):
            return RequestHeld(service, "the request crashed upstreams before")
        if not tried_upstreams:
            desk.budget.count_request(now)
        number = next(self._numbers)
        upstream = await self._wait(
            desk, QueuedRequest(number, team, fingerprint, tried_upstreams, deadline)
        )
        if upstream is None:
            return NoCapacity(service, "no upstream is free before the deadline")
        if self._health_monitor.is_quarantined(fingerprint, self._clock.boottime()):
            # It crashed another upstream while it waited here.
            self._release(number)
            return RequestHeld(service, "the request crashed upstreams before")
        return Assignment(upstream, number)

    def finish(self, assignment: Assignment, sample: AttemptSample) -> None:
        served = self._served.pop(assignment.number, None)
        desk = self._desks.get(served[0]) if served else None
        if served is None or desk is None:
            return
        now = self._clock.boottime()
        name = assignment.upstream.name
        if sample.is_draining and name not in self._said_draining:
            self._said_draining[name] = now + DRAINING_SECONDS
            self._mark_leaving()
        outcome = sample.outcome
        decisions = desk.dispatcher.finish(
            assignment.number, outcome, sample.duration_seconds, sample.load, now
        )
        self._spread(self._health_monitor.record_outcome(served[1], name, outcome, now))
        self._apply(desk, decisions)

    def may_retry(self, service: ServiceName) -> bool:
        desk = self._desks.get(service)
        return desk is not None and desk.budget.take_retry(self._clock.boottime())

    async def _wait(self, desk: Desk, item: QueuedRequest) -> Upstream | None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[item.number] = future
        self._served[item.number] = (desk.service.name, item.fingerprint)
        self._apply(desk, desk.dispatcher.submit(item, self._clock.boottime()))
        try:
            # A decided future is returned without a turn of the loop.
            return future.result() if future.done() else await future
        except asyncio.CancelledError:
            desk.dispatcher.cancel(item.number)
            self._release(item.number)
            raise
        finally:
            self._waiting.pop(item.number, None)

    def _release(self, number: int) -> None:
        served = self._served.pop(number, None)
        desk = self._desks.get(served[0]) if served else None
        if desk is not None:
            now = self._clock.boottime()
            outcome = Outcome.CANCELLED
            self._apply(desk, desk.dispatcher.finish(number, outcome, 0.0, None, now))

    def _apply(self, desk: Desk, decisions: list[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.get(decision.request_number)
            assigned = isinstance(decision, Assigned)
            if not assigned:
                self._served.pop(decision.request_number, None)
            if future is not None and not future.done():
                future.set_result(decision.upstream if assigned else None)
        self._plan_wakeup(desk)

    def _plan_wakeup(self, desk: Desk) -> None:
        self._cancel_timer(desk)
        now = self._clock.boottime()
        time = desk.dispatcher.find_wakeup_time(now)
        if time is None:
            return
        loop = asyncio.get_running_loop()
        # The extra millisecond keeps the timer from firing before the time is due.
        delay = max(0.0, time - now) + 0.001
        desk.timer = loop.call_later(delay, self._advance, desk)

    def _cancel_timer(self, desk: Desk) -> None:
        if desk.timer is not None:
            desk.timer.cancel()
            desk.timer = None

    def _advance(self, desk: Desk) -> None:
        self._apply(desk, desk.dispatcher.advance(self._clock.boottime()))

    def _advance_all(self) -> None:
        for desk in self._desks.values():
            if desk.dispatcher.queue_length:
                self._advance(desk)

    def _update(self, message: ServicesChanged) -> None:
        now = self._clock.boottime()
        members = [
            ServiceUpstreams(
                name, frozenset(item.name for item in found.upstreams), found.floor
            )
            for name, found in message.services.items()
        ]
        self._health_monitor.update(members, now)
        weights = TeamWeights(TeamRates(message.teams))
        for name in self._desks.keys() - message.services.keys():
            self._close(self._desks.pop(name))
        for name, service in message.services.items():
            desk = self._desks.get(name) or self._open(service)
            desk.service = service
            desk.queue.set_weights(weights)
            self._desks[name] = desk
        self._instances = self._count_instances()
        self._mark_leaving()

    def _open(self, service: Service) -> Desk:
        health = self._health_monitor.get(service.name)
        if health is None:
            raise LookupError(f"the health of service {service.name} is not tracked")
        queue = FairQueue(QUEUE_CAPACITY)
        dispatcher = Dispatcher(
            self._own.domain, health, self._policy(), self._random, queue=queue
        )
        return Desk(service, health, dispatcher, queue, RetryBudget())

    def _close(self, desk: Desk) -> None:
        self._cancel_timer(desk)
        for number, (service, _) in list(self._served.items()):
            future = self._waiting.get(number)
            if service == desk.service.name and future and not future.done():
                future.set_result(None)

    def _mark_leaving(self) -> None:
        now = self._clock.boottime()
        for desk in self._desks.values():
            for item in desk.service.upstreams:
                desk.health.set_leaving(item.name, self._is_leaving(item), now)
            self._choose_subset(desk)

    def _is_leaving(self, item: Upstream) -> bool:
        said = item.name in self._said_draining
        return said or item.draining or item.name in self._leaving

    def _choose_subset(self, desk: Desk) -> None:
        present = [
            item for item in desk.service.upstreams if not self._is_leaving(item)
        ]
        chosen = subsets.choose_subset(
            self._own.incarnation, self._own.domain, present, self._instances
        )
        usable = desk.health.find_weights(self._clock.boottime()).keys()
        chosen = subsets.extend_subset(
            self._own.incarnation, chosen, present, usable, LEAST_USABLE
        )
        desk.subset = chosen
        desk.dispatcher.set_upstreams([item for item in present if item.name in chosen])

    def _count_instances(self) -> dict[FailureDomain, int]:
        counts = {self._own.domain: 1}
        for peer in self._peers.list_peers():
            counts[peer.domain] = counts.get(peer.domain, 0) + 1
        return counts

    def _tick(self) -> None:
        now = self._clock.boottime()
        self._spread(self._health_monitor.tick(now))
        self._forget_draining(now)
        instances = self._count_instances()
        moved = instances != self._instances
        self._instances = instances
        for desk in self._desks.values():
            if moved or not desk.health.is_settled:
                self._choose_subset(desk)
        self._advance_all()

    def _forget_draining(self, now: float) -> None:
        late = [name for name, until in self._said_draining.items() if now >= until]
        for name in late:
            del self._said_draining[name]
        if late:
            self._mark_leaving()

    def _take_snapshot(self) -> tuple[ServiceSnapshot, ...]:
        described = self._health_monitor.describe(self._clock.boottime())
        return tuple(
            ServiceSnapshot(
                name,
                described[name],
                tuple(sorted(desk.subset)),
                desk.dispatcher.queue_length,
                desk.dispatcher.concurrency_limit,
            )
            for name, desk in self._desks.items()
        )

    def _spread(self, messages: list[HealthMessage]) -> None:
        for message in messages:
            self._peers.gossip(message)

    async def _hear(self, sender: Instance, message: HealthMessage) -> None:
        self.tell(PeerSpoke(message))

    async def _run_ticker(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tell(Tick())
