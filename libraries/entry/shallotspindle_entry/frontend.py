"""HTTP server for callers."""

import asyncio
import socket
import ssl
import uuid
from typing import Any

from absl import logging
from aiohttp import hdrs, web
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_entry import caller_connections, caller_memory, problems
from shallotspindle_entry.caller_account import CallerAccount
from shallotspindle_entry.caller_connections import CallerConnection, ConnectionLimits
from shallotspindle_entry.caller_memory import MemoryLimits
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_entry.pipeline import CALL_KEY, PROBLEM_KEY, Pipeline
from shallotspindle_entry.stopping import StopPlan
from shallotspindle_telemetry.metrics import RequestMetrics

HEADER_TIMEOUT_SECONDS = 10.0
KEEPALIVE_TIMEOUT_SECONDS = 75.0
READ_BUFFER_BYTES = 4 * 1024
# Size of the kernel's buffer for a connection, and thus of what is received at once.
RECEIVE_BUFFER_BYTES = 32 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADER_LINE_BYTES = 8190
IDLE_CHECK_INTERVAL_SECONDS = 0.02


def build_error_response(is_malformed: bool) -> web.Response:
    """Return the response to a request that no handler served."""
    problem = problems.MALFORMED if is_malformed else problems.INTERNAL
    return problems.build_response(problem, uuid.uuid4().hex)


class Frontend(Service):
    """Owns the callers' sockets and passes each request to the pipeline.

    :param tls: TLS context, or None for plain HTTP.
    :param memory_limits: limits on what is held for callers.
    """

    def __init__(
        self,
        pipeline: Pipeline,
        lifecycle: Lifecycle,
        metrics: RequestMetrics,
        clock: Clock,
        listener: socket.socket,
        tls: ssl.SSLContext | None = None,
        memory_limits: MemoryLimits = caller_memory.DEFAULT_LIMITS,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._pipeline = pipeline
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._clock = clock
        self._listener = listener
        self._tls = tls
        self._account = CallerAccount(memory_limits, clock)
        # Connections that the shutdown closed but that the server still lists.
        self._closed_connections: set[CallerConnection] = set()

    async def start(self) -> None:
        application = web.Application(client_max_size=0)
        application.router.add_route("*", "/{path:.*}", self.serve)
        application.on_response_prepare.append(self._announce_close)
        self._runner = web.AppRunner(application, handler_cancellation=True)
        await self._runner.setup()
        # Accepted connections inherit it.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, sock=self._listener, ssl=self._tls, backlog=1024
        )

    async def drain(self, wait_seconds: float, limit_seconds: float) -> None:
        """Run the graceful shutdown: return once every response was sent.

        :param wait_seconds: time until the load balancer has learned of the shutdown.
        :param limit_seconds: time from then until running requests are cancelled.
        """
        plan = StopPlan(self._clock.boottime() + wait_seconds, limit_seconds)
        self._pipeline.begin_stop(plan)
        self._lifecycle.stage = Stage.STOPPING
        await asyncio.sleep(wait_seconds)
        self._server.close()
        self._lifecycle.stage = Stage.CLOSED
        if not await self._close_connections_when_idle(plan.refuse_unsent_at):
            self._refuse_unsent_requests()
        if not await self._close_connections_when_idle(plan.cancel_at):
            logging.warning(
                "%d running requests are cancelled", self._lifecycle.running_requests
            )
            self._pipeline.cancel_running()
        if not await self._close_connections_when_idle(plan.exit_at):
            logging.warning(
                "shutdown continues before all responses were sent to their callers"
            )

    def _refuse_unsent_requests(self) -> None:
        """Refuse the requests that no upstream can have run."""
        self._pipeline.refuse_unsent()
        for connection in self._list_open_connections():
            connection.close_partial_request()

    @property
    def is_idle(self) -> bool:
        """Whether no request is arriving or running and every response was sent."""
        is_idle = all(
            connection.is_idle for connection in self._list_open_connections()
        )
        return is_idle and not self._lifecycle.running_requests

    def _list_open_connections(self) -> set[CallerConnection]:
        return set(self._runner.server.connections) - self._closed_connections

    async def _close_connections_when_idle(self, give_up_at: float) -> bool:
        """Close each connection once it is idle.

        :param give_up_at: when to stop waiting, as boot-time in seconds.
        :returns: whether all connections were idle by then.
        """
        self._close_idle_connections()
        while not self.is_idle:
            remaining_seconds = give_up_at - self._clock.boottime()
            if remaining_seconds <= 0:
                return False
            await asyncio.sleep(min(remaining_seconds, IDLE_CHECK_INTERVAL_SECONDS))
            self._close_idle_connections()
        return True

    def _close_idle_connections(self) -> None:
        for connection in self._list_open_connections():
            if connection.is_idle:
                connection.force_close()
                self._closed_connections.add(connection)

    async def stop(self, exception: Exception | None = None) -> None:
        self._server.close()
        await self._runner.cleanup()

    def _create_connection(self) -> CallerConnection:
        limits = ConnectionLimits(
            header_timeout_seconds=HEADER_TIMEOUT_SECONDS,
            max_header_line_bytes=MAX_HEADER_LINE_BYTES,
            idle_timeout_seconds=KEEPALIVE_TIMEOUT_SECONDS,
            read_buffer_bytes=READ_BUFFER_BYTES,
            first_request_timeout_seconds=HEADER_TIMEOUT_SECONDS,
            max_head_bytes=MAX_HEAD_BYTES,
        )
        return caller_connections.create_connection(
            self._runner.server, limits, build_error_response, self._account
        )

    async def _announce_close(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Close the connection after a response that begins during a shutdown.

        One that began earlier did not say so; the connection closes when it is idle, or
        after the next response.
        """
        if self._lifecycle.stage is not Stage.RUNNING:
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one request and record it in the metrics."""
        self._lifecycle.begin_request()
        caller_connections.begin_request(request, request.protocol.force_close)
        try:
            response = await self._pipeline.serve(request)
        finally:
            self._lifecycle.end_request()
            caller_connections.finish_request(request)
        call = request.get(CALL_KEY)
        problem = request.get(PROBLEM_KEY)
        self._metrics.count_response(
            route=call.route.name if call else "",
            status=response.status,
            kind=problem.kind if problem else "",
        )
        return response
