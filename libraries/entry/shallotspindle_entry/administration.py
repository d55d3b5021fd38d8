"""Liveness, readiness, metrics and state for the platform and operators."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiomisc import Service

Answer = Callable[[], Awaitable[tuple[int, Any]]]
Receiver = Callable[[web.Request], Awaitable[web.Response]]


class Administration(Service):
    """HTTP server for the balancer, the metrics' collector and operators.

    :param listener: listening socket.
    :param render_metrics: returns the metrics' text and its headers.
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
        self._application.router.add_get("/live", self.answer_live)
        self._application.router.add_get("/metrics", self.answer_metrics)

    def add_answer(self, path: str, answer: Answer) -> None:
        """Offer a state as JSON.

        :param answer: returns the status and the value.
        """

        async def handle(request: web.Request) -> web.Response:
            status, value = await answer()
            return web.json_response(value, status=status)

        self._application.router.add_get(path, handle)

    def add_receiver(self, path: str, receiver: Receiver) -> None:
        """Accept statements of operators."""
        self._application.router.add_post(path, receiver)

    async def start(self) -> None:
        self._runner = web.AppRunner(self._application, access_log=None)
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()

    async def stop(self, exception: Exception | None = None) -> None:
        await self._runner.cleanup()

    async def answer_live(self, request: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def answer_metrics(self, request: web.Request) -> web.Response:
        body, headers = self._render_metrics()
        return web.Response(body=body, headers=headers)
