"""Upstreams that record what they run and fail in gray ways."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from functools import partial

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_soak.records import History, Run

WORK_SECONDS = 0.03
HANG_SECONDS = 30.0
# Length of the answer to a small request, in digests of 64 bytes.
SMALL_DIGESTS = 20
LARGEST_BODY_BYTES = 8 * 1024 * 1024
# An endless answer grows by 100 MB a second. One process plays all upstreams, so that
# more would delay the others.
PIECE_BYTES = 512 * 1024
PIECE_SECONDS = 0.005


class Mode(StrEnum):
    """How an upstream answers."""

    WHOLE = "whole"
    HANG = "hang"
    ERRORS = "errors"
    BREAK = "break"
    CROSS = "cross"
    SHED = "shed"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"


ENDLESS_START = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
ENDLESS_PIECES = {
    Mode.ENDLESS_HEAD: b"X-Filler: 0123456789abcdef\r\n" * (PIECE_BYTES // 28),
    Mode.ENDLESS_BODY: b"\r\n" + bytes(PIECE_BYTES),
}


def build_answer(request_id: str, body: bytes, digests: int = SMALL_DIGESTS) -> bytes:
    """Return the one right answer to a request."""
    digest = hashlib.sha256(request_id.encode() + body).hexdigest()
    return digest.encode() * digests


class Upstream:
    """One upstream; owns its listening socket.

    :param names: names of the header fields.
    """

    def __init__(
        self, name: str, names: HeaderNames, history: History, clock: Clock
    ) -> None:
        self.name = name
        self.mode = Mode.WHOLE
        self.work_seconds = WORK_SECONDS
        self._names = names
        self._history = history
        self._clock = clock
        self._count = 0

    async def start(self) -> tuple[str, int]:
        """Listen and return the address."""
        loop = asyncio.get_running_loop()
        self._web = web.Server(
            self.serve,
            access_log=None,
            handler_cancellation=True,
            request_factory=partial(
                web.BaseRequest, loop=loop, client_max_size=LARGEST_BODY_BYTES
            ),
        )
        self._listener = await loop.create_server(self._web, "127.0.0.1", 0)
        return self._listener.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close all connections."""
        self._listener.close()
        await self._web.shutdown(0.1)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request and answer as the mode says."""
        names = self._names
        body = await request.read()
        request_id = request.headers.get(names.request_id, "")
        if request.headers.get(names.target, self.name) != self.name:
            return web.Response(status=421)
        self._count += 1
        # Gray upstreams answer some requests well.
        mode = self.mode if self._count % 4 else Mode.WHOLE
        if mode is Mode.SHED:
            fields = {names.request_id: request_id, names.not_run: "1"}
            return web.Response(status=503, headers=fields)
        async with self._record(request, request_id, len(body)):
            await asyncio.sleep(self.work_seconds)
            if mode is Mode.HANG:
                await asyncio.sleep(HANG_SECONDS)
            if mode in ENDLESS_PIECES:
                await self._pour(request, ENDLESS_PIECES[mode])
        return await self._answer(request, request_id, body, mode)

    @asynccontextmanager
    async def _record(
        self, request: web.BaseRequest, request_id: str, size: int
    ) -> AsyncIterator[None]:
        team = request.headers.get(self._names.team, "")
        key_seen = "Authorization" in request.headers
        now = self._clock.boottime()
        run = Run(request_id, self.name, team, key_seen, now, size=size)
        self._history.runs.append(run)
        try:
            yield
        finally:
            run.ended_at = self._clock.boottime()

    async def _answer(
        self, request: web.BaseRequest, request_id: str, body: bytes, mode: Mode
    ) -> web.StreamResponse:
        names = self._names
        fields = {names.request_id: request_id, names.signature: self.name}
        if mode is Mode.ERRORS:
            return web.Response(status=500, headers=fields)
        if mode is Mode.CROSS:
            request_id = fields[names.request_id] = "another"
        digests = int(request.path.rpartition("/")[2])
        answer = build_answer(request_id, body, digests)
        if mode is Mode.BREAK:
            return await self._break(request, fields, answer)
        return web.Response(body=answer, headers=fields)

    @staticmethod
    async def _pour(request: web.BaseRequest, piece: bytes) -> None:
        """Send bytes until the peer closes, which cancels this task."""
        transport = request.transport
        transport.write(ENDLESS_START)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < PIECE_BYTES:
                transport.write(piece)
            await asyncio.sleep(PIECE_SECONDS)

    @staticmethod
    async def _break(
        request: web.BaseRequest, fields: dict[str, str], answer: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=fields)
        response.content_length = len(answer)
        await response.prepare(request)
        await response.write(answer[:100])
        request.transport.abort()
        return response
