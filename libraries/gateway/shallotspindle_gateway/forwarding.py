"""Connections to upstreams: one for each request.

A connection of its own makes a failed connect a proof that nothing ran, shows a cut
path before the first byte is sent, and leaves no place for late or extra bytes of an
earlier answer.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiomisc import Service
from multidict import CIMultiDict

from shallotspindle_core.clock import Clock
from shallotspindle_entry.response_limits import (
    ResponseFault,
    ResponseLimits,
    ResponseMemory,
)
from shallotspindle_entry.upstream_connections import (
    BoundedResponseHandler,
    ResponseAbortedError,
    find_fault,
)
from shallotspindle_lending.records import Outcome

CONNECT_SECONDS = 0.08
# Also sets how many chunks are parsed at once: 256, or 0.5 ms of processor time.
READ_BUFFER_BYTES = 4 * 1024
SWITCHING_PROTOCOLS = 101
MISDIRECTED = 421
TOO_MANY = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
BAD_REQUEST = 400
NOT_RUN_STATUSES = frozenset({BAD_REQUEST, TOO_MANY, SERVER_ERROR, UNAVAILABLE})


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an upstream."""

    status: int
    reason: str
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """How one send went.

    :param answer: the whole answer, if there is one for this request.
    :param not_run: whether the upstream certainly did not run the request.
    :param seconds: time from the send to the end.
    :param fault: why the answer was not taken to its end.
    """

    outcome: Outcome
    answer: Answer | None = None
    not_run: bool = False
    seconds: float = 0.0
    fault: ResponseFault | None = None


@dataclass(frozen=True, slots=True)
class Order:
    """A request to an upstream.

    :param target: path and query, already encoded.
    :param body: the whole body, or the parts of a long one.
    :param seconds: longest time until the answer is whole.
    """

    address: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    seconds: float


class Forwarder(Service):
    """Owns the connections to upstreams.

    :param request_id: name of the header by which an answer is recognised.
    :param not_run: name of the header that says that a request did not run.
    """

    def __init__(
        self,
        request_id: str,
        not_run: str,
        clock: Clock,
        limits: ResponseLimits,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._request_id = request_id
        self._not_run = not_run
        self._clock = clock
        self._limits = limits
        self.response_memory = ResponseMemory(limits.max_total_bytes)
        self._handlers: dict[int, BoundedResponseHandler] = {}
        self._numbers = itertools.count()

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        connector._factory = self._build_handler
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
        # aiohttp sends idempotent methods again by itself; retries have a budget here.
        self._session._retry_connection = False

    async def stop(self, exception: Exception | None = None) -> None:
        await self._session.close()

    def _build_handler(self) -> BoundedResponseHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedResponseHandler(
            loop, self._limits, next(self._numbers), self._hold
        )

    def _hold(self, handler: BoundedResponseHandler, size: int) -> None:
        """Note what a connection holds; break off an answer if that is too much."""
        if not size:
            self.response_memory.release(handler.connection_id)
            self._handlers.pop(handler.connection_id, None)
            return
        self._handlers[handler.connection_id] = handler
        largest = self.response_memory.set_size(handler.connection_id, size)
        if largest is not None:
            self.response_memory.release(largest)
            self._handlers.pop(largest).abort_response(ResponseFault.MEMORY_EXHAUSTED)

    async def send(self, order: Order) -> Attempt:
        """Send a request and return when its answer is whole or has failed."""
        started = self._clock.boottime()
        fault = None
        try:
            outcome, answer, not_run = await self._exchange(order)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome, answer = classify(error), None
            not_run = outcome is Outcome.NOT_CONNECTED
            fault = find_fault(error)
            # Its frames hold the answer; see _read.
            error.__traceback__ = None
        seconds = self._clock.boottime() - started
        return Attempt(outcome, answer, not_run, seconds, fault)

    async def _exchange(self, order: Order) -> tuple[Outcome, Answer | None, bool]:
        async with self._session.request(
            order.method,
            aiohttp.client.URL(f"http://{order.address}{order.target}", encoded=True),
            headers=order.headers,
            data=order.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=order.seconds, sock_connect=CONNECT_SECONDS
            ),
        ) as response:
            connection = response.connection
            protocol = connection.protocol if connection is not None else None
            body = await self._read(response)
            if protocol is not None and protocol.was_reset and is_unframed(response):
                return Outcome.TRUNCATED, None, False
            return self._judge(order, response, body)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the whole body."""
        if response.status == SWITCHING_PROTOCOLS:
            # Nobody asked for it, and no answer follows.
            raise ResponseAbortedError(ResponseFault.MALFORMED)
        stated = response.content_length or 0
        if stated > self._limits.max_body_bytes and not response.content.at_eof():
            raise ResponseAbortedError(ResponseFault.BODY_TOO_LONG)
        parts = []
        try:
            async for part in response.content.iter_any():
                parts.append(part)
                if not response.content.at_eof():
                    # The stream gives what it has without a pause; other requests go
                    # between.
                    await asyncio.sleep(0)
            return b"".join(parts)
        finally:
            # The stream refers to its exception and the exception to this frame, so
            # that the parts would stay until the next garbage collection.
            parts.clear()

    def _judge(
        self, order: Order, response: aiohttp.ClientResponse, body: bytes
    ) -> tuple[Outcome, Answer | None, bool]:
        status = response.status
        if status == MISDIRECTED:
            return Outcome.MISDIRECTED, None, True
        if status in NOT_RUN_STATUSES and self._not_run in response.headers:
            return Outcome.SHED, None, True
        sent = order.headers.get(self._request_id)
        named = response.headers.get(self._request_id)
        if named is not None and named != sent:
            return Outcome.TRUNCATED, None, False
        answer = Answer(status, response.reason or "", response.headers.copy(), body)
        outcome = Outcome.ERROR if status >= SERVER_ERROR else Outcome.COMPLETE
        return outcome, answer, False


def is_unframed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the answer ends with its connection."""
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return response.content_length is None and not chunked


def classify(error: Exception) -> Outcome:
    """Return what a failed exchange says about the upstream."""
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return Outcome.NOT_CONNECTED
    if isinstance(error, TimeoutError):
        return Outcome.TIMED_OUT
    if isinstance(error, aiohttp.ClientPayloadError | aiohttp.ClientResponseError):
        return Outcome.TRUNCATED
    return Outcome.RESET
