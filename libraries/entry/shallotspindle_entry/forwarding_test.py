import asyncio

import pytest

OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SHED = b"HTTP/1.1 503 Busy\r\nRequest-Outcome: not-run\r\n"
PIECE_BYTES = 64 * 1024
# A caller waits for less than the time of the route, 600 s, and for more than any run.
WAIT_SECONDS = 20.0
# What two sockets and two event loops may take on loopback.
SOCKET_BYTES = 16 * 1024 * 1024

# Name, start, and what follows without end.
HEADS = (
    ("garbage", b"", b"\x00\xffgarbage"),
    ("status-line", OK[:-2], b"K"),
    ("header-line", OK + b"Name: ", b"v"),
    ("headers", OK, b"Name: " + b"v" * 8000 + b"\r\n"),
    ("empty-lines", b"", b"\r\n"),
    ("continue", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
)
FRAMINGS = (
    ("chunk-extension", CHUNKED + b"4;", b"e"),
    ("chunk-size", CHUNKED, b"0"),
    ("trailers", CHUNKED + b"4\r\nabcd\r\n0\r\n", b"T: v\r\n"),
    ("trailer-line", CHUNKED + b"4\r\nabcd\r\n0\r\nT: ", b"v"),
    ("bad-chunk", CHUNKED + b"4\r\nabcd\r\n", b"zz\r\n"),
)
SHED_BODIES = (
    ("stated-length", SHED + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
    ("chunks", SHED + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n"),
)


def name(shapes):
    """Return the parameters of a test with the names of the shapes."""
    return [pytest.param(start, unit, id=label) for label, start, unit in shapes]


class Endless:
    """Script that sends without end until its peer closes.

    :param sent: bytes that it got rid of.
    """

    def __init__(self, proxy, start, unit, reads=True):
        self._proxy = proxy
        self._start = start
        self._unit = unit
        self._reads = reads
        self.sent = 0
        self.is_closed = False

    async def __call__(self, reader, writer):
        piece = self._unit * (PIECE_BYTES // len(self._unit))
        if self._reads:
            await self._proxy.upstream.read_head(reader)
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


async def get(proxy):
    async with asyncio.timeout(WAIT_SECONDS):
        return await proxy.get()


async def post(proxy, body=b"x", path="/deposits", key="Idempotency-Key: k1\r\n"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: shop.test\r\nConnection: close\r\n"
        f"Authorization: Bearer museum-key\r\n{key}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    async with asyncio.timeout(WAIT_SECONDS):
        return await proxy.send(head.encode() + body)


class TestEndlessAnswers:
    @pytest.mark.parametrize(("start", "unit"), name(HEADS))
    async def test_a_head_without_end_is_broken_off(self, proxy, start, unit):
        # Guards against a caller that waits until the deadline for a head that never
        # ends, and against a deposit that is taken twice.
        endless = Endless(proxy, start, unit)
        proxy.upstream.scripts = [endless]
        assert (await post(proxy)).startswith(b"HTTP/1.1 502")
        assert proxy.upstream.connections == 1
        await endless.await_closed()
        assert endless.sent <= SOCKET_BYTES

    @pytest.mark.parametrize(("start", "unit"), name(HEADS))
    async def test_a_read_gets_the_answer_of_another_upstream(self, proxy, start, unit):
        endless = Endless(proxy, start, unit)
        proxy.upstream.scripts = [endless, proxy.upstream.answer(WHOLE)]
        assert (await get(proxy)).endswith(b"whole")

    @pytest.mark.parametrize(("start", "unit"), name(FRAMINGS))
    async def test_framing_without_end_aborts_the_caller(self, proxy, start, unit):
        # Guards against a caller that waits until the deadline for the rest of an
        # answer whose next bytes are no answer, and against an answer that looks whole.
        endless = Endless(proxy, start, unit)
        proxy.upstream.scripts = [endless]
        answer = await post(proxy)
        assert not answer.endswith(b"0\r\n\r\n")
        await endless.await_closed()
        assert endless.sent <= SOCKET_BYTES

    @pytest.mark.parametrize(("start", "unit"), name(SHED_BODIES))
    async def test_a_shed_answer_without_end_is_dropped(self, proxy, start, unit):
        # Guards against an instance whose memory is filled by an answer that no caller
        # gets.
        endless = Endless(proxy, start, unit)
        proxy.upstream.scripts = [endless, proxy.upstream.answer(WHOLE)]
        assert (await post(proxy)).endswith(b"whole")
        await endless.await_closed()
        assert endless.sent <= SOCKET_BYTES


class TestKeptConnections:
    async def test_each_answer_has_the_whole_limit(self, proxy):
        # Guards against a limit that adds up over the answers of a connection.
        answer = OK + b"Name: " + b"v" * 8000 + b"\r\nContent-Length: 5\r\n\r\nwhole"
        proxy.upstream.scripts = [proxy.upstream.answer(*[answer] * 20)]
        for _ in range(20):
            assert (await get(proxy)).endswith(b"whole")
        assert proxy.upstream.connections == 1

    @pytest.mark.parametrize("rest", [b"\x00\xffgarbage", WHOLE, b"x"])
    async def test_bytes_behind_a_whole_answer_are_dropped(self, proxy, rest):
        # Guards against a whole answer that is lost with the bytes behind it.
        endless = Endless(proxy, WHOLE, rest)
        proxy.upstream.scripts = [endless, proxy.upstream.answer(WHOLE)]
        assert (await post(proxy)).endswith(b"whole")
        await endless.await_closed()
        assert endless.sent <= SOCKET_BYTES

    async def test_an_upstream_that_does_not_read_is_cut_off(self, proxy):
        # Guards against a connection that stays open because a part of the request
        # was never read: a close waits for it.
        endless = Endless(proxy, b"", b"\x00\xffgarbage", reads=False)
        proxy.upstream.scripts = [endless]
        await post(proxy, b"x" * 8 * 1024 * 1024, "/open", "")
        assert proxy.upstream.connections == 1
        await endless.await_closed()
