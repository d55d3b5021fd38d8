"""One attempt to run a request at an upstream.

The caller gets an answer only from its first byte to its last: an answer that is cut
short aborts the caller's connection, and one that names another request is dropped.
"""

from collections.abc import AsyncIterator, Awaitable
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
from shallotspindle_retries import eligibility

MAX_STORED_BODY_BYTES = 64 * 1024
MAX_DISCARDED_BODY_BYTES = 64 * 1024
BODILESS_STATUSES = frozenset({204, 304})
SERVER_ERROR = 500
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class CrossedAnswer(Failure):
    """The answer names another request."""


@dataclass(frozen=True, slots=True)
class UnframedAnswer(Failure):
    """The answer does not state its length, so that a cut would not show."""


@dataclass(slots=True)
class Attempt:
    """How an attempt went.

    :param response: what the caller got, if anything was sent to it.
    :param stored: the answer to a request with an idempotency key, if it is whole.
    :param not_run: whether the upstream certainly did not run the request.
    :param status: status of an answer that was not given to the caller.
    """

    outcome: Outcome
    response: web.StreamResponse | None = None
    stored: StoredResponse | None = None
    did_not_run: bool = False
    status: int | None = None
    load: float | None = None
    is_draining: bool = False
    duration_seconds: float = 0.0

    @property
    def outcome_headers(self) -> dict[str, str]:
        """What the upstream stated of the request, as the retry rules read it."""
        return (
            {eligibility.OUTCOME_HEADER: eligibility.NOT_RUN}
            if self.did_not_run
            else {}
        )

    def build_sample(self) -> AttemptSample:
        """Return what the attempt says about the upstream."""
        return AttemptSample(
            self.outcome, self.duration_seconds, self.load, self.is_draining
        )


def check_response(answer: aiohttp.ClientResponse, call: Call) -> None:
    """Refuse an answer that may not be the whole answer to this request."""
    named = answer.headers.get(headers.REQUEST_ID)
    if named is not None and named != call.request_id:
        raise FailureError(
            CrossedAnswer("upstream", "the answer is for another", named)
        )
    bodiless = call.method == "HEAD" or answer.status in BODILESS_STATUSES
    framed = answer.content_length is not None or answer.headers.get(
        "Transfer-Encoding"
    )
    if not bodiless and not framed:
        raise FailureError(UnframedAnswer("upstream", "the answer has no length"))


async def discard_body(answer: aiohttp.ClientResponse) -> None:
    """Read the body of an answer that is not given to the caller.

    A longer body is not read to its end: its connection is closed and not used again.
    """
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > MAX_DISCARDED_BODY_BYTES:
            return


class Exchange:
    """Sends one request to one upstream and streams the answer to the caller."""

    def __init__(
        self, forwarder: Forwarder, clock: Clock, request: web.Request, call: Call
    ) -> None:
        self._forwarder = forwarder
        self._clock = clock
        self._request = request
        self._call = call
        scheme = "https" if request.secure else "http"
        self._origin = RequestOrigin(request.remote or "unknown", request.host, scheme)

    async def run(self, upstream: Upstream, seconds: float) -> Attempt:
        """Run the attempt.

        :param seconds: time that is left until the deadline.
        """
        attempt = Attempt(Outcome.CANCELLED)
        started = self._clock.boottime()
        try:
            await self._transfer(upstream, seconds, attempt)
        except (aiohttp.ClientError, TimeoutError, OSError, FailureError) as error:
            self._classify(error, attempt)
            if attempt.response is not None:
                self._abort_caller()
        finally:
            attempt.duration_seconds = self._clock.boottime() - started
        return attempt

    async def _transfer(
        self, upstream: Upstream, seconds: float, attempt: Attempt
    ) -> None:
        call = self._call
        sent = headers.build_upstream_headers(
            self._request.headers, self._origin, call.request_id, seconds
        )
        async with self._forwarder.open(
            upstream,
            call.method,
            call.target,
            sent,
            self._build_body(),
            seconds,
            call.is_idempotent,
        ) as answer:
            attempt.load = headers.read_load(answer.headers)
            attempt.is_draining = headers.is_draining(answer.headers)
            check_response(answer, call)
            if answer.status == UNAVAILABLE:
                attempt.did_not_run = headers.says_not_run(answer.headers)
                if attempt.did_not_run or call.is_idempotent:
                    attempt.outcome = Outcome.SHED
                    attempt.status = answer.status
                    await discard_body(answer)
                    return
            await self._relay(answer, attempt)

    def _build_body(self) -> AsyncIterator[bytes] | None:
        if not self._call.body.exists:
            return None
        return self._call.body.iterate()

    async def _relay(self, answer: aiohttp.ClientResponse, attempt: Attempt) -> None:
        kept = headers.copy_end_to_end_headers(answer.headers)
        kept[headers.REQUEST_ID] = self._call.request_id
        response = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=kept
        )
        attempt.response = response
        gone = not await self._write(response.prepare(self._request))
        parts: list[bytes] = []
        size = 0
        async for chunk in answer.content.iter_chunked(STREAM_CHUNK_BYTES):
            if self._call.is_at_most_once and size <= MAX_STORED_BODY_BYTES:
                parts.append(chunk)
            size += len(chunk)
            if not gone:
                gone = not await self._write(response.write(chunk))
        if not gone:
            await self._write(response.write_eof())
        attempt.outcome = Outcome.COMPLETE
        if answer.status >= SERVER_ERROR:
            attempt.outcome = Outcome.ERROR
        if self._call.is_at_most_once:
            # A body above the limit is cut here and dropped by the claims, which then
            # say that the request completed.
            fields = tuple((k, v) for k, v in kept.items())
            attempt.stored = StoredResponse(answer.status, fields, b"".join(parts))

    async def _write(self, writing: Awaitable[None]) -> bool:
        """Write to the caller; work with an effect goes on when the caller is gone."""
        try:
            await writing
        except ConnectionError:
            if self._call.is_idempotent:
                raise
            return False
        return True

    def _classify(self, error: Exception, attempt: Attempt) -> None:
        if self._call.body.has_failed:
            # The caller cut its own request; the upstream is not at fault.
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
