"""Task that balances requests over upstreams.

It owns the health of the upstreams, the queues and the retry budgets of all services.
"""

import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import count
from typing import Any

from absl import logging

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
from shallotspindle_entry.balancing_messages import (
    CrashStored,
    HealthMessageReceived,
    LeavingUpstreamsChanged,
    ServicesChanged,
    ServiceSnapshot,
    SnapshotRequest,
    Tick,
    UnstoredCrashesRequest,
)
from shallotspindle_entry.interfaces import (
    Assignment,
    AttemptSample,
    NoCapacity,
    PeerMessaging,
    RequestHeld,
)
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_health.detection import ServiceHealth
from shallotspindle_health.messages import CrashNotice, SuspicionReport
from shallotspindle_health.monitor import HealthMessage, HealthMonitor, ServiceUpstreams
from shallotspindle_health.scoring import Outcome
from shallotspindle_notices.notices import Notice, Obstacle, UpstreamNotices
from shallotspindle_retries.budget import RetryBudget
from shallotspindle_routing import subsets
from shallotspindle_routing.dispatch import Assigned, Decision, Dispatcher
from shallotspindle_routing.fairqueue import FairQueue, QueuedRequest, TeamWeights
from shallotspindle_routing.policies import Policy, PowerOfTwo

TICK_INTERVAL_SECONDS = 0.25
MAX_QUEUE_LENGTH = 512
# After this time, an upstream that reported draining may have restarted.
DRAINING_EXPIRY_SECONDS = 60.0
PAUSE_LOG_INTERVAL_SECONDS = 0.1
# With fewer usable upstreams, a retry could be left without a second choice.
MIN_USABLE_UPSTREAMS = 3


def identify(upstream: Upstream) -> tuple[UpstreamName, str]:
    """Return what identifies an upstream; bundles do not name its incarnation."""
    return (upstream.name, upstream.address)


class TeamRates(Mapping[TeamName, float]):
    """Rates of the teams in a bundle, read through without a copy."""

    def __init__(self, teams: Mapping[TeamName, Team]) -> None:
        self._teams = teams

    def __getitem__(self, name: TeamName) -> float:
        return self._teams[name].rate

    def __iter__(self) -> Iterator[TeamName]:
        return iter(self._teams)

    def __len__(self) -> int:
        return len(self._teams)


@dataclass(slots=True)
class ServiceState:
    """State that the task keeps for a service.

    :param timer: next wakeup of the dispatcher, if one is due.
    """

    service: Service
    health: ServiceHealth
    dispatcher: Dispatcher
    queue: FairQueue
    budget: RetryBudget
    subset: frozenset[UpstreamName] = frozenset()
    timer: asyncio.TimerHandle | None = None


class BalancingTask(InboxTask):
    """Implements ``Balancer``.

    ``assign``, ``finish`` and ``may_retry`` change the state directly on the event loop
    of the task and without an await in between, so that a decision does not wait for
    the inbox.

    :param policy: class of the balancing policy; each service has its own object.
    """

    def __init__(
        self,
        own_instance: Instance,
        peers: PeerMessaging,
        clock: Clock,
        random: RandomSource,
        policy: type[Policy] = PowerOfTwo,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own_instance = own_instance
        self._peers = peers
        self._clock = clock
        self._random = random
        self._policy = policy
        self._health_monitor = HealthMonitor(own_instance, random)
        self._service_states: dict[ServiceName, ServiceState] = {}
        self._leaving_upstreams: frozenset[UpstreamName] = frozenset()
        self._notices = UpstreamNotices(DRAINING_EXPIRY_SECONDS)
        # Replaced each time that notices have expired.
        self._notices_expired = asyncio.Event()
        self._instances_by_domain = {own_instance.domain: 1}
        self._request_numbers = count(1)
        self._waiters: dict[int, asyncio.Future[Upstream | None]] = {}
        self._active_requests: dict[int, tuple[ServiceName, int]] = {}
        self._ticker: asyncio.Task | None = None
        peers.register(SuspicionReport, self._receive_from_peer)
        peers.register(CrashNotice, self._receive_from_peer)

    async def prepare(self) -> None:
        self._ticker = asyncio.create_task(self._run_ticker())

    async def stop(self, exception: Exception | None = None) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
        for state in self._service_states.values():
            self._cancel_timer(state)
        await super().stop(exception)

    async def handle(self, message: Any) -> Any:
        match message:
            case ServicesChanged():
                self._apply_services(message)
            case LeavingUpstreamsChanged(upstreams=upstreams):
                self._leaving_upstreams = upstreams
                self._update_leaving()
            case Tick():
                self._tick()
            case SnapshotRequest():
                return self._take_snapshot()
            case UnstoredCrashesRequest():
                return self._health_monitor.list_unstored_crashes(
                    self._clock.boottime()
                )
            case CrashStored(fingerprint=fingerprint):
                self._health_monitor.mark_crash_stored(fingerprint)
            case HealthMessageReceived(message=health_message):
                self._send_to_peers(
                    self._health_monitor.receive(health_message, self._clock.boottime())
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
        state = self._service_states.get(service)
        if state is None:
            return NoCapacity(service, "the service is not in the active bundle")
        if self._health_monitor.is_quarantined(fingerprint, now):
            return RequestHeld(service, "the request crashed upstreams before")
        if not tried_upstreams:
            state.budget.count_request(now)
        assignment = await self._acquire_upstream(
            state, team, fingerprint, tried_upstreams, deadline
        )
        if isinstance(assignment, NoCapacity):
            return assignment
        if self._health_monitor.is_quarantined(fingerprint, self._clock.boottime()):
            # The same request crashed another upstream while this one was queued.
            self._release_slot(assignment.number)
            return RequestHeld(service, "the request crashed upstreams before")
        return assignment

    async def _acquire_upstream(
        self,
        state: ServiceState,
        team: TeamName,
        fingerprint: int,
        tried_upstreams: frozenset[UpstreamName],
        deadline: float,
    ) -> Assignment | NoCapacity:
        """Queue a request until an upstream is assigned, also while all pause."""
        service = state.service.name
        while True:
            if not await self._wait_for_pauses(state, tried_upstreams, deadline):
                wait_seconds = self._compute_wait(state, tried_upstreams)
                message = "all upstreams want a pause"
                return NoCapacity(service, message, retry_after=wait_seconds)
            number = next(self._request_numbers)
            request = QueuedRequest(
                number, team, fingerprint, tried_upstreams, deadline
            )
            upstream = await self._wait_for_upstream(state, request)
            if upstream is not None:
                return Assignment(upstream, number)
            if not self._compute_wait(state, tried_upstreams):
                return NoCapacity(
                    service, "no upstream became available before the deadline"
                )

    async def _wait_for_pauses(
        self,
        state: ServiceState,
        tried_upstreams: frozenset[UpstreamName],
        deadline: float,
    ) -> bool:
        """Wait while all upstreams want a pause.

        :returns: whether one may get a request before the deadline.
        """
        while wait_seconds := self._compute_wait(state, tried_upstreams):
            if self._clock.boottime() + wait_seconds >= deadline:
                return False
            await self._notices_expired.wait()
        return True

    def _compute_wait(
        self, state: ServiceState, tried_upstreams: frozenset[UpstreamName]
    ) -> float:
        """Return the seconds until the first pause of the upstreams ends.

        :returns: 0 if an upstream may get a request now, or if none will.
        """
        if self._notices.is_empty:
            return 0.0
        now = self._clock.boottime()
        waits = [
            self._notices.compute_wait(identify(upstream), now)
            for upstream in state.service.upstreams
            if upstream.name not in tried_upstreams and not self._is_leaving(upstream)
        ]
        return min(waits, default=0.0)

    def finish(self, assignment: Assignment, sample: AttemptSample) -> None:
        active_request = self._active_requests.pop(assignment.number, None)
        state = self._service_states.get(active_request[0]) if active_request else None
        if active_request is None or state is None:
            return
        now = self._clock.boottime()
        name = assignment.upstream.name
        outcome = sample.outcome
        decisions = state.dispatcher.finish(
            assignment.number, outcome, sample.duration_seconds, sample.load, now
        )
        self._send_to_peers(
            self._health_monitor.record_outcome(active_request[1], name, outcome, now)
        )
        self._apply_decisions(state, decisions)

    def record_notice(self, upstream: Upstream, notice: Notice) -> None:
        now = self._clock.boottime()
        is_news = self._notices.record(identify(upstream), notice, now)
        if is_news:
            logging.info("upstream %s says that it leaves", upstream.name)
        if notice.pause_seconds:
            logging.log_every_n_seconds(
                logging.INFO,
                "upstream %s wants no requests for %.2f s",
                PAUSE_LOG_INTERVAL_SECONDS,
                upstream.name,
                notice.pause_seconds,
            )
        if is_news or notice.pause_seconds:
            self._update_leaving()

    def may_retry(self, service: ServiceName) -> bool:
        state = self._service_states.get(service)
        return state is not None and state.budget.take_retry(self._clock.boottime())

    async def _wait_for_upstream(
        self, state: ServiceState, request: QueuedRequest
    ) -> Upstream | None:
        future = asyncio.get_running_loop().create_future()
        self._waiters[request.number] = future
        self._active_requests[request.number] = (
            state.service.name,
            request.fingerprint,
        )
        self._apply_decisions(
            state, state.dispatcher.submit(request, self._clock.boottime())
        )
        try:
            # A future that is already decided needs no pass of the event loop.
            return future.result() if future.done() else await future
        except asyncio.CancelledError:
            state.dispatcher.cancel(request.number)
            self._release_slot(request.number)
            raise
        finally:
            self._waiters.pop(request.number, None)

    def _release_slot(self, number: int) -> None:
        active_request = self._active_requests.pop(number, None)
        state = self._service_states.get(active_request[0]) if active_request else None
        if state is not None:
            now = self._clock.boottime()
            outcome = Outcome.CANCELLED
            self._apply_decisions(
                state, state.dispatcher.finish(number, outcome, 0.0, None, now)
            )

    def _apply_decisions(self, state: ServiceState, decisions: list[Decision]) -> None:
        for decision in decisions:
            future = self._waiters.get(decision.request_number)
            is_assigned = isinstance(decision, Assigned)
            if not is_assigned:
                self._active_requests.pop(decision.request_number, None)
            if future is not None and not future.done():
                future.set_result(decision.upstream if is_assigned else None)
        self._schedule_wakeup(state)

    def _schedule_wakeup(self, state: ServiceState) -> None:
        self._cancel_timer(state)
        now = self._clock.boottime()
        wakeup_at = state.dispatcher.find_wakeup_time(now)
        if wakeup_at is None:
            return
        loop = asyncio.get_running_loop()
        # The additional millisecond keeps the timer from firing before the wakeup time.
        delay = max(0.0, wakeup_at - now) + 0.001
        state.timer = loop.call_later(delay, self._advance, state)

    def _cancel_timer(self, state: ServiceState) -> None:
        if state.timer is not None:
            state.timer.cancel()
            state.timer = None

    def _advance(self, state: ServiceState) -> None:
        self._apply_decisions(state, state.dispatcher.advance(self._clock.boottime()))

    def _advance_all(self) -> None:
        for state in self._service_states.values():
            if state.dispatcher.queue_length:
                self._advance(state)

    def _apply_services(self, message: ServicesChanged) -> None:
        now = self._clock.boottime()
        services = [
            ServiceUpstreams(
                name,
                frozenset(upstream.name for upstream in service.upstreams),
                service.floor,
            )
            for name, service in message.services.items()
        ]
        self._health_monitor.update(services, now)
        weights = TeamWeights(TeamRates(message.teams))
        for name in self._service_states.keys() - message.services.keys():
            self._close_service(self._service_states.pop(name))
        for name, service in message.services.items():
            state = self._service_states.get(name) or self._create_service_state(
                service
            )
            state.service = service
            state.queue.set_weights(weights)
            self._service_states[name] = state
        self._instances_by_domain = self._count_instances()
        self._update_leaving()

    def _create_service_state(self, service: Service) -> ServiceState:
        health = self._health_monitor.get(service.name)
        if health is None:
            raise LookupError(f"the health of service {service.name} is not tracked")
        queue = FairQueue(MAX_QUEUE_LENGTH)
        dispatcher = Dispatcher(
            self._own_instance.domain, health, self._policy(), self._random, queue=queue
        )
        return ServiceState(service, health, dispatcher, queue, RetryBudget())

    def _close_service(self, state: ServiceState) -> None:
        self._cancel_timer(state)
        for number, (service, _) in list(self._active_requests.items()):
            future = self._waiters.get(number)
            if service == state.service.name and future and not future.done():
                future.set_result(None)

    def _update_leaving(self) -> None:
        now = self._clock.boottime()
        for state in self._service_states.values():
            for upstream in state.service.upstreams:
                state.health.set_leaving(upstream.name, self._is_leaving(upstream), now)
            self._choose_subset(state)

    def _is_leaving(self, upstream: Upstream) -> bool:
        return (
            self._find_obstacle(upstream) is Obstacle.LEAVING
            or upstream.draining
            or upstream.name in self._leaving_upstreams
        )

    def _find_obstacle(self, upstream: Upstream) -> Obstacle | None:
        now = self._clock.boottime()
        return self._notices.find_obstacle(identify(upstream), now)

    def _choose_subset(self, state: ServiceState) -> None:
        available = [
            upstream
            for upstream in state.service.upstreams
            if not self._is_leaving(upstream)
            and self._find_obstacle(upstream) is not Obstacle.PAUSED
        ]
        chosen = subsets.choose_subset(
            self._own_instance.incarnation,
            self._own_instance.domain,
            available,
            self._instances_by_domain,
        )
        usable = state.health.find_weights(self._clock.boottime()).keys()
        chosen = subsets.extend_subset(
            self._own_instance.incarnation,
            chosen,
            available,
            usable,
            MIN_USABLE_UPSTREAMS,
        )
        state.subset = chosen
        state.dispatcher.set_upstreams(
            [upstream for upstream in available if upstream.name in chosen]
        )

    def _count_instances(self) -> dict[FailureDomain, int]:
        counts = {self._own_instance.domain: 1}
        for peer in self._peers.list_peers():
            counts[peer.domain] = counts.get(peer.domain, 0) + 1
        return counts

    def _tick(self) -> None:
        now = self._clock.boottime()
        self._send_to_peers(self._health_monitor.tick(now))
        if self._notices.expire(now):
            self._update_leaving()
            self._notices_expired.set()
            self._notices_expired = asyncio.Event()
        instances_by_domain = self._count_instances()
        has_changed = instances_by_domain != self._instances_by_domain
        self._instances_by_domain = instances_by_domain
        for state in self._service_states.values():
            if has_changed or not state.health.is_settled:
                self._choose_subset(state)
        self._advance_all()

    def _take_snapshot(self) -> tuple[ServiceSnapshot, ...]:
        descriptions = self._health_monitor.describe(self._clock.boottime())
        return tuple(
            ServiceSnapshot(
                name,
                descriptions[name],
                tuple(sorted(state.subset)),
                state.dispatcher.queue_length,
                state.dispatcher.concurrency_limit,
            )
            for name, state in self._service_states.items()
        )

    def _send_to_peers(self, messages: list[HealthMessage]) -> None:
        for message in messages:
            self._peers.gossip(message)

    async def _receive_from_peer(
        self, sender: Instance, message: HealthMessage
    ) -> None:
        self.tell(HealthMessageReceived(message))

    async def _run_ticker(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self.tell(Tick())
