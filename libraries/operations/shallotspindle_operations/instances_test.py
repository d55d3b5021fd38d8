import asyncio

import pytest
from aiohttp import web

from shallotspindle_environment.interface import OutcomeUnknown
from shallotspindle_operations import instances


class TestCallInstance:
    @pytest.mark.parametrize(
        "text",
        ["no JSON", "[" * 100_000, '{"bundle": 1' + "0" * 5000 + "}", '{"a": NaN}'],
        ids=["text", "nested", "huge", "not-a-number"],
    )
    async def test_a_malformed_response_is_a_failure(self, text):
        # Guards against a command that ends with a traceback because of one instance.
        async def serve(request):
            return web.Response(text=text)

        server = web.Server(serve, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        responses = await instances.call_instances([f"{host}:{port}"], "GET", "/state")
        listener.close()
        await server.shutdown(0)
        ((_, response),) = responses
        assert isinstance(response.error, OutcomeUnknown)
