"""Instances of the policy experiment: the real decision objects, driven by events."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from shallotspindle_bench.policies_world import (
    CONNECT_TIMEOUT_SECONDS,
    Events,
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
TICK_SECONDS = 0.25
FANOUT = 4
LOCAL_DELAY_SECONDS = 0.0002
CONSECUTIVE_ERRORS = 5
NAIVE_EJECTION_SECONDS = 30.0
NAIVE_MOST_EJECTED = 0.5


class NaiveHealth:
    """Baseline: ejects after consecutive errors, each instance for itself."""

    def __init__(self, names: frozenset[str]) -> None:
        self._errors = dict.fromkeys(sorted(names), 0)
        self._until = dict.fromkeys(sorted(names), 0.0)

    def find_weights(self, now: float) -> Mapping[str, float]:
        return {name: 1.0 for name, until in self._until.items() if now >= until}

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
            self._errors[name] = 0
            return
        self._errors[name] += 1
        out = sum(now < until for until in self._until.values())
        room = out < NAIVE_MOST_EJECTED * len(self._until)
        if self._errors[name] >= CONSECUTIVE_ERRORS and room:
            self._until[name] = now + NAIVE_EJECTION_SECONDS
            self._errors[name] = 0


@dataclass(frozen=True, slots=True)
class Setup:
    """What a run compares."""

    policy: str
    naive: bool
    floor: int
    delay: float
    rates: Mapping[str, float]
    cut: tuple[int, frozenset[str]] | None = None


class SimulatedInstance:
    """One instance with its dispatcher, health and retry budget."""

    def __init__(
        self,
        number: int,
        own: Instance,
        fleet: "Fleet",
        random: Random,
        setup: Setup,
    ) -> None:
        self.own = own
        self._number = number
        self._fleet = fleet
        self._random = random
        self._setup = setup
        self._requests: dict[int, Request] = {}
        self._wakeup = 0.0
        self._budget = RetryBudget()
        names = frozenset(fleet.upstreams)
        self.health_monitor = HealthMonitor(own, random)
        self.health_monitor.update([ServiceUpstreams(SERVICE, names, setup.floor)], 0.0)
        found = self.health_monitor.get(SERVICE)
        self.health: ServiceHealth | NaiveHealth = (
            NaiveHealth(names) if setup.naive or found is None else found
        )
        self.dispatcher = Dispatcher(
            own.domain,
            self.health,
            POLICIES[setup.policy](),
            random,
            queue=FairQueue(512, TeamWeights(setup.rates)),
        )
        self.dispatcher.set_upstreams(
            [item.record for item in fleet.upstreams.values()]
        )

    def arrive(self, request: Request) -> None:
        """Take a request of a caller."""
        self._budget.count_request(self._fleet.events.now)
        self._submit(request)

    def _submit(self, request: Request) -> None:
        now = self._fleet.events.now
        self._requests[request.number] = request
        item = QueuedRequest(
            request.number,
            request.team,
            request.fingerprint,
            request.tried,
            request.deadline,
        )
        self._apply(self.dispatcher.submit(item, now))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            request = self._requests[decision.request_number]
            if isinstance(decision, Assigned):
                self._send(request, self._fleet.upstreams[decision.upstream.name])
            else:
                request.refused = request.attempts == 0
                request.ended = self._fleet.events.now
                del self._requests[request.number]
        self._plan_wakeup()

    def _plan_wakeup(self) -> None:
        events = self._fleet.events
        time = self.dispatcher.find_wakeup_time(events.now)
        if time is None or events.now < self._wakeup <= time:
            return
        self._wakeup = max(time, events.now + 1e-4)
        events.call_at(self._wakeup, self._wake)

    def _wake(self) -> None:
        self._apply(self.dispatcher.advance(self._fleet.events.now))

    def _send(self, request: Request, upstream: SimulatedUpstream) -> None:
        events = self._fleet.events
        started = events.now
        request.attempts += 1
        state = {"open": True}

        def end(outcome: Outcome, load: float | None) -> None:
            if state["open"]:
                state["open"] = False
                self._end(request, upstream, outcome, events.now - started, load)

        cut = self._setup.cut
        if cut and cut[0] == self._number and upstream.record.name in cut[1]:
            events.call_later(
                CONNECT_TIMEOUT_SECONDS, lambda: end(Outcome.NOT_CONNECTED, None)
            )
            return
        near = upstream.record.domain == self.own.domain
        delay = LOCAL_DELAY_SECONDS if near else self._setup.delay

        def reply(outcome: Outcome, load: float | None) -> None:
            events.call_later(delay, lambda: end(outcome, load))

        events.call_later(
            delay, lambda: upstream.arrive(request.kind, request.deadline, reply)
        )
        events.call_at(request.deadline, lambda: end(Outcome.TIMED_OUT, None))

    def _end(
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
        if not self._setup.naive:
            messages = self.health_monitor.record_outcome(
                request.fingerprint, name, outcome, now
            )
            self._fleet.spread(self._number, messages)
        request.tried |= {name}
        if outcome is Outcome.COMPLETE:
            request.ended, request.whole = now, True
        elif not self._retry(request, outcome, now):
            request.ended = now
        self._apply(decisions)

    def _retry(self, request: Request, outcome: Outcome, now: float) -> bool:
        statuses = {Outcome.SHED: 503, Outcome.ERROR: 502}
        not_run = {"request-outcome": "not-run"} if outcome is Outcome.SHED else {}
        attempt = Attempt(
            outcome is not Outcome.NOT_CONNECTED, statuses.get(outcome), not_run
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
        """Let time pass for the health of upstreams."""
        self._fleet.spread(
            self._number, self.health_monitor.tick(self._fleet.events.now)
        )
        self._fleet.events.call_later(TICK_SECONDS, self.tick)

    def receive(self, message: SuspicionReport | CrashNotice) -> None:
        """Take a message of a peer and pass it on."""
        passed = self.health_monitor.receive(message, self._fleet.events.now)
        self._fleet.spread(self._number, passed)


class Fleet:
    """All instances in front of the upstreams of one service."""

    def __init__(
        self,
        events: Events,
        upstreams: dict[str, SimulatedUpstream],
        domains: list[str],
        count: int,
        random: Random,
        setup: Setup,
    ) -> None:
        self.events = events
        self.upstreams = upstreams
        self.messages = 0
        self._random = random
        self.instances = []
        for number in range(count):
            domain = domains[number % len(domains)]
            own = Instance(f"i{number:02}", f"10.0.0.{number}:1", domain)
            source = Random(random.random())
            item = SimulatedInstance(number, own, self, source, setup)
            self.instances.append(item)
            if not setup.naive:
                events.call_at(random.random() * TICK_SECONDS, item.tick)

    def spread(self, sender: int, messages: list) -> None:
        """Send messages to a few peers."""
        for message in messages:
            for _ in range(FANOUT):
                peer = self._random.randrange(len(self.instances))
                if peer != sender:
                    self.messages += 1
                    self.events.call_later(
                        PEER_DELAY_SECONDS,
                        lambda peer=peer, message=message: self.instances[peer].receive(
                            message
                        ),
                    )
