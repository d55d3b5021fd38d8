import asyncio
from dataclasses import replace

import pytest

from shallotspindle_entry.response_limits import ResponseFault
from shallotspindle_gateway.conftest import build_forwarder
from shallotspindle_gateway.fakes import (
    CHUNKED,
    COMPLETE_RESPONSE,
    LIMITS,
    MEBIBYTE,
    NAMES,
    OK,
    SIGNATURE,
    STATUS_LINE,
    TIMEOUT_SECONDS,
    CutUpstream,
    EndlessUpstream,
    build_request,
    wait_until_closed,
)
from shallotspindle_lending.records import Outcome
from shallotspindle_telemetry.unexpected import UnexpectedErrors

REFUSAL = f"HTTP/1.1 503 Busy\r\n{NAMES.not_run}: 1\r\n".encode()
WHOLE_RESPONSES = {
    "length": OK + b"Name: v\r\nContent-Length: 5\r\n\r\nwhole",
    "empty": OK + b"Content-Length: 0\r\nName: v\r\n\r\n",
    "chunks": CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\n" + SIGNATURE + b"\r\n",
    "after-continue": b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_RESPONSE,
    "refusal": REFUSAL + b"Content-Length: 4\r\n\r\nbusy",
}


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
INVALID_RESPONSES = {
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


class TestInvalidResponses:
    @pytest.mark.parametrize(
        ("response", "fault"), INVALID_RESPONSES.values(), ids=INVALID_RESPONSES
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
