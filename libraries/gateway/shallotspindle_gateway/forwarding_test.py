import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
import pytest_asyncio

from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway.conftest import NAMES
from shallotspindle_gateway.forwarding import Forwarder, Order
from shallotspindle_lending.records import Outcome

MEBIBYTE = 1024 * 1024
# What two sockets and two event loops may take beyond the limit on loopback.
SOCKET_BYTES = 16 * MEBIBYTE
# Longer than any run; the answers must end by their limits and not by their time.
LONG_SECONDS = 20.0
PIECE_BYTES = 64 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# What follows a whole answer.
RESTS = (
    (WHOLE, b"\x00\xffgarbage"),
    (WHOLE, WHOLE),
    (WHOLE, b"x"),
    (CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", b"\x00\xffgarbage"),
    (CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", WHOLE),
)


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


class TestWholeAnswers:
    @pytest.mark.parametrize(("start", "unit"), RESTS)
    async def test_bytes_behind_a_whole_answer_are_dropped(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against a whole answer that is lost with the bytes behind it, and
        # against an order that is reported as failed though its answer came.
        upstream = EndlessUpstream(start, unit)
        address = await upstreams.add(upstream)
        attempt = await forwarder.send(order(address, "POST"))
        assert attempt.outcome is Outcome.WHOLE
        assert attempt.answer.body == b"whole"
        await await_closed(upstream)
        assert upstream.sent <= SOCKET_BYTES

    @pytest.mark.parametrize("size", [100, 3000, 200_000])
    async def test_a_long_answer_in_chunks_is_taken_to_its_end(
        self, forwarder, upstreams, size
    ):
        # Guards against the end of an answer that is lost while reading is paused.
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
            writer.write(CHUNKED + chunk * 5 + b"0\r\n\r\n")
            writer.close()

        upstream = EndlessUpstream(b"", b"x")
        upstream.serve = serve
        attempt = await forwarder.send(order(await upstreams.add(upstream)))
        assert attempt.outcome is Outcome.WHOLE
        assert attempt.answer.body == b"x" * 5 * size

    async def test_a_head_in_single_bytes_is_taken(self, forwarder, upstreams):
        # Guards against the end of a head that is missed where it is spread over
        # several parts.
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for byte in b"HTTP/1.1 103 E\r\n\r\n" + WHOLE[:-5]:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0)
            writer.write(b"whole\x00\xffgarbage")
            await reader.read()
            writer.close()

        upstream = EndlessUpstream(b"", b"x")
        upstream.serve = serve
        attempt = await forwarder.send(order(await upstreams.add(upstream)))
        assert attempt.outcome is Outcome.WHOLE
        assert attempt.answer.body == b"whole"


class TestRefusedBodies:
    @pytest.mark.parametrize(
        ("start", "unit"),
        [
            (CHUNKED + b"4\r\nabcd\r\n", b"zz\r\n"),
            (CHUNKED + b"0\r\nT: ", b"v"),
            (CHUNKED + b"0\r\n", b"T: v\r\n"),
        ],
    )
    async def test_a_body_that_is_no_body_ends_the_answer(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against a request that waits until its time is over for the rest of
        # an answer whose next bytes are no answer.
        upstream = EndlessUpstream(start, unit)
        address = await upstreams.add(upstream)
        attempt = await forwarder.send(order(address))
        assert (attempt.outcome, attempt.answer) == (Outcome.TRUNCATED, None)
        await await_closed(upstream)
