"""HTTP servers for callers, and for readiness checks and metrics."""

import asyncio
import socket
import weakref
from collections.abc import Callable
from typing import Any

from absl import logging
from aiohttp import web
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_entry import caller_connections
from shallotspindle_entry.caller_account import CallerAccount
from shallotspindle_entry.caller_connections import CallerConnection, ConnectionLimits
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_gateway import headers, problems
from shallotspindle_gateway.buffered_responses import BufferedResponses
from shallotspindle_gateway.forwarding import UpstreamResponse
from shallotspindle_gateway.pipeline import Pipeline, RequestTrace
from shallotspindle_gateway.problems import Problem
from shallotspindle_gateway.records import Settings
from shallotspindle_gateway.reporting import Reporter

# Callers may reuse a connection until just before the idle limit. A close exactly at
# the limit could race with their next request.
IDLE_MARGIN_SECONDS = 1.0
# Size of the unread body data per connection; every caller may fill it at once.
READ_BUFFER_BYTES = 4 * 1024
# Size of the kernel's buffer for a connection, and thus of what is received at once.
RECEIVE_BUFFER_BYTES = 32 * 1024
# The request line may be as long as the header lines together.
MAX_HEAD_RATIO = 2
MAX_BLANK_BYTES = 8 * 1024
LISTEN_BACKLOG = 1024
IDLE_CHECK_INTERVAL_SECONDS = 0.02
ACCEPT_GRACE_SECONDS = 0.05
ABORTED_LOG_INTERVAL_SECONDS = 10.0
# Largest part of a response that the transport of its caller may copy at once.
WRITE_BYTES = 64 * 1024
# Memory that the head of a response takes.
HEAD_BYTES = 4 * 1024


def build_error_response(is_malformed: bool) -> web.Response:
    """Return the response to a request that never reached a handler or made it fail."""
    problem = problems.MALFORMED if is_malformed else problems.INTERNAL
    return problems.build_response(problem, {})


class BufferedResponse(web.Response):
    """Response whose body is counted as buffered until its caller has read it."""

    def count(self, buffered: BufferedResponses, request: web.BaseRequest) -> None:
        """Count the body; the connection is aborted if there is no room for it."""
        number = buffered.create_number()
        # The head makes it larger than a response of the same length that arrives, so
        # that the one whose caller does not read makes room for the other.
        size = len(self.body) + HEAD_BYTES
        # Also runs if the connection ends before the response is written.
        self._release = weakref.finalize(self, buffered.release, number)

        def abort() -> None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "aborted a response of %d bytes whose caller had not read it",
                ABORTED_LOG_INTERVAL_SECONDS,
                size,
            )
            if request.transport is not None:
                request.transport.abort()

        buffered.set_size(number, size, abort)

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body in parts, since the transport copies what it cannot send."""
        try:
            if self.body is not None and len(self.body) > WRITE_BYTES:
                await self._write_parts(memoryview(self.body))
            await super().write_eof(data)
        finally:
            # The connection refers to its last response until its next request.
            self.body = None
            self._release()

    async def _write_parts(self, body: memoryview) -> None:
        for start in range(0, len(body), WRITE_BYTES):
            await self.write(body[start : start + WRITE_BYTES])
        self.body = None


class Frontend(Service):
    """Owns the callers' sockets and hands each request to the pipeline.

    :param listener: listening socket for callers.
    :param buffered: bounds the responses that wait for callers.
    :param account: counts all that is held for callers.
    """

    def __init__(
        self,
        settings: Settings,
        pipeline: Pipeline,
        lifecycle: Lifecycle,
        reporter: Reporter,
        clock: Clock,
        listener: socket.socket,
        buffered: BufferedResponses,
        account: CallerAccount,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._buffered = buffered
        self._account = account
        self._header_names = settings.headers
        self._pipeline = pipeline
        self._lifecycle = lifecycle
        self._reporter = reporter
        self._clock = clock
        self._listener = listener

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._http_server = web.Server(self.serve, handler_cancellation=True, loop=loop)
        # Accepted connections inherit it.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._server = await loop.create_server(
            self._create_connection, sock=self._listener, backlog=LISTEN_BACKLOG
        )

    def _create_connection(self) -> CallerConnection:
        limits = self._reporter.follower.configuration.caller_limits
        connection = ConnectionLimits(
            header_timeout_seconds=limits.header_seconds,
            max_header_line_bytes=limits.header_bytes,
            idle_timeout_seconds=limits.idle_seconds + IDLE_MARGIN_SECONDS,
            read_buffer_bytes=READ_BUFFER_BYTES,
            max_head_bytes=MAX_HEAD_RATIO * limits.header_bytes + MAX_BLANK_BYTES,
        )
        return caller_connections.create_connection(
            self._http_server, connection, build_error_response, self._account
        )

    async def close_listener(self) -> None:
        """Stop accepting connections; open ones stay.

        Waits until the requests of the connections accepted last could be read.
        """
        self._server.close()
        await asyncio.sleep(ACCEPT_GRACE_SECONDS)

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress."""
        for connection in self._http_server.connections:
            if connection.is_idle:
                connection.force_close()

    def close_partial_requests(self) -> None:
        """Send 408 and close the connections whose request headers are incomplete."""
        for connection in self._http_server.connections:
            connection.close_partial_request()

    async def wait_until_idle(self, deadline: float) -> bool:
        """Wait until no request is received or runs and all responses are delivered.

        Requests that continue after their caller disconnected are waited for too.

        :param deadline: when to give up, as boot-time in seconds.
        :returns: whether all were done in time.
        """
        while not self._is_idle():
            remaining_seconds = deadline - self._clock.boottime()
            if remaining_seconds <= 0:
                return False
            await asyncio.sleep(min(remaining_seconds, IDLE_CHECK_INTERVAL_SECONDS))
        return True

    def _is_idle(self) -> bool:
        idle = all(connection.is_idle for connection in self._http_server.connections)
        return idle and self._pipeline.is_idle

    async def stop(self, exception: Exception | None = None) -> None:
        self._server.close()
        await self._http_server.shutdown(0.1)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request, and log and count it."""
        started_at = self._clock.boottime()
        follower = self._reporter.follower
        trace = RequestTrace(
            request.headers.get(self._header_names.request_id, ""),
            follower.configuration.bundle.version,
            follower.compute_confirmation_age(started_at),
        )
        self._lifecycle.begin_request()
        result: UpstreamResponse | Problem | None = None
        try:
            result = await self._pipeline.serve(request, trace)
        finally:
            self._lifecycle.end_request()
            duration_seconds = self._clock.boottime() - started_at
            self._reporter.report(trace, result, duration_seconds)
            caller_connections.finish_request(request)
        response = self._build_response(request, result, trace)
        if self._lifecycle.stage is not Stage.RUNNING or result is problems.NO_MEMORY:
            response.force_close()
        return response

    def _build_response(
        self,
        request: web.BaseRequest,
        result: UpstreamResponse | Problem,
        trace: RequestTrace,
    ) -> web.StreamResponse:
        if isinstance(result, Problem):
            return problems.build_response(
                result, {self._header_names.request_id: trace.request_id}
            )
        response_headers = headers.build_caller_headers(result.headers)
        response = BufferedResponse(
            status=result.status,
            reason=result.reason,
            headers=response_headers,
            body=result.body,
        )
        response.count(self._buffered, request)
        return response


class ProbeServer(Service):
    """Serves readiness checks, the metrics and the state for operators.

    :param path: path of the readiness check.
    :param is_ready: returns whether the load balancer should send connections.
    :param reporter: renders the metrics and the state.
    """

    def __init__(
        self,
        path: str,
        listeners: tuple[socket.socket, ...],
        is_ready: Callable[[], bool],
        reporter: Reporter,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._path = path
        self._listeners = listeners
        self._is_ready = is_ready
        self._reporter = reporter

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._http_server = web.Server(self._serve, loop=loop, access_log=None)
        self._servers = [
            await loop.create_server(self._http_server, sock=listener)
            for listener in self._listeners
        ]

    async def stop(self, exception: Exception | None = None) -> None:
        for server in self._servers:
            server.close()
        await self._http_server.shutdown(0.1)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            body, metric_headers = self._reporter.render()
            return web.Response(body=body, headers=metric_headers)
        if request.path == "/state":
            state = self._reporter.describe_state()
            return web.json_response({**state, "ready": self._is_ready()})
        if request.path != self._path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
