"""Task that owns the connections to upstreams."""

from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiomisc import Service

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.identifiers import UpstreamName


class Forwarder(Service):
    """Sends requests to upstreams and counts those in flight."""

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.in_flight: Counter[UpstreamName] = Counter()

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self, exception: Exception | None = None) -> None:
        await self._session.close()

    @asynccontextmanager
    async def open(
        self,
        upstream: Upstream,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: AsyncIterator[bytes] | None,
        timeout: float,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the response while its body is open.

        :param target: path and query, already encoded.
        :param timeout: longest time for the whole exchange, in seconds.
        """
        self.in_flight[upstream.name] += 1
        try:
            async with self._session.request(
                method,
                f"http://{upstream.address}{target}",
                headers=headers,
                data=body,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                yield response
        finally:
            self.in_flight[upstream.name] -= 1
