"""Validation of requests: route, API key, deadline and idempotency key."""

import uuid
from dataclasses import dataclass

from aiohttp import web

from shallotspindle_bundles.records import KeyRule, Route
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import TeamName
from shallotspindle_entry import checks, deadlines, headers, problems
from shallotspindle_entry.bodies import Body
from shallotspindle_entry.bundle_loading import Configuration
from shallotspindle_entry.calls import Call
from shallotspindle_entry.interfaces import Freshness
from shallotspindle_entry.problems import Problem
from shallotspindle_keys import directory
from shallotspindle_routing import routes

MAX_IDEMPOTENCY_KEY_LENGTH = 255
NO_TEAM = TeamName("")


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A request that failed validation.

    :param has_idempotency_key: whether the request carries an idempotency key, so that
        an earlier request with the same key may have run.
    """

    problem: Problem
    request_id: str
    has_idempotency_key: bool


class RequestValidator:
    """Turns a request into a call or refuses it, without asking other instances."""

    def __init__(self, clock: Clock, freshness: Freshness) -> None:
        self._clock = clock
        self._freshness = freshness

    def validate(
        self, request: web.Request, configuration: Configuration
    ) -> Call | RejectedRequest:
        """Return the call, or the rejected request with its first problem."""
        request_id = uuid.uuid4().hex
        has_idempotency_key = headers.IDEMPOTENCY_KEY in request.headers
        decision = self._validate(request, configuration, request_id)
        if isinstance(decision, Problem):
            return RejectedRequest(decision, request_id, has_idempotency_key)
        return decision

    def _validate(
        self, request: web.Request, configuration: Configuration, request_id: str
    ) -> Call | Problem:
        problem = checks.find_problem(request)
        if problem is not None:
            return problem
        if configuration.bundle.version == 0:
            return problems.NOT_READY
        host = request.host.partition(":")[0]
        route = routes.find_route(
            configuration.routes, host, request.path, request.method
        )
        if isinstance(route, routes.NoRoute):
            return problems.NO_ROUTE
        team = self._find_team(request, configuration, route)
        if isinstance(team, Problem):
            return team
        return self._build_call(request, route, team, request_id)

    def _find_team(
        self, request: web.Request, configuration: Configuration, route: Route
    ) -> TeamName | Problem:
        if route.open:
            return route.team or NO_TEAM
        if not self._freshness.is_fresh(self._clock.boottime()):
            return problems.KEYS_NOT_FRESH
        api_key = headers.read_bearer_key(request.headers)
        result = directory.find_team(configuration.keys, api_key or "")
        return (
            problems.UNKNOWN_KEY if isinstance(result, directory.UnknownKey) else result
        )

    def _build_call(
        self, request: web.Request, route: Route, team: TeamName, request_id: str
    ) -> Call | Problem:
        is_idempotent = request.method in route.idempotent_methods
        keys = request.headers.getall(headers.IDEMPOTENCY_KEY, ())
        if len(keys) > 1 or any(
            not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH for key in keys
        ):
            return problems.BAD_IDEMPOTENCY_KEY
        if not keys and not is_idempotent and route.idempotency_key is KeyRule.REQUIRED:
            return problems.IDEMPOTENCY_KEY_REQUIRED
        timeout = request.headers.get(deadlines.TIMEOUT_HEADER)
        seconds = deadlines.parse_timeout(timeout, route.timeout)
        if seconds is None:
            return problems.BAD_TIMEOUT
        return Call(
            request_id=request_id,
            route=route,
            team=team,
            method=request.method,
            target=request.raw_path,
            idempotency_key=keys[0] if keys else "",
            is_idempotent=is_idempotent,
            deadline=self._clock.boottime() + seconds,
            body=Body(request),
        )
