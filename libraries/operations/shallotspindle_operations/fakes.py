"""Fake of an instance, for the tests of commands."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import web


@asynccontextmanager
async def run_server(status, text):
    """Run a server with one fixed response and yield its address."""

    async def serve(request):
        return web.Response(status=status, text=text)

    server = web.Server(serve, access_log=None)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    yield f"{host}:{port}"
    listener.close()
    await server.shutdown(0)
