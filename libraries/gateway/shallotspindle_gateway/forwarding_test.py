import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
import pytest_asyncio

from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway.conftest import NAMES
from shallotspindle_gateway.forwarding import Forwarder, Order

MEBIBYTE = 1024 * 1024
# What two sockets and two event loops may take beyond the limit on loopback.
SOCKET_BYTES = 16 * MEBIBYTE
# Longer than any run; the answers must end by their limits and not by their time.
LONG_SECONDS = 20.0
PIECE_BYTES = 64 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nwhole"


@dataclass
class EndlessUpstream:
    """Sends a start and then a unit without end, until its peer closes.

    :param reads: whether it reads the request first.
    :param sent: bytes that it got rid of.
    """

    start: bytes
    unit: bytes
    reads: bool = True
    sent: int = 0
    opened: int = 0
    closed: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        try:
            if self.reads:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            piece = self.unit * (PIECE_BYTES // len(self.unit))
            writer.write(self.start + piece)
            while True:
                await writer.drain()
                self.sent += len(piece)
                writer.write(piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed += 1
            writer.transport.abort()


class Upstreams:
    """Endless upstreams on loopback."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def add(self, upstream: EndlessUpstream) -> str:
        """Return the address of a new upstream."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE_BYTES)
        server = await asyncio.start_server(upstream.serve, sock=listener)
        self._servers.append(server)
        host, port = listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        for server in self._servers:
            server.close()


@pytest.fixture
def upstreams():
    found = Upstreams()
    yield found
    found.close()


@pytest_asyncio.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    found = Forwarder(NAMES.request_id, NAMES.not_run, SystemClock())
    await found.start()
    yield found
    await found.stop()


def order(address, method="GET", body=None):
    return Order(address, method, "/1", {}, body, LONG_SECONDS)


async def await_closed(upstream):
    """Wait until the upstream saw the end of all its connections."""
    async with asyncio.timeout(10):
        while upstream.closed < upstream.opened or not upstream.opened:
            await asyncio.sleep(0.01)


class TestUnreadRequests:
    @pytest.mark.parametrize(
        ("start", "unit"),
        [(b"", b"\x00\xffgarbage"), (WHOLE, b"x")],
    )
    async def test_an_upstream_that_does_not_read_is_cut_off(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against a connection that stays open because a part of the request
        # was never read: a close waits for it.
        upstream = EndlessUpstream(start, unit, reads=False)
        address = await upstreams.add(upstream)
        await forwarder.send(order(address, "POST", b"x" * 32 * MEBIBYTE))
        await await_closed(upstream)
        assert upstream.sent <= SOCKET_BYTES
