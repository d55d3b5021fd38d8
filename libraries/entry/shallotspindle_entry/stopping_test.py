import asyncio
import socket
from contextlib import asynccontextmanager

from shallotspindle_entry.conftest import GUARD_SECONDS, KEY, await_true
from shallotspindle_entry.frontend_test import OK, post, read_problem
from shallotspindle_entry.interfaces import ClaimState
from shallotspindle_entry.lifecycle import Stage
from shallotspindle_entry.stopping import StopPlan

# Time for requests in work at the planned stops of these tests.
LIMIT_SECONDS = 0.4
SMALL_BUFFER_BYTES = 4096
# Below the size at which a handler waits for the caller, above those of the sockets.
HELD_BYTES = 60 * 1024
SHED = b"HTTP/1.1 503 Busy\r\nRequest-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
GET_LINES = (
    f"GET /records/1 HTTP/1.1\r\nHost: shop.test\r\nAuthorization: Bearer {KEY}"
).encode()
GET_REQUEST = GET_LINES + b"\r\n\r\n"


class RawCaller:
    """Caller that writes and reads at its own pace."""

    def __init__(self, reader, writer):
        self.reader = reader
        self._writer = writer

    def write(self, data):
        self._writer.write(data)

    async def read(self):
        """Return all bytes until the connection ends."""
        async with asyncio.timeout(GUARD_SECONDS):
            return await self.reader.read()


@asynccontextmanager
async def connect(proxy, receive_bytes=65536):
    """Yield a caller; its connection ends with the block."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    made.setblocking(False)
    await asyncio.get_running_loop().sock_connect(made, ("127.0.0.1", proxy.port))
    reader, writer = await asyncio.open_connection(sock=made, limit=receive_bytes)
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.close()


async def wait_forever(*_):
    await asyncio.Event().wait()


def hang(proxy, begun=b""):
    """Return a script that begins an answer and does not end it."""

    async def run(reader, writer):
        await proxy.upstream.read_head(reader)
        writer.write(begun)
        await reader.read()

    return run


async def await_closed(proxy):
    await await_true(lambda: proxy.lifecycle.stage is Stage.CLOSED)


async def await_half_a_request(proxy):
    """Wait until the start of a request has arrived on the only connection."""
    await await_true(lambda: not proxy.frontend.is_idle)


async def read_at_stop(proxy, request, is_due=None):
    """Send a request, stop while it is in work, and return its answer.

    :param is_due: tells whether the request is where the stop is to find it.
    """
    async with connect(proxy) as caller:
        caller.write(request)
        await await_true(is_due or (lambda: proxy.lifecycle.running_requests))
        await proxy.frontend.drain(0, LIMIT_SECONDS)
        return await caller.read()


def check_refusal(answer):
    """Check that an answer sends the caller elsewhere and that nothing ran."""
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in answer
    problem = read_problem(answer)
    assert (problem["type"].rsplit(":")[-1], problem["outcome"]) == (
        "stopping",
        "not-run",
    )


class TestStopPlan:
    def test_until_the_balancer_knows_every_request_is_served(self):
        # Guards against refusals while the balancer still sends requests.
        plan = StopPlan(closes_at=105.0, limit_seconds=60.0)
        assert plan.admits(104.9, 1000.0)

    def test_afterwards_a_request_has_to_end_within_the_limit(self):
        # Guards against work that the end of the process breaks off.
        plan = StopPlan(closes_at=105.0, limit_seconds=60.0)
        assert plan.admits(105.0, 165.0)
        assert not plan.admits(105.0, 165.1)


class TestPlannedStop:
    async def test_request_in_work_is_answered(self, proxy):
        # Guards against a planned stop that cuts a request.
        started, release = asyncio.Event(), asyncio.Event()

        async def wait(reader, writer):
            await proxy.upstream.read_head(reader)
            started.set()
            await release.wait()
            writer.write(OK)
            await writer.drain()

        proxy.upstream.scripts = [wait]
        sending = asyncio.create_task(proxy.get())
        await started.wait()
        stopping = asyncio.create_task(proxy.frontend.drain(0, GUARD_SECONDS))
        release.set()
        assert b"whole" in await sending
        await stopping

    async def test_request_that_waits_for_an_upstream_is_refused(
        self, proxy, monkeypatch
    ):
        # Guards against a wait in a queue that the end of the process cuts.
        monkeypatch.setattr(proxy.balancer, "assign", wait_forever)
        check_refusal(await read_at_stop(proxy, GET_REQUEST))

    async def test_request_that_waits_for_a_token_is_refused(self, proxy, monkeypatch):
        monkeypatch.setattr(proxy.admission, "acquire", wait_forever)
        check_refusal(await read_at_stop(proxy, GET_REQUEST))

    async def test_body_that_still_arrives_is_refused(self, proxy):
        # Guards against a closed connection under an upload over a slow link.
        request = post("/records/photo", "x" * 1000)[:-500]
        check_refusal(await read_at_stop(proxy, request))
        assert proxy.upstream.received == []

    async def test_shed_request_that_waits_again_did_not_run(self, proxy, monkeypatch):
        # Guards against an unknown outcome where the upstream shed the request.
        proxy.upstream.scripts = [proxy.upstream.answer(SHED)]
        assign = proxy.balancer.assign

        async def assign_once(service, team, fingerprint, tried, deadline):
            if tried:
                await wait_forever()
            return await assign(service, team, fingerprint, tried, deadline)

        monkeypatch.setattr(proxy.balancer, "assign", assign_once)
        request = post("/deposits", "x", "Idempotency-Key: k1")
        answer = await read_at_stop(proxy, request, proxy.upstream.ended.is_set)
        check_refusal(answer)
        assert read_problem(answer)["attempt"] == "forwarded"
        # The key is free again, also for another request.
        claimed = await proxy.claims.claim("museum", "k1", b"another digest", 0.0)
        assert claimed.state is ClaimState.GRANTED

    async def test_key_of_a_refused_request_is_not_looked_up(self, proxy, monkeypatch):
        # Guards against "not-run" for a repeat whose first request did run.
        monkeypatch.setattr(proxy.admission, "acquire", wait_forever)
        request = post("/deposits", "x", "Idempotency-Key: k1")
        problem = read_problem(await read_at_stop(proxy, request))
        assert problem["outcome"] == "unknown"
        assert problem["attempt"] == "not-forwarded"

    async def test_request_at_a_hanging_upstream_has_an_unknown_outcome(self, proxy):
        # Guards against a connection that ends without an answer.
        proxy.upstream.scripts = [hang(proxy)]
        request = post("/deposits", "x", "Idempotency-Key: k1")
        answer = await read_at_stop(proxy, request, lambda: proxy.upstream.received)
        assert answer.startswith(b"HTTP/1.1 504 ")
        problem = read_problem(answer)
        assert (problem["outcome"], problem["attempt"]) == ("unknown", "forwarded")

    async def test_stream_without_an_end_does_not_look_whole(self, proxy):
        begun = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        proxy.upstream.scripts = [hang(proxy, begun)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST)
            await caller.reader.readuntil(b"part")
            await proxy.frontend.drain(0, LIMIT_SECONDS)
            assert not (await caller.read()).endswith(b"0\r\n\r\n")

    async def test_kept_connection_brings_no_work_that_is_broken_off(self, proxy):
        # Guards against a request sent to an upstream while the process ends.
        proxy.upstream.scripts = [proxy.upstream.answer(OK, OK)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST)
            await caller.reader.readuntil(b"whole")
            await proxy.frontend.drain(0, LIMIT_SECONDS)
            assert await caller.read() == b""

    async def test_late_request_that_may_outlast_the_stop_runs_nowhere(self, proxy):
        # Guards against work that a planned stop breaks off at its upstream.
        proxy.upstream.scripts = [hang(proxy)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST[:-2])
            await await_half_a_request(proxy)
            stopping = asyncio.create_task(proxy.frontend.drain(0, LIMIT_SECONDS))
            await await_closed(proxy)
            caller.write(GET_REQUEST[-2:])
            check_refusal(await caller.read())
            await stopping
        assert proxy.upstream.received == []

    async def test_late_request_with_a_short_deadline_is_served(self, proxy):
        # Guards against refusals of what a planned stop has time for.
        proxy.upstream.scripts = [proxy.upstream.answer(OK)]
        async with connect(proxy) as caller:
            caller.write(GET_LINES + b"\r\nRequest-Timeout: 5\r\n")
            await await_half_a_request(proxy)
            stopping = asyncio.create_task(proxy.frontend.drain(0, GUARD_SECONDS))
            await await_closed(proxy)
            caller.write(b"\r\n")
            assert (await caller.read()).endswith(b"whole")
            await stopping

    async def test_last_answers_leave_before_the_stop_goes_on(self, proxy):
        # Guards against an answer at the limit that the end of the process cuts.
        proxy.upstream.scripts = [hang(proxy)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST)
            await await_true(lambda: proxy.upstream.received)
            await proxy.frontend.drain(0, LIMIT_SECONDS)
            assert proxy.frontend.is_idle
            assert (await caller.read()).startswith(b"HTTP/1.1 504 ")

    async def test_header_lines_that_still_arrive_are_answered(self, proxy):
        # Guards against a closed connection under a request over a slow link.
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST[:-2])
            await await_half_a_request(proxy)
            await proxy.frontend.drain(0, LIMIT_SECONDS)
            assert proxy.frontend.is_idle
            assert (await caller.read()).startswith(b"HTTP/1.1 408 ")

    async def test_answer_on_a_slow_link_is_delivered(self, proxy):
        # Guards against an answer that is cut while a slow link carries it.
        proxy.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        body = b"x" * HELD_BYTES
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        proxy.upstream.scripts = [proxy.upstream.answer(head + body)]
        async with connect(proxy, SMALL_BUFFER_BYTES) as caller:
            caller.write(GET_REQUEST)
            await proxy.upstream.ended.wait()
            await await_true(lambda: not proxy.lifecycle.running_requests)
            stopping = asyncio.create_task(proxy.frontend.drain(0, GUARD_SECONDS))
            await await_closed(proxy)
            await asyncio.sleep(0.2)
            assert not stopping.done()
            assert (await caller.read()).endswith(body)
            await stopping
