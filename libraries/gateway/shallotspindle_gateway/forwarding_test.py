import asyncio
import json
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
import pytest_asyncio

from shallotspindle_entry.response_limits import ResponseFault, ResponseLimits
from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import forwarding, ownership
from shallotspindle_gateway.conftest import NAMES
from shallotspindle_gateway.forwarding import Forwarder, UpstreamRequest
from shallotspindle_lending.records import Outcome

MEBIBYTE = 1024 * 1024
LIMITS = ResponseLimits(max_body_bytes=MEBIBYTE, max_total_bytes=4 * MEBIBYTE)
# What two sockets and two event loops may take beyond the limit on loopback.
SOCKET_BYTES = 16 * MEBIBYTE
# Longer than any run; the answers must end by their limits and not by their time.
LONG_SECONDS = 20.0
PIECE_BYTES = 64 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# Name, start, what follows without end, and the fault.
SHAPES = (
    ("garbage", b"", b"\x00\xffgarbage", ResponseFault.MALFORMED),
    ("status-line", OK[:-2], b"K", ResponseFault.MALFORMED),
    ("header-line", OK + b"Name: ", b"v", ResponseFault.MALFORMED),
    ("header-name", OK, b"n", ResponseFault.MALFORMED),
    ("few-headers", OK, b"Name: " + b"v" * 8000 + b"\r\n", ResponseFault.HEAD_TOO_LONG),
    ("empty-headers", OK, b"N:\r\n", ResponseFault.MALFORMED),
    ("empty-lines", b"", b"\r\n", ResponseFault.HEAD_TOO_LONG),
    ("continue", b"", b"HTTP/1.1 100 Continue\r\n\r\n", ResponseFault.HEAD_TOO_LONG),
    (
        "early-hints",
        b"",
        b"HTTP/1.1 103 E\r\nA: b\r\n\r\n",
        ResponseFault.HEAD_TOO_LONG,
    ),
    (
        "stated-length",
        OK + b"Content-Length: 99999999999999\r\n\r\n",
        b"x",
        ResponseFault.BODY_TOO_LONG,
    ),
    ("chunks", CHUNKED, b"10\r\n0123456789abcdef\r\n", ResponseFault.BODY_TOO_LONG),
    ("small-chunks", CHUNKED, b"4\r\nabcd\r\n", ResponseFault.FRAMING_TOO_LONG),
    ("one-chunk", CHUNKED + b"fffffffffff\r\n", b"x", ResponseFault.BODY_TOO_LONG),
    ("chunk-extension", CHUNKED + b"4;", b"e", ResponseFault.FRAMING_TOO_LONG),
    (
        "extensions",
        CHUNKED,
        b"1;" + b"e" * 500 + b"\r\na\r\n",
        ResponseFault.FRAMING_TOO_LONG,
    ),
    ("chunk-size", CHUNKED, b"0", ResponseFault.FRAMING_TOO_LONG),
    ("trailers", CHUNKED + b"0\r\n", b"T: v\r\n", ResponseFault.MALFORMED),
    ("trailer-line", CHUNKED + b"0\r\nT: ", b"v", ResponseFault.MALFORMED),
    ("bad-chunk", CHUNKED + b"4\r\nabcd\r\n", b"zz\r\n", ResponseFault.MALFORMED),
    ("no-length", OK + b"\r\n", b"x", ResponseFault.BODY_TOO_LONG),
    (
        "other-protocol",
        b"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n",
        b"x",
        ResponseFault.MALFORMED,
    ),
)
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

    async def announce(self, fleet, upstream: EndlessUpstream, name: str) -> None:
        """Enter a new upstream in the store of a fleet."""
        value = json.dumps([await self.add(upstream), "a"]).encode()
        fleet.store.put(f"upstreams/{name}", value)

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
    found = Forwarder(NAMES.request_id, NAMES.not_run, SystemClock(), LIMITS)
    await found.start()
    yield found
    await found.stop()


def build_request(address, method="GET", body=None):
    return UpstreamRequest(address, method, "/1", {}, body, LONG_SECONDS)


async def await_closed(upstream):
    """Wait until the upstream saw the end of all its connections."""
    async with asyncio.timeout(10):
        while upstream.closed < upstream.opened or not upstream.opened:
            await asyncio.sleep(0.01)


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ("start", "unit", "fault"),
        [shape[1:] for shape in SHAPES],
        ids=[shape[0] for shape in SHAPES],
    )
    async def test_an_answer_without_end_is_broken_off(
        self, forwarder, upstreams, start, unit, fault
    ):
        # Guards against an upstream that fills the memory of an instance, or that
        # holds a request until its time is over.
        upstream = EndlessUpstream(start, unit)
        address = await upstreams.add(upstream)
        result = await forwarder.send(build_request(address))
        assert (result.outcome, result.response) == (Outcome.TRUNCATED, None)
        assert not result.did_not_run
        assert result.fault is fault
        await await_closed(upstream)
        assert upstream.sent <= LIMITS.max_body_bytes + SOCKET_BYTES

    @pytest.mark.parametrize(("start", "unit"), RESTS)
    async def test_bytes_behind_a_whole_answer_are_dropped(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against a whole answer that is lost with the bytes behind it, and
        # against an order that is reported as failed though its answer came.
        upstream = EndlessUpstream(start, unit)
        address = await upstreams.add(upstream)
        result = await forwarder.send(build_request(address, "POST"))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"whole"
        await await_closed(upstream)
        assert upstream.sent <= SOCKET_BYTES

    @pytest.mark.parametrize(
        ("start", "unit"),
        [
            (b"", b"\x00\xffgarbage"),
            (b"", b"\r\n"),
            (OK + b"\r\n", b"x"),
            (WHOLE, b"x"),
        ],
    )
    async def test_an_upstream_that_does_not_read_is_cut_off(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against a connection that stays open because a part of the request
        # was never read: a close waits for it.
        upstream = EndlessUpstream(start, unit, reads=False)
        address = await upstreams.add(upstream)
        await forwarder.send(build_request(address, "POST", b"x" * 32 * MEBIBYTE))
        await await_closed(upstream)
        assert upstream.sent <= LIMITS.max_body_bytes + SOCKET_BYTES

    @pytest.mark.parametrize("size", [0, 1, 100_000, MEBIBYTE])
    async def test_an_answer_within_the_limits_is_taken(
        self, forwarder, upstreams, size
    ):
        # Guards against limits that break off proper answers.
        head = OK + f"Content-Length: {size}\r\n\r\n".encode()
        address = await upstreams.add(EndlessUpstream(head + b"x" * size, b"y"))
        result = await forwarder.send(build_request(address))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"x" * size

    async def test_an_answer_in_chunks_of_one_byte_is_taken(self, forwarder, upstreams):
        # Guards against a limit on framing that breaks off proper answers.
        body = b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"
        address = await upstreams.add(EndlessUpstream(CHUNKED + body, b"y"))
        result = await forwarder.send(build_request(address))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"x" * 20_000

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
        result = await forwarder.send(build_request(await upstreams.add(upstream)))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"x" * 5 * size

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
        result = await forwarder.send(build_request(await upstreams.add(upstream)))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"whole"

    async def test_a_head_request_may_state_any_length(self, forwarder, upstreams):
        # Guards against a limit on a body that does not come.
        start = OK + b"Content-Length: 99999999999999\r\n\r\n"
        address = await upstreams.add(EndlessUpstream(start, b"x"))
        result = await forwarder.send(build_request(address, "HEAD"))
        assert result.outcome is Outcome.COMPLETE


class TestRoomOfAllAnswers:
    async def test_many_endless_answers_share_one_room(self, upstreams):
        # Guards against several answers that are each within the limit and together
        # fill the memory of an instance.
        limits = ResponseLimits(
            max_body_bytes=64 * MEBIBYTE, max_total_bytes=2 * MEBIBYTE
        )
        forwarder = Forwarder(NAMES.request_id, NAMES.not_run, SystemClock(), limits)
        await forwarder.start()
        upstream = EndlessUpstream(OK + b"\r\n", b"x")
        address = await upstreams.add(upstream)
        results = await asyncio.gather(
            *(forwarder.send(build_request(address)) for _ in range(8))
        )
        assert {result.outcome for result in results} == {Outcome.TRUNCATED}
        assert ResponseFault.MEMORY_EXHAUSTED in {result.fault for result in results}
        await await_closed(upstream)
        assert forwarder.response_memory.used_bytes == 0
        await forwarder.stop()

    async def test_the_room_is_free_again_after_each_end(self, forwarder, upstreams):
        # Guards against a count that drifts until sound answers are broken off.
        shapes = [(WHOLE, b"x"), (b"", b"\r\n"), (OK + b"\r\n", b"x"), (CHUNKED, b"0")]
        for start, unit in shapes:
            upstream = EndlessUpstream(start, unit)
            address = await upstreams.add(upstream)
            await forwarder.send(build_request(address))
            await await_closed(upstream)
        sending = asyncio.create_task(
            forwarder.send(
                build_request(await upstreams.add(EndlessUpstream(OK, b"a")))
            )
        )
        await asyncio.sleep(0)
        sending.cancel()
        await asyncio.wait([sending])
        async with asyncio.timeout(10):
            while forwarder.response_memory.used_bytes:
                await asyncio.sleep(0.01)


class TestCallers:
    @pytest.fixture(autouse=True)
    def long_times(self, monkeypatch):
        monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 0.0)
        # A connect on a busy machine took 0.12 s.
        monkeypatch.setattr(forwarding, "CONNECT_TIMEOUT_SECONDS", 5.0)

    @staticmethod
    async def start(fleet):
        daemon = await fleet.add_gateway(answers=LIMITS)
        await fleet.await_true(
            lambda: len(daemon.follower.partitions) == ownership.PARTITION_COUNT
        )
        return daemon

    @pytest.mark.parametrize(
        ("start", "unit"),
        [shape[1:3] for shape in SHAPES],
        ids=[shape[0] for shape in SHAPES],
    )
    async def test_an_order_is_sent_once_and_answered(
        self, fleet, upstreams, start, unit
    ):
        # Guards against an order that is taken twice, against a success that no
        # upstream gave, and against a caller that waits until its time is over (504).
        found = [EndlessUpstream(start, unit) for _ in range(2)]
        for number, upstream in enumerate(found):
            await upstreams.announce(fleet, upstream, f"e{number}")
        daemon = await self.start(fleet)
        status, _, body = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 502
        assert b"upstream-failed" in body
        assert sum(upstream.opened for upstream in found) == 1

    @pytest.mark.parametrize(
        ("start", "unit"),
        [shape[1:3] for shape in SHAPES],
        ids=[shape[0] for shape in SHAPES],
    )
    async def test_a_read_gets_the_answer_of_another_upstream(
        self, fleet, upstreams, start, unit
    ):
        # Guards against reads that are lost at such an upstream.
        upstream = EndlessUpstream(start, unit)
        await upstreams.announce(fleet, upstream, "e0")
        await fleet.add_upstream()
        daemon = await self.start(fleet)
        for _ in range(4):
            status, headers, body = await fleet.send(daemon)
            assert (status, body) == (200, b"answer ")
            assert headers[NAMES.signature] == "s"

    async def test_the_log_names_the_fault(self, fleet, upstreams):
        # Guards against an answer that was broken off and looks like any other that
        # was cut.
        lines = []
        await upstreams.announce(fleet, EndlessUpstream(b"", b"\r\n"), "e0")
        daemon = await self.start(fleet)
        daemon._frontend._reporter._write = lines.append
        await fleet.send(daemon, "/orders/1", method="POST")
        ((upstream, outcome, _, fault),) = json.loads(lines[0])["sends"]
        assert (upstream, outcome, fault) == ("e0", "truncated", "head-too-long")
