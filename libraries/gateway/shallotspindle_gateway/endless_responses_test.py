import asyncio
import gc
import json

import pytest

from shallotspindle_entry.response_limits import ResponseFault, ResponseLimits
from shallotspindle_gateway import forwarding, ownership
from shallotspindle_gateway.conftest import RawCaller, build_forwarder, build_order
from shallotspindle_gateway.fakes import (
    CHUNK_BYTES,
    CHUNKED,
    COMPLETE_RESPONSE,
    LARGE_BYTES,
    LIMITS,
    MAX_SOCKET_BYTES,
    MEBIBYTE,
    NAMES,
    OK,
    SERVICE,
    STATUS_LINE,
    EndlessUpstream,
    build_request,
    wait_until_closed,
)
from shallotspindle_gateway.frontend import BufferedResponse
from shallotspindle_lending.records import Outcome
from shallotspindle_telemetry.unexpected import UnexpectedErrors

# Name, beginning, unit that is repeated without end, and expected fault.
ENDLESS_RESPONSES = (
    ("garbage", b"", b"\x00\xffgarbage", ResponseFault.MALFORMED),
    ("status-line", STATUS_LINE[:-2], b"K", ResponseFault.MALFORMED),
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
# A complete response and the unit that is repeated after it.
SURPLUS_BYTES = (
    (COMPLETE_RESPONSE, b"\x00\xffgarbage"),
    (COMPLETE_RESPONSE, COMPLETE_RESPONSE),
    (COMPLETE_RESPONSE, b"x"),
    (CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", b"\x00\xffgarbage"),
    (CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", COMPLETE_RESPONSE),
)


class TestEndlessResponses:
    @pytest.mark.parametrize(
        ("start", "unit", "fault"),
        [case[1:] for case in ENDLESS_RESPONSES],
        ids=[case[0] for case in ENDLESS_RESPONSES],
    )
    async def test_an_endless_response_is_aborted(
        self, forwarder, upstreams, start, unit, fault
    ):
        # Guards against an upstream that exhausts the memory of an instance or occupies
        # a request until its timeout.
        upstream = EndlessUpstream(start, unit)
        address = await upstreams.add(upstream)
        result = await forwarder.send(build_request(address))
        assert (result.outcome, result.response) == (Outcome.TRUNCATED, None)
        assert not result.did_not_run
        assert result.fault is fault
        await wait_until_closed(upstream)
        assert upstream.sent_bytes <= LIMITS.max_body_bytes + MAX_SOCKET_BYTES

    @pytest.mark.parametrize(("start", "unit"), SURPLUS_BYTES)
    async def test_bytes_after_a_complete_response_are_dropped(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against the loss of a complete response because of surplus bytes after
        # it: a POST would be reported as failed although it succeeded.
        upstream = EndlessUpstream(start, unit)
        address = await upstreams.add(upstream)
        result = await forwarder.send(build_request(address, "POST"))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"whole"
        await wait_until_closed(upstream)
        assert upstream.sent_bytes <= MAX_SOCKET_BYTES

    @pytest.mark.parametrize(
        ("start", "unit"),
        [
            (b"", b"\x00\xffgarbage"),
            (b"", b"\r\n"),
            (OK + b"\r\n", b"x"),
            (COMPLETE_RESPONSE, b"x"),
        ],
    )
    async def test_a_connection_whose_upstream_does_not_read_is_closed(
        self, forwarder, upstreams, start, unit
    ):
        # Guards against a connection that stays open because its close waits until the
        # upstream has read the request.
        upstream = EndlessUpstream(start, unit, reads_request=False)
        address = await upstreams.add(upstream)
        await forwarder.send(build_request(address, "POST", b"x" * 32 * MEBIBYTE))
        await wait_until_closed(upstream)
        assert upstream.sent_bytes <= LIMITS.max_body_bytes + MAX_SOCKET_BYTES

    @pytest.mark.parametrize("size", [0, 1, 100_000, MEBIBYTE])
    async def test_a_response_within_the_limits_is_accepted(
        self, forwarder, upstreams, size
    ):
        # Guards against limits that abort valid responses.
        head = OK + f"Content-Length: {size}\r\n\r\n".encode()
        address = await upstreams.add(EndlessUpstream(head + b"x" * size, b"y"))
        result = await forwarder.send(build_request(address))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"x" * size

    async def test_a_response_in_chunks_of_one_byte_is_accepted(
        self, forwarder, upstreams
    ):
        # Guards against a limit on framing that aborts valid responses.
        body = b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"
        address = await upstreams.add(EndlessUpstream(CHUNKED + body, b"y"))
        result = await forwarder.send(build_request(address))
        assert result.outcome is Outcome.COMPLETE
        assert result.response.body == b"x" * 20_000

    @pytest.mark.parametrize("size", [100, 3000, 200_000])
    async def test_a_long_chunked_response_is_read_to_its_end(
        self, forwarder, upstreams, size
    ):
        # Guards against losing the end of a response while reading is paused.
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

    async def test_a_head_sent_byte_by_byte_is_accepted(self, forwarder, upstreams):
        # Guards against missing the end of a head that arrives in several segments.
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for byte in b"HTTP/1.1 103 E\r\n\r\n" + COMPLETE_RESPONSE[:-5]:
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

    async def test_the_response_to_a_head_request_may_state_any_length(
        self, forwarder, upstreams
    ):
        # Guards against a limit on a body that is not sent.
        start = OK + b"Content-Length: 99999999999999\r\n\r\n"
        address = await upstreams.add(EndlessUpstream(start, b"x"))
        result = await forwarder.send(build_request(address, "HEAD"))
        assert result.outcome is Outcome.COMPLETE


class TestResponseMemory:
    async def test_all_endless_responses_share_one_memory_limit(self, upstreams):
        # Guards against several responses that are each within their limit and together
        # exhaust the memory of an instance.
        limits = ResponseLimits(
            max_body_bytes=64 * MEBIBYTE, max_total_bytes=2 * MEBIBYTE
        )
        forwarder = build_forwarder(limits, UnexpectedErrors())
        await forwarder.start()
        upstream = EndlessUpstream(OK + b"\r\n", b"x")
        address = await upstreams.add(upstream)
        results = await asyncio.gather(
            *(forwarder.send(build_request(address)) for _ in range(8))
        )
        assert {result.outcome for result in results} == {Outcome.TRUNCATED}
        assert ResponseFault.MEMORY_EXHAUSTED in {result.fault for result in results}
        await wait_until_closed(upstream)
        assert forwarder.response_memory.used_bytes == 0
        await forwarder.stop()

    async def test_memory_is_released_when_a_response_ends(self, forwarder, upstreams):
        # Guards against an accounting error that grows until valid responses are
        # aborted.
        cases = [
            (COMPLETE_RESPONSE, b"x"),
            (b"", b"\r\n"),
            (OK + b"\r\n", b"x"),
            (CHUNKED, b"0"),
        ]
        for start, unit in cases:
            upstream = EndlessUpstream(start, unit)
            address = await upstreams.add(upstream)
            await forwarder.send(build_request(address))
            await wait_until_closed(upstream)
        send_task = asyncio.create_task(
            forwarder.send(
                build_request(await upstreams.add(EndlessUpstream(OK, b"a")))
            )
        )
        await asyncio.sleep(0)
        send_task.cancel()
        await asyncio.wait([send_task])
        async with asyncio.timeout(10):
            while forwarder.response_memory.used_bytes:
                await asyncio.sleep(0.01)


class TestSlowCallers:
    # Guards against complete responses whose callers do not read: they were not counted
    # any more, and a few long ones exhausted the memory of an instance.

    LIMITS = ResponseLimits(max_total_bytes=3 * LARGE_BYTES)

    async def start(self, fleet):
        await fleet.add_upstream("large")
        daemon = await fleet.add_gateway(response_limits=self.LIMITS)
        await fleet.await_true(
            lambda: len(daemon.follower.partitions) == ownership.PARTITION_COUNT
        )
        return daemon, daemon._frontend._buffered

    @pytest.mark.usefixtures("no_startup_delay")
    async def test_their_responses_share_the_memory_limit(self, fleet):
        daemon, buffered = await self.start(fleet)
        callers = []
        for _ in range(6):
            caller = await RawCaller.connect(daemon, receive_bytes=4096)
            caller.write(build_order(b"order"))
            await caller.read_head()
            callers.append(caller)
            assert buffered.used_bytes <= self.LIMITS.max_total_bytes
        assert buffered.used_bytes > LARGE_BYTES
        status, _, body = await fleet.send(daemon)
        assert (status, len(body)) == (200, LARGE_BYTES)
        for caller in callers:
            caller.abort()
        await fleet.await_true(lambda: not buffered.used_bytes)

    @pytest.mark.usefixtures("no_startup_delay")
    async def test_a_response_that_is_read_late_is_complete(self, fleet):
        daemon, buffered = await self.start(fleet)
        caller = await RawCaller.connect(daemon, receive_bytes=4096)
        caller.write(build_order(b"order", "Connection: close"))
        await fleet.await_true(lambda: buffered.used_bytes >= LARGE_BYTES)
        await asyncio.sleep(0.2)
        assert buffered.used_bytes >= LARGE_BYTES
        _, _, body = (await caller.read()).partition(b"\r\n\r\n")
        assert len(body) == LARGE_BYTES
        await fleet.await_true(lambda: not buffered.used_bytes)

    @pytest.mark.usefixtures("no_startup_delay")
    async def test_a_response_is_held_once_and_until_it_was_sent(self, fleet):
        # Guards against bytes that are not counted: a second copy of a response that
        # waits for its caller, and the last response on each idle connection.
        daemon, _ = await self.start(fleet)
        caller = await RawCaller.connect(daemon, receive_bytes=4096)
        caller.write(build_order(b"order"))
        await caller.read_head()
        (connection,) = daemon._frontend._http_server.connections
        await fleet.await_true(connection.transport.get_write_buffer_size)
        assert connection.transport.get_write_buffer_size() <= 4 * CHUNK_BYTES
        await caller.read_body(LARGE_BYTES)
        await fleet.await_true(lambda: connection.is_idle)
        responses = [o for o in gc.get_objects() if isinstance(o, BufferedResponse)]
        assert not any(response.body for response in responses)


class TestCallerResponses:
    @pytest.fixture(autouse=True)
    def long_timeouts(self, monkeypatch):
        monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 0.0)
        # A connect on a busy machine took 0.12 s, longer than the default timeout.
        monkeypatch.setattr(forwarding, "CONNECT_TIMEOUT_SECONDS", 5.0)

    @staticmethod
    async def start_gateway(fleet):
        daemon = await fleet.add_gateway(response_limits=LIMITS)
        await fleet.await_true(
            lambda: len(daemon.follower.partitions) == ownership.PARTITION_COUNT
        )
        return daemon

    @pytest.mark.parametrize(
        ("start", "unit"),
        [case[1:3] for case in ENDLESS_RESPONSES],
        ids=[case[0] for case in ENDLESS_RESPONSES],
    )
    async def test_a_non_idempotent_request_is_sent_once(
        self, fleet, upstreams, start, unit
    ):
        # Guards against a request that runs twice, a success that no upstream reported,
        # and a caller that waits until its deadline (504).
        endless = [EndlessUpstream(start, unit) for _ in range(2)]
        for number, upstream in enumerate(endless):
            await upstreams.announce(fleet, upstream, f"e{number}")
        daemon = await self.start_gateway(fleet)
        status, _, body = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 502
        assert b"upstream-failed" in body
        assert sum(upstream.opened_connections for upstream in endless) == 1

    @pytest.mark.parametrize(
        ("start", "unit"),
        [case[1:3] for case in ENDLESS_RESPONSES],
        ids=[case[0] for case in ENDLESS_RESPONSES],
    )
    async def test_a_read_is_served_by_another_upstream(
        self, fleet, upstreams, start, unit
    ):
        # Guards against reads that fail because of one such upstream.
        upstream = EndlessUpstream(start, unit)
        await upstreams.announce(fleet, upstream, "e0")
        await fleet.add_upstream()
        daemon = await self.start_gateway(fleet)
        for _ in range(4):
            status, headers, body = await fleet.send(daemon)
            assert (status, body) == (200, b"answer ")
            assert headers[NAMES.signature] == "s"

    @pytest.mark.parametrize(
        ("mode", "fault"),
        [
            ("unsigned", "unsigned"),
            ("unnamed", "unnamed"),
            ("unnamed refusal", "unnamed"),
            ("mismatched", "mismatched"),
        ],
    )
    async def test_logs_and_metrics_tell_why_a_response_was_rejected(
        self, fleet, mode, fault
    ):
        # Guards against a faulty upstream that operators cannot tell from one that
        # breaks off its responses.
        lines = []
        await fleet.add_upstream(mode)
        daemon = await self.start_gateway(fleet)
        reporter = daemon._frontend._reporter
        reporter._stream.write = lines.append
        await fleet.send(daemon, "/orders/1", method="POST")
        line = json.loads(lines[0])
        assert (line["status"], line["refusal"]) == (502, "upstream-failed")
        ((upstream, outcome, _, logged_fault),) = line["sends"]
        assert (upstream, outcome, logged_fault) == ("u0", "truncated", fault)
        labels = f'{{fault="{fault}",service="{SERVICE}"}}'
        metric = f"shallotspindle_rejected_responses_total{labels} 1"
        assert metric in reporter.render()[0].decode().splitlines()

    async def test_the_log_line_names_the_fault(self, fleet, upstreams):
        # Guards against a log line in which an aborted response looks like any other
        # truncated one.
        lines = []
        await upstreams.announce(fleet, EndlessUpstream(b"", b"\r\n"), "e0")
        daemon = await self.start_gateway(fleet)
        daemon._frontend._reporter._stream.write = lines.append
        await fleet.send(daemon, "/orders/1", method="POST")
        ((upstream, outcome, _, fault),) = json.loads(lines[0])["sends"]
        assert (upstream, outcome, fault) == ("e0", "truncated", "head-too-long")
