"""Upstreams that record what they run and fail in gray ways."""

import asyncio
import hashlib
from enum import StrEnum

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_soak.records import History, Run

WORK_SECONDS = 0.03
HANG_SECONDS = 30.0


class Mode(StrEnum):
    """How an upstream answers."""

    WHOLE = "whole"
    HANG = "hang"
    ERRORS = "errors"
    BREAK = "break"
    CROSS = "cross"


def build_answer(request_id: str, body: bytes) -> bytes:
    """Return the one right answer to a request."""
    digest = hashlib.sha256(request_id.encode() + body).hexdigest()
    return digest.encode() * 20


class Upstream:
    """One upstream; owns its listening socket.

    :param names: names of the header fields.
    """

    def __init__(
        self, name: str, names: HeaderNames, history: History, clock: Clock
    ) -> None:
        self.name = name
        self.mode = Mode.WHOLE
        self._names = names
        self._history = history
        self._clock = clock
        self._count = 0

    async def start(self) -> tuple[str, int]:
        """Listen and return the address."""
        loop = asyncio.get_running_loop()
        self._web = web.Server(self.serve, access_log=None, handler_cancellation=True)
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
        team = request.headers.get(names.team, "")
        key_seen = "Authorization" in request.headers
        now = self._clock.boottime()
        self._history.runs.append(Run(request_id, self.name, team, key_seen, now))
        self._count += 1
        await asyncio.sleep(WORK_SECONDS)
        fields = {names.request_id: request_id, names.signature: self.name}
        # Gray upstreams answer some requests well.
        mode = self.mode if self._count % 4 else Mode.WHOLE
        if mode is Mode.HANG:
            await asyncio.sleep(HANG_SECONDS)
        if mode is Mode.ERRORS:
            return web.Response(status=500, headers=fields)
        if mode is Mode.CROSS:
            request_id = fields[names.request_id] = "another"
        answer = build_answer(request_id, body)
        if mode is Mode.BREAK:
            return await self._break(request, fields, answer)
        return web.Response(body=answer, headers=fields)

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
