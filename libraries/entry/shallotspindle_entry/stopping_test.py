import asyncio
import socket
from contextlib import asynccontextmanager

from shallotspindle_entry.conftest import API_KEY, TEST_TIMEOUT_SECONDS, await_true
from shallotspindle_entry.frontend_test import OK_RESPONSE, post, read_problem
from shallotspindle_entry.interfaces import ClaimState
from shallotspindle_entry.lifecycle import Stage
from shallotspindle_entry.stopping import StopPlan

# Time limit for running requests during the shutdowns of these tests.
STOP_LIMIT_SECONDS = 0.4
SMALL_BUFFER_BYTES = 4096
# Smaller than the buffer whose size makes a handler wait for the caller, and larger
# than the socket buffers.
BUFFERED_BODY_BYTES = 60 * 1024
SHED_RESPONSE = (
    b"HTTP/1.1 503 Busy\r\nRequest-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
)
GET_REQUEST_START = (
    f"GET /records/1 HTTP/1.1\r\nHost: shop.test\r\nAuthorization: Bearer {API_KEY}"
).encode()
GET_REQUEST = GET_REQUEST_START + b"\r\n\r\n"


class RawCaller:
    """Caller that writes and reads raw bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self._writer = writer

    def write(self, data):
        self._writer.write(data)

    async def read(self):
        """Return all bytes received until the connection ends."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await self.reader.read()


@asynccontextmanager
async def connect(proxy, receive_bytes=65536):
    """Yield a connected caller and close its connection at the end of the block.

    :param receive_bytes: size of the receive buffer.
    """
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", proxy.port))
    reader, writer = await asyncio.open_connection(sock=connection, limit=receive_bytes)
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.close()


async def wait_forever(*_):
    await asyncio.Event().wait()


def hang(proxy, response_start=b""):
    """Return a script that starts a response and never ends it."""

    async def run(reader, writer):
        await proxy.upstream.read_head(reader)
        writer.write(response_start)
        await reader.read()

    return run


async def await_closed_stage(proxy):
    await await_true(lambda: proxy.lifecycle.stage is Stage.CLOSED)


async def await_incomplete_request(proxy):
    """Wait until the start of a request has arrived at the front end."""
    await await_true(lambda: not proxy.frontend.is_idle)


async def stop_during_request(proxy, request, is_due=None):
    """Send a request, shut down while it is running, and return its response.

    :param is_due: tells whether the shutdown can begin; by default, it begins once a
        request is running.
    """
    async with connect(proxy) as caller:
        caller.write(request)
        await await_true(is_due or (lambda: proxy.lifecycle.running_requests))
        await proxy.frontend.drain(0, STOP_LIMIT_SECONDS)
        return await caller.read()


def check_refusal(response):
    """Check that a response refuses the request and states that it did not run."""
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in response
    problem = read_problem(response)
    assert (problem["type"].rsplit(":")[-1], problem["outcome"]) == (
        "stopping",
        "not-run",
    )


class TestStopPlan:
    def test_every_request_is_served_until_the_load_balancer_is_aware(self):
        # Guards against refusals while the load balancer still sends requests.
        plan = StopPlan(close_listener_at=105.0, limit_seconds=60.0)
        assert plan.admits(104.9, 1000.0)

    def test_later_request_is_served_only_if_it_ends_within_the_limit(self):
        # Guards against requests that the end of the process interrupts.
        plan = StopPlan(close_listener_at=105.0, limit_seconds=60.0)
        assert plan.admits(105.0, 165.0)
        assert not plan.admits(105.0, 165.1)


class TestGracefulShutdown:
    async def test_running_request_is_completed(self, proxy):
        # Guards against a graceful shutdown that interrupts a request.
        started, release = asyncio.Event(), asyncio.Event()

        async def wait(reader, writer):
            await proxy.upstream.read_head(reader)
            started.set()
            await release.wait()
            writer.write(OK_RESPONSE)
            await writer.drain()

        proxy.upstream.scripts = [wait]
        sending = asyncio.create_task(proxy.get())
        await started.wait()
        stopping = asyncio.create_task(proxy.frontend.drain(0, TEST_TIMEOUT_SECONDS))
        release.set()
        assert b"whole" in await sending
        await stopping

    async def test_request_that_waits_for_an_upstream_is_refused(
        self, proxy, monkeypatch
    ):
        # Guards against a queued request that the end of the process interrupts.
        monkeypatch.setattr(proxy.balancer, "assign", wait_forever)
        check_refusal(await stop_during_request(proxy, GET_REQUEST))

    async def test_request_that_waits_for_a_token_is_refused(self, proxy, monkeypatch):
        # Guards against a request that waits for its rate limit when the process ends.
        monkeypatch.setattr(proxy.admission, "acquire", wait_forever)
        check_refusal(await stop_during_request(proxy, GET_REQUEST))

    async def test_request_with_an_incomplete_body_is_refused(self, proxy):
        # Guards against closing the connection of an upload over a slow link.
        request = post("/records/photo", "x" * 1000)[:-500]
        check_refusal(await stop_during_request(proxy, request))
        assert proxy.upstream.received == []

    async def test_shed_request_that_waits_for_a_retry_did_not_run(
        self, proxy, monkeypatch
    ):
        # Guards against an unknown outcome although the upstream shed the request.
        proxy.upstream.scripts = [proxy.upstream.respond(SHED_RESPONSE)]
        assign = proxy.balancer.assign

        async def assign_once(service, team, fingerprint, tried_upstreams, deadline):
            if tried_upstreams:
                await wait_forever()
            return await assign(service, team, fingerprint, tried_upstreams, deadline)

        monkeypatch.setattr(proxy.balancer, "assign", assign_once)
        request = post("/deposits", "x", "Idempotency-Key: k1")
        response = await stop_during_request(
            proxy, request, proxy.upstream.ended.is_set
        )
        check_refusal(response)
        assert read_problem(response)["attempt"] == "forwarded"
        # The idempotency key was released and can be claimed by another request.
        claimed = await proxy.claims.claim("museum", "k1", b"another digest", 0.0)
        assert claimed.state is ClaimState.GRANTED

    async def test_refusal_before_the_key_lookup_has_an_unknown_outcome(
        self, proxy, monkeypatch
    ):
        # Guards against "not-run" for a retry whose first request did run.
        monkeypatch.setattr(proxy.admission, "acquire", wait_forever)
        request = post("/deposits", "x", "Idempotency-Key: k1")
        problem = read_problem(await stop_during_request(proxy, request))
        assert problem["outcome"] == "unknown"
        assert problem["attempt"] == "not-forwarded"

    async def test_request_at_a_hanging_upstream_has_an_unknown_outcome(self, proxy):
        # Guards against a connection that ends without a response.
        proxy.upstream.scripts = [hang(proxy)]
        request = post("/deposits", "x", "Idempotency-Key: k1")
        response = await stop_during_request(
            proxy, request, lambda: proxy.upstream.received
        )
        assert response.startswith(b"HTTP/1.1 504 ")
        problem = read_problem(response)
        assert (problem["outcome"], problem["attempt"]) == ("unknown", "forwarded")

    async def test_interrupted_stream_does_not_look_complete(self, proxy):
        # Guards against a truncated response that looks complete to the caller.
        response_start = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        )
        proxy.upstream.scripts = [hang(proxy, response_start)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST)
            await caller.reader.readuntil(b"part")
            await proxy.frontend.drain(0, STOP_LIMIT_SECONDS)
            assert not (await caller.read()).endswith(b"0\r\n\r\n")

    async def test_idle_connection_is_closed_during_the_shutdown(self, proxy):
        # Guards against a request that arrives on an idle connection and is interrupted
        # at its upstream when the process ends.
        proxy.upstream.scripts = [proxy.upstream.respond(OK_RESPONSE, OK_RESPONSE)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST)
            await caller.reader.readuntil(b"whole")
            await proxy.frontend.drain(0, STOP_LIMIT_SECONDS)
            assert await caller.read() == b""

    async def test_late_request_that_may_outlast_the_shutdown_is_refused(self, proxy):
        # Guards against a request that the shutdown interrupts at its upstream.
        proxy.upstream.scripts = [hang(proxy)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST[:-2])
            await await_incomplete_request(proxy)
            stopping = asyncio.create_task(proxy.frontend.drain(0, STOP_LIMIT_SECONDS))
            await await_closed_stage(proxy)
            caller.write(GET_REQUEST[-2:])
            check_refusal(await caller.read())
            await stopping
        assert proxy.upstream.received == []

    async def test_body_that_ends_late_is_not_sent_if_it_may_outlast_the_shutdown(
        self, proxy
    ):
        # Guards against an order that is passed on late and aborted at its upstream.
        proxy.upstream.scripts = [hang(proxy)]
        sent = post("/records/photo", "x" * 1000)
        async with connect(proxy) as caller:
            caller.write(sent[:-500])
            await await_true(lambda: proxy.lifecycle.running_requests)
            stopping = asyncio.create_task(proxy.frontend.drain(0, STOP_LIMIT_SECONDS))
            await await_closed_stage(proxy)
            caller.write(sent[-500:])
            check_refusal(await caller.read())
            await stopping
        assert proxy.upstream.received == []

    async def test_late_request_with_a_short_deadline_is_served(self, proxy):
        # Guards against refusing a request that ends before the shutdown does.
        proxy.upstream.scripts = [proxy.upstream.respond(OK_RESPONSE)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST_START + b"\r\nRequest-Timeout: 5\r\n")
            await await_incomplete_request(proxy)
            stopping = asyncio.create_task(
                proxy.frontend.drain(0, TEST_TIMEOUT_SECONDS)
            )
            await await_closed_stage(proxy)
            caller.write(b"\r\n")
            assert (await caller.read()).endswith(b"whole")
            await stopping

    async def test_last_responses_are_sent_before_the_shutdown_continues(self, proxy):
        # Guards against a response, sent at the time limit, that the end of the process
        # interrupts.
        proxy.upstream.scripts = [hang(proxy)]
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST)
            await await_true(lambda: proxy.upstream.received)
            await proxy.frontend.drain(0, STOP_LIMIT_SECONDS)
            assert proxy.frontend.is_idle
            assert (await caller.read()).startswith(b"HTTP/1.1 504 ")

    async def test_request_with_incomplete_headers_gets_status_408(self, proxy):
        # Guards against closing the connection of a request over a slow link without a
        # response.
        async with connect(proxy) as caller:
            caller.write(GET_REQUEST[:-2])
            await await_incomplete_request(proxy)
            await proxy.frontend.drain(0, STOP_LIMIT_SECONDS)
            assert proxy.frontend.is_idle
            assert (await caller.read()).startswith(b"HTTP/1.1 408 ")

    async def test_response_on_a_slow_link_is_delivered(self, proxy):
        # Guards against a response that is truncated while a slow link delivers it.
        proxy.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        body = b"x" * BUFFERED_BODY_BYTES
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        proxy.upstream.scripts = [proxy.upstream.respond(head + body)]
        async with connect(proxy, SMALL_BUFFER_BYTES) as caller:
            caller.write(GET_REQUEST)
            await proxy.upstream.ended.wait()
            await await_true(lambda: not proxy.lifecycle.running_requests)
            stopping = asyncio.create_task(
                proxy.frontend.drain(0, TEST_TIMEOUT_SECONDS)
            )
            await await_closed_stage(proxy)
            await asyncio.sleep(0.2)
            assert not stopping.done()
            assert (await caller.read()).endswith(body)
            await stopping
