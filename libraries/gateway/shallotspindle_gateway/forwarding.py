"""Sends requests to upstreams over a new connection for each attempt.

Since connections are not reused, a failed connect proves that the request did not run,
a broken network path shows before the first byte is sent, and late or surplus bytes of
an earlier response cannot be read as this one.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiomisc import Service
from multidict import CIMultiDict

from shallotspindle_core.clock import Clock
from shallotspindle_entry.headers import RETRY_AFTER
from shallotspindle_entry.response_limits import ResponseFault, ResponseLimits
from shallotspindle_entry.upstream_connections import (
    BoundedConnector,
    BoundedResponseHandler,
    ResponseAbortedError,
    find_fault,
)
from shallotspindle_gateway import response_checks
from shallotspindle_gateway.buffered_responses import BufferedResponses
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_lending.records import Outcome
from shallotspindle_notices import notices
from shallotspindle_notices.notices import NO_NOTICE, Notice
from shallotspindle_registry.records import UNKNOWN_INCARNATION, Incarnation
from shallotspindle_telemetry.unexpected import UnexpectedErrors

CONNECT_TIMEOUT_SECONDS = 0.08
# Also bounds the chunks that are parsed without a pause: 256, 0.5 ms of processor time.
READ_BUFFER_BYTES = 4 * 1024
SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = frozenset({204, 304})
MISDIRECTED_REQUEST = 421
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
BAD_REQUEST = 400
NOT_RUN_STATUSES = frozenset(
    {BAD_REQUEST, TOO_MANY_REQUESTS, SERVER_ERROR, SERVICE_UNAVAILABLE}
)


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    status: int
    reason: str
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    :param response: the complete response, if one for this request was received.
    :param did_not_run: whether the upstream certainly did not run the request.
    :param duration_seconds: time from the start to the end of the attempt.
    :param fault: why the response was rejected.
    """

    outcome: Outcome
    response: UpstreamResponse | None = None
    did_not_run: bool = False
    duration_seconds: float = 0.0
    fault: ResponseFault | None = None


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream.

    :param address: ``host:port`` of the upstream.
    :param target: path and query, already encoded.
    :param body: the whole body, or a stream of its chunks.
    :param timeout_seconds: maximum time until the response is complete.
    :param incarnation: identifies the upstream in what its response says of it.
    """

    address: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    timeout_seconds: float
    incarnation: Incarnation = UNKNOWN_INCARNATION


@dataclass(slots=True)
class Upload:
    """The body of one attempt.

    :param is_sent: whether its last chunk was handed to the connection. A body in
        memory is handed over at once, and a reset shows whether it was sent.
    """

    body: bytes | AsyncIterator[bytes] | None
    is_sent: bool = True

    def get_content(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in the form that the session sends."""
        if self.body is None or isinstance(self.body, bytes):
            return self.body
        return self._stream(self.body)

    async def _stream(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        self.is_sent = False
        async for chunk in chunks:
            yield chunk
        self.is_sent = True


NoticeListener = Callable[[Incarnation, Notice], None]


class Forwarder(Service):
    """Owns the connections to upstreams.

    :param header_names: the headers by which a response is validated, and by which an
        upstream states that it did not run a request, or that it leaves.
    :param record_notice: called with what a response says of its upstream, as soon as
        its head has arrived.
    :param errors: counts unexpected errors. An attempt that ends with one must still
        have a result, since its slot is returned with it.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        clock: Clock,
        limits: ResponseLimits,
        errors: UnexpectedErrors,
        record_notice: NoticeListener,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._errors = errors
        self._header_names = header_names
        self._record_notice = record_notice
        self._clock = clock
        self._limits = limits
        self.response_memory = BufferedResponses(limits.max_total_bytes)

    async def start(self) -> None:
        connector = BoundedConnector(self._build_handler, limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=(
                "Accept",
                "Accept-Encoding",
                "User-Agent",
                "Content-Type",
            ),
        )
        # aiohttp would retry idempotent methods by itself, outside the retry budget.
        self._session._retry_connection = False

    async def stop(self, exception: Exception | None = None) -> None:
        await self._session.close()

    def _build_handler(self) -> BoundedResponseHandler:
        """Return the protocol object for a new connection."""
        loop = asyncio.get_running_loop()
        number = self.response_memory.create_number()
        return BoundedResponseHandler(
            loop, self._limits, number, self._record_buffered_bytes
        )

    def _record_buffered_bytes(
        self, handler: BoundedResponseHandler, size: int
    ) -> None:
        """Record the bytes that a connection buffers.

        :param size: buffered bytes; 0 when the connection holds none any more.
        """
        if not size:
            self.response_memory.release(handler.connection_id)
            return
        self.response_memory.set_size(
            handler.connection_id,
            size,
            lambda: handler.abort_response(ResponseFault.MEMORY_EXHAUSTED),
        )

    async def send(self, request: UpstreamRequest) -> AttemptResult:
        """Send a request and return when its response is complete or has failed."""
        started_at = self._clock.boottime()
        fault = None
        try:
            outcome, response, did_not_run = await self._exchange(request)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome, response = classify_error(error), None
            did_not_run = outcome is Outcome.NOT_CONNECTED
            fault = find_fault(error)
            # Its frames refer to the response body; see _read_body.
            error.__traceback__ = None
        except Exception:
            # Says nothing about the upstream, which may have run the request.
            self._errors.record("attempt at an upstream")
            outcome, response, did_not_run = Outcome.CANCELLED, None, False
        duration_seconds = self._clock.boottime() - started_at
        return AttemptResult(outcome, response, did_not_run, duration_seconds, fault)

    async def _exchange(
        self, request: UpstreamRequest
    ) -> tuple[Outcome, UpstreamResponse | None, bool]:
        upload = Upload(request.body)
        async with self._session.request(
            request.method,
            aiohttp.client.URL(
                f"http://{request.address}{request.target}", encoded=True
            ),
            headers=request.headers,
            data=upload.get_content(),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=request.timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        ) as response:
            self._check_head(request, response)
            self._report_notice(request, response)
            connection = response.connection
            protocol = connection.protocol if connection is not None else None
            body = await self._read_body(response)
            was_reset = protocol is not None and protocol.was_reset
            # An upstream that closes before it has the whole request has failed.
            if is_close_delimited(response) and (was_reset or not upload.is_sent):
                return Outcome.TRUNCATED, None, False
            return self._classify_response(response, body)

    def _check_head(
        self, request: UpstreamRequest, response: aiohttp.ClientResponse
    ) -> None:
        """Validate a response before anything that it states is used.

        A refusal of another request, for one, proves nothing about this one.

        :raises ResponseAbortedError: if the response is invalid.
        """
        fault = response_checks.find_head_fault(
            self._header_names, request.headers, response.status, response.headers
        )
        if fault is not None:
            raise ResponseAbortedError(fault)

    def _report_notice(
        self, request: UpstreamRequest, response: aiohttp.ClientResponse
    ) -> None:
        """Report what a response says of its upstream, before its body arrives."""
        notice = notices.read_notice(
            response.status,
            response.headers.get(self._header_names.leaving, ""),
            response.headers.get(RETRY_AFTER, ""),
        )
        if notice is not NO_NOTICE:
            self._record_notice(request.incarnation, notice)

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Read the complete body.

        :raises ResponseAbortedError: if the response switches protocols or states a
            length above the limit.
        """
        if response.status == SWITCHING_PROTOCOLS:
            # No request asks for an upgrade, and no HTTP response follows one.
            raise ResponseAbortedError(ResponseFault.MALFORMED)
        content_length_value = response.content_length or 0
        if (
            content_length_value > self._limits.max_body_bytes
            and not response.content.at_eof()
        ):
            raise ResponseAbortedError(ResponseFault.BODY_TOO_LONG)
        chunks = []
        try:
            async for chunk in response.content.iter_any():
                chunks.append(chunk)
                if not response.content.at_eof():
                    # The stream returns buffered chunks without a pause; this lets
                    # other requests run in between.
                    await asyncio.sleep(0)
            return b"".join(chunks)
        finally:
            # The stream refers to its exception and the exception to this frame. That
            # cycle would keep the chunks until the next garbage collection.
            chunks.clear()

    def _classify_response(
        self, response: aiohttp.ClientResponse, body: bytes
    ) -> tuple[Outcome, UpstreamResponse | None, bool]:
        status = response.status
        if status == MISDIRECTED_REQUEST:
            return Outcome.MISDIRECTED, None, True
        not_run_header = self._header_names.not_run
        if status in NOT_RUN_STATUSES and not_run_header in response.headers:
            return Outcome.SHED, None, True
        upstream_response = UpstreamResponse(
            status, response.reason or "", response.headers.copy(), body
        )
        outcome = Outcome.ERROR if status >= SERVER_ERROR else Outcome.COMPLETE
        return outcome, upstream_response, False


def is_close_delimited(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the close of the connection ends the response body."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return False
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return response.content_length is None and not chunked


def classify_error(error: Exception) -> Outcome:
    """Return the outcome of an attempt that ended with this error."""
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return Outcome.NOT_CONNECTED
    if isinstance(error, TimeoutError):
        return Outcome.TIMED_OUT
    if isinstance(error, aiohttp.ClientPayloadError | aiohttp.ClientResponseError):
        return Outcome.TRUNCATED
    return Outcome.RESET
