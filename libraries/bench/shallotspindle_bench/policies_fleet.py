"""Instances of the policy experiment: the real decision objects on an event queue."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from shallotspindle_bench.policies_simulation import (
    CONNECT_TIMEOUT_SECONDS,
    EventQueue,
    Request,
    SimulatedUpstream,
)
from shallotspindle_core.identifiers import Instance
from shallotspindle_health.detection import ServiceHealth
from shallotspindle_health.messages import CrashNotice, SuspicionReport
from shallotspindle_health.monitor import HealthMonitor, ServiceUpstreams
from shallotspindle_health.scoring import Outcome
from shallotspindle_retries import backoff, eligibility
from shallotspindle_retries.budget import RetryBudget
from shallotspindle_retries.eligibility import Attempt
from shallotspindle_routing.dispatch import Assigned, Decision, Dispatcher
from shallotspindle_routing.fairqueue import FairQueue, QueuedRequest, TeamWeights
from shallotspindle_routing.policies import POLICIES

SERVICE = "service"
PEER_DELAY_SECONDS = 0.001
TICK_INTERVAL_SECONDS = 0.25
GOSSIP_FANOUT = 4
LOCAL_DELAY_SECONDS = 0.0002
NAIVE_CONSECUTIVE_ERRORS = 5
NAIVE_EJECTION_SECONDS = 30.0
NAIVE_MAX_EJECTED_FRACTION = 0.5


class NaiveHealth:
    """Baseline: ejects after consecutive errors, without messages between instances."""

    def __init__(self, names: frozenset[str]) -> None:
        self._consecutive_errors = dict.fromkeys(sorted(names), 0)
        self._ejected_until = dict.fromkeys(sorted(names), 0.0)

    def find_weights(self, now: float) -> Mapping[str, float]:
        return {
            name: 1.0
            for name, ejected_until in self._ejected_until.items()
            if now >= ejected_until
        }

    def start_trial(self, now: float) -> str | None:
        return None

    def record(
        self,
        name: str,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> None:
        if outcome in {Outcome.COMPLETE, Outcome.SHED}:
            self._consecutive_errors[name] = 0
            return
        self._consecutive_errors[name] += 1
        ejected_count = sum(
            now < ejected_until for ejected_until in self._ejected_until.values()
        )
        may_eject = ejected_count < NAIVE_MAX_EJECTED_FRACTION * len(
            self._ejected_until
        )
        if self._consecutive_errors[name] >= NAIVE_CONSECUTIVE_ERRORS and may_eject:
            self._ejected_until[name] = now + NAIVE_EJECTION_SECONDS
            self._consecutive_errors[name] = 0


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of a simulated fleet.

    :param policy: name of the load balancing policy.
    :param uses_naive_health: whether instances use ``NaiveHealth``.
    :param team_weights: weight of each team in the fair queue.
    :param unreachable: index of an instance and the upstreams that it cannot reach.
    """

    policy: str
    uses_naive_health: bool
    min_usable_upstreams: int
    cross_domain_delay_seconds: float
    team_weights: Mapping[str, float]
    unreachable: tuple[int, frozenset[str]] | None = None


class SimulatedInstance:
    """One instance with its dispatcher, health and retry budget."""

    def __init__(
        self,
        index: int,
        own_instance: Instance,
        fleet: "SimulatedFleet",
        random_source: Random,
        settings: FleetSettings,
    ) -> None:
        self.own_instance = own_instance
        self._index = index
        self._fleet = fleet
        self._random = random_source
        self._settings = settings
        self._requests: dict[int, Request] = {}
        self._wakeup_time = 0.0
        self._budget = RetryBudget()
        names = frozenset(fleet.upstreams)
        self.health_monitor = HealthMonitor(own_instance, random_source)
        self.health_monitor.update(
            [ServiceUpstreams(SERVICE, names, settings.min_usable_upstreams)], 0.0
        )
        service_health = self.health_monitor.get(SERVICE)
        self.health: ServiceHealth | NaiveHealth = (
            NaiveHealth(names)
            if settings.uses_naive_health or service_health is None
            else service_health
        )
        self.dispatcher = Dispatcher(
            own_instance.domain,
            self.health,
            POLICIES[settings.policy](),
            random_source,
            queue=FairQueue(512, TeamWeights(settings.team_weights)),
        )
        self.dispatcher.set_upstreams(
            [item.record for item in fleet.upstreams.values()]
        )

    def receive_request(self, request: Request) -> None:
        """Handle a request of a caller."""
        self._budget.count_request(self._fleet.events.now)
        self._submit(request)

    def _submit(self, request: Request) -> None:
        now = self._fleet.events.now
        self._requests[request.number] = request
        item = QueuedRequest(
            request.number,
            request.team,
            request.fingerprint,
            request.tried_upstreams,
            request.deadline,
        )
        self._apply(self.dispatcher.submit(item, now))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            request = self._requests[decision.request_number]
            if isinstance(decision, Assigned):
                self._send(request, self._fleet.upstreams[decision.upstream.name])
            else:
                request.is_refused = request.attempts == 0
                request.ended_at = self._fleet.events.now
                del self._requests[request.number]
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        events = self._fleet.events
        time = self.dispatcher.find_wakeup_time(events.now)
        if time is None or events.now < self._wakeup_time <= time:
            return
        self._wakeup_time = max(time, events.now + 1e-4)
        events.call_at(self._wakeup_time, self._advance)

    def _advance(self) -> None:
        self._apply(self.dispatcher.advance(self._fleet.events.now))

    def _send(self, request: Request, upstream: SimulatedUpstream) -> None:
        events = self._fleet.events
        started = events.now
        request.attempts += 1
        attempt_state = {"open": True}

        def finish_attempt(outcome: Outcome, load: float | None) -> None:
            if attempt_state["open"]:
                attempt_state["open"] = False
                self._finish_attempt(
                    request, upstream, outcome, events.now - started, load
                )

        unreachable = self._settings.unreachable
        if (
            unreachable
            and unreachable[0] == self._index
            and upstream.record.name in unreachable[1]
        ):
            events.call_later(
                CONNECT_TIMEOUT_SECONDS,
                lambda: finish_attempt(Outcome.NOT_CONNECTED, None),
            )
            return
        is_local = upstream.record.domain == self.own_instance.domain
        delay = (
            LOCAL_DELAY_SECONDS
            if is_local
            else self._settings.cross_domain_delay_seconds
        )

        def respond(outcome: Outcome, load: float | None) -> None:
            events.call_later(delay, lambda: finish_attempt(outcome, load))

        events.call_later(
            delay,
            lambda: upstream.receive_request(request.kind, request.deadline, respond),
        )
        events.call_at(
            request.deadline, lambda: finish_attempt(Outcome.TIMED_OUT, None)
        )

    def _finish_attempt(
        self,
        request: Request,
        upstream: SimulatedUpstream,
        outcome: Outcome,
        seconds: float,
        load: float | None,
    ) -> None:
        now = self._fleet.events.now
        name = upstream.record.name
        del self._requests[request.number]
        decisions = self.dispatcher.finish(request.number, outcome, seconds, load, now)
        if not self._settings.uses_naive_health:
            messages = self.health_monitor.record_outcome(
                request.fingerprint, name, outcome, now
            )
            self._fleet.gossip(self._index, messages)
        request.tried_upstreams |= {name}
        if outcome is Outcome.COMPLETE:
            request.ended_at, request.is_complete = now, True
        elif not self._retry(request, outcome, now):
            request.ended_at = now
        self._apply(decisions)

    def _retry(self, request: Request, outcome: Outcome, now: float) -> bool:
        statuses = {Outcome.SHED: 503, Outcome.ERROR: 502}
        headers = {"request-outcome": "not-run"} if outcome is Outcome.SHED else {}
        attempt = Attempt(
            outcome is not Outcome.NOT_CONNECTED, statuses.get(outcome), headers
        )
        if not eligibility.may_retry(attempt, request.kind.idempotent):
            return False
        delay = backoff.compute_delay(
            request.attempts, now, request.deadline, self._random
        )
        if delay is None or not self._budget.take_retry(now):
            return False
        self._fleet.events.call_later(delay, lambda: self._submit(request))
        return True

    def tick(self) -> None:
        """Advance the health monitor, and do so again after the tick interval."""
        self._fleet.gossip(
            self._index, self.health_monitor.tick(self._fleet.events.now)
        )
        self._fleet.events.call_later(TICK_INTERVAL_SECONDS, self.tick)

    def receive(self, message: SuspicionReport | CrashNotice) -> None:
        """Apply a message of a peer and forward it."""
        forwarded = self.health_monitor.receive(message, self._fleet.events.now)
        self._fleet.gossip(self._index, forwarded)


class SimulatedFleet:
    """All instances in front of the upstreams of one service."""

    def __init__(
        self,
        events: EventQueue,
        upstreams: dict[str, SimulatedUpstream],
        domains: list[str],
        instance_count: int,
        random_source: Random,
        settings: FleetSettings,
    ) -> None:
        self.events = events
        self.upstreams = upstreams
        self.message_count = 0
        self._random = random_source
        self.instances = []
        for number in range(instance_count):
            domain = domains[number % len(domains)]
            own_instance = Instance(f"i{number:02}", f"10.0.0.{number}:1", domain)
            instance_random = Random(random_source.random())
            item = SimulatedInstance(
                number, own_instance, self, instance_random, settings
            )
            self.instances.append(item)
            if not settings.uses_naive_health:
                events.call_at(
                    random_source.random() * TICK_INTERVAL_SECONDS, item.tick
                )

    def gossip(self, sender: int, messages: list) -> None:
        """Send messages to randomly chosen peers."""
        for message in messages:
            for _ in range(GOSSIP_FANOUT):
                peer = self._random.randrange(len(self.instances))
                if peer != sender:
                    self.message_count += 1
                    self.events.call_later(
                        PEER_DELAY_SECONDS,
                        lambda peer=peer, message=message: self.instances[peer].receive(
                            message
                        ),
                    )
