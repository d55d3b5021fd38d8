"""Bodies of callers' requests.

A body up to ``KEPT_BYTES`` is read whole before anything is sent, so that it can be
sent again. The rest of a longer one is streamed and is sent once.
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

KEPT_BYTES = 1024 * 1024
CHUNK_BYTES = 64 * 1024
IDLE_SECONDS = 5.0


@dataclass(slots=True)
class Body:
    """A body whose start was read.

    :param rest: the stream that holds what was not read; None if all was.
    """

    start: bytes
    rest: asyncio.StreamReader | None

    @property
    def exists(self) -> bool:
        return bool(self.start) or self.rest is not None

    @property
    def repeatable(self) -> bool:
        """Whether the whole body is kept."""
        return self.rest is None

    def digest(self) -> bytes:
        """Return the digest of the start, 32 bytes."""
        return hashlib.sha256(self.start).digest()

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what is sent to an upstream."""
        if not self.exists:
            return None
        return self.start if self.rest is None else self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        yield self.start
        while chunk := await self.rest.read(CHUNK_BYTES):
            yield chunk


async def read_body(request: web.BaseRequest) -> Body:
    """Read the start of a body.

    :raises TimeoutError: if the caller sends nothing for ``IDLE_SECONDS``.
    """
    if not request.body_exists:
        return Body(b"", None)
    parts = []
    size = 0
    while size <= KEPT_BYTES:
        async with asyncio.timeout(IDLE_SECONDS):
            chunk = await request.content.read(CHUNK_BYTES)
        if not chunk:
            return Body(b"".join(parts), None)
        parts.append(chunk)
        size += len(chunk)
    return Body(b"".join(parts), request.content)
