"""Processes a request from its arrival to its response in a fixed order of steps.

The order is: checks, route, key, body, rate limit, slot. A problem with status 429 or
503 is sent only while no upstream can have run the request.
"""

import asyncio
from dataclasses import dataclass, field, replace
from enum import StrEnum

from aiohttp import web

from shallotspindle_bundles.records import Route, Team, WeightedService
from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import ServiceName, TeamName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import caller_connections, checks
from shallotspindle_entry.caller_account import Holding
from shallotspindle_entry.caller_memory import RequestStage
from shallotspindle_gateway import bodies, headers, problems
from shallotspindle_gateway.admission import Admission
from shallotspindle_gateway.bodies import Body, BodyFault
from shallotspindle_gateway.execution import AttemptRecord, ExecutionFailure, Executor
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.forwarding import UpstreamRequest, UpstreamResponse
from shallotspindle_gateway.messages import TokenDenial, TokenGrant
from shallotspindle_gateway.problems import Problem
from shallotspindle_gateway.records import Bounds, Configuration, Settings
from shallotspindle_gateway.response_sizes import ResponseSizes
from shallotspindle_gateway.slot_requester import (
    EVACUATED_RETRY_SECONDS,
    AcquiredSlot,
    SlotRequirements,
)
from shallotspindle_gateway.stopping import StopPlan
from shallotspindle_keys import directory
from shallotspindle_lending.records import Outcome, RefusalReason
from shallotspindle_notices.notices import Obstacle
from shallotspindle_routing import routes

# A withdrawn key must stop working within ``key_withdrawal_seconds``. This fraction of
# that time may pass between the read of the store and the attempt at an upstream.
MAX_KEY_AGE_FRACTION = 0.8
DEFAULT_TIMEOUT_SECONDS = 30.0
# The caller's timeout includes the network delay of the request and of its response.
NETWORK_MARGIN_SECONDS = 0.03
LARGE_BODY_BYTES = 16 * 1024
NO_TEAM = TeamName("")
BODY_PROBLEMS = {
    BodyFault.SLOW: problems.SLOW_CALLER,
    BodyFault.TOO_LARGE: problems.BODY_TOO_LARGE,
    BodyFault.MALFORMED: problems.MALFORMED,
}
# Outcomes after which the upstream certainly did not run the request.
NOT_RUN_OUTCOMES = frozenset({Outcome.MISDIRECTED, Outcome.NOT_CONNECTED, Outcome.SHED})


@dataclass(frozen=True, slots=True)
class Call:
    """A request that passed the checks.

    :param team: team of the key; None on an open route.
    :param arrived_at: time of arrival, as boot-time in seconds.
    :param deadline: when the response must be complete, as boot-time in seconds.
    """

    request: web.BaseRequest
    route: Route
    service: ServiceName
    team: Team | None
    arrived_at: float
    deadline: float

    @property
    def objective_deadline(self) -> float:
        """When a response misses the latency objective, as boot-time in seconds."""
        return self.arrived_at + (self.route.objective or self.route.timeout)


class RequestStep(StrEnum):
    """The last step that a request reached.

    ``SENT`` means that an upstream may have received it.
    """

    CHECKS = "checks"
    BODY = "body"
    TOKEN = "token"
    SLOT = "slot"
    SENT = "sent"


@dataclass(slots=True)
class RequestTrace:
    """What the log line of a request contains.

    :param config_age_seconds: time since the configuration was last confirmed.
    :param step: step at which the request ended.
    :param slot_refusal: reason why no slot was granted, if that ended the request.
    :param attempts: the ended attempts in the order of their end.
    :param passed_over: upstreams that said that they leave or want a pause.
    """

    request_id: str
    config_version: int
    config_age_seconds: float
    route: str = ""
    team: str = ""
    service: str = ""
    slot_refusal: str = ""
    step: RequestStep = RequestStep.CHECKS
    attempts: list[AttemptRecord] = field(default_factory=list)
    passed_over: dict[UpstreamName, Obstacle] = field(default_factory=dict)


@dataclass(slots=True)
class RunningCall:
    """A request that passed all checks.

    :param holding: what is held for the caller; None if it is not counted.
    :param started_attempts: number of attempts so far, including any in progress.
    """

    trace: RequestTrace
    holding: Holding | None = None
    is_idempotent: bool = False
    started_attempts: int = 0

    @property
    def has_yielded(self) -> bool:
        """Whether the request was ended because too much is held for callers."""
        return self.holding is not None and self.holding.usage.has_yielded

    def set_stage(self, stage: RequestStage) -> None:
        """Record how far the request has got."""
        if self.holding is not None:
            self.holding.usage.stage = stage

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may still run it."""
        ended_attempts = self.trace.attempts
        if self.started_attempts > len(ended_attempts):
            return True
        return any(
            attempt.outcome not in NOT_RUN_OUTCOMES for attempt in ended_attempts
        )


def choose_service(route: Route, random: RandomSource) -> ServiceName:
    """Choose a service of the route at random, in proportion to the weights."""
    if not route.split:
        return route.service
    remaining = random.random() * sum(part.weight for part in route.split)
    chosen: WeightedService = route.split[-1]
    for part in route.split:
        remaining -= part.weight
        if remaining < 0:
            return part.service
    return chosen.service


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route whose prefix is the longest match of the path."""
    directory_path = path[: path.rfind("/") + 1]
    route = routes.find_route(configuration.routes, host, directory_path, "")
    return None if isinstance(route, routes.NoRoute) else route


@dataclass(frozen=True, slots=True)
class CallerBodyStatus:
    """Tells the executor whether a request's body can be sent."""

    body: Body
    pipeline: "Pipeline"

    def may_send(self) -> bool:
        """Return whether an attempt may start and would send the whole body."""
        return self.body.is_sendable and not self.pipeline.is_refusing_unsent

    def has_failed(self) -> bool:
        """Return whether the caller failed to send the body."""
        return self.body.has_failed


class Pipeline:
    """Processes requests; apart from those in progress, its tasks hold all state."""

    def __init__(
        self,
        settings: Settings,
        follower: StoreFollower,
        admission: Admission,
        executor: Executor,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._header_names = settings.headers
        self.set_bounds(settings.bounds)
        self._follower = follower
        self._admission = admission
        self._executor = executor
        self._clock = clock
        self._random = random
        self._response_sizes = ResponseSizes(LARGE_BODY_BYTES)
        self._running_calls: dict[
            asyncio.Task[UpstreamResponse | Problem], RunningCall
        ] = {}
        self._stop_plan: StopPlan | None = None
        self._is_refusing_unsent = False

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds to later requests."""
        self._max_key_age_seconds = MAX_KEY_AGE_FRACTION * bounds.key_withdrawal_seconds

    async def serve(
        self, request: web.BaseRequest, trace: RequestTrace
    ) -> UpstreamResponse | Problem:
        """Return the response to a request, and fill in its trace."""
        arrived_at = self._clock.boottime()
        call = self._check(request, trace, arrived_at)
        if isinstance(call, Problem):
            return call
        if self._is_refusing_unsent or not self._admits(call, call.arrived_at):
            return problems.STOPPING
        if self._follower.upstreams.is_service_evacuated(call.service):
            # Before the body is read and a token is taken.
            trace.slot_refusal = RefusalReason.EVACUATED.value
            return replace(problems.NO_SLOT, retry_after=EVACUATED_RETRY_SECONDS)
        running_call = RunningCall(trace, caller_connections.get_holding(request))
        task = asyncio.create_task(self._process(call, running_call))
        self._running_calls[task] = running_call
        task.add_done_callback(self._running_calls.pop)
        caller_connections.begin_request(request, task.cancel)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return self._choose_cancel_problem(running_call)
            # A non-idempotent request that may have run continues after its caller
            # disconnects, since a cancelled one would have an unknown outcome.
            if running_call.is_idempotent or not running_call.may_have_run:
                task.cancel()
            raise

    def _admits(self, call: Call, arrived_at: float) -> bool:
        """Return whether a shutdown leaves time for a request.

        :param arrived_at: when its head or its body was complete, as boot-time in
            seconds.
        """
        return self._stop_plan is None or self._stop_plan.admits(
            arrived_at, call.deadline
        )

    async def _process(
        self, call: Call, running_call: RunningCall
    ) -> UpstreamResponse | Problem:
        running_call.trace.step = RequestStep.BODY
        max_bytes = self._follower.configuration.caller_limits.body_bytes
        await bodies.send_continue(call.request)
        body = await bodies.read_body(call.request, max_bytes)
        if isinstance(body, BodyFault):
            return BODY_PROBLEMS[body]
        try:
            return await self._process_body(call, body, running_call)
        finally:
            body.clear()

    async def _process_body(
        self, call: Call, body: Body, running_call: RunningCall
    ) -> UpstreamResponse | Problem:
        if running_call.holding is not None:
            body.release = running_call.holding.release
        running_call.set_stage(RequestStage.WAITING)
        if not self._admits(call, self._clock.boottime()):
            return problems.STOPPING
        running_call.trace.step = RequestStep.TOKEN
        problem = await self._acquire_token(call)
        if problem is not None:
            return problem
        if call.team is not None and not self.is_fresh():
            return problems.KEYS_NOT_FRESH
        return await self._execute(call, body, running_call)

    def is_fresh(self) -> bool:
        """Return whether the configuration is recent enough to trust its keys."""
        age = self._follower.compute_confirmation_age(self._clock.boottime())
        return age < self._max_key_age_seconds

    def _check(
        self, request: web.BaseRequest, trace: RequestTrace, now: float
    ) -> Call | Problem:
        configuration = self._follower.configuration
        if configuration.bundle.version == 0:
            return problems.NOT_READY
        if checks.find_problem(request) is not None:
            return problems.MALFORMED
        if (
            headers.count_header_bytes(request)
            > configuration.caller_limits.header_bytes
        ):
            return problems.HEADERS_TOO_LARGE
        path = request.raw_path.partition("?")[0]
        host = request.host.partition(":")[0]
        route = find_route(configuration, host, path)
        if route is None:
            return problems.NO_ROUTE
        trace.route = route.name
        team = self._find_team(request, configuration, route)
        if isinstance(team, Problem):
            return team
        trace.team = team.name if team else ""
        timeout = (
            headers.read_timeout(request.headers, self._header_names)
            or DEFAULT_TIMEOUT_SECONDS
        )
        deadline = now + min(timeout - NETWORK_MARGIN_SECONDS, route.timeout)
        service = choose_service(route, self._random)
        trace.service = service
        return Call(request, route, service, team, now, deadline)

    def _find_team(
        self, request: web.BaseRequest, configuration: Configuration, route: Route
    ) -> Team | Problem | None:
        if route.open or not configuration.bundle.teams:
            return None
        if not self.is_fresh():
            return problems.KEYS_NOT_FRESH
        key = headers.read_api_key(request.headers, self._header_names.key_scheme)
        team_name = directory.find_team(configuration.keys, key or "")
        if isinstance(team_name, directory.UnknownKey):
            return problems.UNKNOWN_KEY
        return configuration.bundle.teams[team_name]

    async def _acquire_token(self, call: Call) -> Problem | None:
        if call.team is None:
            return None
        now = self._clock.boottime()
        response = await self._admission.acquire(
            call.team, call.objective_deadline - now, call.deadline - now
        )
        if isinstance(response, TokenGrant):
            return None
        if isinstance(response, TokenDenial):
            wait = response.retry_after
            return replace(problems.RATE_EXCEEDED, retry_after=max(0.05, wait))
        return problems.RATE_UNKNOWN

    async def _execute(
        self, call: Call, body: Body, running_call: RunningCall
    ) -> UpstreamResponse | Problem:
        trace = running_call.trace
        trace.step = RequestStep.SLOT
        requirements = self._build_requirements(call, body, trace)
        running_call.is_idempotent = requirements.is_idempotent
        max_attempts = call.route.attempts if body.is_replayable else 1

        def build_request(
            slot: AcquiredSlot, remaining_seconds: float
        ) -> UpstreamRequest:
            trace.step = RequestStep.SENT
            running_call.started_attempts += 1
            running_call.set_stage(RequestStage.SENT)
            return self._build_upstream_request(call, body, slot, remaining_seconds)

        body_status = CallerBodyStatus(body, self)
        result = await self._executor.run(
            requirements, max_attempts, build_request, body_status, trace.attempts
        )
        if isinstance(result, UpstreamResponse):
            self._response_sizes.record(call.route, len(result.body))
        return self._build_result(result, trace)

    @property
    def is_refusing_unsent(self) -> bool:
        """Whether the graceful shutdown ends too soon to start another attempt."""
        return self._is_refusing_unsent

    @property
    def is_idle(self) -> bool:
        """Whether no request runs, including those whose caller has disconnected."""
        return not self._running_calls

    def begin_stop(self, plan: StopPlan) -> None:
        """Refuse new requests that may run longer than the shutdown."""
        self._stop_plan = plan

    def refuse_unsent(self) -> None:
        """Refuse all requests that no upstream can have run, and new ones.

        The process may exit before their body, token or slot arrives.
        """
        self._is_refusing_unsent = True
        for task, running_call in tuple(self._running_calls.items()):
            if not running_call.may_have_run:
                task.cancel()

    def cancel_running(self) -> None:
        """Cancel all running requests and send their callers a problem.

        Whether an upstream ran them to their end stays unknown.
        """
        for task in tuple(self._running_calls):
            task.cancel()

    @staticmethod
    def _choose_cancel_problem(running_call: RunningCall) -> Problem:
        if running_call.may_have_run:
            return problems.DEADLINE_EXCEEDED
        if running_call.has_yielded:
            return problems.NO_MEMORY
        return problems.STOPPING

    def _build_requirements(
        self, call: Call, body: Body, trace: RequestTrace
    ) -> SlotRequirements:
        request = call.request
        team = call.team.name if call.team else NO_TEAM
        fingerprint = hashing.hash_text(
            team, request.method, request.raw_path, body.compute_digest().hex()
        )
        idempotent = request.method in call.route.idempotent_methods
        priority = call.team.priority if call.team else None
        return SlotRequirements(
            service=call.service,
            is_idempotent=idempotent and body.is_replayable,
            is_retry=False,
            priority=call.route.priority if priority is None else priority,
            has_large_body=len(body.prefix) > LARGE_BODY_BYTES
            or self._response_sizes.is_large(call.route),
            deadline=call.deadline,
            objective_deadline=call.objective_deadline,
            fingerprint=fingerprint,
            route_hash=hashing.hash_text("route", call.route.name),
            passed_over=trace.passed_over,
        )

    def _build_upstream_request(
        self, call: Call, body: Body, slot: AcquiredSlot, remaining_seconds: float
    ) -> UpstreamRequest:
        request = call.request
        team = call.team.name if call.team else NO_TEAM
        upstream_headers = headers.build_upstream_headers(
            request.headers, self._header_names, team, slot.upstream, remaining_seconds
        )
        return UpstreamRequest(
            slot.address,
            request.method,
            request.raw_path,
            upstream_headers,
            body.get_content(),
            remaining_seconds,
            self._follower.upstreams.get_incarnation(slot.upstream),
        )

    @staticmethod
    def _build_result(
        result: UpstreamResponse | ExecutionFailure, trace: RequestTrace
    ) -> UpstreamResponse | Problem:
        if isinstance(result, UpstreamResponse):
            return result
        trace.slot_refusal = result.reason.value if result.reason else ""
        if not result.may_have_run:
            if result.reason is RefusalReason.QUARANTINED:
                return problems.REQUEST_QUARANTINED
            return replace(problems.NO_SLOT, retry_after=result.retry_after)
        if result.outcome is Outcome.TIMED_OUT:
            return problems.DEADLINE_EXCEEDED
        return problems.UPSTREAM_FAILED
