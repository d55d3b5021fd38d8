"""Connections to upstreams.

A connection is used again only after a whole answer, and only while nothing arrived
on it in between: a late answer would go to the next caller. Requests that must not
run twice get a connection of their own, because the end of an idle connection and
the arrival of a request can cross.
"""

import asyncio
import itertools
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from aiomisc import Service

from shallotspindle_bundles.records import Upstream
from shallotspindle_entry.response_limits import ResponseLimits
from shallotspindle_entry.upstream_connections import BoundedResponseHandler

CONNECT_TIMEOUT_SECONDS = 1.0
# Also sets how many chunks are parsed at once: 1,024, or 2 ms of processor time.
READ_BUFFER_BYTES = 16 * 1024
# Bodies are streamed and may have no end; only heads and framing are bounded.
LIMITS = ResponseLimits(
    max_body_bytes=sys.maxsize, max_framing_ratio=16.0, max_total_bytes=sys.maxsize
)


class CheckedConnector(aiohttp.TCPConnector):
    """Connector that reuses no connection on which unexpected data arrived."""

    def __init__(self, **params: Any) -> None:
        super().__init__(**params)
        self._numbers = itertools.count()
        self._factory = self._build_handler

    def _build_handler(self) -> BoundedResponseHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedResponseHandler(loop, LIMITS, next(self._numbers), self._hold)

    @staticmethod
    def _hold(handler: BoundedResponseHandler, size: int) -> None:
        """Ignore what a connection holds: the buffer of a stream is bounded."""

    async def _get(self, key: Any, traces: list[Any]) -> Connection | None:
        while (found := await super()._get(key, traces)) is not None:
            if found.protocol is not None and not found.protocol.should_close:
                return found
            found.close()
        return None


def open_session(force_close: bool) -> aiohttp.ClientSession:
    """Open a client that follows no redirect and sends nothing twice."""
    session = aiohttp.ClientSession(
        auto_decompress=False,
        connector=CheckedConnector(limit=0, force_close=force_close),
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )
    # aiohttp sends idempotent methods again by itself; retries have a budget here.
    session._retry_connection = False
    return session


class Forwarder(Service):
    """Owns the connections to upstreams."""

    async def start(self) -> None:
        self._shared = open_session(force_close=False)
        self._single = open_session(force_close=True)

    async def stop(self, exception: Exception | None = None) -> None:
        await self._shared.close()
        await self._single.close()

    def open(
        self,
        upstream: Upstream,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: AsyncIterator[bytes] | None,
        timeout: float,
        idempotent: bool,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a request; the context holds the answer while its body is open.

        :param target: path and query, already encoded.
        :param timeout: longest time for the whole exchange, in seconds.
        """
        session = self._shared if idempotent else self._single
        return session.request(
            method,
            aiohttp.client.URL(f"http://{upstream.address}{target}", encoded=True),
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )
