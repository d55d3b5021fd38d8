"""HTTP endpoints with liveness, readiness, metrics and state."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiomisc import Service

JsonHandler = Callable[[], Awaitable[tuple[int, Any]]]
RequestHandler = Callable[[web.Request], Awaitable[web.Response]]


class Administration(Service):
    """HTTP server for the load balancer, the metrics collector and operators.

    :param listener: listening socket.
    :param render_metrics: returns the response body with the metrics and its headers.
    """

    def __init__(
        self,
        listener: socket.socket,
        render_metrics: Callable[[], tuple[bytes, dict[str, str]]],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._listener = listener
        self._render_metrics = render_metrics
        self._application = web.Application()
        self._application.router.add_get("/live", self.handle_live)
        self._application.router.add_get("/metrics", self.handle_metrics)

    def add_json_route(self, path: str, handler: JsonHandler) -> None:
        """Serve ``GET`` requests of a path with a JSON value.

        :param handler: returns the HTTP status and the value.
        """

        async def handle(request: web.Request) -> web.Response:
            status, value = await handler()
            return web.json_response(value, status=status)

        self._application.router.add_get(path, handle)

    def add_post_route(self, path: str, handler: RequestHandler) -> None:
        """Serve ``POST`` requests of a path."""
        self._application.router.add_post(path, handler)

    async def start(self) -> None:
        self._runner = web.AppRunner(self._application, access_log=None)
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()

    async def stop(self, exception: Exception | None = None) -> None:
        await self._runner.cleanup()

    async def handle_live(self, request: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def handle_metrics(self, request: web.Request) -> web.Response:
        body, headers = self._render_metrics()
        return web.Response(body=body, headers=headers)
