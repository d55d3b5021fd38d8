"""Serves callers: takes a request through the decisions and streams the answer."""

import uuid
from collections.abc import Sequence
from typing import Any

import aiohttp
from aiohttp import web
from aiomisc.service.aiohttp import AIOHTTPService

from shallotspindle_bundles.records import Route, Upstream
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import headers, problems
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.problems import Outcome, Problem
from shallotspindle_keys import directory
from shallotspindle_routing import choice, routes

STREAM_CHUNK_BYTES = 64 * 1024

NOT_READY = Problem(
    503, "not-ready", "No bundle is in force yet", Outcome.NOT_RUN, retry_after=1
)
NO_ROUTE = Problem(404, "no-route", "No route matches", Outcome.NOT_RUN)
NO_KEY = Problem(401, "unknown-key", "The key is not accepted", Outcome.NOT_RUN)
NO_UPSTREAM = Problem(
    503, "no-upstream", "No upstream is available", Outcome.NOT_RUN, retry_after=1
)
UPSTREAM_FAILED = Problem(
    502, "upstream-failed", "The upstream did not answer", Outcome.UNKNOWN, True
)


class Frontend(AIOHTTPService):
    """HTTP server for callers."""

    def __init__(
        self,
        configuration: ConfigurationTask,
        forwarder: Forwarder,
        random: RandomSource,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._configuration = configuration
        self._forwarder = forwarder
        self._random = random

    async def create_application(self) -> web.Application:
        application = web.Application(client_max_size=0)
        application.router.add_route("*", "/{path:.*}", self.serve)
        return application

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer one request."""
        request_id = uuid.uuid4().hex
        decided = self._decide(request)
        if isinstance(decided, Problem):
            return problems.build_response(decided, request_id)
        route, upstream = decided
        return await self._forward(request, route, upstream, request_id)

    def _decide(self, request: web.Request) -> tuple[Route, Upstream] | Problem:
        current = self._configuration.current
        if current.bundle.version == 0:
            return NOT_READY
        host = request.host.partition(":")[0]
        route = routes.match(current.routes, host, request.path, request.method)
        if isinstance(route, routes.NoRoute):
            return NO_ROUTE
        key = headers.read_key(request.headers)
        if not route.open:
            team = directory.find_team(current.keys, key or "")
            if isinstance(team, directory.UnknownKey):
                return NO_KEY
        candidates = self._list_candidates(route)
        upstream = choice.choose(candidates, self._forwarder.in_flight, self._random)
        if isinstance(upstream, choice.NoUpstream):
            return NO_UPSTREAM
        return route, upstream

    def _list_candidates(self, route: Route) -> Sequence[Upstream]:
        services = self._configuration.current.bundle.services
        return [item for item in services[route.service].upstreams if not item.draining]

    async def _forward(
        self, request: web.Request, route: Route, upstream: Upstream, request_id: str
    ) -> web.StreamResponse:
        sent = headers.build_upstream_headers(
            request.headers, request.host, request.remote or "unknown", request_id
        )
        body = request.content.iter_chunked(STREAM_CHUNK_BYTES)
        data = body if request.body_exists else None
        response: web.StreamResponse | None = None
        try:
            async with self._forwarder.open(
                upstream, request.method, request.raw_path, sent, data, route.timeout
            ) as answer:
                response = web.StreamResponse(
                    status=answer.status,
                    reason=answer.reason,
                    headers=headers.copy_end_to_end(answer.headers),
                )
                response.headers["X-Request-Id"] = request_id
                await response.prepare(request)
                async for chunk in answer.content.iter_chunked(STREAM_CHUNK_BYTES):
                    await response.write(chunk)
                await response.write_eof()
        except (aiohttp.ClientError, TimeoutError):
            if response is None or not response.prepared:
                return problems.build_response(UPSTREAM_FAILED, request_id)
            # A truncated answer must not end like a whole one.
            if request.transport is not None:
                request.transport.abort()
        return response
