"""Stand-in for an upstream with faults that can be changed while it runs."""

import asyncio
from collections import Counter
from dataclasses import asdict, dataclass

from aiohttp import web
from pydantic import ValidationError

from shallotspindle_standins import behaviour
from shallotspindle_standins.behaviour import Behaviour

CHUNK_BYTES = 64 * 1024
MARKER_HEADER = "X-Request-Marker"
REQUEST_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADERS = {"Request-Outcome": "not-run"}


class CrashTriggered(Exception):
    """The body of the request contains the crash marker."""


@dataclass(frozen=True, slots=True)
class PreparedResponse:
    """Content of a response.

    :param marker: marker of the request that the response belongs to.
    :param request_id: id of that request; empty if it has none.
    """

    status: int
    text: str
    marker: str
    request_id: str = ""


async def read_body(request: web.Request, marker: bytes) -> tuple[int, bool]:
    """Read a body without buffering it.

    :param marker: bytes to search for; empty for none.
    :returns: the length in bytes, and whether the body contains the marker.
    """
    length = 0
    has_marker = False
    tail = b""
    async for chunk in request.content.iter_chunked(CHUNK_BYTES):
        length += len(chunk)
        if marker and not has_marker:
            has_marker = marker in tail + chunk
            # A marker may span two chunks.
            tail = (tail + chunk)[-len(marker) :]
    return length, has_marker


def read_caller_timeout(request: web.Request) -> float | None:
    """Return the timeout that the caller announced, in seconds; None for none."""
    try:
        return float(request.headers["Request-Timeout"])
    except (KeyError, ValueError):
        return None


class UpstreamStandin:
    """Responds to each request with a summary of it, which callers can check.

    :param slots: maximum number of concurrent requests; further ones wait.
    :param delay: service time of a request, in seconds.
    :ivar execution_counts: number of executions by request marker.
    """

    def __init__(self, name: str, slots: int = 2, delay: float = 0.0) -> None:
        self.name = name
        self.behaviour = Behaviour(delay=delay)
        self.execution_counts: Counter[str] = Counter()
        self.seen_header_names: set[str] = set()
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._open_requests: dict[int, web.Request] = {}
        self._request_count = 0
        self._previous_response: PreparedResponse | None = None

    def build_application(self) -> web.Application:
        application = web.Application(client_max_size=1 << 30)
        application.on_response_prepare.append(self._add_status_headers)
        application.router.add_post("/_behaviour", self.handle_set_behaviour)
        application.router.add_get("/_behaviour", self.handle_get_behaviour)
        application.router.add_get("/_runs", self.handle_runs)
        application.router.add_get(behaviour.PROBE_PATH, self.handle_probe)
        application.router.add_route("*", "/{path:.*}", self.handle_request)
        return application

    @property
    def load(self) -> float:
        """Number of running and waiting requests divided by the number of slots."""
        return len(self._open_requests) / self._slots

    async def _add_status_headers(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Upstream-Load"] = f"{self.load:.3f}"
        if self.behaviour.draining:
            response.headers["Upstream-Draining"] = "true"

    async def handle_set_behaviour(self, request: web.Request) -> web.Response:
        """Change the fields of the behaviour that a JSON object contains."""
        fields = await request.json()
        try:
            self.behaviour = behaviour.update_behaviour(self.behaviour, fields)
        except ValidationError as error:
            return web.Response(
                status=422, text=error.json(), content_type="application/json"
            )
        self._request_count = 0
        return web.json_response(asdict(self.behaviour))

    async def handle_get_behaviour(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self.behaviour))

    async def handle_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs": dict(self.execution_counts),
                "headers": sorted(self.seen_header_names),
                "in_work": len(self._open_requests),
            }
        )

    async def handle_probe(self, request: web.Request) -> web.StreamResponse:
        if self.behaviour.down:
            return self._reset_connection(request)
        status = 503 if self.behaviour.draining else 200
        return web.json_response({"load": self.load}, status=status)

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        if self.behaviour.down:
            return self._reset_connection(request)
        if self.behaviour.shed:
            return web.Response(status=503, headers=NOT_RUN_HEADERS, text="shed\n")
        self._open_requests[id(request)] = request
        try:
            prepared = await self._run_in_slot(request)
        except TimeoutError:
            return web.Response(status=503, headers=NOT_RUN_HEADERS, text="too late\n")
        except CrashTriggered:
            return self._crash_connections(request)
        finally:
            self._open_requests.pop(id(request), None)
        await asyncio.sleep(self.behaviour.late)
        return await self._send(request, prepared)

    async def _run_in_slot(self, request: web.Request) -> PreparedResponse:
        async with asyncio.timeout(read_caller_timeout(request)):
            await self._free_slots.acquire()
        try:
            return await self._execute(request)
        finally:
            self._free_slots.release()

    async def _execute(self, request: web.Request) -> PreparedResponse:
        request_index = self._request_count
        self._request_count += 1
        self.seen_header_names.update(name.lower() for name in request.headers)
        marker = request.headers.get(MARKER_HEADER, request.path)
        self.execution_counts[marker] += 1
        active_behaviour = self.behaviour
        length, has_marker = await read_body(
            request, active_behaviour.crash_marker.encode()
        )
        if has_marker:
            raise CrashTriggered
        await asyncio.sleep(
            behaviour.compute_service_time(active_behaviour, request_index)
        )
        status = behaviour.choose_status(active_behaviour, request_index)
        text = f"{self.name} {request.method} {request.path_qs} {length}\n"
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        return self._swap_response(PreparedResponse(status, text, marker, request_id))

    def _swap_response(self, prepared: PreparedResponse) -> PreparedResponse:
        previous = self._previous_response or prepared
        self._previous_response = prepared
        return previous if self.behaviour.swap_answers else prepared

    def _crash_connections(self, request: web.Request) -> web.StreamResponse:
        if self.behaviour.stay_down:
            self.behaviour = behaviour.update_behaviour(self.behaviour, {"down": True})
        for other in list(self._open_requests.values()):
            self._reset_connection(other)
        return self._reset_connection(request)

    def _reset_connection(self, request: web.Request) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _send(
        self, request: web.Request, prepared: PreparedResponse
    ) -> web.StreamResponse:
        body = prepared.text.encode()
        headers = {MARKER_HEADER: prepared.marker, "Content-Length": str(len(body))}
        if prepared.request_id:
            headers[REQUEST_ID_HEADER] = prepared.request_id
        if not self.behaviour.truncate:
            return web.Response(status=prepared.status, headers=headers, body=body)
        response = web.StreamResponse(status=prepared.status, headers=headers)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        return self._reset_connection(request)
