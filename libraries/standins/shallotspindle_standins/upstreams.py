"""Stand-in of an upstream with faults that can be set while it runs."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from aiohttp import web


@dataclass(slots=True)
class Behaviour:
    """How an upstream answers.

    :param delay: time for each request, in seconds.
    :param status: status of the answers.
    :param truncate: cut the body short.
    """

    delay: float = 0.0
    status: int = 200
    truncate: bool = False


class UpstreamStandin:
    """Answers each request with what it received, for checks by the caller."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.runs: Counter[str] = Counter()
        self.seen_headers: set[str] = set()

    def build_application(self) -> web.Application:
        application = web.Application(client_max_size=1 << 30)
        application.router.add_post("/_behaviour", self.set_behaviour)
        application.router.add_get("/_runs", self.answer_runs)
        application.router.add_route("*", "/{path:.*}", self.answer)
        return application

    async def set_behaviour(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.behaviour, name, value)
        return web.json_response({})

    async def answer_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"runs": dict(self.runs), "headers": sorted(self.seen_headers)}
        )

    async def answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.seen_headers.update(name.lower() for name in request.headers)
        self.runs[request.headers.get("X-Request-Marker", request.path)] += 1
        if self.behaviour.delay:
            await asyncio.sleep(self.behaviour.delay)
        text = f"{self.name} {request.method} {request.path_qs} {len(body)}\n"
        if self.behaviour.truncate:
            response = web.StreamResponse(
                headers={"Content-Length": str(len(text) + 100)}
            )
            await response.prepare(request)
            await response.write(text.encode())
            if request.transport is not None:
                request.transport.abort()
            return response
        return web.Response(status=self.behaviour.status, text=text)
