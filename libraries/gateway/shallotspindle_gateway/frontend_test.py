import asyncio
import re

import pytest

from shallotspindle_entry.caller_memory import MemoryLimits
from shallotspindle_gateway import bodies
from shallotspindle_gateway.conftest import RawCaller, build_order
from shallotspindle_gateway.fakes import NAMES
from shallotspindle_gateway.records import Bounds

LIMITS = {
    "header_bytes": 2000,
    "body_bytes": 100_000,
    "header_seconds": 0.3,
    "idle_seconds": 0.3,
}


async def start_gateway(fleet, **limits):
    fleet.configure(version=2, limits=LIMITS | limits)
    await fleet.add_upstream()
    return await fleet.add_gateway()


async def connect(daemon):
    return await asyncio.open_connection("127.0.0.1", daemon.callers_port)


async def read_to_end(reader) -> bytes:
    async with asyncio.timeout(5):
        return await reader.read()


async def generate_chunks(size):
    for _ in range(size // 10_000):
        yield b"x" * 10_000


class TestHeaderLimits:
    async def test_incomplete_headers_get_status_408(self, fleet):
        # Guards against callers that occupy connections with an incomplete request.
        daemon = await start_gateway(fleet, idle_seconds=30.0)
        reader, writer = await connect(daemon)
        writer.write(b"GET /reads/1 HTTP/1.1\r\nHost: a")
        assert (await read_to_end(reader)).startswith(b"HTTP/1.1 408 ")
        writer.close()

    async def test_a_request_sent_in_segments_within_the_timeout_is_served(self, fleet):
        # Guards against a header timer that keeps running after the headers arrived.
        daemon = await start_gateway(fleet, idle_seconds=30.0)
        reader, writer = await connect(daemon)
        writer.write(b"GET /reads/1 HTTP/1.1\r\nHost: a\r\n")
        await asyncio.sleep(0.05)
        fields = f"{NAMES.request_id}: r1\r\nAuthorization: {NAMES.key_scheme} k1"
        writer.write(f"{fields}\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        await asyncio.sleep(0.5)
        assert not reader.at_eof()
        writer.close()

    async def test_headers_beyond_the_limit_are_refused(self, fleet):
        # Guards against a limit on single header lines instead of on all together.
        daemon = await start_gateway(fleet)
        reader, writer = await connect(daemon)
        lines = "".join(f"X-{number}: {'x' * 1000}\r\n" for number in range(3))
        writer.write(f"GET /reads/1 HTTP/1.1\r\nHost: a\r\n{lines}\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 431 ")
        writer.close()


class TestIdleConnections:
    async def test_an_idle_connection_is_closed_after_the_configured_time(self, fleet):
        # Guards against a fixed idle timeout that ignores the configuration.
        daemon = await start_gateway(fleet)
        reader, writer = await connect(daemon)
        assert await read_to_end(reader) == b""
        writer.close()


class TestBodyLimits:
    async def test_a_chunked_body_beyond_the_limit_is_refused(self, fleet):
        # Guards against a limit that applies only to a stated Content-Length.
        daemon = await start_gateway(fleet)
        status, _, _ = await fleet.send(
            daemon, "/orders/1", method="POST", body=generate_chunks(200_000)
        )
        assert status == 413
        assert not fleet.upstreams["u0"].executed

    async def test_a_chunked_body_within_the_limit_is_forwarded(self, fleet):
        # Guards against a limit that also refuses valid chunked bodies.
        daemon = await start_gateway(fleet)
        status, _, body = await fleet.send(
            daemon, "/orders/1", method="POST", body=generate_chunks(90_000)
        )
        assert (status, len(body)) == (200, 90_007)

    async def test_a_streamed_body_beyond_the_limit_aborts_its_attempt(
        self, fleet, monkeypatch
    ):
        # Guards against a limit that applies only to bodies held in memory.
        monkeypatch.setattr(bodies, "MAX_REPLAY_BYTES", 20_000)
        daemon = await start_gateway(fleet)
        status, _, _ = await fleet.send(
            daemon, "/orders/1", method="POST", body=generate_chunks(200_000)
        )
        assert status == 502


def build_read(name, *fields):
    """Return the bytes of an idempotent request."""
    lines = (
        f"GET /reads/{name} HTTP/1.1",
        "Host: a",
        f"{NAMES.request_id}: {name}",
        f"Authorization: {NAMES.key_scheme} k1",
        *fields,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


CHUNKED_READ = build_read("chunked", "Transfer-Encoding: chunked")
# Requests that are malformed in their request line, header and chunk size.
MALFORMED_REQUESTS = {
    "request-line": b"GET /reads/1 HTTP/9.x\r\nHost: a\r\n\r\n",
    "header": b"GET /reads/1 HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n",
    "chunk-size": CHUNKED_READ + b"zz\r\n",
    "later-chunk": CHUNKED_READ + b"1\r\na\r\nzz\r\n",
}


def list_responses(data):
    """Return status and request id of each response in the order of their arrival."""
    found = []
    for head in re.split(rb"HTTP/1\.[01] ", data)[1:]:
        name = re.search(rf"(?i){NAMES.request_id}: (\w+)".encode(), head)
        found.append((int(head[:3]), name.group(1).decode() if name else ""))
    return found


class TestPipelining:
    @pytest.mark.parametrize(
        "malformed", MALFORMED_REQUESTS.values(), ids=MALFORMED_REQUESTS
    )
    @pytest.mark.parametrize("count", [1, 40])
    async def test_requests_before_a_malformed_one_get_their_responses(
        self, fleet, malformed, count
    ):
        # Guards against a malformed request that costs the well-formed ones before it
        # in the same segment their responses.
        daemon = await start_gateway(fleet)
        reader, writer = await connect(daemon)
        names = [f"r{number}" for number in range(count)]
        requests = b"".join(build_read(name) for name in names)
        writer.write(requests + malformed + build_read("behind"))
        responses = await read_to_end(reader)
        writer.close()
        assert list_responses(responses)[:-1] == [(200, name) for name in names]
        assert [status for status, _ in list_responses(responses)][-1] == 400
        assert fleet.upstreams["u0"].executed == names

    async def test_requests_behind_one_that_closes_are_not_forwarded(self, fleet):
        # Guards against a 400 for a request with ``Connection: close`` because of what
        # follows it.
        daemon = await start_gateway(fleet)
        reader, writer = await connect(daemon)
        closing = build_read("last", "Connection: close")
        writer.write(build_read("first") + closing + build_read("behind") * 3)
        responses = await read_to_end(reader)
        writer.close()
        assert list_responses(responses) == [(200, "first"), (200, "last")]
        assert responses.count(b"Connection: close") == 1
        assert fleet.upstreams["u0"].executed == ["first", "last"]

    async def test_a_caller_that_leaves_ends_its_pipeline(self, fleet):
        # Guards against requests that are sent to an upstream for nobody.
        daemon = await start_gateway(fleet)
        upstream = fleet.upstreams["u0"]
        upstream.mode = "slow"
        _, writer = await connect(daemon)
        writer.write(build_read("a") + build_read("b") + build_read("c"))
        await fleet.await_true(lambda: upstream.executed)
        writer.close()
        await fleet.await_true(lambda: not daemon._lifecycle.running_requests)
        upstream.release.set()
        await asyncio.sleep(0.05)
        assert upstream.executed == ["a"]

    async def test_a_shutdown_ends_a_pipeline_after_a_response_that_says_so(
        self, fleet
    ):
        # Guards against requests that are forwarded although their connection closes.
        upstream = await fleet.add_upstream("slow")
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        reader, writer = await connect(daemon)
        writer.write(build_read("a") + build_read("b") + build_read("c"))
        await fleet.await_true(lambda: upstream.executed)
        stopping = asyncio.create_task(daemon.stop())
        await fleet.await_true(lambda: not daemon.is_ready())
        upstream.release.set()
        responses = await read_to_end(reader)
        writer.close()
        await stopping
        assert list_responses(responses) == [(200, "a")]
        assert b"Connection: close" in responses
        assert upstream.executed == ["a"]


@pytest.fixture(autouse=True)
def no_startup_delay(monkeypatch):
    monkeypatch.setattr("shallotspindle_gateway.ownership.STARTUP_DELAY_SECONDS", 0.0)


class TestCallerMemory:
    LIMITS = MemoryLimits(max_total_bytes=500_000)
    BODY = b"x" * 400_000

    async def start_gateway(self, fleet):
        fleet.configure()
        await fleet.add_upstream()
        return await fleet.add_gateway(memory_limits=self.LIMITS)

    async def test_a_request_that_yields_gets_a_truthful_503(self, fleet):
        # Guards against a request that is rejected for memory and runs all the same.
        daemon = await self.start_gateway(fleet)
        callers = [await RawCaller.connect(daemon) for _ in range(2)]
        for caller in callers:
            caller.write(build_order(self.BODY)[:-6])
        heads = [asyncio.create_task(caller.read_head()) for caller in callers]
        done, _ = await asyncio.wait(heads, return_when=asyncio.FIRST_COMPLETED)
        assert done.pop().result().startswith(b"HTTP/1.1 503 ")
        assert fleet.upstreams["u0"].executed == []
        for head, caller in zip(heads, callers, strict=True):
            head.cancel()
            caller.close()
        assert (await fleet.send(daemon))[0] == 200

    async def test_a_connection_may_send_any_number_of_bodies_in_turn(self, fleet):
        # Guards against bytes that stay counted after their response.
        daemon = await self.start_gateway(fleet)
        for _ in range(4):
            assert (await fleet.send(daemon, method="POST", body=self.BODY))[0] == 200
