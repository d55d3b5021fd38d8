"""One attempt to run a request at an upstream.

The caller never gets a partial response as a complete one: a truncated response aborts
the caller's connection, and a response that names another request is dropped.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure, FailureError
from shallotspindle_entry import headers
from shallotspindle_entry.bodies import STREAM_CHUNK_BYTES
from shallotspindle_entry.calls import Call
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.headers import RequestOrigin
from shallotspindle_entry.interfaces import AttemptSample, StoredResponse
from shallotspindle_health.scoring import Outcome
from shallotspindle_notices.notices import NO_NOTICE, Notice
from shallotspindle_retries import eligibility

MAX_STORED_BODY_BYTES = 64 * 1024
MAX_DISCARDED_BODY_BYTES = 64 * 1024
BODILESS_STATUSES = frozenset({204, 304})
SERVER_ERROR = 500
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class CrossedAnswer(Failure):
    """The response names another request."""


@dataclass(frozen=True, slots=True)
class UnnamedAnswer(Failure):
    """The response does not name its request, as the settings require."""


@dataclass(frozen=True, slots=True)
class UnframedAnswer(Failure):
    """The response does not state its length, so a truncation would go unnoticed."""


@dataclass(slots=True)
class AttemptResult:
    """Result of one attempt.

    :param response: response whose sending to the caller has started; None if nothing
        was sent.
    :param stored_response: complete response to a request with an idempotency key.
    :param did_not_run: whether the upstream certainly did not run the request.
    :param status: status of a response that was not passed to the caller.
    :param load: load that the upstream reported, or None.
    """

    outcome: Outcome
    response: web.StreamResponse | None = None
    stored_response: StoredResponse | None = None
    did_not_run: bool = False
    status: int | None = None
    load: float | None = None
    duration_seconds: float = 0.0

    @property
    def outcome_headers(self) -> dict[str, str]:
        """Headers that tell the retry rules whether the upstream ran the request."""
        return (
            {eligibility.OUTCOME_HEADER: eligibility.NOT_RUN}
            if self.did_not_run
            else {}
        )

    def build_sample(self) -> AttemptSample:
        """Return the measurements that the balancer records about the upstream."""
        return AttemptSample(self.outcome, self.duration_seconds, self.load)


def check_response(
    response: aiohttp.ClientResponse, call: Call, requires_request_id: bool
) -> None:
    """Raise if a response may belong to another request or have no certain end.

    :param requires_request_id: whether a response must name its request.
    :raises FailureError: with ``CrossedAnswer``, ``UnnamedAnswer`` or
        ``UnframedAnswer``.
    """
    named_request_id = response.headers.get(headers.REQUEST_ID)
    if requires_request_id and named_request_id is None:
        raise FailureError(UnnamedAnswer("upstream", "the response names no request"))
    if named_request_id is not None and named_request_id != call.request_id:
        raise FailureError(
            CrossedAnswer(
                "upstream", "the response names another request", named_request_id
            )
        )
    has_no_body = call.method == "HEAD" or response.status in BODILESS_STATUSES
    has_framing = response.content_length is not None or response.headers.get(
        "Transfer-Encoding"
    )
    if not has_no_body and not has_framing:
        raise FailureError(UnframedAnswer("upstream", "the response has no length"))


async def discard_body(response: aiohttp.ClientResponse) -> None:
    """Read the body of a response that is not passed to the caller.

    A body above the limit is not read to its end: its connection is closed instead of
    reused.
    """
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_DISCARDED_BODY_BYTES:
            return


class Exchange:
    """Sends a request to upstreams and streams the response to the caller.

    :param record_notice: called with what a response says of its upstream.
    :param requires_request_id: whether a response must name its request.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        clock: Clock,
        request: web.Request,
        call: Call,
        record_notice: Callable[[Upstream, Notice], None],
        requires_request_id: bool,
    ) -> None:
        self._record_notice = record_notice
        self._requires_request_id = requires_request_id
        self._forwarder = forwarder
        self._clock = clock
        self._request = request
        self._call = call
        scheme = "https" if request.secure else "http"
        self._origin = RequestOrigin(request.remote or "unknown", request.host, scheme)

    async def run(self, upstream: Upstream, remaining_seconds: float) -> AttemptResult:
        """Run one attempt at an upstream.

        :param remaining_seconds: time until the deadline.
        """
        attempt = AttemptResult(Outcome.CANCELLED)
        started_at = self._clock.boottime()
        try:
            await self._transfer(upstream, remaining_seconds, attempt)
        except (aiohttp.ClientError, TimeoutError, OSError, FailureError) as error:
            self._set_failure_outcome(error, attempt)
            if attempt.response is not None:
                self._abort_caller()
        finally:
            attempt.duration_seconds = self._clock.boottime() - started_at
        return attempt

    async def _transfer(
        self, upstream: Upstream, remaining_seconds: float, attempt: AttemptResult
    ) -> None:
        call = self._call
        upstream_headers = headers.build_upstream_headers(
            self._request.headers, self._origin, call.request_id, remaining_seconds
        )
        async with self._forwarder.open(
            upstream,
            call.method,
            call.target,
            upstream_headers,
            self._build_body(),
            remaining_seconds,
            call.is_idempotent,
        ) as response:
            check_response(response, call, self._requires_request_id)
            attempt.load = headers.read_load(response.headers)
            notice = headers.read_notice(response.status, response.headers)
            if notice is not NO_NOTICE:
                self._record_notice(upstream, notice)
            if response.status == UNAVAILABLE:
                attempt.did_not_run = headers.says_not_run(response.headers)
                if attempt.did_not_run or call.is_idempotent:
                    attempt.outcome = Outcome.SHED
                    attempt.status = response.status
                    await discard_body(response)
                    return
            await self._relay(response, attempt)

    def _build_body(self) -> AsyncIterator[bytes] | None:
        if not self._call.body.exists:
            return None
        return self._call.body.iterate()

    async def _relay(
        self, upstream_response: aiohttp.ClientResponse, attempt: AttemptResult
    ) -> None:
        caller_headers = headers.copy_end_to_end_headers(upstream_response.headers)
        caller_headers[headers.REQUEST_ID] = self._call.request_id
        response = web.StreamResponse(
            status=upstream_response.status,
            reason=upstream_response.reason,
            headers=caller_headers,
        )
        attempt.response = response
        is_caller_gone = not await self._write_to_caller(
            response.prepare(self._request)
        )
        stored_chunks: list[bytes] = []
        size = 0
        async for chunk in upstream_response.content.iter_chunked(STREAM_CHUNK_BYTES):
            if self._call.is_at_most_once and size <= MAX_STORED_BODY_BYTES:
                stored_chunks.append(chunk)
            size += len(chunk)
            if not is_caller_gone:
                is_caller_gone = not await self._write_to_caller(response.write(chunk))
        if not is_caller_gone:
            await self._write_to_caller(response.write_eof())
        attempt.outcome = Outcome.COMPLETE
        if upstream_response.status >= SERVER_ERROR:
            attempt.outcome = Outcome.ERROR
        if self._call.is_at_most_once:
            # A body above the limit is truncated here and dropped by the claims, which
            # then report the request as completed without its response.
            fields = tuple((k, v) for k, v in caller_headers.items())
            attempt.stored_response = StoredResponse(
                upstream_response.status, fields, b"".join(stored_chunks)
            )

    async def _write_to_caller(self, write: Awaitable[None]) -> bool:
        """Write to the caller; return whether it is still connected.

        :raises ConnectionError: if the caller of an idempotent request disconnected. A
            non-idempotent request continues without its caller.
        """
        try:
            await write
        except ConnectionError:
            if self._call.is_idempotent:
                raise
            return False
        return True

    def _set_failure_outcome(self, error: Exception, attempt: AttemptResult) -> None:
        if self._call.body.has_failed:
            # The caller did not send its whole body, which is no fault of the upstream.
            attempt.outcome = Outcome.CANCELLED
        elif isinstance(
            error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
        ):
            attempt.outcome = Outcome.NOT_CONNECTED
            attempt.did_not_run = True
        elif isinstance(error, TimeoutError):
            attempt.outcome = Outcome.TIMED_OUT
        elif isinstance(error, aiohttp.ClientPayloadError | FailureError):
            attempt.outcome = Outcome.TRUNCATED
        elif isinstance(error, ConnectionError) and attempt.response is not None:
            attempt.outcome = Outcome.CANCELLED
        else:
            attempt.outcome = Outcome.RESET

    def _abort_caller(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()
