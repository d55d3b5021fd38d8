import asyncio

import pytest

from shallotspindle_gateway import bodies
from shallotspindle_gateway.conftest import NAMES

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


@pytest.fixture(autouse=True)
def no_startup_delay(monkeypatch):
    monkeypatch.setattr("shallotspindle_gateway.ownership.STARTUP_DELAY_SECONDS", 0.0)
