"""Connections to upstreams: one for each request.

A connection of its own makes a failed connect a proof that nothing ran, shows a cut
path before the first byte is sent, and leaves no place for late or extra bytes of an
earlier answer.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiomisc import Service
from multidict import CIMultiDict

from shallotspindle_core.clock import Clock
from shallotspindle_entry.upstream_connections import WatchedHandler
from shallotspindle_lending.records import Outcome

CONNECT_SECONDS = 0.08
READ_BUFFER_BYTES = 256 * 1024
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
    """

    outcome: Outcome
    answer: Answer | None = None
    not_run: bool = False
    seconds: float = 0.0


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
        self, request_id: str, not_run: str, clock: Clock, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._request_id = request_id
        self._not_run = not_run
        self._clock = clock

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        loop = asyncio.get_running_loop()
        connector._factory = partial(WatchedHandler, loop=loop)
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

    async def send(self, order: Order) -> Attempt:
        """Send a request and return when its answer is whole or has failed."""
        started = self._clock.boottime()
        try:
            outcome, answer, not_run = await self._exchange(order)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome, answer = classify(error), None
            not_run = outcome is Outcome.NOT_CONNECTED
        seconds = self._clock.boottime() - started
        return Attempt(outcome, answer, not_run, seconds)

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
            body = await response.read()
            if protocol is not None and protocol.was_reset and is_unframed(response):
                return Outcome.TRUNCATED, None, False
            return self._judge(order, response, body)

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
        outcome = Outcome.ERROR if status >= SERVER_ERROR else Outcome.WHOLE
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
