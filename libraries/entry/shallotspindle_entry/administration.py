"""Liveness, readiness and state for the platform and operators."""

from typing import Any

from aiohttp import web
from aiomisc.service.aiohttp import AIOHTTPService

from shallotspindle_entry.configuration import ConfigurationTask


class Administration(AIOHTTPService):
    """HTTP server for the balancer and operators."""

    def __init__(
        self, name: str, configuration: ConfigurationTask, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._name = name
        self._configuration = configuration

    async def create_application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/live", self.answer_live)
        application.router.add_get("/ready", self.answer_ready)
        application.router.add_get("/state", self.answer_state)
        return application

    async def answer_live(self, request: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def answer_ready(self, request: web.Request) -> web.Response:
        ready = self._configuration.current.bundle.version > 0
        text = "ready\n" if ready else "no bundle is in force\n"
        return web.Response(status=200 if ready else 503, text=text)

    async def answer_state(self, request: web.Request) -> web.Response:
        version = self._configuration.current.bundle.version
        return web.json_response({"instance": self._name, "bundle": version})
