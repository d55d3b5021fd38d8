"""Upstreams that record the requests they execute and simulate gray failures."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from functools import partial

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_soak.records import Execution, History, Rejection

SERVICE_TIME_SECONDS = 0.03
HANG_SECONDS = 30.0
PAUSE_SECONDS = 2.5
# Length of the response to a small request, in digests of 64 bytes.
SMALL_RESPONSE_DIGESTS = 20
MAX_BODY_BYTES = 8 * 1024 * 1024
# An endless response grows by 100 MB/s. All upstreams run in one process, so a faster
# one would delay the others.
CHUNK_BYTES = 512 * 1024
CHUNK_INTERVAL_SECONDS = 0.005


class UpstreamMode(StrEnum):
    """How an upstream responds.

    TRUNCATED_RESPONSE closes the connection after 100 bytes of the body.
    WRONG_RESPONSE is the response to another request, or by turns the page of another
    server. SHED refuses without execution, and PAUSE asks for a pause with it.
    """

    NORMAL = "whole"
    HANG = "hang"
    ERRORS = "errors"
    TRUNCATED_RESPONSE = "break"
    WRONG_RESPONSE = "cross"
    SHED = "shed"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"
    PAUSE = "pause"


FOREIGN_PAGE = b"<html>It works!</html>"
ENDLESS_RESPONSE_START = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
ENDLESS_CHUNKS = {
    UpstreamMode.ENDLESS_HEAD: b"X-Filler: 0123456789abcdef\r\n" * (CHUNK_BYTES // 28),
    UpstreamMode.ENDLESS_BODY: b"\r\n" + bytes(CHUNK_BYTES),
}


def build_response_body(
    request_id: str, body: bytes, digest_count: int = SMALL_RESPONSE_DIGESTS
) -> bytes:
    """Return the only correct response body for a request.

    :param digest_count: length of the response, in digests of 64 bytes.
    """
    digest = hashlib.sha256(request_id.encode() + body).hexdigest()
    return digest.encode() * digest_count


class FakeUpstream:
    """An upstream that owns its listening socket and records its executions."""

    def __init__(
        self, name: str, header_names: HeaderNames, history: History, clock: Clock
    ) -> None:
        self.name = name
        self.mode = UpstreamMode.NORMAL
        self.is_leaving = False
        # Counts the starts; a restart keeps the name and the address.
        self.incarnation = 0
        self.service_time_seconds = SERVICE_TIME_SECONDS
        self._header_names = header_names
        self._history = history
        self._clock = clock
        self._request_count = 0

    async def start(self) -> tuple[str, int]:
        """Start to listen and return the host and port."""
        loop = asyncio.get_running_loop()
        self._server = web.Server(
            self.handle,
            access_log=None,
            handler_cancellation=True,
            request_factory=partial(
                web.BaseRequest, loop=loop, client_max_size=MAX_BODY_BYTES
            ),
        )
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        return self._listener.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._listener.close()
        await self._server.shutdown(0.1)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Execute one request and respond as the mode demands."""
        header_names = self._header_names
        body = await request.read()
        request_id = request.headers.get(header_names.request_id, "")
        if request.headers.get(header_names.target, self.name) != self.name:
            named = {header_names.request_id: request_id}
            return web.Response(status=421, headers=named)
        self._request_count += 1
        # In a gray failure some requests still succeed: here, every fourth.
        mode = self.mode if self._request_count % 4 else UpstreamMode.NORMAL
        if self.mode is UpstreamMode.PAUSE:
            return self._reject(request_id, PAUSE_SECONDS)
        if mode is UpstreamMode.SHED:
            return self._reject(request_id)
        async with self._record_execution(request, request_id, len(body)):
            await asyncio.sleep(self.service_time_seconds)
            if mode is UpstreamMode.HANG:
                await asyncio.sleep(HANG_SECONDS)
            if mode in ENDLESS_CHUNKS:
                await self._send_endless_response(request, ENDLESS_CHUNKS[mode])
        return await self._respond(request, request_id, body, mode)

    def _reject(self, request_id: str, pause_seconds: float = 0.0) -> web.Response:
        """Return a refusal without execution.

        :param pause_seconds: time for which no request is wanted; 0 if it says nothing.
        """
        rejection = Rejection(
            request_id, self.name, self._clock.boottime(), pause_seconds
        )
        self._history.rejections.append(rejection)
        headers = {
            self._header_names.request_id: request_id,
            self._header_names.not_run: "1",
        }
        if pause_seconds:
            headers["Retry-After"] = f"{pause_seconds}"
        return web.Response(status=503, headers=headers)

    @asynccontextmanager
    async def _record_execution(
        self, request: web.BaseRequest, request_id: str, body_bytes: int
    ) -> AsyncIterator[None]:
        team = request.headers.get(self._header_names.team, "")
        has_key = "Authorization" in request.headers
        now = self._clock.boottime()
        execution = Execution(
            request_id,
            self.name,
            team,
            has_key,
            now,
            body_bytes=body_bytes,
            incarnation=self.incarnation,
            said_leaving=self.is_leaving,
        )
        self._history.executions.append(execution)
        try:
            yield
        finally:
            execution.ended_at = self._clock.boottime()

    async def _respond(
        self, request: web.BaseRequest, request_id: str, body: bytes, mode: UpstreamMode
    ) -> web.StreamResponse:
        header_names = self._header_names
        headers = {
            header_names.request_id: request_id,
            header_names.signature: self.name,
        }
        if self.is_leaving:
            headers[header_names.leaving] = "1"
        if mode is UpstreamMode.ERRORS:
            return web.Response(status=500, headers=headers)
        if mode is UpstreamMode.WRONG_RESPONSE:
            if self._request_count % 2:
                return web.Response(body=FOREIGN_PAGE)
            request_id = headers[header_names.request_id] = "another"
        digest_count = int(request.path.rpartition("/")[2])
        response_body = build_response_body(request_id, body, digest_count)
        if mode is UpstreamMode.TRUNCATED_RESPONSE:
            return await self._send_partial_response(request, headers, response_body)
        return web.Response(body=response_body, headers=headers)

    @staticmethod
    async def _send_endless_response(request: web.BaseRequest, chunk: bytes) -> None:
        """Send data until the peer closes the connection, which cancels this task."""
        transport = request.transport
        transport.write(ENDLESS_RESPONSE_START)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < CHUNK_BYTES:
                transport.write(chunk)
            await asyncio.sleep(CHUNK_INTERVAL_SECONDS)

    @staticmethod
    async def _send_partial_response(
        request: web.BaseRequest, headers: dict[str, str], response_body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_length = len(response_body)
        await response.prepare(request)
        await response.write(response_body[:100])
        request.transport.abort()
        return response
