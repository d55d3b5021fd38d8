"""HTTP server for callers, and the answers to readiness checks and for metrics."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from absl import logging
from aiohttp import web, web_protocol
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_gateway import headers, refusals
from shallotspindle_gateway.forwarding import Answer
from shallotspindle_gateway.pipeline import Pipeline, Trace
from shallotspindle_gateway.records import Settings
from shallotspindle_gateway.refusals import Refusal
from shallotspindle_gateway.reporting import Reporter

HEADER_BYTES = 16_384
KEEPALIVE_SECONDS = 30.0
BACKLOG = 1024


class CallerProtocol(web_protocol.RequestHandler):
    """Connection of a caller that answers malformed requests as problems."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has already begun")
        malformed = 400 <= status < 500
        if not malformed:
            logging.error("a request failed: %r", exc)
        refusal = refusals.MALFORMED if malformed else refusals.INTERNAL
        response = refusals.build_response(refusal, {})
        response.force_close()
        return response


class Frontend(Service):
    """Owns the callers' sockets and hands each request to the pipeline.

    :param listener: listening socket for callers.
    """

    def __init__(
        self,
        settings: Settings,
        pipeline: Pipeline,
        lifecycle: Lifecycle,
        reporter: Reporter,
        clock: Clock,
        listener: socket.socket,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._names = settings.headers
        self._pipeline = pipeline
        self._lifecycle = lifecycle
        self._reporter = reporter
        self._clock = clock
        self._listener = listener

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._web = web.Server(self.serve, handler_cancellation=True, loop=loop)
        self._server = await loop.create_server(
            self._accept, sock=self._listener, backlog=BACKLOG
        )

    def _accept(self) -> asyncio.Protocol:
        return CallerProtocol(
            self._web,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            lingering_time=2.0,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
            auto_decompress=False,
        )

    async def close_listener(self) -> None:
        """Accept no more connections; those that are open stay."""
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in work."""
        for connection in self._web.connections:
            if not self._is_busy(connection):
                connection.force_close()

    @staticmethod
    def _is_busy(connection: web_protocol.RequestHandler) -> bool:
        waiting = connection._waiter is not None and not connection._messages
        return not waiting

    async def stop(self, exception: Exception | None = None) -> None:
        self._server.close()
        await self._web.shutdown(0.1)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, log and count it."""
        started = self._clock.boottime()
        follower = self._reporter.follower
        trace = Trace(
            request.headers.get(self._names.request_id, ""),
            follower.deployment.bundle.version,
            follower.find_age(started),
        )
        self._lifecycle.enter()
        result: Answer | Refusal | None = None
        try:
            result = await self._pipeline.serve(request, trace)
        finally:
            self._lifecycle.leave()
            seconds = self._clock.boottime() - started
            self._reporter.report(trace, result, seconds)
        response = self._build_response(result, trace)
        if self._lifecycle.stage is not Stage.RUNNING:
            response.force_close()
        return response

    def _build_response(
        self, result: Answer | Refusal, trace: Trace
    ) -> web.StreamResponse:
        if isinstance(result, Refusal):
            return refusals.build_response(
                result, {self._names.request_id: trace.request_id}
            )
        kept = headers.build_caller_headers(result.headers)
        return web.Response(
            status=result.status, reason=result.reason, headers=kept, body=result.body
        )


class Probes(Service):
    """Answers readiness checks and serves the metrics.

    :param is_ready: tells whether the balancer should send connections.
    """

    def __init__(
        self,
        path: str,
        listeners: tuple[socket.socket, ...],
        is_ready: Callable[[], bool],
        render: Callable[[], tuple[bytes, dict[str, str]]],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._path = path
        self._listeners = listeners
        self._is_ready = is_ready
        self._render = render

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._web = web.Server(self._serve, loop=loop, access_log=None)
        self._servers = [
            await loop.create_server(self._web, sock=listener)
            for listener in self._listeners
        ]

    async def stop(self, exception: Exception | None = None) -> None:
        for server in self._servers:
            server.close()
        await self._web.shutdown(0.1)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            body, fields = self._render()
            return web.Response(body=body, headers=fields)
        if request.path != self._path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
