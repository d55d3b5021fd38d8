"""Takes a request from the caller's socket to the answer, one decision a step.

The order is: checks, route, key, body, rate, slot. A refusal with 429 or 503 is sent
only while no upstream can have run the request.
"""

import asyncio
from dataclasses import dataclass, field, replace
from enum import StrEnum

from aiohttp import web

from shallotspindle_bundles.records import Part, Route, Team
from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import ServiceName, TeamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import checks
from shallotspindle_gateway import bodies, headers, refusals
from shallotspindle_gateway.admission import Admission
from shallotspindle_gateway.bodies import Body, BodyFault
from shallotspindle_gateway.execution import Executor, Failed, Sent
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.forwarding import Answer, Order
from shallotspindle_gateway.messages import TokenDenial, TokenGrant
from shallotspindle_gateway.records import Bounds, Deployment, Settings
from shallotspindle_gateway.refusals import Refusal
from shallotspindle_gateway.slot_requester import AcquiredSlot, SlotRequirements
from shallotspindle_gateway.stopping import StopPlan
from shallotspindle_keys import directory
from shallotspindle_lending.records import Outcome, RefusalReason
from shallotspindle_routing import routes

# Part of the time in which a withdrawn key must stop working that may pass between
# the question to the store and the send to an upstream.
FRESH_PART = 0.8
DEFAULT_SECONDS = 30.0
# The way of the request and of its answer is part of the caller's deadline.
WAY_SECONDS = 0.03
HEAVY_BYTES = 16 * 1024
NO_TEAM = TeamName("")
BODY_REFUSALS = {
    BodyFault.SLOW: refusals.SLOW_CALLER,
    BodyFault.TOO_LARGE: refusals.BODY_TOO_LARGE,
}
# After these an upstream certainly did not run the request.
NOT_RUN_OUTCOMES = frozenset({Outcome.MISDIRECTED, Outcome.NOT_CONNECTED, Outcome.SHED})


@dataclass(frozen=True, slots=True)
class Call:
    """A request that passed the checks.

    :param team: team of the key; None on an open route.
    :param arrived: when the request came, in seconds.
    :param until: when the caller must have its answer, in seconds.
    """

    request: web.BaseRequest
    route: Route
    service: ServiceName
    team: Team | None
    arrived: float
    until: float


class Step(StrEnum):
    """How far a request came; ``SENT`` once an upstream may have got it."""

    CHECKS = "checks"
    BODY = "body"
    TOKEN = "token"
    SLOT = "slot"
    SENT = "sent"


@dataclass(slots=True)
class Trace:
    """What the log says of a request.

    :param age: time since the last confirmation of the configuration, in seconds.
    :param step: where the request was when it ended.
    :param no_slot: why no slot was lent, if that ended the request.
    """

    request_id: str
    version: int
    age: float
    route: str = ""
    team: str = ""
    service: str = ""
    no_slot: str = ""
    step: Step = Step.CHECKS
    sends: list[Sent] = field(default_factory=list)


@dataclass(slots=True)
class Running:
    """A request that passed all checks.

    :param orders: number of its sends to upstreams, the one on its way included.
    """

    trace: Trace
    repeatable: bool = False
    orders: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or still may."""
        ended = self.trace.sends
        if self.orders > len(ended):
            return True
        return any(sent.outcome not in NOT_RUN_OUTCOMES for sent in ended)


def choose_service(route: Route, random: RandomSource) -> ServiceName:
    """Draw the service of a request in proportion to the weights of a route."""
    if not route.split:
        return route.service
    rest = random.random() * sum(part.weight for part in route.split)
    chosen: Part = route.split[-1]
    for part in route.split:
        rest -= part.weight
        if rest < 0:
            return part.service
    return chosen.service


def find_route(deployment: Deployment, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path."""
    directory_path = path[: path.rfind("/") + 1]
    found = routes.find_route(deployment.routes, host, directory_path, "")
    return None if isinstance(found, routes.NoRoute) else found


@dataclass(frozen=True, slots=True)
class BodySource:
    """Body of one request, as the executor asks for it."""

    body: Body
    pipeline: "Pipeline"

    def may_send(self) -> bool:
        """Return whether an upstream would get the whole body now."""
        return self.body.is_sendable and not self.pipeline.refuses

    def has_failed(self) -> bool:
        """Return whether the caller broke the body off."""
        return self.body.has_failed


class Pipeline:
    """Serves requests; all state belongs to the tasks that it asks."""

    def __init__(
        self,
        settings: Settings,
        follower: StoreFollower,
        admission: Admission,
        executor: Executor,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._names = settings.headers
        self.set_bounds(settings.bounds)
        self._follower = follower
        self._admission = admission
        self._executor = executor
        self._clock = clock
        self._random = random
        self._running: dict[asyncio.Task[Answer | Refusal], Running] = {}
        self._stop: StopPlan | None = None
        self._refuses = False

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds."""
        self._fresh_seconds = FRESH_PART * bounds.key_withdrawal_seconds

    async def serve(self, request: web.BaseRequest, trace: Trace) -> Answer | Refusal:
        """Return the answer to a request, and fill in its trace."""
        arrived = self._clock.boottime()
        call = self._check(request, trace, arrived)
        if isinstance(call, Refusal):
            return call
        if self._refuses or not self._admits(call):
            return refusals.STOPPING
        running = Running(trace)
        task = asyncio.create_task(self._run(call, running))
        self._running[task] = running
        task.add_done_callback(self._running.pop)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return self._conclude_stop(running)
            # Work with an effect goes on when its caller leaves: a cut in the middle
            # would leave unknown whether it ran. What was not sent yet is dropped.
            if running.repeatable or not running.may_have_run:
                task.cancel()
            raise

    def _admits(self, call: Call) -> bool:
        return self._stop is None or self._stop.admits(call.arrived, call.until)

    async def _run(self, call: Call, running: Running) -> Answer | Refusal:
        running.trace.step = Step.BODY
        largest = self._follower.deployment.caller_limits.body_bytes
        await bodies.send_continue(call.request)
        body = await bodies.read_body(call.request, largest)
        if isinstance(body, BodyFault):
            return BODY_REFUSALS[body]
        running.trace.step = Step.TOKEN
        refused = await self._acquire(call)
        if refused is not None:
            return refused
        if call.team is not None and not self.is_fresh():
            return refusals.STALE
        return await self._execute(call, body, running)

    def is_fresh(self) -> bool:
        """Return whether a withdrawn key would be known here."""
        age = self._follower.compute_confirmation_age(self._clock.boottime())
        return age < self._fresh_seconds

    def _check(
        self, request: web.BaseRequest, trace: Trace, now: float
    ) -> Call | Refusal:
        deployment = self._follower.deployment
        if deployment.bundle.version == 0:
            return refusals.NOT_READY
        if checks.find_problem(request) is not None:
            return refusals.MALFORMED
        if headers.count_bytes(request) > deployment.caller_limits.header_bytes:
            return refusals.HEADERS_TOO_LARGE
        path = request.raw_path.partition("?")[0]
        host = request.host.partition(":")[0]
        route = find_route(deployment, host, path)
        if route is None:
            return refusals.NO_ROUTE
        trace.route = route.name
        team = self._find_team(request, deployment, route)
        if isinstance(team, Refusal):
            return team
        trace.team = team.name if team else ""
        given = headers.read_deadline(request.headers, self._names) or DEFAULT_SECONDS
        until = now + min(given - WAY_SECONDS, route.timeout)
        service = choose_service(route, self._random)
        trace.service = service
        return Call(request, route, service, team, now, until)

    def _find_team(
        self, request: web.BaseRequest, deployment: Deployment, route: Route
    ) -> Team | Refusal | None:
        if route.open or not deployment.bundle.teams:
            return None
        if not self.is_fresh():
            return refusals.STALE
        key = headers.read_key(request.headers, self._names.key_scheme)
        found = directory.find_team(deployment.keys, key or "")
        if isinstance(found, directory.UnknownKey):
            return refusals.UNKNOWN_KEY
        return deployment.bundle.teams[found]

    async def _acquire(self, call: Call) -> Refusal | None:
        if call.team is None:
            return None
        left = call.until - self._clock.boottime()
        answer = await self._admission.acquire(call.team, left)
        if isinstance(answer, TokenGrant):
            return None
        if isinstance(answer, TokenDenial):
            wait = answer.retry_after
            return replace(refusals.RATE_EXCEEDED, retry_after=max(0.05, wait))
        return refusals.RATE_UNKNOWN

    async def _execute(
        self, call: Call, body: Body, running: Running
    ) -> Answer | Refusal:
        trace = running.trace
        trace.step = Step.SLOT
        want = self._build_want(call, body)
        running.repeatable = want.is_idempotent
        attempts = call.route.attempts if body.repeatable else 1

        def build(slot: AcquiredSlot, seconds: float) -> Order:
            trace.step = Step.SENT
            running.orders += 1
            return self._build_order(call, body, slot, seconds)

        source = BodySource(body, self)
        result = await self._executor.run(want, attempts, build, source, trace.sends)
        return self._conclude(result, trace)

    @property
    def refuses(self) -> bool:
        """Whether the end of a planned stop is too near to send anything."""
        return self._refuses

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, also nothing whose caller has left."""
        return not self._running

    def begin_stop(self, plan: StopPlan) -> None:
        """Refuse from now on what may outlast the stop."""
        self._stop = plan

    def refuse_unsent(self) -> None:
        """Refuse what did not run, now and from now on.

        The process ends before its body, its token or its slot may come.
        """
        self._refuses = True
        for task, running in tuple(self._running.items()):
            if not running.may_have_run:
                task.cancel()

    def end(self) -> None:
        """Answer what still runs; whether it ran to its end stays unknown."""
        for task in tuple(self._running):
            task.cancel()

    @staticmethod
    def _conclude_stop(running: Running) -> Refusal:
        if running.may_have_run:
            return refusals.UPSTREAM_TIMEOUT
        return refusals.STOPPING

    def _build_want(self, call: Call, body: Body) -> SlotRequirements:
        request = call.request
        team = call.team.name if call.team else NO_TEAM
        fingerprint = hashing.hash_text(
            team, request.method, request.raw_path, body.digest().hex()
        )
        idempotent = request.method in call.route.idempotent_methods
        priority = call.team.priority if call.team else None
        return SlotRequirements(
            service=call.service,
            is_idempotent=idempotent and body.repeatable,
            is_retry=False,
            priority=call.route.priority if priority is None else priority,
            has_large_body=len(body.start) > HEAVY_BYTES,
            deadline=call.until,
            objective_deadline=call.arrived
            + (call.route.objective or call.route.timeout),
            fingerprint=fingerprint,
            route_hash=hashing.hash_text("route", call.route.name),
        )

    def _build_order(
        self, call: Call, body: Body, slot: AcquiredSlot, seconds: float
    ) -> Order:
        request = call.request
        team = call.team.name if call.team else NO_TEAM
        sent = headers.build_upstream_headers(
            request.headers, self._names, team, slot.upstream, seconds
        )
        return Order(
            slot.address,
            request.method,
            request.raw_path,
            sent,
            body.open(),
            seconds,
        )

    @staticmethod
    def _conclude(result: Answer | Failed, trace: Trace) -> Answer | Refusal:
        if isinstance(result, Answer):
            return result
        trace.no_slot = result.reason.value if result.reason else ""
        if not result.may_have_run:
            if result.reason is RefusalReason.QUARANTINED:
                return refusals.HELD
            return replace(refusals.NO_SLOT, retry_after=result.retry_after)
        if result.outcome is Outcome.TIMED_OUT:
            return refusals.UPSTREAM_TIMEOUT
        return refusals.UPSTREAM_FAILED
