"""HTTP server for callers."""

import asyncio
import socket
import ssl
import uuid
from typing import Any

from absl import logging
from aiohttp import web
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_entry import caller_connections, problems
from shallotspindle_entry.caller_connections import CallerConnection, ConnectionLimits
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_entry.pipeline import CALL_KEY, PROBLEM_KEY, Pipeline
from shallotspindle_entry.stopping import StopPlan
from shallotspindle_telemetry.metrics import RequestMetrics

HEADER_TIMEOUT_SECONDS = 10.0
KEEPALIVE_TIMEOUT_SECONDS = 75.0
READ_BUFFER_BYTES = 64 * 1024
MAX_HEADER_LINE_BYTES = 8190
IDLE_CHECK_INTERVAL_SECONDS = 0.02


def build_error_response(is_malformed: bool) -> web.Response:
    """Return the answer to a request that no handler served."""
    problem = problems.MALFORMED if is_malformed else problems.INTERNAL
    return problems.build_response(problem, uuid.uuid4().hex)


class Frontend(Service):
    """Owns the callers' sockets and hands each request to the pipeline.

    :param listener: listening socket.
    :param tls: context for TLS, or None for plain HTTP.
    """

    def __init__(
        self,
        pipeline: Pipeline,
        lifecycle: Lifecycle,
        metrics: RequestMetrics,
        clock: Clock,
        listener: socket.socket,
        tls: ssl.SSLContext | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._pipeline = pipeline
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._clock = clock
        self._listener = listener
        self._tls = tls
        # Connections that the planned stop closed; they end a little later.
        self._closed: set[CallerConnection] = set()

    async def start(self) -> None:
        application = web.Application(client_max_size=0)
        application.router.add_route("*", "/{path:.*}", self.serve)
        self._runner = web.AppRunner(application, handler_cancellation=True)
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, sock=self._listener, ssl=self._tls, backlog=1024
        )

    async def drain(self, wait_seconds: float, limit_seconds: float) -> None:
        """Serve callers until every answer has left, then let the stop go on.

        :param wait_seconds: time until the balancer knows of the stop.
        :param limit_seconds: time from then until what still runs is answered.
        """
        plan = StopPlan(self._clock.boottime() + wait_seconds, limit_seconds)
        self._pipeline.begin_stop(plan)
        self._lifecycle.stage = Stage.STOPPING
        await asyncio.sleep(wait_seconds)
        self._server.close()
        self._lifecycle.stage = Stage.CLOSED
        if not await self._close_connections(plan.refuses_at):
            self._refuse_unsent()
        if not await self._close_connections(plan.ends_at):
            logging.warning("%d requests are cut", self._lifecycle.running_requests)
            self._pipeline.cancel_running()
        if not await self._close_connections(plan.exits_at):
            logging.warning("answers are still on their way to callers")

    def _refuse_unsent(self) -> None:
        """Answer whatever no upstream can have run."""
        self._pipeline.refuse_unsent()
        for connection in self._list_open():
            connection.close_partial_request()

    @property
    def is_idle(self) -> bool:
        """Whether no request arrives or runs and every answer has left."""
        idle = all(connection.is_idle for connection in self._list_open())
        return idle and not self._lifecycle.running_requests

    def _list_open(self) -> set[CallerConnection]:
        return set(self._runner.server.connections) - self._closed

    async def _close_connections(self, until: float) -> bool:
        """Close each connection when it is idle.

        :param until: when to give up, in seconds.
        :returns: whether all were idle before that.
        """
        self._close_idle()
        while not self.is_idle:
            left = until - self._clock.boottime()
            if left <= 0:
                return False
            await asyncio.sleep(min(left, IDLE_CHECK_INTERVAL_SECONDS))
            self._close_idle()
        return True

    def _close_idle(self) -> None:
        for connection in self._list_open():
            if connection.is_idle:
                connection.force_close()
                self._closed.add(connection)

    async def stop(self, exception: Exception | None = None) -> None:
        self._server.close()
        await self._runner.cleanup()

    def _accept(self) -> CallerConnection:
        limits = ConnectionLimits(
            header_timeout_seconds=HEADER_TIMEOUT_SECONDS,
            max_header_line_bytes=MAX_HEADER_LINE_BYTES,
            idle_timeout_seconds=KEEPALIVE_TIMEOUT_SECONDS,
            read_buffer_bytes=READ_BUFFER_BYTES,
            first_request_timeout_seconds=HEADER_TIMEOUT_SECONDS,
        )
        return caller_connections.create_connection(
            self._runner.server, limits, build_error_response
        )

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer one request and count it."""
        self._lifecycle.begin_request()
        try:
            response = await self._pipeline.serve(request)
        finally:
            self._lifecycle.end_request()
        if self._lifecycle.stage is not Stage.RUNNING:
            response.force_close()
        call = request.get(CALL_KEY)
        problem = request.get(PROBLEM_KEY)
        self._metrics.count(
            route=call.route.name if call else "",
            status=response.status,
            kind=problem.kind if problem else "",
        )
        return response
