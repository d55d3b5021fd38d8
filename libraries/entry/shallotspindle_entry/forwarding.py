"""Connections to upstreams.

A connection is reused only after a complete response that named its request, and only
if nothing arrived on it since: a late response would go to the next caller. Each
non-idempotent request gets a new connection, because an upstream may close an idle
connection just as a request is sent on it, which would leave the outcome of the request
unknown.
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
from shallotspindle_entry import headers
from shallotspindle_entry.response_limits import ResponseLimits
from shallotspindle_entry.upstream_connections import (
    BoundedConnector,
    BoundedResponseHandler,
)

CONNECT_TIMEOUT_SECONDS = 1.0
# Also limits how many chunks are parsed at once: 1,024, or 2 ms of processor time.
READ_BUFFER_BYTES = 16 * 1024
# Bodies are streamed and may have any length; only heads and framing are limited.
RESPONSE_LIMITS = ResponseLimits(
    max_body_bytes=sys.maxsize, max_framing_ratio=16.0, max_total_bytes=sys.maxsize
)


class CheckedConnector(BoundedConnector):
    """Connector that never reuses a connection on which unexpected data arrived."""

    def __init__(self, **params: Any) -> None:
        super().__init__(self._build_handler, **params)
        self._connection_ids = itertools.count()

    def _build_handler(self) -> BoundedResponseHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedResponseHandler(
            loop,
            RESPONSE_LIMITS,
            next(self._connection_ids),
            self._ignore_size_change,
            headers.REQUEST_ID,
        )

    @staticmethod
    def _ignore_size_change(handler: BoundedResponseHandler, size: int) -> None:
        """Ignore the size of a response: the buffer of a stream is bounded."""

    async def _get(self, key: Any, traces: list[Any]) -> Connection | None:
        while (connection := await super()._get(key, traces)) is not None:
            if connection.protocol is not None and not connection.protocol.should_close:
                return connection
            connection.close()
        return None


def open_session(force_close: bool) -> aiohttp.ClientSession:
    """Return a client session that keeps no cookies and resends no request."""
    session = aiohttp.ClientSession(
        auto_decompress=False,
        connector=CheckedConnector(limit=0, force_close=force_close),
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )
    # By default aiohttp resends requests with idempotent methods; that would bypass
    # the retry budget.
    session._retry_connection = False
    return session


class Forwarder(Service):
    """Owns the connections to upstreams."""

    async def start(self) -> None:
        self._reusing_session = open_session(force_close=False)
        self._single_use_session = open_session(force_close=True)

    async def stop(self, exception: Exception | None = None) -> None:
        await self._reusing_session.close()
        await self._single_use_session.close()

    def open(
        self,
        upstream: Upstream,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: AsyncIterator[bytes] | None,
        timeout_seconds: float,
        is_idempotent: bool,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a request; the context yields the response while its body can be read.

        :param target: path and query, already encoded.
        :param timeout_seconds: longest time for the request and its whole response.
        :param is_idempotent: whether the request may use a reused connection.
        """
        session = self._reusing_session if is_idempotent else self._single_use_session
        return session.request(
            method,
            aiohttp.client.URL(f"http://{upstream.address}{target}", encoded=True),
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )
