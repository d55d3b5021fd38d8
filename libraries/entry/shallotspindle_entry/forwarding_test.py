import asyncio

import pytest

OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 64 * 1024
# A caller waits for less than the time of the route, 600 s, and for more than any run.
WAIT_SECONDS = 20.0
# What two sockets and two event loops may take on loopback.
SOCKET_BYTES = 16 * 1024 * 1024


class Endless:
    """Script that sends without end until its peer closes.

    :param sent: bytes that it got rid of.
    """

    def __init__(self, edge, start, unit, reads=True):
        self._edge = edge
        self._start = start
        self._unit = unit
        self._reads = reads
        self.sent = 0
        self.is_closed = False

    async def __call__(self, reader, writer):
        piece = self._unit * (PIECE_BYTES // len(self._unit))
        if self._reads:
            await self._edge.upstream.read_head(reader)
        writer.write(self._start + piece)
        try:
            while True:
                await writer.drain()
                self.sent += len(piece)
                writer.write(piece)
        finally:
            self.is_closed = True
            writer.transport.abort()

    async def await_closed(self):
        """Wait until the connection was closed by the peer."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not self.is_closed:
                await asyncio.sleep(0.01)


async def post(edge, body=b"x", path="/deposits", key="Idempotency-Key: k1\r\n"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: shop.test\r\nConnection: close\r\n"
        f"Authorization: Bearer museum-key\r\n{key}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    async with asyncio.timeout(WAIT_SECONDS):
        return await edge.send(head.encode() + body)


class TestKeptConnections:
    @pytest.mark.parametrize("rest", [b"\x00\xffgarbage", WHOLE, b"x"])
    async def test_bytes_behind_a_whole_answer_are_dropped(self, edge, rest):
        # Guards against a whole answer that is lost with the bytes behind it.
        endless = Endless(edge, WHOLE, rest)
        edge.upstream.scripts = [endless, edge.upstream.answer(WHOLE)]
        assert (await post(edge)).endswith(b"whole")
        await endless.await_closed()
        assert endless.sent <= SOCKET_BYTES

    async def test_an_upstream_that_does_not_read_is_cut_off(self, edge):
        # Guards against a connection that stays open because a part of the request
        # was never read: a close waits for it.
        endless = Endless(edge, b"", b"\x00\xffgarbage", reads=False)
        edge.upstream.scripts = [endless]
        await post(edge, b"x" * 8 * 1024 * 1024, "/open", "")
        assert edge.upstream.connections == 1
        await endless.await_closed()


class TestRefusedBodies:
    @pytest.mark.parametrize(
        ("start", "unit"),
        [
            (CHUNKED + b"4\r\nabcd\r\n", b"zz\r\n"),
            (CHUNKED + b"4\r\nabcd\r\n0\r\nT: ", b"v"),
        ],
    )
    async def test_a_body_that_is_no_body_aborts_the_caller(self, edge, start, unit):
        # Guards against a caller that waits until the deadline for the rest of an
        # answer whose next bytes are no answer, and against an answer that looks whole.
        endless = Endless(edge, start, unit)
        edge.upstream.scripts = [endless]
        assert not (await post(edge)).endswith(b"0\r\n\r\n")
        await endless.await_closed()
