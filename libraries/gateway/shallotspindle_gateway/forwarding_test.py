import asyncio
import gc
import json
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

import pytest
import pytest_asyncio

from shallotspindle_entry.response_limits import ResponseFault, ResponseLimits
from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import forwarding, ownership
from shallotspindle_gateway.conftest import (
    LARGE_BYTES,
    NAMES,
    SERVICE,
    RawCaller,
    build_order,
)
from shallotspindle_gateway.forwarding import Forwarder, UpstreamRequest
from shallotspindle_gateway.frontend import BufferedResponse
from shallotspindle_lending.records import Outcome
from shallotspindle_telemetry.unexpected import UnexpectedErrors

MEBIBYTE = 1024 * 1024
LIMITS = ResponseLimits(max_body_bytes=MEBIBYTE, max_total_bytes=4 * MEBIBYTE)
# What two sockets and two event loops may buffer beyond the limit on loopback.
MAX_SOCKET_BYTES = 16 * MEBIBYTE
# Longer than any test runs, so that the limits end a response and not the timeout.
TIMEOUT_SECONDS = 20.0
CHUNK_BYTES = 64 * 1024
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
SIGNATURE = f"{NAMES.signature}: s\r\n".encode()
OK = STATUS_LINE + SIGNATURE
COMPLETE_RESPONSE = OK + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

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


@dataclass
class EndlessUpstream:
    """Sends a beginning and then repeats a unit until its peer closes the connection.

    :param reads_request: whether it reads the request first.
    :param sent_bytes: bytes that the socket accepted.
    """

    start: bytes
    unit: bytes
    reads_request: bool = True
    sent_bytes: int = 0
    opened_connections: int = 0
    closed_connections: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened_connections += 1
        try:
            if self.reads_request:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            chunk = self.unit * (CHUNK_BYTES // len(self.unit))
            writer.write(self.start + chunk)
            while True:
                await writer.drain()
                self.sent_bytes += len(chunk)
                writer.write(chunk)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_connections += 1
            writer.transport.abort()


class UpstreamServers:
    """Servers of endless upstreams on loopback."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def add(self, upstream: EndlessUpstream) -> str:
        """Start a server for an upstream and return its address."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CHUNK_BYTES)
        server = await asyncio.start_server(upstream.serve, sock=listener)
        self._servers.append(server)
        host, port = listener.getsockname()
        return f"{host}:{port}"

    async def announce(self, fleet, upstream: EndlessUpstream, name: str) -> None:
        """Start a server for an upstream and announce it in the store of a fleet."""
        value = json.dumps([await self.add(upstream), "a"]).encode()
        fleet.store.put(f"upstreams/{name}", value)

    def close(self) -> None:
        for server in self._servers:
            server.close()


@pytest.fixture
def upstreams():
    servers = UpstreamServers()
    yield servers
    servers.close()


def build_forwarder(
    limits, errors, record_notice=lambda upstream, notice: None, header_names=NAMES
):
    return Forwarder(header_names, SystemClock(), limits, errors, record_notice)


@pytest_asyncio.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    created = build_forwarder(LIMITS, UnexpectedErrors())
    await created.start()
    yield created
    await created.stop()


def build_request(address, method="GET", body=None):
    return UpstreamRequest(address, method, "/1", {}, body, TIMEOUT_SECONDS)


async def wait_until_closed(upstream):
    """Wait until all connections of the upstream are closed."""
    async with asyncio.timeout(10):
        while (
            upstream.closed_connections < upstream.opened_connections
            or not upstream.opened_connections
        ):
            await asyncio.sleep(0.01)


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


REFUSAL = f"HTTP/1.1 503 Busy\r\n{NAMES.not_run}: 1\r\n".encode()
WHOLE_RESPONSES = {
    "length": OK + b"Name: v\r\nContent-Length: 5\r\n\r\nwhole",
    "empty": OK + b"Content-Length: 0\r\nName: v\r\n\r\n",
    "chunks": CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\n" + SIGNATURE + b"\r\n",
    "after-continue": b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_RESPONSE,
    "refusal": REFUSAL + b"Content-Length: 4\r\n\r\nbusy",
}


@dataclass
class CutUpstream(EndlessUpstream):
    """Sends only the start and closes or resets the connection then."""

    resets: bool = False

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.start)
        await writer.drain()
        if self.resets:
            writer.transport.abort()
        writer.close()


class TestTruncatedResponses:
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("whole", WHOLE_RESPONSES.values(), ids=WHOLE_RESPONSES)
    async def test_a_response_cut_at_any_byte_is_neither_complete_nor_a_refusal(
        self, forwarder, upstreams, whole, resets
    ):
        # Guards against a cut head that is passed on with an empty body.
        upstream = CutUpstream(b"", b"", resets=resets)
        request = build_request(await upstreams.add(upstream), "POST")
        for end in range(len(whole)):
            upstream.start = whole[:end]
            result = await forwarder.send(request)
            assert result.outcome in (Outcome.TRUNCATED, Outcome.RESET), end
            assert result.response is None
            assert not result.did_not_run


class TestStatuses:
    @pytest.mark.parametrize(
        "status", ["000", "001", "099", "600", "999", "20", "2000", "-20", "2x0"]
    )
    async def test_a_response_without_a_valid_status_is_none(
        self, forwarder, upstreams, status
    ):
        # Guards against a caller that gets a status which is no status as a complete
        # response.
        whole = COMPLETE_RESPONSE.replace(b"200", status.encode())
        address = await upstreams.add(EndlessUpstream(whole, b"x"))
        result = await forwarder.send(build_request(address, "POST"))
        assert (result.outcome, result.response) == (Outcome.TRUNCATED, None)
        assert result.fault is ResponseFault.MALFORMED
        assert not result.did_not_run


class TestEarlyResponses:
    @pytest.mark.parametrize("kept", [b"", b"Connection: keep-alive\r\n"])
    async def test_one_that_is_reset_during_the_upload_is_not_complete(
        self, forwarder, upstreams, kept
    ):
        # Guards against a part of a response without a length that looks complete
        # because the upload still ran when the connection was reset.
        upstream = CutUpstream(OK + kept + b"\r\npart", b"", resets=True)
        upload = b"x" * 32 * MEBIBYTE
        request = build_request(await upstreams.add(upstream), "POST", upload)
        for _ in range(20):
            result = await forwarder.send(request)
            assert result.outcome in (Outcome.TRUNCATED, Outcome.RESET)
            assert result.response is None
            assert not result.did_not_run

    @pytest.mark.parametrize("head", [OK, b"HTTP/1.1 204 No Content\r\n" + SIGNATURE])
    async def test_only_one_with_a_certain_end_is_complete_before_the_upload(
        self, forwarder, upstreams, head
    ):
        # Guards against the same while the caller still sends the rest of the upload:
        # the connection then ends without a reset.
        async def stream():
            yield b"x"
            await asyncio.Event().wait()

        upstream = CutUpstream(head + b"\r\n", b"")
        address = await upstreams.add(upstream)
        result = await forwarder.send(build_request(address, "POST", stream()))
        is_complete = head is not OK
        assert (result.outcome is Outcome.COMPLETE) is is_complete
        assert (result.response is not None) is is_complete


class TestRefusals:
    @pytest.mark.parametrize(
        ("status", "extra_line", "outcome"),
        [
            (421, "", Outcome.MISDIRECTED),
            (503, f"{NAMES.not_run}: 1\r\n", Outcome.SHED),
            (429, f"{NAMES.not_run}: 1\r\n", Outcome.SHED),
        ],
    )
    @pytest.mark.parametrize("names_request", [True, False])
    async def test_only_a_refusal_of_this_request_proves_that_it_did_not_run(
        self, forwarder, upstreams, status, extra_line, outcome, names_request
    ):
        # Guards against an earlier refusal that is written once more: its receiver
        # would be told that the request did not run, or it would run twice.
        named_id = "r1" if names_request else "another"
        start = (
            f"HTTP/1.1 {status} Refused\r\n{NAMES.request_id}: {named_id}\r\n"
            f"{extra_line}Content-Length: 0\r\n\r\n"
        )
        address = await upstreams.add(EndlessUpstream(start.encode(), b"x"))
        request = replace(
            build_request(address, "POST"), headers={NAMES.request_id: "r1"}
        )
        result = await forwarder.send(request)
        assert result.did_not_run is names_request
        assert result.outcome is (outcome if names_request else Outcome.TRUNCATED)


NAMED = f"{NAMES.request_id}: r1\r\n".encode()
NOT_RUN = f"{NAMES.not_run}: 1\r\n".encode()
EMPTY_BODY = b"Content-Length: 0\r\n\r\n"
PAGE = b"Content-Type: text/html\r\nContent-Length: 5\r\n\r\n<html"
# What an upstream may send in place of its response to request r1, and why it is
# rejected.
UNVOUCHED_RESPONSES = {
    "page": (STATUS_LINE + PAGE, ResponseFault.UNNAMED),
    "page-of-a-failure": (b"HTTP/1.1 500 E\r\n" + PAGE, ResponseFault.UNNAMED),
    "page-of-a-client-error": (b"HTTP/1.1 404 N\r\n" + PAGE, ResponseFault.UNNAMED),
    "redirect": (
        b"HTTP/1.1 302 F\r\nLocation: /\r\n" + PAGE,
        ResponseFault.UNNAMED,
    ),
    "unnamed": (OK + EMPTY_BODY, ResponseFault.UNNAMED),
    "unnamed-refusal": (
        b"HTTP/1.1 503 Busy\r\n" + NOT_RUN + EMPTY_BODY,
        ResponseFault.UNNAMED,
    ),
    "unnamed-misdirection": (b"HTTP/1.1 421 M\r\n" + PAGE, ResponseFault.UNNAMED),
    "mismatched": (
        OK + NAMED.replace(b"r1", b"r2") + EMPTY_BODY,
        ResponseFault.MISMATCHED,
    ),
    "unsigned": (STATUS_LINE + NAMED + PAGE, ResponseFault.UNSIGNED),
    "empty-signature": (
        STATUS_LINE + NAMED + SIGNATURE.replace(b"s\r", b"\r") + PAGE,
        ResponseFault.UNSIGNED,
    ),
    "unsigned-created": (
        b"HTTP/1.1 201 Created\r\n" + NAMED + EMPTY_BODY,
        ResponseFault.UNSIGNED,
    ),
    "unsigned-no-content": (
        b"HTTP/1.1 204 No Content\r\n" + NAMED + b"\r\n",
        ResponseFault.UNSIGNED,
    ),
    "unsigned-without-end": (STATUS_LINE + NAMED + b"\r\n", ResponseFault.UNSIGNED),
}
# Sound responses to request r1.
SOUND_RESPONSES = {
    "signed": OK + NAMED + b"Content-Length: 5\r\n\r\nwhole",
    "empty": OK + NAMED + EMPTY_BODY,
    "no-content": b"HTTP/1.1 204 No Content\r\n" + SIGNATURE + NAMED + b"\r\n",
    "signed-failure": b"HTTP/1.1 500 E\r\n" + SIGNATURE + NAMED + EMPTY_BODY,
    "failure": b"HTTP/1.1 500 E\r\n" + NAMED + EMPTY_BODY,
    "unavailable": b"HTTP/1.1 503 Busy\r\n" + NAMED + EMPTY_BODY,
    "client-error": b"HTTP/1.1 404 Not Found\r\n" + NAMED + PAGE,
    "redirect": b"HTTP/1.1 302 Found\r\nLocation: /\r\n" + NAMED + EMPTY_BODY,
    "not-modified": b"HTTP/1.1 304 Not Modified\r\n" + NAMED + b"\r\n",
}


def build_named_request(address, method="POST", body=None):
    request = build_request(address, method, body)
    return replace(request, headers={NAMES.request_id: "r1"})


class TestUnvouchedResponses:
    @pytest.mark.parametrize(
        ("response", "fault"), UNVOUCHED_RESPONSES.values(), ids=UNVOUCHED_RESPONSES
    )
    async def test_one_proves_neither_success_nor_failure(
        self, forwarder, upstreams, response, fault
    ):
        # Guards against a caller that gets a page of a faulty upstream as the result of
        # its order, and against an order that runs again because such a page denied it.
        address = await upstreams.add(CutUpstream(response, b""))
        result = await forwarder.send(build_named_request(address))
        assert (result.outcome, result.response) == (Outcome.TRUNCATED, None)
        assert not result.did_not_run
        assert result.fault is fault

    async def test_its_body_is_not_read(self, forwarder, upstreams):
        # Guards against memory and time spent on a body that is dropped.
        upstream = EndlessUpstream(STATUS_LINE + NAMED + b"\r\n", b"x")
        request = build_named_request(await upstreams.add(upstream))
        result = await forwarder.send(request)
        assert result.fault is ResponseFault.UNSIGNED
        await wait_until_closed(upstream)

    async def test_one_during_an_upload_ends_the_attempt(self, forwarder, upstreams):
        # Guards against an attempt that waits for the rest of an upload whose response
        # was already rejected.
        async def stream():
            yield b"x"
            await asyncio.Event().wait()

        upstream = EndlessUpstream(STATUS_LINE + NAMED + PAGE, b"x")
        address = await upstreams.add(upstream)
        async with asyncio.timeout(TIMEOUT_SECONDS / 2):
            result = await forwarder.send(
                build_named_request(address, "POST", stream())
            )
        assert result.fault is ResponseFault.UNSIGNED
        await wait_until_closed(upstream)

    @pytest.mark.parametrize("method", ["POST", "GET", "HEAD"])
    @pytest.mark.parametrize("response", SOUND_RESPONSES.values(), ids=SOUND_RESPONSES)
    async def test_a_sound_response_is_passed_on(
        self, forwarder, upstreams, response, method
    ):
        # Guards against checks that reject an upstream's own success or failure.
        address = await upstreams.add(CutUpstream(response, b""))
        result = await forwarder.send(build_named_request(address, method))
        assert result.response is not None
        assert result.response.status == int(response.split()[1])
        assert result.fault is None

    async def test_a_request_without_an_id_needs_none_in_its_response(
        self, forwarder, upstreams
    ):
        # Guards against callers without request ids that never get a response.
        address = await upstreams.add(EndlessUpstream(COMPLETE_RESPONSE, b"x"))
        result = await forwarder.send(build_request(address))
        assert result.outcome is Outcome.COMPLETE

    async def test_a_deployment_without_signatures_needs_none(self, upstreams):
        # Guards against a signature that is required where the settings name no header.
        names = replace(NAMES, signature="")
        forwarder = build_forwarder(LIMITS, UnexpectedErrors(), header_names=names)
        await forwarder.start()
        unsigned = STATUS_LINE + NAMED + EMPTY_BODY
        address = await upstreams.add(EndlessUpstream(unsigned, b"x"))
        result = await forwarder.send(build_named_request(address))
        assert result.outcome is Outcome.COMPLETE
        await forwarder.stop()


class TestUnexpectedErrors:
    async def test_an_error_of_our_own_still_has_a_result(self, upstreams):
        # Guards against a slot that is never returned, and against a request that is
        # reported as not run although it was sent.
        errors = UnexpectedErrors()
        forwarder = build_forwarder(LIMITS, errors)
        await forwarder.start()
        address = await upstreams.add(EndlessUpstream(COMPLETE_RESPONSE, b"x"))
        request = replace(build_request(address), headers={"a": "b\r\nc"})
        result = await forwarder.send(request)
        await forwarder.stop()
        assert (result.outcome, result.did_not_run) == (Outcome.CANCELLED, False)
        assert errors.counts == {"attempt at an upstream": 1}


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
