"""Stand-in of an upstream with faults that can be set while it runs."""

import asyncio
from collections import Counter
from dataclasses import asdict, dataclass

from aiohttp import web
from pydantic import ValidationError

from shallotspindle_standins import behaviour
from shallotspindle_standins.behaviour import Behaviour

CHUNK_BYTES = 64 * 1024
MARKER_HEADER = "X-Request-Marker"
NOT_RUN = {"Request-Outcome": "not-run"}


class Crashed(Exception):
    """The request ended the stand-in's connections."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a request is answered with."""

    status: int
    text: str
    marker: str


async def read_body(request: web.Request, marker: bytes) -> tuple[int, bool]:
    """Read a body without keeping it.

    :param marker: text to look for; empty for none.
    :returns: the length in bytes, and whether the marker was in the body.
    """
    length = 0
    found = False
    tail = b""
    async for chunk in request.content.iter_chunked(CHUNK_BYTES):
        length += len(chunk)
        if marker and not found:
            found = marker in tail + chunk
            # A marker may lie across two chunks.
            tail = (tail + chunk)[-len(marker) :]
    return length, found


def read_patience(request: web.Request) -> float | None:
    """Return the time that the caller waits, in seconds, if it says so."""
    try:
        return float(request.headers["Request-Timeout"])
    except (KeyError, ValueError):
        return None


class UpstreamStandin:
    """Answers each request with what it received, for checks by the caller.

    :param slots: requests that run at the same time; others wait.
    """

    def __init__(self, name: str, slots: int = 2, delay: float = 0.0) -> None:
        self.name = name
        self.behaviour = Behaviour(delay=delay)
        self.runs: Counter[str] = Counter()
        self.seen_headers: set[str] = set()
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._open: dict[int, web.Request] = {}
        self._number = 0
        self._previous: Answer | None = None

    def build_application(self) -> web.Application:
        application = web.Application(client_max_size=1 << 30)
        application.on_response_prepare.append(self._add_load)
        application.router.add_post("/_behaviour", self.set_behaviour)
        application.router.add_get("/_behaviour", self.answer_behaviour)
        application.router.add_get("/_runs", self.answer_runs)
        application.router.add_get(behaviour.PROBE_PATH, self.answer_probe)
        application.router.add_route("*", "/{path:.*}", self.answer)
        return application

    @property
    def load(self) -> float:
        """Requests in work or waiting, divided by the slots."""
        return len(self._open) / self._slots

    async def _add_load(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Upstream-Load"] = f"{self.load:.3f}"
        if self.behaviour.draining:
            response.headers["Upstream-Draining"] = "true"

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Change fields of the behaviour from a JSON object."""
        fields = await request.json()
        try:
            self.behaviour = behaviour.change(self.behaviour, fields)
        except ValidationError as error:
            return web.Response(
                status=422, text=error.json(), content_type="application/json"
            )
        self._number = 0
        return web.json_response(asdict(self.behaviour))

    async def answer_behaviour(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self.behaviour))

    async def answer_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs": dict(self.runs),
                "headers": sorted(self.seen_headers),
                "in_work": len(self._open),
            }
        )

    async def answer_probe(self, request: web.Request) -> web.StreamResponse:
        if self.behaviour.down:
            return self._reset(request)
        status = 503 if self.behaviour.draining else 200
        return web.json_response({"load": self.load}, status=status)

    async def answer(self, request: web.Request) -> web.StreamResponse:
        if self.behaviour.down:
            return self._reset(request)
        if self.behaviour.shed:
            return web.Response(status=503, headers=NOT_RUN, text="shed\n")
        self._open[id(request)] = request
        try:
            answer = await self._work(request)
        except TimeoutError:
            return web.Response(status=503, headers=NOT_RUN, text="too late\n")
        except Crashed:
            return self._crash(request)
        finally:
            self._open.pop(id(request), None)
        await asyncio.sleep(self.behaviour.late)
        return await self._send(request, answer)

    async def _work(self, request: web.Request) -> Answer:
        async with asyncio.timeout(read_patience(request)):
            await self._free.acquire()
        try:
            return await self._run(request)
        finally:
            self._free.release()

    async def _run(self, request: web.Request) -> Answer:
        number = self._number
        self._number += 1
        self.seen_headers.update(name.lower() for name in request.headers)
        marker = request.headers.get(MARKER_HEADER, request.path)
        self.runs[marker] += 1
        current = self.behaviour
        length, crashing = await read_body(request, current.crash_marker.encode())
        if crashing:
            raise Crashed
        await asyncio.sleep(behaviour.compute_work(current, number))
        status = behaviour.choose_status(current, number)
        text = f"{self.name} {request.method} {request.path_qs} {length}\n"
        return self._swap(Answer(status, text, marker))

    def _swap(self, answer: Answer) -> Answer:
        previous = self._previous or answer
        self._previous = answer
        return previous if self.behaviour.swap_answers else answer

    def _crash(self, request: web.Request) -> web.StreamResponse:
        if self.behaviour.stay_down:
            self.behaviour = behaviour.change(self.behaviour, {"down": True})
        for other in list(self._open.values()):
            self._reset(other)
        return self._reset(request)

    def _reset(self, request: web.Request) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _send(self, request: web.Request, answer: Answer) -> web.StreamResponse:
        body = answer.text.encode()
        headers = {MARKER_HEADER: answer.marker, "Content-Length": str(len(body))}
        if not self.behaviour.truncate:
            return web.Response(status=answer.status, headers=headers, body=body)
        response = web.StreamResponse(status=answer.status, headers=headers)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        return self._reset(request)
